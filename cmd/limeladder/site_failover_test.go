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

// siteRouter is a router in this process before replica groups 7 and 8 over the sites n and s, with the site monitor
// on.
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
	cfg.Operator = router.adminAddress
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

// siteReportJSON is what operators read of a router's sites.
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

// report returns what operators read.
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

// waitForSites waits until operators see that the sites are in a state.
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
			t.Fatalf("never: %s: %+v", what, sites)
		}
	}
}

// runSitesPlan runs the command sites plan and returns its exit code and what it prints.
func runSitesPlan(adminAddress string) (exitCode int, stdout, stderr string) {
	var out, fault strings.Builder
	_, exitCode = runCommand([]string{"sites", "plan", adminAddress}, nil, &out, &fault)
	return exitCode, out.String(), fault.String()
}

// From the servers to the operators: a site whose servers go is lost, its plan was there before, it recovers; and what
// operators declare binds until they take it back.
func TestSiteLossEndToEnd(t *testing.T) {
	router := newSiteRouter(t)
	stop := make(chan bool)
	defer close(stop)
	router.startClients(t, 4, stop)
	router.waitForSites(t, "both sites are well", func(sites map[string]siteStatus) bool {
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
		t.Errorf("%+v", lost)
	}
	for _, id := range []string{"a2", "b1"} {
		if err := router.servers[id].Start(); err != nil {
			t.Fatal(err)
		}
	}
	router.waitForSites(t, "s is well again", func(sites map[string]siteStatus) bool {
		return sites["s"].State == "well" && sites["s"].Down == 0
	})

	callAdminAPI(t, router.adminAddress, "sites/s/lost?limit=1m", http.StatusOK)
	router.waitForSites(t, "s is declared lost", func(sites map[string]siteStatus) bool {
		return sites["s"].State == "lost" && strings.HasPrefix(sites["s"].Evidence, "declared")
	})
	callAdminAPI(t, router.adminAddress, "sites/s/found", http.StatusOK)
	router.waitForSites(t, "s is well by the evidence", func(sites map[string]siteStatus) bool {
		return sites["s"].State == "well"
	})
	callAdminAPI(t, router.adminAddress, "sites/x/lost", http.StatusNotFound)
	requireLimitedRamp(t, router)
}

// requireLossPlan fails the test unless operators see that the loss of s takes the primary of group 8, whose
// successor is b2.
func requireLossPlan(t *testing.T, router *siteRouter) {
	t.Helper()
	plans := router.report(t).Plans
	if len(plans) != 2 || plans[1].Site != "s" || len(plans[1].Banks) != 2 {
		t.Fatalf("%+v", plans)
	}
	group7 := plans[1].Banks[0]
	group8 := plans[1].Banks[1]
	if group7.LosesPrimary || !group8.LosesPrimary || group8.Successor != "b2" || plans[1].Kept <= 0 {
		t.Fatalf("%+v", plans)
	}
	exitCode, table, fault := runSitesPlan(router.adminAddress)
	hasPlan := strings.Contains(table, "loss of s: worth kept") && strings.Contains(table, "b2 (successor)")
	if exitCode != 0 || !hasPlan {
		t.Fatalf("%d %s %s", exitCode, table, fault)
	}
}

// requireLimitedRamp limits the ramp of s as an operator, and fails the test unless that is seen until it is taken
// back.
func requireLimitedRamp(t *testing.T, router *siteRouter) {
	t.Helper()
	callAdminAPI(t, router.adminAddress, "sites/s/pace?part=0.25&limit=1m", http.StatusOK)
	ramps := router.report(t).Paced
	if len(ramps) != 1 || ramps[0].Site != "s" || ramps[0].Share != 0.25 || ramps[0].LimitedMs < 50_000 {
		t.Errorf("%+v", ramps)
	}
	exitCode, table, _ := runSitesPlan(router.adminAddress)
	const limited = "s is used for 25% of what it can do, bound by operators for"
	if exitCode != 0 || !strings.Contains(table, limited) {
		t.Errorf("%d %s", exitCode, table)
	}
	callAdminAPI(t, router.adminAddress, "sites/s/free", http.StatusOK)
	if ramps := router.report(t).Paced; len(ramps) != 0 {
		t.Errorf("%+v", ramps)
	}
	callAdminAPI(t, router.adminAddress, "sites/x/pace?part=0.5", http.StatusNotFound)
}

// Where the site monitor is off there is nothing to ask for, and a command that reaches no router says so in one line.
func TestSitesPlanWithoutSiteMonitorOrRouter(t *testing.T) {
	_, list, agent := newReplicaGroup(t, nil)
	adminAddress := freeAddress(t)
	cfg := pushedConfig(t, agent, list...)
	cfg.Operator = adminAddress
	waitUntilReady(t, runDaemon(t, cfg))
	for _, test := range []struct{ name, address, want string }{
		{"monitor off", adminAddress, "[sites] watch is off"},
		{"no router", "127.0.0.1:1", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			exitCode, _, fault := runSitesPlan(test.address)
			oneLine := strings.Count(fault, "\n") == 1
			if exitCode != exitUsage || !oneLine || !strings.Contains(fault, test.want) {
				t.Errorf("%d %q", exitCode, fault)
			}
		})
	}
}
