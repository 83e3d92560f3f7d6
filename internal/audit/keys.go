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

// Key is a secret key for the hashes that chain the records, with a name that is not secret.
type Key struct {
	Name   string
	Secret Secret
}

// Secret is the secret of a key. Anyone who has it can forge audit records, so it appears as "redacted" when it is
// printed, logged or encoded.
type Secret [32]byte

// redacted is the text that is shown instead of a secret.
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

// Keys are the keys of a key file. The current key is the first one.
type Keys []Key

// MarshalJSON implements json.Marshaler. It encodes null, so that not even the names of the keys are shown.
func (Keys) MarshalJSON() ([]byte, error) { return []byte("null"), nil }

// maxKeyNameLength is the maximum length of a key's name in bytes. It is bounded because the head of a chain always
// carries the name, even where the size limit of messages is small.
const maxKeyNameLength = 24

// secretDigits is the length of a secret in a key file, in hexadecimal digits.
const secretDigits = 64

// errNotTOML replaces every error of the TOML decoder, whose own message could show a secret.
var errNotTOML = errors.New("the key file is not valid TOML")

// ParseKeys parses a key file: current is the name of the current key, and [keys] holds each key as 64 hexadecimal
// digits. An old key has to stay in the file as long as records that are chained with it are to be verified. No error
// shows a secret.
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
		return nil, fmt.Errorf("%s: unknown field", extra[0])
	}
	if _, ok := file.Keys[file.Current]; !ok {
		return nil, fmt.Errorf("current: key %q is not in [keys]", file.Current)
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

// parseKey parses and validates one key of a key file.
func parseKey(name, secret string) (Key, error) {
	if name == "" || len(name) > maxKeyNameLength {
		return Key{}, fmt.Errorf("keys: key name %q must have 1 to %d bytes", name, maxKeyNameLength)
	}
	if strings.ContainsFunc(name, isForbiddenInKeyName) {
		return Key{}, fmt.Errorf("keys: key name %q must consist of letters, digits, - . and _", name)
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

// isForbiddenInKeyName reports whether a character is not allowed in a key's name, because a message's parameter would
// have to escape it.
func isForbiddenInKeyName(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"\]%`, c)
}
