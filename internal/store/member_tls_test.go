package store

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"limeladder/internal/store/fsm"
	"limeladder/internal/testserver/collector"
)

// issueFiles writes the TLS files of a member: a certificate for dnsName, its key, and the trusted authorities.
func issueFiles(
	t *testing.T, dir, member, dnsName string, issuer *collector.Authority, trusted ...*collector.Authority,
) TLSFiles {
	t.Helper()
	_, cert, key, err := issuer.Issue(dnsName, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	var authorities []byte
	for _, authority := range trusted {
		authorities = append(authorities, authority.PEM...)
	}
	files := TLSFiles{
		CA:   filepath.Join(dir, member+".ca"),
		Cert: filepath.Join(dir, member+".cert"),
		Key:  filepath.Join(dir, member+".key"),
	}
	for path, content := range map[string][]byte{files.CA: authorities, files.Cert: cert, files.Key: key} {
		writeFile(t, path+".new", content)
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func newAuthority(t *testing.T) *collector.Authority {
	t.Helper()
	authority, err := collector.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// issueCertificate returns a certificate for dnsName and its key.
func issueCertificate(t *testing.T, dir, name, dnsName string, issuer *collector.Authority) tls.Certificate {
	t.Helper()
	files := issueFiles(t, dir, name, dnsName, issuer, issuer)
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

// checkCommits commits a new value at each member and checks that all members receive it.
func checkCommits(t *testing.T, c *cluster, value string) {
	t.Helper()
	for name, s := range c.members {
		change := fsm.Change{ID: value + name, Ops: []fsm.Op{{Key: "n", Value: []byte(value)}}}
		eventually(t, value+": "+name+" commits", func() bool {
			result, err := s.Commit(change)
			return err == nil && result.Applied()
		})
	}
	for name, s := range c.members {
		eventuallyHas(t, name, s, "n", value)
	}
}

// acceptsForward reports whether the member at the other end of conn accepts a forwarded write.
func acceptsForward(t *testing.T, conn net.Conn) bool {
	t.Helper()
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write([]byte{protocolForward, 0, 0, 0, 2, '{', '}'}); err != nil {
		return false
	}
	answer, err := io.ReadAll(conn)
	if err != nil && len(answer) == 0 {
		return false
	}
	return len(answer) > 0 && answer[0] == forwardAccepted
}

// waitForReload waits until the members check their files for changes again.
func waitForReload() { time.Sleep(reloadInterval + 100*time.Millisecond) }

// checkNonMembersRejected checks that the cluster does not respond to clients that are not members. trusted is the
// authority that the cluster trusts.
func checkNonMembersRejected(t *testing.T, c *cluster, dir string, trusted *collector.Authority) {
	t.Helper()
	for _, test := range []struct {
		name  string
		certs []tls.Certificate
	}{
		{"no certificate", nil},
		{"certificate of another authority", []tls.Certificate{
			issueCertificate(t, dir, "x", "m1", newAuthority(t)),
		}},
		{"certificate for a name that is not a member's", []tls.Certificate{
			issueCertificate(t, dir, "y", "stranger", trusted),
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := &tls.Config{InsecureSkipVerify: true, Certificates: test.certs}
			conn, err := net.Dial("tcp", c.addresses["m0"])
			if err != nil {
				t.Fatal(err)
			}
			secured := tls.Client(conn, config)
			defer secured.Close()
			secured.SetDeadline(time.Now().Add(3 * time.Second))
			// The write may succeed, because the member rejects the certificate after the client has finished its handshake.
			_, _ = secured.Write([]byte{protocolForward, 0, 0, 0, 2, '{', '}'})
			if _, err := io.ReadFull(secured, make([]byte, 1)); err == nil {
				t.Error("the member responded, want the connection to be rejected")
			}
		})
	}
	t.Run("unencrypted connection", func(t *testing.T) {
		conn, err := net.Dial("tcp", c.addresses["m0"])
		if err != nil {
			t.Fatal(err)
		}
		if acceptsForward(t, conn) {
			t.Error("the member accepted a write over an unencrypted connection")
		}
	})
}

// Members that authenticate each other commit changes, also while the authority and the certificates are replaced one
// after the other without a restart. Connections from non-members are rejected.
func TestMembersAuthenticateEachOther(t *testing.T) {
	dir := t.TempDir()
	old := newAuthority(t)
	next := newAuthority(t)
	c := newCluster(t, 0, 64)
	c.addresses = peers(t, 3)
	for name := range c.addresses {
		c.start(t, name, issueFiles(t, dir, name, name, old, old))
	}
	checkCommits(t, c, "with the old authority")

	t.Run("non-members", func(t *testing.T) { checkNonMembersRejected(t, c, dir, old) })

	// First all members trust both authorities, then each gets its new certificate, then the old authority is removed.
	for name := range c.addresses {
		issueFiles(t, dir, name, name, old, old, next)
	}
	waitForReload()
	checkCommits(t, c, "with both authorities")
	for name := range c.addresses {
		issueFiles(t, dir, name, name, next, old, next)
		waitForReload()
		checkCommits(t, c, "with a new certificate for "+name)
	}
	for name := range c.addresses {
		issueFiles(t, dir, name, name, next, next)
	}
	waitForReload()
	checkCommits(t, c, "with only the new authority")

	otherMember := issueCertificate(t, dir, "z", "m2", next).Leaf
	if otherMember == nil {
		t.Fatal("the certificate of m2 has no leaf")
	}
	if err := c.members["m1"].stream.tls.checkMember(otherMember, c.addresses["m1"]); err == nil {
		t.Error("the certificate of m2 is accepted at the address of m1, want an error")
	}

	writeFile(t, filepath.Join(dir, "m1.key"), []byte("half"))
	waitForReload()
	checkCommits(t, c, "with an invalid key file")
}

// The TLS files are checked at the start, and each fault is reported in one line that names the setting.
func TestInvalidTLSFiles(t *testing.T) {
	addresses := peers(t, 1)
	dir := t.TempDir()
	authority := newAuthority(t)
	good := issueFiles(t, dir, "good", "m0", authority, authority)
	otherMember := issueFiles(t, dir, "wrong", "m7", authority, authority)
	missing := filepath.Join(dir, "none")
	for _, test := range []struct {
		name  string
		files TLSFiles
		want  string
	}{
		{"no authority", TLSFiles{Cert: good.Cert, Key: good.Key}, "store.ca: "},
		{"certificate is missing", TLSFiles{CA: good.CA, Cert: missing, Key: good.Key}, "store.cert: "},
		{"key is missing", TLSFiles{CA: good.CA, Cert: good.Cert, Key: missing}, "store.key: "},
		{"authority is a key", TLSFiles{CA: good.Key, Cert: good.Cert, Key: good.Key}, "store.ca: no certificate"},
		{"key of another certificate", TLSFiles{CA: good.CA, Cert: good.Cert, Key: otherMember.Key}, "store.cert: tls"},
		{"certificate of another member", otherMember, "store.cert: DNS names of the certificate do not include m0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := Config{
				Name: "m0", Folder: t.TempDir(), Peers: addresses, LogEntries: 8, QueuedWrites: 8, TLS: test.files,
			}
			_, err := Open(config, discardLog)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that contains %q", err, test.want)
			}
		})
	}
}
