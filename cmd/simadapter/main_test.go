package main

import (
	"bytes"
	"strings"
	"testing"
)

const startEvent = `{"cmd":"Start","Who":"router-0","Nonce64":1,"Params":{"Instances":1,"Discovery":"push",` +
	`"Lanes":[{"Name":"r","AimNs":50000000,"GiveUpNs":90000000,` +
	`"Effect":"safe"}],"Extra":{"NeedsByClass":["loose"],"OriginTimeNs":1}}}`

func TestRun(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader(`{"TsNs":1,"arrivals":[]}`+"\n"+
		`{"TsNs":2,"arrivals":[{"cmd":"Pool","Slot":0,"Members":[{"Node":"n","Lifecycle":1,"Group":3}]},`+startEvent+
		`,{"cmd":"Members","Who":"router-0","Slot":0,"Kind":2},`+
		`{"cmd":"Request","Who":"router-0","Ticket":"t","TierClass":"r","PartitionNo":3,"ExpiresInNs":90000000}]}`+"\n"+
		`{"TsNs":3,"arrivals":[{"cmd":"Down","Who":"router-0"},{"cmd":"Wake","Who":"router-9"}]}`+"\n"), &out)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || lines[0] != `{"do":[]}` || lines[2] != `{"do":[]}` ||
		!strings.Contains(lines[1], `{"cmd":"Attempt","Who":"router-0","Ticket":"t","Node":"n"}`) {
		t.Fatalf("got replies %s, want three, of which only the second has an action: the attempt", out.String())
	}
}

func TestInvalidSettingsProduceACrashAction(t *testing.T) {
	var out bytes.Buffer
	bad := strings.Replace(startEvent, `"GiveUpNs":90000000`, `"GiveUpNs":0`, 1)
	if err := run(strings.NewReader(`{"TsNs":2,"arrivals":[`+bad+`]}`), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"cmd":"Crash"`) || !strings.Contains(out.String(), "GiveUp") {
		t.Fatalf("got reply %s, want a crash that names GiveUp", out.String())
	}
}

func TestInvalidLineErrorNamesItsLineNumber(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader(`{"TsNs":1,"arrivals":[]}`+"\nnonsense\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Fatalf("got error %v, want one that names line 2", err)
	}
	if out.String() != `{"do":[]}`+"\n" {
		t.Fatalf("got output %q, want only the reply to line 1", out.String())
	}
}

func TestLongLines(t *testing.T) {
	var out bytes.Buffer
	line := `{"TsNs":1,"arrivals":[{"cmd":"Wake","Who":"router-0","Note":"` + strings.Repeat("x", 8<<20) + `"}]}`
	if err := run(strings.NewReader(line+"\n"), &out); err != nil || out.String() != `{"do":[]}`+"\n" {
		t.Fatalf("got error %v, output %q, want one empty reply", err, out.String())
	}
}
