package check

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
)

// base64Layers is how many nested base64 encodings of a secret are searched for. Two occur where a value that is
// encoded is stored in a log entry that is encoded again.
const base64Layers = 2

// HoldsSecret reports whether content contains secret in any form in which Go's packages write bytes: raw, in
// hexadecimal, as a list of numbers, or as a JSON string, each of them also in base64.
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

// HoldsText reports whether content contains text, either raw or in base64 encodings nested up to times deep. In an
// encoding it searches for the part of text whose digits do not depend on the bytes around text.
func HoldsText(content []byte, text string, times int) bool {
	if bytes.Contains(content, []byte(text)) {
		return true
	}
	if times == 0 {
		return false
	}
	const group = 3 // bytes that four base64 digits encode
	for skipped := range group {
		whole := text[skipped : skipped+(len(text)-skipped)/group*group]
		if HoldsText(content, base64.StdEncoding.EncodeToString([]byte(whole)), times-1) {
			return true
		}
	}
	return false
}
