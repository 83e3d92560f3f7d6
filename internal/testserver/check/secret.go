package check

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
)

// base64Layers is how often a secret may be encoded in base64, one over the other: a value in an entry of a log.
const base64Layers = 2

// HoldsSecret says whether content holds a secret in any form in which Go's packages write bytes: as they are, in
// hexadecimal, as numbers, or as a string of JSON, each of them also in base64.
func HoldsSecret(content, secret []byte) bool {
	numbers := strings.Trim(fmt.Sprintf("%d", secret), "[]")
	quoted, _ := json.Marshal(string(secret)) // a string can always be encoded
	forms := []string{
		string(secret),
		hex.EncodeToString(secret),
		strings.ToUpper(hex.EncodeToString(secret)),
		strings.TrimSuffix(strings.TrimPrefix(fmt.Sprintf("%#v", secret), "[]byte{"), "}"),
		numbers,
		strings.ReplaceAll(numbers, " ", ","),
		strings.ReplaceAll(numbers, " ", ", "),
		strings.Trim(string(quoted), `"`),
	}
	for _, form := range forms {
		if HoldsText(content, form, base64Layers) {
			return true
		}
	}
	return false
}

// HoldsText says whether content holds a text, as it is or encoded in base64 up to so many times. Of an encoded text
// the part is looked for that does not depend on what stands around it.
func HoldsText(content []byte, text string, times int) bool {
	if bytes.Contains(content, []byte(text)) {
		return true
	}
	if times == 0 {
		return false
	}
	const group = 3 // bytes that four digits of base64 stand for
	for skipped := range group {
		whole := text[skipped : skipped+(len(text)-skipped)/group*group]
		if HoldsText(content, base64.StdEncoding.EncodeToString([]byte(whole)), times-1) {
			return true
		}
	}
	return false
}
