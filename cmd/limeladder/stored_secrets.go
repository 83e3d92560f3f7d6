package main

import (
	"encoding/json"
	"strings"
)

// holdsSecret reports whether a stored value contains a secret. Earlier versions of the program stored the deploy file
// together with the keys of the audit record.
func holdsSecret(key string, value []byte) bool {
	if !strings.HasPrefix(key, configKeyPrefix) {
		return false
	}
	var deploy struct {
		Audit struct {
			Loaded []json.RawMessage
		}
	}
	return json.Unmarshal(value, &deploy) == nil && len(deploy.Audit.Loaded) > 0
}
