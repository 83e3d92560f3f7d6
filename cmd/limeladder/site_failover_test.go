package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/testserver"
)

// siteRouter is a router in this process with the site monitor on. Its replica groups 7 and 8 are spread over the sites
// n and s.
type siteRouter struct {
	daemon       *daemon
	servers      map[string]*testserver.DB // by id
	adminAddress string
}

func newSiteRouter(t *testing.T) *siteRouter {
	t.Helper()
	router := &siteRouter{servers: map[string]*testserver.DB{}, adminAddress: freeAddress(t)}
	var list []config.EndpointEntry
	for _, endpoint := range []struct {
		id, site  string
		group     int64
		isPrimary bool
	}{
		{"a1", "n", 7, true},
		{"a2", "s", 7, false},
		{"b1", "s", 8, true},
		{"b2", "n", 8, false},
	} {
		server := testserver.NewDB(t, endpoint.isPrimary, nil)
		router.servers[endpoint.id] = server
		list = append(list,
			listEntry(endpoint.id, server.Addr, endpoint.site, endpoint.group, endpoint.isPrimary))
	}
	agent, err := testserver.NewAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Stop)
	cfg := pushedConfig(t, agent, list...)
	cfg.AdminAddress = router.adminAddress
	cfg.Balance.Zone = "n"
	var deploy config.Deploy
	deploy.SiteFailover.Watch = true
	deploy.SiteFailover.Act = true
	router.daemon, _ = startDaemon(t, cfg, deploy)
	waitUntilReady(t, router.daemon)
	return router
}

// startClients starts clients that send reads and writes to both groups until stop is closed.
func (r *siteRouter) startClients(t *testing.T, count int, stop <-chan bool) {
	t.Helper()
	for i := range count {
		client := testserver.Dial(t, r.daemon.platformAddress())
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(3 * time.Millisecond):
				}
				class := "look"
				if n%3 == 0 {
					class = "job"
				}
				text := statementWithin(fmt.Sprintf("c%d-%d", i, n), class, 400*time.Millisecond, 7+n%2)
				if client.Write(queryMessage(text)) != nil || client.Until('Z').Ended {
					return
				}
			}
		}()
	}
}

// siteReportJSON is the part of the site report that these tests decode.
type siteReportJSON struct {
	Sites []siteStatus
	Paced []siteRampStatus
	Plans []struct {
		Site  string
		Banks []struct {
			Bank         int64
			LosesPrimary bool `json:"loses_primary"`
			Successor    string
		}
		Kept float64 `json:"worth_kept"`
	}
}

// report returns the site report from the operators' API.
func (r *siteRouter) report(t *testing.T) (report siteReportJSON) {
	t.Helper()
	response, err := http.Get("http://" + r.adminAddress + "/v1/sites")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	return report
}

// waitForSites waits until a condition holds for the sites in the operators' API, and returns the sites by name.
func (r *siteRouter) waitForSites(
	t *testing.T, what string, condition func(sites map[string]siteStatus) bool,
) map[string]siteStatus {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		sites := map[string]siteStatus{}
		for _, site := range r.report(t).Sites {
			sites[site.Site] = site
		}
		if condition(sites) {
			return sites
		}
		if time.Now().After(end) {
			t.Fatalf("condition not met within 20 s: %s: %+v", what, sites)
		}
	}
}

// runSitesPlan runs the command sites plan and returns its exit code and output.
func runSitesPlan(adminAddress string) (exitCode int, stdout, stderr string) {
	var out, fault strings.Builder
	_, exitCode = runCommand([]string{"sites", "plan", adminAddress}, nil, &out, &fault)
	return exitCode, out.String(), fault.String()
}

