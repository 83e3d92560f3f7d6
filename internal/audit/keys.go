package audit

import (
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// Key is a secret that chains records, under a name that is no secret.
type Key struct {
	Name   string
	Secret [32]byte
}

// Keys are the keys of a key file, the one in force first.
type Keys []Key

// nameMost bounds a key's name: the head of a chain carries it, whatever the size limit.
const nameMost = 24

// ParseKeys reads a key file: current names the key in force, [keys] holds each as 64 hexadecimal digits. Old keys stay
// in it for as long as files that they chain are to be proved. No error shows a secret.
func ParseKeys(text []byte) (Keys, error) {
	var f struct {
		Current string            `toml:"current"`
		Keys    map[string]string `toml:"keys"`
	}
	meta, err := toml.Decode(string(text), &f)
	if err != nil {
		return nil, errors.New("the key file is no TOML")
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return nil, fmt.Errorf("%s: no such field", extra[0])
	}
	if _, ok := f.Keys[f.Current]; !ok {
		return nil, fmt.Errorf("current: %q is none of [keys]", f.Current)
	}
	var keys Keys
	for name, secret := range f.Keys {
		k := Key{Name: name}
		if name == "" || len(name) > nameMost {
			return nil, fmt.Errorf("keys: the name %q has to have 1 to %d bytes", name, nameMost)
		}
		for _, c := range []byte(name) {
			if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' || c == ']' || c == '%' {
				return nil, fmt.Errorf("keys: the name %q has to be of letters, digits and - . _", name)
			}
		}
		if len(secret) != 64 {
			return nil, fmt.Errorf("keys.%s: not of 64 hexadecimal digits", name)
		}
		if _, err := hex.Decode(k.Secret[:], []byte(secret)); err != nil {
			return nil, fmt.Errorf("keys.%s: not of 64 hexadecimal digits", name)
		}
		keys = append(keys, k)
		if name == f.Current {
			keys[0], keys[len(keys)-1] = keys[len(keys)-1], keys[0]
		}
	}
	return keys, nil
}
