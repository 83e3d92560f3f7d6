package simprotocol

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"limeladder/balance"
)

const startEvent = `{"cmd":"Start","Who":"router-0","Nonce64":18446744073709551615,"Params":{"Instances":2,` +
	`"Locality":"z1","Discovery":"ask","ResolutionNs":1000,"Novelty":{"x":1},"Lanes":[` +
	`{"Name":"r","AimNs":5,"GiveUpNs":9,"Effect":"safe","Group":"all","Importance":2,"LateShare":0.5},` +
	`{"Name":"w","AimNs":6,"GiveUpNs":8,"Effect":"keyed","Group":"cell","WindowNs":7}],` +
	`"Extra":{"Guards":"hold","NeedsByClass":["recent","update"],"LagAllowedNs":[4,0],"OriginTimeNs":1000000000,` +
	`"ProgressTold":true,"RoleListed":"initial","TokenMode":"client"},` +
	`"Limits":{"Probes":true,"MostTries":3},"Contract":{"ColdFrom":0.5,"FallMultiple":2},"Prices":{"Probe":0.5}}}`

func decode(t *testing.T, d *Decoder, events string) []Event {
	t.Helper()
	b, err := d.Decode([]byte(`{"TsNs":3000000000,"arrivals":[` + events + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 3*time.Second {
		t.Fatalf("got batch time %v, want 3s", b.Now)
	}
	return b.Events
}

func TestStart(t *testing.T) {
	e := decode(t, NewDecoder(), startEvent)[0]
	want := balance.Config{
		Instances: 2, Zone: "z1", TimerResolution: 1000, PollDiscovery: true,
		FreshnessCheck: balance.FreshnessCheckHold, ClientSessionTokens: true, HealthChecks: true,
		HealthCheckCost: 0.5, MaxAttempts: 3, SlowStartFrom: 0.5, OverloadMultiple: 2, Classes: []balance.Class{
			{
				Name: "r", LatencyObjective: 5, ClientTimeout: 9, PriorityWeight: 2, LateWeightShare: 0.5,
				IdempotencyScope: balance.ScopeAll, Consistency: balance.ConsistencyBounded, MaxStaleness: 4,
			},
			{
				Name: "w", LatencyObjective: 6, ClientTimeout: 8, Idempotency: balance.IdempotentWithKey,
				IdempotencyScope: balance.ScopeGroup, IdempotencyWindow: 7, Consistency: balance.ConsistencyWrite,
			},
		},
	}
	if e.Start.Seed != 1<<64-1 || !reflect.DeepEqual(e.Start.Config, want) {
		t.Fatalf("got %+v, want the settings of the start event and the highest seed", e.Start)
	}
}

func TestEvents(t *testing.T) {
	d := NewDecoder()
	decode(t, d, startEvent)
	for _, c := range []struct {
		in   string
		want balance.Event
	}{
		{
			`{"cmd":"Request","Who":"router-0","Ticket":"t","Project":"p","SinceWriteMs":1.5,` +
				`"ExpiresInNs":7,"ClientKey":8,"PartitionNo":11,"TierClass":"r",` +
				`"EstimateNs":3,"AgainByClient":true}`,
			balance.Request{
				ID: "t", Class: "r", Tenant: "p", Group: 11, SessionID: 8, TimeLeft: 7,
				SinceSessionWrite: 1500 * time.Microsecond, EstimatedWork: 3, Retry: true,
			},
		},
		{`{"cmd":"Request","Who":"router-0","Ticket":"t","Project":0,"TierClass":"w"}`, balance.Request{ID: "t", Class: "w"}},
		{
			`{"cmd":"Outcome","Who":"router-0","Ticket":"t","Node":"n","Reason":"done","TookNs":5,"Finished":true,"Stand":4001}`,
			balance.AttemptResult{
				ID: "t", Endpoint: "n", Status: balance.StatusDone, Elapsed: 5, Finished: true, Role: balance.RolePrimary,
				Position: 2 * time.Second,
			},
		},
		{
			`{"cmd":"Outcome","Who":"router-0","Ticket":"t","Leg":2,"Reason":"enoent","Stand":2}`,
			balance.AttemptResult{ID: "t", Attempt: 2, Status: balance.StatusMiss, Role: balance.RoleReplica},
		},
		{
			`{"cmd":"Pong","Who":"router-0","Node":"n","Reason":"done","TookNs":5,"Telemetry":{"x0":1.5,"x1":0}}`,
			balance.HealthCheckResult{Endpoint: "n", Elapsed: 5, Role: balance.RoleReplica, Position: 2500 * time.Millisecond},
		},
		{
			`{"cmd":"Pong","Who":"router-0","Node":"n","Reason":"etimedout"}`,
			balance.HealthCheckResult{Endpoint: "n", Status: balance.StatusTimedOut},
		},
		{`{"cmd":"Left","Who":"router-0","Ticket":"t"}`, balance.ClientDisconnected{ID: "t"}},
		{`{"cmd":"FirstByte","Who":"router-0","Ticket":"t","Leg":1}`, balance.FirstByte{ID: "t", Attempt: 1}},
		{`{"cmd":"Wake","Who":"router-0"}`, balance.Wake{}},
		{`{"cmd":"Members","Who":"router-0","Kind":3}`, balance.EndpointList{Kind: balance.ListFailed}},
	} {
		if got := decode(t, d, c.in)[0].Event; !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s\n got %+v\nwant %+v", c.in, got, c.want)
		}
	}
}

func TestLaterPoolReplacesEarlierOneOfItsNumber(t *testing.T) {
	pool := func(node string) string {
		return `{"cmd":"Pool","Slot":1,"Members":[{"Node":"` + node + `","Lifecycle":1,"Leader":1,` +
			`"Locality":"z","Group":4,"ReadyAtNs":6,"Weight":1.5}]}`
	}
	list := `{"cmd":"Members","Who":"router-0","Rev":2,"Slot":1,"Kind":1}`
	es := decode(t, NewDecoder(), pool("a")+","+list+","+pool("b")+","+list)
	for i, node := range []string{"a", "b"} {
		want := balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{
			{Endpoint: node, Zone: "z", Group: 4, State: balance.EndpointReady, Primary: true, StartedAt: 6},
		}}
		if !reflect.DeepEqual(es[i].Event, want) {
			t.Errorf("list %d: got %+v, want the endpoints of the last pool before it", i, es[i].Event)
		}
	}
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	for in, want := range map[string]string{
		`no json`:                    "invalid",
		`{"arrivals":[]}`:            "TsNs",
		`{"TsNs":"x","arrivals":[]}`: "TsNs",
		`{"TsNs":1,"arrivals":{}}`:   "arrivals",
		`{"TsNs":1,"arrivals":[{"cmd":"Odd","Who":"router-0"}]}`:                               "unknown command",
		`{"TsNs":1,"arrivals":[{"cmd":"Wake"}]}`:                                               "Who",
		`{"TsNs":1,"arrivals":[{"cmd":"Wake","Who":"r"},{"cmd":"Left","Who":"r","Ticket":5}]}`: "event 1",
		`{"TsNs":1,"arrivals":[{"cmd":"Outcome","Who":"r","Reason":"odd"}]}`:                   "Reason",
		`{"TsNs":1,"arrivals":[{"cmd":"Start","Who":"r"}]}`:                                    "Params",
	} {
		if _, err := NewDecoder().Decode([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one with %q", in, err, want)
		}
	}
}

func TestConfigErrorNamesTheField(t *testing.T) {
	for from, want := range map[string]string{
		`"LagAllowedNs":[4,0]`:               "LagAllowedNs",
		`"NeedsByClass":["recent","update"]`: "NeedsByClass",
		`"OriginTimeNs":1000000000`:          "OriginTimeNs",
	} {
		to := strings.Replace(from, "0]", "0,1]", 1)
		to = strings.Replace(to, `["recent",`, "[", 1)
		to = strings.Replace(to, "1000000000", "null", 1)
		_, err := NewDecoder().Decode([]byte(`{"TsNs":1,"arrivals":[` + strings.Replace(startEvent, from, to, 1) + `]}`))
		var bad *ConfigError
		if !errors.As(err, &bad) || !strings.Contains(bad.Error(), want) {
			t.Errorf("got error %v, want a ConfigError that names %s", err, want)
		}
	}
}

func TestActions(t *testing.T) {
	var r Reply
	r.Add("router-1", []balance.Action{
		balance.Send{ID: "t", Endpoint: "n"},
		balance.Reject{ID: "t", RetryAfter: 6},
		balance.Fail{ID: "t"},
		balance.Cancel{ID: "t"},
		balance.HealthCheck{Endpoint: "n"},
		balance.Timer{After: 7},
		balance.PollEndpointList{},
		balance.LogMessage{Text: "<x>"},
	})
	r.Crash("router-2", "why")
	got, err := r.Encode()
	want := `{"do":[{"cmd":"Attempt","Who":"router-1","Ticket":"t","Node":"n"},` +
		`{"cmd":"Decline","Who":"router-1","Ticket":"t","PauseNs":6},{"cmd":"FinishError","Who":"router-1","Ticket":"t"},` +
		`{"cmd":"AbortAttempt","Who":"router-1","Ticket":"t","Leg":0},{"cmd":"Sample","Who":"router-1","Node":"n"},` +
		`{"cmd":"Timer","Who":"router-1","InNs":7,"Label":0},{"cmd":"Track","Who":"router-1","Active":true},` +
		`{"cmd":"WriteLog","Who":"router-1","Text":"<x>"},{"cmd":"Crash","Who":"router-2","Text":"why"}]}`
	if err != nil || string(got) != want {
		t.Fatalf("%v\n got %s\nwant %s", err, got, want)
	}
	if got, _ := (&Reply{}).Encode(); string(got) != `{"do":[]}` {
		t.Fatalf("got empty reply %s, want an empty list of actions", got)
	}
}
