package main

import (
	"encoding/hex"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/testserver/check"
	"limeladder/internal/testserver/collector"
)

// markedSecret returns the secret of the audit key, a byte sequence that occurs nowhere else.
func markedSecret() []byte {
	secret := make([]byte, 32)
	for i := range secret {
		secret[i] = byte(160 + i)
	}
	return secret
}

// requireNoSecretBelow fails the test if a file below a folder, except the key file itself, contains the secret.
func requireNoSecretBelow(t *testing.T, folder string) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || entry.Name() == "keys.toml" {
			return err
		}
		content, err := os.ReadFile(path)
		if err == nil && check.HoldsSecret(content, markedSecret()) {
			t.Errorf("%s contains the secret of the audit key", path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against leaking the secrets of audit keys into the store, the shared folder, the spool, the log, the records
// or the responses to operators: anyone who reads a secret could forge audit records.
func TestSecretsOfAuditKeysStayInTheirFile(t *testing.T) {
	router := newRouterProcess(t, nil)
	records := startCollector(t, collector.Options{Network: "tcp"})
	router.writeDeployFile(fmt.Sprintf("[sites]\nwatch = true\nact = true\n[changeover]\nclasses = [\"job\"]\n"+
		"[store]\nname = \"n1\"\nfolder = %q\n[store.peers]\nn1 = %q\n", router.dir+"/store", freeAddress(t)), records)
	router.writeFile("keys.toml", "current = \"one\"\n[keys]\none = \""+hex.EncodeToString(markedSecret())+"\"\n")
	t.Setenv("LIMELADDER_LOG", "debug")
	router.start()
	router.sendRequests("one", "look", 20, 2500*time.Millisecond)
	router.waitFor("the settings are stored", func() bool {
		content, err := os.ReadFile(router.dir + "/store/log")
		return err == nil && check.HoldsText(content, router.dir+"/keys.toml", 2)
	})
	signalProcess(t, router.cmd, syscall.SIGHUP)
	router.sendRequests("two", "job", 5, 2500*time.Millisecond)
	for _, path := range []string{"readyz", "cells", "sites"} {
		response, err := http.Get("http://" + router.adminAddress + "/v1/" + path)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || check.HoldsSecret(answer, markedSecret()) {
			t.Errorf("GET /v1/%s failed or its response contains the secret: %v, %s", path, err, answer)
		}
	}
	requireNoSecretBelow(t, router.dir)
	router.stop()
	requireNoSecretBelow(t, router.dir)
	if check.HoldsSecret(router.log.Bytes(), markedSecret()) {
		t.Errorf("the log contains the secret of the audit key:\n%s", router.log)
	}
	for _, message := range records.Messages() {
		if check.HoldsSecret(message, markedSecret()) {
			t.Errorf("a record contains the secret of the audit key: %s", message)
		}
	}
}

// Guards against leaving a secret on the disk that an earlier version of the program stored.
func TestStoredSecretIsRemoved(t *testing.T) {
	stored := []byte(`{"Audit":{"Loaded":[{"Name":"k1","Secret":[160,161,162]}]}}`)
	for value, want := range map[string]bool{
		string(stored):              true,
		`{"Audit":{"Loaded":null}}`: false,
		`{"Audit":{}}`:              false,
		`no JSON`:                   false,
	} {
		if holdsSecret(configKeyPrefix+"n1", []byte(value)) != want {
			t.Errorf("holdsSecret for %s is not %v", value, want)
		}
	}
	if holdsSecret(endpointListKey, stored) {
		t.Error("holdsSecret is true for the key of the endpoint list")
	}
}
