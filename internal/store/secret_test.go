package store

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
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

// vouch writes a member's files.
func vouch(t *testing.T, dir, name string, as string, issuer *collector.Authority, cas ...*collector.Authority) Files {
	t.Helper()
	_, cert, key, err := issuer.Issue(as, time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	var ca []byte
	for _, a := range cas {
		ca = append(ca, a.PEM...)
	}
	f := Files{CA: filepath.Join(dir, name+".ca"), Cert: filepath.Join(dir, name+".cert"), Key: filepath.Join(dir, name+".key")}
	for file, p := range map[string][]byte{f.CA: ca, f.Cert: cert, f.Key: key} {
		if err := os.WriteFile(file+".new", p, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func authority(t *testing.T) *collector.Authority {
	t.Helper()
	a, err := collector.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Members that know each other work, and go on while authority and certificates change under them, one after the other and
// without a restart. Whoever is not one of them gets nowhere.
func TestMembersKnowEachOther(t *testing.T) {
	addrs, dir := peers(t, 3), t.TempDir()
	old, next, other := authority(t), authority(t), authority(t)
	all := map[string]*Store{}
	for name := range addrs {
		f := vouch(t, dir, name, name, old, old)
		s, err := Open(Config{Name: name, Folder: filepath.Join(dir, name), Peers: addrs, Entries: 64, Queue: 64, Secret: f}, quiet)
		if err != nil {
			t.Fatal(err)
		}
		all[name] = s
		defer s.Close()
	}
	n := 0
	commit := func(what string) {
		t.Helper()
		for name, s := range all {
			n++
			eventually(t, what+": "+name+" commits", func() bool {
				r, err := s.Commit(fsm.Change{ID: fmt.Sprint(n), Ops: []fsm.Op{{Key: "n", Value: []byte(fmt.Sprint(n))}}})
				return err == nil && r.Fault == ""
			})
		}
		for name, s := range all {
			eventually(t, what+": "+name+" has it", has(s, "n", fmt.Sprint(n)))
		}
	}
	commit("at first")

	// In the clear, without a certificate, with another authority's, with one that is no member's.
	file := func(name, as string, a *collector.Authority) tls.Certificate {
		f := vouch(t, dir, name, as, a, a)
		c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for what, certs := range map[string][]tls.Certificate{"nothing": nil, "another authority's": {file("x", "m1", other)}, "a stranger's": {file("y", "stranger", old)}} {
		c, err := net.Dial("tcp", addrs["m0"])
		if err != nil {
			t.Fatal(err)
		}
		x := tls.Client(c, &tls.Config{InsecureSkipVerify: true, Certificates: certs})
		x.SetDeadline(time.Now().Add(3 * time.Second))
		x.Write([]byte{isWrite, 0, 0, 0, 2, '{', '}'})
		if _, err := io.ReadFull(x, make([]byte, 1)); err == nil {
			t.Errorf("%s: taken", what)
		}
		x.Close()
	}
	if c, err := net.Dial("tcp", addrs["m0"]); err == nil {
		c.SetDeadline(time.Now().Add(3 * time.Second))
		c.Write([]byte{isWrite, 0, 0, 0, 2, '{', '}'})
		if p, _ := io.ReadAll(c); len(p) > 0 && p[0] == 1 {
			t.Error("in the clear: taken")
		}
		c.Close()
	}

	// Both authorities are known everywhere, then each member gets its new certificate, then the old authority goes.
	for name := range all {
		vouch(t, dir, name, name, old, old, next)
	}
	time.Sleep(lookAgain + 100*time.Millisecond)
	commit("with both authorities")
	for name := range all {
		vouch(t, dir, name, name, next, old, next)
		time.Sleep(lookAgain + 100*time.Millisecond)
		commit("while " + name + " has changed")
	}
	for name := range all {
		vouch(t, dir, name, name, next, next)
	}
	time.Sleep(lookAgain + 100*time.Millisecond)
	commit("with the new one alone")
	s := all["m1"].stream.secret
	if err := s.known(mustLeaf(t, file("z", "m2", next)), addrs["m1"]); err == nil {
		t.Error("one member is taken for another")
	}
	// What can't be read changes nothing.
	os.WriteFile(filepath.Join(dir, "m1.key"), []byte("half"), 0o600)
	time.Sleep(lookAgain + 100*time.Millisecond)
	commit("with a broken file")
}

func mustLeaf(t *testing.T, c tls.Certificate) *x509.Certificate {
	t.Helper()
	if c.Leaf == nil {
		t.Fatal("no leaf")
	}
	return c.Leaf
}

// What members are to know each other by is checked at the start, each in one line that names the field.
func TestBadSecrets(t *testing.T) {
	addrs, dir := peers(t, 1), t.TempDir()
	a := authority(t)
	good := vouch(t, dir, "good", "m0", a, a)
	wrong := vouch(t, dir, "wrong", "m7", a, a)
	for want, f := range map[string]Files{"store.ca: ": {Cert: good.Cert, Key: good.Key}, "store.cert: ": {CA: good.CA, Cert: dir + "/none", Key: good.Key}, "store.key: ": {CA: good.CA, Cert: good.Cert, Key: dir + "/none"},
		"store.ca: no certificate": {CA: good.Key, Cert: good.Cert, Key: good.Key}, "store.cert: tls": {CA: good.CA, Cert: good.Cert, Key: wrong.Key}, "store.cert: it is not for m0": wrong} {
		_, err := Open(Config{Name: "m0", Folder: t.TempDir(), Peers: addrs, Entries: 8, Queue: 8, Secret: f}, quiet)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", want, err)
		}
	}
}
