package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

const settings = `{"Instances":1,"Locality":"a","Discovery":"ask","Lanes":[
 {"Name":"look","AimNs":1000000000,"GiveUpNs":3000000000,"Importance":1,"Effect":"safe"},
 {"Name":"job","AimNs":1000000000,"GiveUpNs":3000000000,"Importance":1,"Effect":"unsafe"}],
 "Extra":{"Guards":"silent","NeedsByClass":["loose","update"],"OriginTimeNs":1},
 "Limits":{"Cancelling":true,"Probes":true,"MostTries":10,"ConnIdleNs":15000000000,"ConnectTimeoutNs":250000000}}`

func configText(discovery string) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, discovery, settings)
}

func sql(id, class string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=2500,cluster=7 */ SELECT 1", id, class)
}

// From the list to the end: both fronts serve, events go out, the list is kept, and SIGTERM's path finishes what
// was taken.
func TestLife(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	db := testserver.NewDB(t, true, func(typ byte, id string) testserver.Act {
		if id == "slow" {
			asked <- true
			<-goOn
		}
		return testserver.Act{}
	})
	stop := make(chan bool)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") != "" {
			select { // nothing new
			case <-r.Context().Done():
			case <-stop:
			}
			return
		}
		fmt.Fprintf(w, `{"version":3,"full":true,"servers":[{"id":"s1","addr":%q,"zone":"a","cell":7,"state":"ready","mode":"read-write"}]}`, db.Addr)
	}))
	defer discovery.Close()
	defer close(stop)
	events, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer events.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()

	cfg, err := config.Parse([]byte(configText(discovery.Listener.Addr().String())), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	var dep config.Deploy
	dep = withSyslog(t, fmt.Sprintf("[syslog]\naddress = %q", events.LocalAddr().String()))
	dep.Extended.Listen = "127.0.0.1:0"
	dep.Store.Name, dep.Store.Folder, dep.Store.Peers = "n1", t.TempDir(), map[string]string{"n1": ln.Addr().String()}
	d, err := newDaemon(cfg, dep, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { d.run(); close(ended) }()
	platform, second := d.fronts[0].listener.Addr().String(), d.fronts[1].listener.Addr().String()

	for ready := false; !ready; time.Sleep(time.Millisecond) {
		c := testserver.Dial(t, platform)
		c.Send(pgwire.AppendQuery(nil, ""))
		ready = c.Until('Z').Types == "IZ"
		c.Close()
	}
	for i, addr := range []string{platform, second} {
		c := testserver.Dial(t, addr)
		c.Send(pgwire.AppendQuery(nil, sql(fmt.Sprint("r", i), "job")))
		if a := c.Until('Z'); a.Types != "TDCZ" || db.Runs(fmt.Sprint("r", i)) != 1 {
			t.Fatalf("%s: %+v", addr, a)
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		var l config.List
		if p, ok := d.store.Get("list"); ok && json.Unmarshal(p, &l) == nil && l.Version == 3 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the list is not kept")
		}
	}

	slow := testserver.Dial(t, platform)
	slow.Send(pgwire.AppendQuery(nil, sql("slow", "job")))
	<-asked
	d.loop.Post(d.drain)
	late := testserver.Dial(t, platform) // the platform still sends connections for a while
	late.Send(pgwire.AppendQuery(nil, sql("late", "job")))
	close(goOn)
	for name, c := range map[string]*testserver.Client{"slow": slow, "late": late} {
		if a := c.Until('Z'); a.Types != "TDCZ" || db.Runs(name) != 1 {
			t.Fatalf("%s: %+v", name, a)
		}
		if a := c.Until('Z'); !a.Ended {
			t.Fatalf("%s: %+v", name, a)
		}
	}
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("it goes on")
	}
	buf := make([]byte, 4096)
	events.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		n, _, err := events.ReadFrom(buf)
		if err != nil {
			t.Fatal("no event of the end")
		}
		if strings.Contains(string(buf[:n]), ` END [audit@32473 start="`) {
			return
		}
	}
}

// withSyslog is the operators' file with that text.
func withSyslog(t testing.TB, text string) config.Deploy {
	t.Helper()
	path := t.TempDir() + "/limeladder.toml"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	dep, err := config.LoadDeploy(path)
	if err != nil {
		t.Fatal(err)
	}
	return dep
}

// A bad configuration is one line that names the field, and an exit code that is not 0.
func TestBadConfig(t *testing.T) {
	if os.Getenv("LIMELADDER_TEST_MAIN") == "1" {
		os.Args = os.Args[:1]
		main()
		os.Exit(0)
	}
	path := t.TempDir() + "/config.json"
	os.WriteFile(path, []byte(strings.Replace(configText("127.0.0.1:1"), `"seed":"1"`, `"seed":"x"`, 1)), 0o600)
	out, err := program(path).CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "seed:") {
		t.Fatalf("%v %q", err, out)
	}
}

// program is the whole of it, in a process of its own.
func program(path string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "-test.run=TestBadConfig")
	cmd.Env = append(os.Environ(), "LIMELADDER_TEST_MAIN=1", "EDGE_CONFIG="+path, "EDGE_DISCOVERY=127.0.0.1:1")
	return cmd
}

