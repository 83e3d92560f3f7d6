package audit

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"

	"github.com/BurntSushi/toml"
)

// Key is a secret that chains records, under a name that is no secret.
type Key struct {
	Name   string
	Secret Secret
}

// Secret is the secret of a key. However it is printed, logged or encoded, it is shown as redacted: whoever has it can
// forge audit records.
type Secret [32]byte

// redacted stands for a secret.
const redacted = "redacted"

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// Format implements fmt.Formatter, for every verb.
func (Secret) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, redacted) }

// LogValue implements slog.LogValuer.
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalText implements encoding.TextMarshaler, which JSON and TOML use.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalBinary implements encoding.BinaryMarshaler, which gob uses.
func (Secret) MarshalBinary() ([]byte, error) { return []byte(redacted), nil }

// Keys are the keys of a key file, the one in force first.
type Keys []Key

// MarshalJSON implements json.Marshaler. Nothing of a key file is encoded, not even its names.
func (Keys) MarshalJSON() ([]byte, error) { return []byte("null"), nil }

// maxKeyNameLength bounds a key's name: the head of a chain carries it, whatever the size limit.
const maxKeyNameLength = 24

// secretDigits is the length of a secret in a key file, in hexadecimal digits.
const secretDigits = 64

// errNotTOML stands for every syntax error, since the decoder's own error could show a secret.
var errNotTOML = errors.New("the key file is no TOML")

// ParseKeys reads a key file: current names the key in force, [keys] holds each as 64 hexadecimal digits. Old keys stay
// in it for as long as files that they chain are to be proved. No error shows a secret.
func ParseKeys(text []byte) (Keys, error) {
	var file struct {
		Current string            `toml:"current"`
		Keys    map[string]string `toml:"keys"`
	}
	meta, err := toml.Decode(string(text), &file)
	if err != nil {
		return nil, errNotTOML
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return nil, fmt.Errorf("%s: no such field", extra[0])
	}
	if _, ok := file.Keys[file.Current]; !ok {
		return nil, fmt.Errorf("current: %q is none of [keys]", file.Current)
	}
	var keys Keys
	for name, secret := range file.Keys {
		key, err := parseKey(name, secret)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
		if name == file.Current {
			keys[0], keys[len(keys)-1] = keys[len(keys)-1], keys[0]
		}
	}
	return keys, nil
}

// parseKey checks and reads one key of a key file.
func parseKey(name, secret string) (Key, error) {
	if name == "" || len(name) > maxKeyNameLength {
		return Key{}, fmt.Errorf("keys: the name %q has to have 1 to %d bytes", name, maxKeyNameLength)
	}
	if strings.ContainsFunc(name, isForbiddenInKeyName) {
		return Key{}, fmt.Errorf("keys: the name %q has to be of letters, digits and - . _", name)
	}
	key := Key{Name: name}
	if len(secret) != secretDigits {
		return Key{}, fmt.Errorf("keys.%s: not of %d hexadecimal digits", name, secretDigits)
	}
	if _, err := hex.Decode(key.Secret[:], []byte(secret)); err != nil {
		return Key{}, fmt.Errorf("keys.%s: not of %d hexadecimal digits", name, secretDigits)
	}
	return key, nil
}

// isForbiddenInKeyName reports whether a character would need an escape in the parameter of a message.
func isForbiddenInKeyName(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"\]%`, c)
}
