package check

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"testing"
)

// HoldsSecret finds a secret in each form and at each offset, and does not find another secret of the same length.
func TestHoldsSecret(t *testing.T) {
	var secret, other [32]byte
	for i := range secret {
		secret[i] = byte(160 + i)
		other[i] = byte(7*i + 3)
	}
	asJSON, err := json.Marshal(map[string]any{"Array": secret, "Slice": secret[:]})
	if err != nil {
		t.Fatal(err)
	}
	for before := range 4 {
		text := fmt.Appendf(nil, "%*s%s", before, "", asJSON)
		encoded := text
		for range base64Layers + 1 {
			if !HoldsSecret(encoded, secret[:]) {
				t.Errorf("secret after %d bytes: not found in %s", before, encoded)
			}
			if HoldsSecret(encoded, other[:]) {
				t.Errorf("secret after %d bytes: found another secret, which is not in %s", before, encoded)
			}
			encoded = []byte(base64.StdEncoding.EncodeToString(encoded))
		}
	}
	for _, format := range []string{"%v", "%+v", "%#v", "%x", "%X", "%s"} {
		if text := fmt.Sprintf(format, secret[:]); !HoldsSecret([]byte(text), secret[:]) {
			t.Errorf("secret written with %s: not found in %s", format, text)
		}
	}
}