// SIGHUP moves the watch to the address in the new file, as often as it comes; a bad file changes nothing; SIGTERM
// behind all of it ends the program in order.
func TestReload(t *testing.T) {
	path := t.TempDir() + "/config.json"
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	discovery := func() (addr string, asked chan bool) {
		asked = make(chan bool, 99)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery == "" {
				asked <- true
			} else {
				<-r.Context().Done()
			}
			fmt.Fprint(w, `{"version":0,"full":true,"servers":[]}`)
		}))
		t.Cleanup(srv.CloseClientConnections)
		return srv.Listener.Addr().String(), asked
	}
	first, asked := discovery()
	write(configText(first))
	cmd := program(path)
	var log strings.Builder
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	wait := func(what string, asked chan bool) {
		t.Helper()
		select {
		case <-asked:
		case <-time.After(20 * time.Second):
			t.Fatalf("%s is not asked for the whole list", what)
		}
	}
	wait("the first", asked)
	for range 3 {
		addr, asked := discovery()
		write(configText("nowhere"))
		cmd.Process.Signal(syscall.SIGHUP)
		write(configText(addr))
		cmd.Process.Signal(syscall.SIGHUP)
		wait("a new one", asked)
	}
	write(configText("nowhere"))
	cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // signals that come together have no order
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	if err := cmd.Wait(); err != nil || !strings.Contains(log.String(), `err="discovery: address nowhere: missing port`) {
		t.Fatalf("%v\n%s", err, log.String())
	}
}

// A process is replaced while it serves: the socket stays, a ban and the ids that were listed pass on, what is in hand is
// finished, idle clients are closed, the second front and the store move over. The first one then ends in order.
func TestUpgrade(t *testing.T) {
	asked, goOn := make(chan bool, 9), make(chan bool)
	db := testserver.NewDB(t, true, func(typ byte, id string) testserver.Act {
		if id == "slow" {
			asked <- true
			<-goOn
		}
		return testserver.Act{}
	})
	barred := testserver.NewDB(t, false, nil)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"version":3,"full":true,"servers":[{"id":"s1","addr":%q,"zone":"a","cell":7,"state":"ready","mode":"read-write"},
			{"id":"s2","addr":%q,"zone":"a","cell":7,"state":"ready"}]}`, db.Addr, barred.Addr)
	}))
	defer discovery.CloseClientConnections()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	held, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	dir, tmp, second, peer := t.TempDir(), t.TempDir(), freeAddr(t), freeAddr(t)
	os.WriteFile(dir+"/config.json", []byte(configText(discovery.Listener.Addr().String())), 0o600)
	os.WriteFile(dir+"/deploy.toml", []byte(fmt.Sprintf("[extended]\nlisten = %q\n[store]\nname = \"n1\"\nfolder = %q\n[store.peers]\nn1 = %q\n",
		second, t.TempDir(), peer)), 0o600)
	start := func() (cmd *exec.Cmd, operator string) {
		cmd, operator = program(dir+"/config.json"), freeAddr(t)
		cmd.ExtraFiles = []*os.File{held}
		cmd.Env = append(cmd.Env, "EDGE_INHERITED_FD=3", "TMPDIR="+tmp, "EDGE_OPERATOR="+operator, "LIMELADDER_DEPLOY="+dir+"/deploy.toml",
			"EDGE_LISTEN="+ln.Addr().String())
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill() })
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if r, err := http.Get("http://" + operator + "/v1/readyz"); err == nil && r.StatusCode == 200 {
				return cmd, operator
			}
			if time.Now().After(end) {
				t.Fatal("not ready")
			}
		}
	}
	call := func(operator, path string, want int) {
		t.Helper()
		r, err := http.Post("http://"+operator+"/v1/"+path, "", nil)
		if err != nil || r.StatusCode != want {
			t.Fatalf("%s: %v %v", path, r, err)
		}
	}
	first, operator := start()
	call(operator, "db-machines/s3/suspend", 404)
	call(operator, "db-machines/s2/suspend", 200)
	slow, idle := testserver.Dial(t, ln.Addr().String()), testserver.Dial(t, ln.Addr().String())
	slow.Send(pgwire.AppendQuery(nil, sql("slow", "job")))
	<-asked
	_, operator = start()
	first.Process.Signal(syscall.SIGTERM)
	if a := idle.Until('Z'); !a.Ended {
		t.Fatalf("%+v", a)
	}
	close(goOn)
	if a := slow.Until('Z'); a.Types != "TDCZ" || db.Runs("slow") != 1 {
		t.Fatalf("%+v", a)
	}
	if err := first.Wait(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) { // the store has moved over too
		if c, err := net.Dial("tcp", peer); err == nil {
			c.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal("the store is not open")
		}
	}
	for _, addr := range []string{ln.Addr().String(), second} {
		for i := range 20 {
			for { // the second front moves over in a moment
				if c, err := net.Dial("tcp", addr); err == nil {
					c.Close()
					break
				}
			}
			c := testserver.Dial(t, addr)
			c.Send(pgwire.AppendQuery(nil, sql(fmt.Sprint(addr, i), "look")))
			if a := c.Until('Z'); a.Value != db.Addr {
				t.Fatalf("%s: %+v", addr, a)
			}
			c.Close()
		}
	}
	call(operator, "db-machines/s2/resume", 200)
}

// A descriptor that is no listening socket at the right address is one line that names the variable.
func TestBadInheritedSocket(t *testing.T) {
	path := t.TempDir() + "/config.json"
	os.WriteFile(path, []byte(configText("127.0.0.1:1")), 0o600)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	socket, _ := ln.(*net.TCPListener).File()
	file, _ := os.Open(path)
	for fd, f := range map[string]*os.File{"x": file, "1": file, "3": file, "99": file, "03": socket} {
		cmd := program(path)
		cmd.ExtraFiles = []*os.File{f}
		cmd.Env = append(cmd.Env, "EDGE_INHERITED_FD="+fd, "EDGE_LISTEN=127.0.0.9:0", "TMPDIR="+t.TempDir())
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "EDGE_INHERITED_FD:") {
			t.Errorf("%s: %v %q", fd, err, out)
		}
	}
}
