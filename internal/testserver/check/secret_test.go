package check

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"testing"
)

// Whatever stands around a secret, and however it is written, it is found; other bytes are not.
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
				t.Errorf("not found behind %d bytes in %s", before, encoded)
			}
			if HoldsSecret(encoded, other[:]) {
				t.Errorf("another one found behind %d bytes in %s", before, encoded)
			}
			encoded = []byte(base64.StdEncoding.EncodeToString(encoded))
		}
	}
	for _, format := range []string{"%v", "%+v", "%#v", "%x", "%X", "%s"} {
		if text := fmt.Sprintf(format, secret[:]); !HoldsSecret([]byte(text), secret[:]) {
			t.Errorf("%s: not found in %s", format, text)
		}
	}
}
