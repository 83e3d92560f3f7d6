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
		{"put into a file", inFile("d.toml", &FieldError{Field: "a", Reason: reason}), "d.toml: a: missing"},
		{"put into an object", inObject("settings", &FieldError{Field: "a", Reason: reason}), "settings.a: missing"},
		{"another error of an object", inObject("settings", reason), "settings: missing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.err.Error(); got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
			if !errors.Is(test.err, reason) {
				t.Errorf("%v does not wrap its reason", test.err)
			}
		})
	}
}

// A caller tells a file that is missing from one that holds something else.
func TestFieldErrorWrapsItsReason(t *testing.T) {
	getenv := func(name string) string { return map[string]string{"EDGE_CONFIG": "none.json"}[name] }
	if _, err := Load(getenv); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v is not taken for a missing file", err)
	}
}
