package config

import (
	"errors"
	"io/fs"
	"testing"
)

func TestFieldErrorText(t *testing.T) {
	reason := errors.New("missing")
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"field of EDGE_CONFIG", &FieldError{Field: "listen", Reason: reason}, "listen: missing"},
		{"EDGE_CONFIG as a whole", &FieldError{Reason: reason}, ": missing"},
		{"field of a file", &FieldError{File: "d.toml", Field: "listen", Reason: reason}, "d.toml: listen: missing"},
		{"file as a whole", &FieldError{File: "d.toml", Reason: reason}, "d.toml: missing"},
		{"inFile", inFile("d.toml", &FieldError{Field: "a", Reason: reason}), "d.toml: a: missing"},
		{"inObject", inObject("settings", &FieldError{Field: "a", Reason: reason}), "settings.a: missing"},
		{"inObject with another error", inObject("settings", reason), "settings: missing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.err.Error(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
			if !errors.Is(test.err, reason) {
				t.Errorf("got error %v, want one that wraps its reason", test.err)
			}
		})
	}
}

// Callers distinguish a missing file from an invalid one by errors.Is.
func TestFieldErrorWrapsItsReason(t *testing.T) {
	getenv := func(name string) string { return map[string]string{"EDGE_CONFIG": "none.json"}[name] }
	if _, err := Load(getenv); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("got error %v, want fs.ErrNotExist", err)
	}
}