// A site whose servers stop is reported as lost, the plan for its loss is available before, and the site recovers once
// the servers are back. A loss or a ramp limit declared by operators holds until they revoke it.
func TestSiteLossEndToEnd(t *testing.T) {
	router := newSiteRouter(t)
	stop := make(chan bool)
	defer close(stop)
	router.startClients(t, 4, stop)
	router.waitForSites(t, "both sites are healthy", func(sites map[string]siteStatus) bool {
		bothWell := sites["n"].State == "well" && sites["s"].State == "well"
		return len(sites) == 2 && bothWell && sites["s"].Endpoints == 2
	})
	time.Sleep(500 * time.Millisecond)
	requireLossPlan(t, router)

	router.servers["a2"].Stop()
	router.servers["b1"].Stop()
	lost := router.waitForSites(t, "s is lost", func(sites map[string]siteStatus) bool {
		return sites["s"].State == "lost"
	})
	allDown := lost["s"].Down == 2 && strings.Contains(lost["s"].Evidence, "2 of 2 known machines down")
	if lost["n"].State != "well" || !allDown {
		t.Errorf("got sites %+v, want n healthy and both endpoints of s down", lost)
	}
	for _, id := range []string{"a2", "b1"} {
		if err := router.servers[id].Start(); err != nil {
			t.Fatal(err)
		}
	}
	router.waitForSites(t, "s is healthy again", func(sites map[string]siteStatus) bool {
		return sites["s"].State == "well" && sites["s"].Down == 0
	})

	callAdminAPI(t, router.adminAddress, "sites/s/lost?limit=1m", http.StatusOK)
	router.waitForSites(t, "s is declared lost", func(sites map[string]siteStatus) bool {
		return sites["s"].State == "lost" && strings.HasPrefix(sites["s"].Evidence, "declared")
	})
	callAdminAPI(t, router.adminAddress, "sites/s/found", http.StatusOK)
	router.waitForSites(t, "s is healthy after the declared loss is revoked", func(sites map[string]siteStatus) bool {
		return sites["s"].State == "well"
	})
	callAdminAPI(t, router.adminAddress, "sites/x/lost", http.StatusNotFound)
	requireLimitedRamp(t, router)
}

// requireLossPlan fails the test unless the plan for the loss of s has group 8 lose its primary, with b2 as the
// successor.
func requireLossPlan(t *testing.T, router *siteRouter) {
	t.Helper()
	plans := router.report(t).Plans
	if len(plans) != 2 || plans[1].Site != "s" || len(plans[1].Banks) != 2 {
		t.Fatalf("got plans %+v, want two, the second for s with both groups", plans)
	}
	group7 := plans[1].Banks[0]
	group8 := plans[1].Banks[1]
	if group7.LosesPrimary || !group8.LosesPrimary || group8.Successor != "b2" || plans[1].Kept <= 0 {
		t.Fatalf("got plans %+v, want only group 8 to lose its primary, and b2 as its successor", plans)
	}
	exitCode, table, fault := runSitesPlan(router.adminAddress)
	hasPlan := strings.Contains(table, "loss of s: worth kept") && strings.Contains(table, "b2 (successor)")
	if exitCode != 0 || !hasPlan {
		t.Fatalf("sites plan: got exit code %d, output %s %s, want the plan for the loss of s", exitCode, table, fault)
	}
}

// requireLimitedRamp limits the ramp of s by an operator's call, and fails the test unless the operators' API shows the
// limit until it is revoked.
func requireLimitedRamp(t *testing.T, router *siteRouter) {
	t.Helper()
	callAdminAPI(t, router.adminAddress, "sites/s/pace?part=0.25&limit=1m", http.StatusOK)
	ramps := router.report(t).Paced
	if len(ramps) != 1 || ramps[0].Site != "s" || ramps[0].Share != 0.25 || ramps[0].LimitedMs < 50_000 {
		t.Errorf("got ramps %+v, want s limited to 0.25 for a minute", ramps)
	}
	exitCode, table, _ := runSitesPlan(router.adminAddress)
	const limited = "s is used for 25% of what it can do, bound by operators for"
	if exitCode != 0 || !strings.Contains(table, limited) {
		t.Errorf("sites plan: got exit code %d, output %s, want the limit of s", exitCode, table)
	}
	callAdminAPI(t, router.adminAddress, "sites/s/free", http.StatusOK)
	if ramps := router.report(t).Paced; len(ramps) != 0 {
		t.Errorf("got ramps %+v, want none after the limit is revoked", ramps)
	}
	callAdminAPI(t, router.adminAddress, "sites/x/pace?part=0.5", http.StatusNotFound)
}

// sites plan prints one line and exits with exitUsage if the site monitor is off or the router can't be reached.
func TestSitesPlanWithoutSiteMonitorOrRouter(t *testing.T) {
	_, list, agent := newReplicaGroup(t, nil)
	adminAddress := freeAddress(t)
	cfg := pushedConfig(t, agent, list...)
	cfg.AdminAddress = adminAddress
	waitUntilReady(t, runDaemon(t, cfg))
	for _, test := range []struct{ name, address, want string }{
		{"monitor off", adminAddress, "[sites] watch is off"},
		{"no router", "127.0.0.1:1", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			exitCode, _, fault := runSitesPlan(test.address)
			oneLine := strings.Count(fault, "\n") == 1
			if exitCode != exitUsage || !oneLine || !strings.Contains(fault, test.want) {
				t.Errorf("got exit code %d, stderr %q, want exitUsage and one line", exitCode, fault)
			}
		})
	}
}
