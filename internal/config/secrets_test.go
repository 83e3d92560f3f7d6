package config_test

import (
	"bytes"
	"crypto/ecdsa"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"log/slog"
	"reflect"
	"testing"

	"github.com/BurntSushi/toml"

	"limeladder/internal/audit"
	"limeladder/internal/config"
	"limeladder/internal/testserver/check"
)

// findSecrets returns all secrets that can be reached from settings, by field path.
func findSecrets(t *testing.T, settings any) map[string][]byte {
	t.Helper()
	secrets := map[string][]byte{}
	walkSettings(reflect.ValueOf(settings), "", secrets)
	return secrets
}

func walkSettings(value reflect.Value, path string, secrets map[string][]byte) {
	if value.CanInterface() {
		switch found := value.Interface().(type) {
		case audit.Secret:
			secrets[path] = bytes.Clone(found[:])
			return
		case *ecdsa.PrivateKey:
			key, _ := found.Bytes() // cannot fail: the test's keys use a standard curve
			secrets[path] = key
			return
		}
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !value.IsNil() {
			walkSettings(value.Elem(), path, secrets)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			walkSettings(value.Field(i), path+"."+value.Type().Field(i).Name, secrets)
		}
	case reflect.Slice, reflect.Array:
		for i := range value.Len() {
			walkSettings(value.Index(i), fmt.Sprintf("%s[%d]", path, i), secrets)
		}
	}
}

// Guards against secrets from key files in settings that are stored, printed or logged.
func TestSecretsAreNeverWritten(t *testing.T) {
	deploy, _, _ := loadGoldenDeploy(t)
	secrets := findSecrets(t, &deploy)
	const auditKeys, privateKeys = 2, 1
	if len(secrets) != auditKeys+privateKeys {
		t.Fatalf("found %d secrets in the settings, want %d", len(secrets), auditKeys+privateKeys)
	}
	written := map[string][]byte{}
	parts := []any{
		deploy, &deploy, deploy.Audit, deploy.Audit.LoadedKeys, deploy.Audit.LoadedKeys[0],
		deploy.Audit.LoadedKeys[0].Secret, deploy.Syslog, &deploy.Syslog, deploy.Syslog.TLS, &deploy.Syslog.TLS,
	}
	for _, part := range parts {
		for name, text := range encodedForms(t, part) {
			written[fmt.Sprintf("%T %s", part, name)] = text
		}
	}
	for path, secret := range secrets {
		for name, text := range written {
			if check.HoldsSecret(text, secret) {
				t.Errorf("secret %s appears in %s: %s", path, name, text)
			}
		}
	}
}

// encodedForms returns a value as printed, logged and encoded by the standard library and the TOML package.
func encodedForms(t *testing.T, value any) map[string][]byte {
	t.Helper()
	forms := map[string][]byte{}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d"} {
		forms[verb] = fmt.Appendf(nil, verb, value)
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Errorf("%T can't be stored: %v", value, err)
	}
	forms["JSON"] = encoded
	var text, lines, objects, binary bytes.Buffer
	_ = toml.NewEncoder(&text).Encode(value) // fails for parts that are not tables
	forms["TOML"] = text.Bytes()
	slog.New(slog.NewTextHandler(&lines, nil)).Info("settings", "value", value)
	forms["log line"] = lines.Bytes()
	slog.New(slog.NewJSONHandler(&objects, nil)).Info("settings", "value", value)
	forms["log object"] = objects.Bytes()
	_ = gob.NewEncoder(&binary).Encode(value) // fails for the functions in tls.Config
	forms["gob"] = binary.Bytes()
	return forms
}

// Settings are stored without their secrets, and otherwise unchanged.
func TestSettingsWithSecretsAreStored(t *testing.T) {
	deploy, _, _ := loadGoldenDeploy(t)
	stored := encodeJSON(t, deploy)
	deploy.Audit.LoadedKeys = nil
	deploy.Syslog.TLS = config.TLSConfig{}
	if without := encodeJSON(t, deploy); !bytes.Equal(stored, without) {
		t.Errorf("stored as\n%s, want\n%s", stored, without)
	}
}
