package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/pgwire"
)

const settings = `{"Instances":1,"Locality":"a","Discovery":"ask","Lanes":[
 {"Name":"look","AimNs":1000000000,"GiveUpNs":3000000000,"Importance":1,"Effect":"safe"},
 {"Name":"job","AimNs":1000000000,"GiveUpNs":3000000000,"Importance":1,"Effect":"unsafe"}],
 "Extra":{"Guards":"silent","NeedsByClass":["loose","update"],"OriginTimeNs":1},
 "Limits":{"Cancelling":true,"Probes":true,"MostTries":10,"ConnIdleNs":15000000000,"ConnectTimeoutNs":250000000}}`

// configText returns the configuration of a router that polls discovery at the given address.
func configText(discovery string) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, discovery, settings)
}

// parseConfig parses a configuration with no environment variables set.
func parseConfig(tb testing.TB, text string) *config.Config {
	tb.Helper()
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		tb.Fatal(err)
	}
	return cfg
}

// parseDeploy parses the text of a deploy file.
func parseDeploy(tb testing.TB, text string) config.Deploy {
	tb.Helper()
	path := tb.TempDir() + "/limeladder.toml"
	writeFile(tb, path, text)
	deploy, err := config.LoadDeploy(path)
	if err != nil {
		tb.Fatal(err)
	}
	return deploy
}

// statement returns the statement of a request to replica group 7 with a deadline of 2.5 s.
func statement(id, class string) string {
	return statementWithin(id, class, 2500*time.Millisecond, 7)
}

func statementWithin(id, class string, deadline time.Duration, group int) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ SELECT 1", id, class, deadline.Milliseconds(), group)
}

func queryMessage(text string) []byte { return pgwire.AppendQuery(nil, text) }

// newDiscovery starts a discovery server that answers each poll for the complete list with the result of list. Watches
// receive no event.
func newDiscovery(tb testing.TB, list func() string) (address string) {
	tb.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, list())
	}))
	tb.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// programEnvironment is the environment variable that makes this test binary run the program instead of the tests.
const programEnvironment = "LIMELADDER_TEST_MAIN"

// commandEnvironment is the environment variable that makes the program run by programCommand keep its arguments.
const commandEnvironment = "LIMELADDER_TEST_COMMAND"

// TestMain runs the tests or, in a process started from programCommand, the program. The program runs without arguments
// unless commandEnvironment is set.
func TestMain(m *testing.M) {
	if os.Getenv(programEnvironment) == "1" {
		if os.Getenv(commandEnvironment) != "1" {
			os.Args = os.Args[:1]
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs the program in its own process, with the configuration at path.
func programCommand(path string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), programEnvironment+"=1", "EDGE_CONFIG="+path, "EDGE_DISCOVERY=127.0.0.1:1")
	return cmd
}

// limitDescriptors makes a command from programCommand run with a limit on its open files.
func limitDescriptors(cmd *exec.Cmd, limit int) {
	cmd.Args = []string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limit), cmd.Path}
	cmd.Path = "/bin/sh"
}

// startProgram starts a command from programCommand and kills it at the end of the test.
func startProgram(tb testing.TB, cmd *exec.Cmd) {
	tb.Helper()
	if err := cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		cmd.Process.Kill()
		_ = cmd.Wait() // how a killed process ended does not matter
	})
}

// signalProcess sends a signal to a process that runs the program.
func signalProcess(tb testing.TB, cmd *exec.Cmd, sig os.Signal) {
	tb.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		tb.Fatal(err)
	}
}

// requireOneLineNaming fails the test unless the program exits with an error and prints one line that names the field.
func requireOneLineNaming(tb testing.TB, cmd *exec.Cmd, field string) {
	tb.Helper()
	output, err := cmd.CombinedOutput()
	if err == nil || strings.Count(string(output), "\n") != 1 || !strings.Contains(string(output), field) {
		tb.Errorf("want an error and one line that names %s, got %v, %q", field, err, output)
	}
}

// writeFile replaces a file atomically, because a router may be reading it.
func writeFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		tb.Fatal(err)
	}
}

// freeAddress returns a loopback address on which nothing listens. Its host is random, so that other tests are unlikely
// to use it: on a shared host, a free port could become the local port of another connection before the router binds
// it.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		tb.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// eventually waits until a condition holds, and fails the test if it does not hold within 20 s.
func eventually(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

// acceptsConnections reports whether connections to an address are accepted.
func acceptsConnections(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// An invalid configuration ends the program with one line that names the field and an exit code other than 0.
func TestInvalidConfigurationIsOneLineNamingTheField(t *testing.T) {
	path := t.TempDir() + "/config.json"
	writeFile(t, path, strings.Replace(configText("127.0.0.1:1"), `"seed":"1"`, `"seed":"x"`, 1))
	requireOneLineNaming(t, programCommand(path), "seed:")
}
