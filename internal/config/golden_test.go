package config_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"flag"
	"math/big"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/config"
	"limeladder/internal/syslog"
)

// The files under testdata set every key that the program knew at commit 4e3d53a. Operators and the platform keep such
// files, so each key must keep its name and its meaning. Decoding alone would not detect a JSON key whose case changed,
// nor a new key that the golden files lack. Each file is therefore also encoded again from the decoded values and
// compared key by key.

var update = flag.Bool("update", false, "write testdata/edge-config.compact.json instead of comparing with it")

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// decodedValue is the value that a key of a file was decoded to, and the expected one.
type decodedValue struct {
	key       string
	got, want any
}

func checkValues(t *testing.T, values []decodedValue) {
	t.Helper()
	for _, v := range values {
		t.Run(v.key, func(t *testing.T) {
			if !reflect.DeepEqual(v.got, v.want) {
				t.Errorf("%s: got %#v, want %#v", v.key, v.got, v.want)
			}
		})
	}
}

func encodeJSON(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// decodeTree decodes a JSON object without a schema. Numbers keep their text.
func decodeTree(t *testing.T, text []byte) (tree map[string]any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		t.Fatal(err)
	}
	return tree
}

func emptyEnvironment(string) string { return "" }

func parseGolden(t *testing.T) *config.Config {
	t.Helper()
	parsed, err := config.Parse(readGolden(t, "edge-config.json"), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestGoldenEdgeConfigKeys(t *testing.T) {
	encoded := encodeJSON(t, parseGolden(t))
	if *update {
		if err := os.WriteFile("testdata/edge-config.compact.json", encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if stored := readGolden(t, "edge-config.compact.json"); !bytes.Equal(encoded, stored) {
		t.Errorf("encoded as\n%s, want\n%s", encoded, stored)
	}
	got, want := decodeTree(t, encoded), decodeTree(t, readGolden(t, "edge-config.json"))
	if !reflect.DeepEqual(got, want) {
		t.Errorf("encoded as\n%v, want\n%v", got, want)
	}
	reread, err := config.Parse(readGolden(t, "edge-config.compact.json"), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(reread, parseGolden(t)) {
		t.Error("edge-config.compact.json does not decode to the same configuration as edge-config.json")
	}
}

func TestGoldenEdgeConfigValues(t *testing.T) {
	c := parseGolden(t)
	checkValues(t, []decodedValue{
		{"name", c.Name, "router-1"},
		{"listen", c.Listen, "127.0.0.1:6432"},
		{"discovery", c.Discovery, "127.0.0.1:8500"},
		{"operator", c.AdminAddress, "127.0.0.1:8600"},
		{"seed", c.SeedValue, uint64(0x8c1f30d27a5be964)},
		{"limits.cores", c.Limits.Cores, 1.5},
		{"limits.memory_mb", c.Limits.MemoryMB, 192},
		{"limits.sockets", c.Limits.Sockets, 1024},
		{"known.version", c.KnownEndpoints.Version, int64(41)},
		{"known.full", c.KnownEndpoints.Full, true},
		{"known.servers", c.KnownEndpoints.Endpoints, goldenServers()},
		{"settings.Extra.OriginTimeNs", *c.Settings.Extra.OriginTimeNs, int64(1_800_000_000_000_000_000)},
		{"settings.Limits.ConnIdleNs", c.Settings.Limits.ConnIdleNs, int64(32)},
		{"settings.Limits.ConnectTimeoutNs", c.Settings.Limits.ConnectTimeoutNs, int64(33)},
		{"settings.Limits.MaxOpen", c.Settings.Limits.MaxOpen, 34},
		{"settings", c.Balance, goldenBalance()},
		{"inherited", c.InheritedFD, 0},
	})
}

func goldenServers() []config.EndpointEntry {
	return []config.EndpointEntry{
		{
			ID: "endpoint-1", Addr: "127.0.0.1:6001", Zone: "site-a", Group: 3, State: "ready", Weight: 1.5,
			StartedMs: 1_800_000_000_000, Mode: "read-write",
		},
		{
			ID: "endpoint-2", Addr: "127.0.0.1:6002", Zone: "site-b", Group: 4, State: "draining", Weight: 0.5,
			StartedMs: 1_800_000_000_001, Mode: "read-only",
		},
		{
			ID: "endpoint-3", Addr: "127.0.0.1:6003", Zone: "site-c", Group: 5, State: "gone", Weight: 0.25,
			StartedMs: 1_800_000_000_002, Mode: "read-only",
		},
	}
}

// goldenBalance returns the configuration of the decision module that the golden settings translate to.
func goldenBalance() balance.Config {
	return balance.Config{
		Instances: 3, Zone: "site-a", OverQuotaWeight: 0.125, TimerResolution: 1_000_001, PollDiscovery: true,
		PollWithin: 41, DrainGrace: 42, FreshnessCheck: balance.FreshnessCheckReject, ClientSessionTokens: true,
		HealthChecks: true, HealthCheckCost: 0.0625, LateRejectCost: 0.3, Cancellation: true,
		RetryAfter: true, MaxRetryAfter: 31, MaxAttempts: 35,
		SlowStartFrom: 0.3125, SlowStartWindow: 43, OverloadMultiple: 4.5, OverloadWindow: 44, SoftRemoval: true,
		Tenants: []balance.Tenant{{Name: "tenant-1", Quota: 12.5}, {Name: "tenant-2", Quota: 7.5}},
		Classes: []balance.Class{
			{
				Name: "view", LatencyObjective: 1_000_000_002, ClientTimeout: 2_000_000_003,
				IdempotencyWindow: 3_000_000_004, ObjectiveStretch: 1.75,
				PriorityWeight: 2.5, LateWeightShare: 0.375, Idempotency: balance.Idempotent, IdempotencyScope: balance.ScopeGroup,
				Consistency: balance.ConsistencyAny, MaxStaleness: 21,
			},
			{
				Name: "order", LatencyObjective: 1_000_000_005, ClientTimeout: 2_000_000_006,
				IdempotencyWindow: 3_000_000_007, ObjectiveStretch: 1.875,
				PriorityWeight: 3.5, LateWeightShare: 0.625,
				Idempotency: balance.IdempotentWithKey, IdempotencyScope: balance.ScopeZone,
				Consistency: balance.ConsistencyBounded, MaxStaleness: 22,
			},
			{
				Name: "job", LatencyObjective: 1_000_000_008, ClientTimeout: 2_000_000_009,
				IdempotencyWindow: 3_000_000_010, ObjectiveStretch: 1.5,
				PriorityWeight: 4.5, LateWeightShare: 0.875, Idempotency: balance.NonIdempotent, IdempotencyScope: balance.ScopeAll,
				Consistency: balance.ConsistencyWrite, MaxStaleness: 23,
			},
			{
				Name: "status", LatencyObjective: 1_000_000_011, ClientTimeout: 2_000_000_012,
				IdempotencyWindow: 3_000_000_013, ObjectiveStretch: 1.25,
				PriorityWeight: 5.5, LateWeightShare: 0.75, Idempotency: balance.Idempotent, IdempotencyScope: balance.ScopeAll,
				Consistency: balance.ConsistencySession, MaxStaleness: 24,
			},
			{
				Name: "report", LatencyObjective: 1_000_000_014, ClientTimeout: 2_000_000_015,
				IdempotencyWindow: 3_000_000_016, ObjectiveStretch: 1.125,
				PriorityWeight: 6.5, LateWeightShare: 0.5, Idempotency: balance.Idempotent, IdempotencyScope: balance.ScopeAll,
				Consistency: balance.ConsistencyLatest, MaxStaleness: 25,
			},
		},
	}
}

func TestGoldenServersBalance(t *testing.T) {
	want := []balance.EndpointEntry{
		{
			Endpoint: "endpoint-1", Zone: "site-a", Group: 3, State: balance.EndpointReady, Primary: true,
			StartedAt: 1_800_000_000_000 * time.Millisecond,
		},
		{
			Endpoint: "endpoint-2", Zone: "site-b", Group: 4, State: balance.EndpointDraining,
			StartedAt: 1_800_000_000_001 * time.Millisecond,
		},
		{
			Endpoint: "endpoint-3", Zone: "site-c", Group: 5, State: balance.EndpointRemoved,
			StartedAt: 1_800_000_000_002 * time.Millisecond,
		},
	}
	for i, server := range parseGolden(t).KnownEndpoints.Endpoints {
		t.Run(server.ID, func(t *testing.T) {
			got, err := server.Balance()
			if err != nil {
				t.Fatal(err)
			}
			if got != want[i] {
				t.Errorf("got %+v, want %+v", got, want[i])
			}
		})
	}
}

// The golden file can set each keyword field to one keyword only. This test replaces it by the other keywords.
func TestGoldenEdgeConfigEnumValues(t *testing.T) {
	text := string(readGolden(t, "edge-config.json"))
	freshness := func(c balance.Config) any { return c.FreshnessCheck }
	scope := func(c balance.Config) any { return c.Classes[0].IdempotencyScope }
	for _, test := range []struct {
		old, replacement string
		got              func(balance.Config) any
		want             any
	}{
		{`"Discovery": "ask"`, `"Discovery": "push"`, func(c balance.Config) any { return c.PollDiscovery }, false},
		{`"Guards": "reject"`, `"Guards": "silent"`, freshness, balance.FreshnessCheckNone},
		{`"Guards": "reject"`, `"Guards": "hold"`, freshness, balance.FreshnessCheckHold},
		{`"Guards": "reject"`, `"Guards": ""`, freshness, balance.FreshnessCheckNone},
		{`"TokenMode": "client"`, `"TokenMode": ""`, func(c balance.Config) any { return c.ClientSessionTokens }, false},
		{`"Group": "cell"`, `"Group": ""`, scope, balance.ScopeAll},
	} {
		t.Run(test.replacement, func(t *testing.T) {
			changed := strings.Replace(text, test.old, test.replacement, 1)
			if changed == text {
				t.Fatalf("the golden file does not contain %s", test.old)
			}
			c, err := config.Parse([]byte(changed), emptyEnvironment)
			if err != nil {
				t.Fatal(err)
			}
			if got := test.got(c.Balance); !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// EDGE_CONFIG names the file. EDGE_DISCOVERY applies only if the file sets no address; the other variables take
// precedence over the file.
func TestGoldenEnvironment(t *testing.T) {
	environment := map[string]string{
		"EDGE_CONFIG":       filepath.Join("testdata", "edge-config.json"),
		"EDGE_NAME":         "router-2",
		"EDGE_LISTEN":       "127.0.0.1:6433",
		"EDGE_OPERATOR":     "127.0.0.1:8601",
		"EDGE_DISCOVERY":    "127.0.0.1:8501",
		"EDGE_INHERITED_FD": "7",
	}
	getenv := func(name string) string { return environment[name] }
	c, err := config.Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	text := bytes.Replace(readGolden(t, "edge-config.json"), []byte(`"127.0.0.1:8500"`), []byte(`""`), 1)
	withoutDiscovery, err := config.Parse(text, getenv)
	if err != nil {
		t.Fatal(err)
	}
	checkValues(t, []decodedValue{
		{"EDGE_NAME", c.Name, "router-2"},
		{"EDGE_LISTEN", c.Listen, "127.0.0.1:6433"},
		{"EDGE_OPERATOR", c.AdminAddress, "127.0.0.1:8601"},
		{"EDGE_INHERITED_FD", c.InheritedFD, 7},
		{"discovery of the file", c.Discovery, "127.0.0.1:8500"},
		{"EDGE_DISCOVERY", withoutDiscovery.Discovery, "127.0.0.1:8501"},
	})
}

// writeCertificate writes a self-signed certificate and its key.
func writeCertificate(t *testing.T, certFile, keyFile string) *x509.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"site-a"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Unix(1_700_000_000, 0), NotAfter: time.Unix(4_000_000_000, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		certFile: {Type: "CERTIFICATE", Bytes: der},
		keyFile:  {Type: "PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// loadGoldenDeploy loads the golden deploy file from a temporary folder that has the files it names.
func loadGoldenDeploy(t *testing.T) (deploy config.Deploy, authority, router *x509.Certificate) {
	t.Helper()
	files := map[string][]byte{}
	for _, name := range []string{"limeladder.toml", "keys.toml"} {
		files[name] = readGolden(t, name)
	}
	t.Chdir(t.TempDir())
	for name, text := range files {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	authority = writeCertificate(t, "collector-ca.pem", "collector-ca-key.pem")
	router = writeCertificate(t, "router.pem", "router-key.pem")
	deploy, err := config.LoadDeploy("limeladder.toml")
	if err != nil {
		t.Fatal(err)
	}
	return deploy, authority, router
}

func decodeTOML(t *testing.T, text []byte) (tree map[string]any, keys []string) {
	t.Helper()
	meta, err := toml.Decode(string(text), &tree)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range meta.Keys() {
		keys = append(keys, key.String())
	}
	slices.Sort(keys)
	return tree, keys
}

func TestGoldenDeployKeys(t *testing.T) {
	want, goldenKeys := decodeTOML(t, readGolden(t, "limeladder.toml"))
	deployed, err := os.ReadFile("../../deploy/limeladder.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, deployedKeys := decodeTOML(t, deployed)
	isPeer := func(key string) bool { return strings.HasPrefix(key, "store.peers.") }
	if goldenKeys = slices.DeleteFunc(goldenKeys, isPeer); !slices.Equal(goldenKeys, deployedKeys) {
		t.Errorf("the golden file has the keys\n%q, the deployed file has\n%q", goldenKeys, deployedKeys)
	}

	deploy, _, _ := loadGoldenDeploy(t)
	var encoded bytes.Buffer
	if err := toml.NewEncoder(&encoded).Encode(deploy); err != nil {
		t.Fatal(err)
	}
	got, _ := decodeTOML(t, encoded.Bytes())
	collectors := got["syslog"].(map[string]any)
	if address, ok := collectors["address"]; !ok || address != "" {
		t.Errorf("syslog.address is %v, want it empty because syslog.collectors is set", address)
	}
	delete(collectors, "address")
	if !reflect.DeepEqual(got, want) {
		t.Errorf("encoded as\n%v, want\n%v", got, want)
	}
}

func TestGoldenDeployValues(t *testing.T) {
	d, authority, router := loadGoldenDeploy(t)
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	checkValues(t, []decodedValue{
		{"extended.listen", d.ExtendedQuery.Listen, "127.0.0.1:5432"},
		{"changeover.classes", d.Failover.Classes, []string{"job", "order"}},
		{"changeover.count", d.Failover.Count, 64},
		{"changeover.bytes", d.Failover.Bytes, 65536},
		{"changeover.time", d.Failover.Time, 1500 * time.Millisecond},
		{"sites.watch", d.SiteFailover.Watch, true},
		{"sites.act", d.SiteFailover.Act, true},
		{"syslog.collectors", d.Syslog.ParsedCollectors, []syslog.Collector{
			{Network: "tls", Address: "192.0.2.1:6514"},
			{Network: "tcp", Address: "[2001:db8::1]:601"},
			{Network: "udp", Address: "192.0.2.2:514"},
		}},
		{"syslog.anywhere", d.Syslog.Anywhere, true},
		{"syslog.facility", d.Syslog.FacilityCode, uint8(19)},
		{"syslog.enterprise", d.Syslog.Enterprise, int64(4294967295)},
		{"syslog.host", d.Syslog.Host, "site-a"},
		{"syslog.bytes", d.Syslog.Bytes, 480},
		{"syslog.repeat", d.Syslog.Repeat, 4096},
		{"syslog.ca", d.Syslog.TLS.RootCAs.Equal(pool), true},
		{"syslog.cert", d.Syslog.TLS.Certificates[0].Certificate, [][]byte{router.Raw}},
		{"syslog.server_name", d.Syslog.TLS.ServerName, "collector.example"},
		{"minimum TLS version", d.Syslog.TLS.MinVersion, uint16(tls.VersionTLS12)},
		{"syslog.queue.records", d.Syslog.Queue.Records, 512},
		{"syslog.queue.bytes", d.Syslog.Queue.Bytes, 131072},
		{"syslog.queue.flush", d.Syslog.Queue.Flush, 2 * time.Second},
		{"syslog.spool.folder", d.Syslog.Spool.Folder, "spool"},
		{"syslog.spool.bytes", d.Syslog.Spool.Bytes, int64(2097152)},
		{"syslog.spool.replay", d.Syslog.Spool.Replay, 100},
		{"audit rules", d.Audit.Rules, audit.Rules{
			Kinds: []string{"answer", "DRAIN", "list"}, Outcomes: []string{"refused", "Failed"}, Reads: 0.25,
		}},
		{"audit.keys", d.Audit.LoadedKeys, audit.Keys{
			{Name: "key-2", Secret: [32]byte([]byte(" !\"#$%&'()*+,-./0123456789:;<=>?"))},
			{Name: "key-1", Secret: [32]byte{
				0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15,
				16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31,
			}},
		}},
		{"audit.heads", d.Audit.Heads, 32},
		{"audit.heads_time", d.Audit.HeadsTime, 3 * time.Second},
		{"store.name", d.Store.Name, "site-a"},
		{"store.folder", d.Store.Folder, "store"},
		{"store.ca", d.Store.CA, "store-ca.pem"},
		{"store.cert", d.Store.Cert, "store.pem"},
		{"store.key", d.Store.Key, "store-key.pem"},
		{"store.peers", d.Store.Peers, map[string]string{
			"site-a": "192.0.2.11:7000", "site-b": "192.0.2.12:7000", "site-c": "192.0.2.13:7000",
		}},
	})
}

func TestGoldenDeployAddress(t *testing.T) {
	d, err := config.LoadDeploy(filepath.Join("testdata", "limeladder-address.toml"))
	if err != nil {
		t.Fatal(err)
	}
	checkValues(t, []decodedValue{
		{"syslog.address", d.Syslog.ParsedCollectors, []syslog.Collector{{Network: "udp", Address: "127.0.0.1:5514"}}},
		{"default facility", d.Syslog.FacilityCode, uint8(3)},
		{"default enterprise number", d.Syslog.Enterprise, int64(32473)},
		{"default message bytes", d.Syslog.Bytes, 2048},
		{"default share of reads", d.Audit.Rules.Reads, 1.0},
	})
}
