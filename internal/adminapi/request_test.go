package adminapi

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

var validRequests = []string{
	"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /v1/db-machines/s%2D1/suspend HTTP/1.1\r\nContent-Length: 3\r\n\r\n{ }",
	"\r\nPOST http://r:9600/v1/router/drain?x=1 HTTP/1.0\r\n\r\n",
}

// A truncated request is incomplete at every length but never invalid, and a corrupted request does not crash the
// parser.
func TestParseRequest(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, text := range validRequests {
		for length := range len(text) {
			if _, complete, err := parseRequest([]byte(text[:length]), 4096); complete || err != nil {
				t.Fatalf("%q: got complete %v and error %v, want an incomplete request", text[:length], complete, err)
			}
		}
		if _, complete, err := parseRequest([]byte(text), 4096); !complete || err != nil {
			t.Fatalf("%q: got complete %v and error %v, want a complete request", text, complete, err)
		}
		for range 2000 {
			garbled := []byte(text)
			garbled[rng.IntN(len(garbled))] = byte(rng.IntN(256))
			_, _, _ = parseRequest(garbled, 4096)
		}
	}
}

// Each kind of invalid request has its own error.
func TestParseRequestErrors(t *testing.T) {
	for text, want := range map[string]error{
		"nonsense\r\n":                                  errMalformed,
		"GET / HTTP/2.0\r\n":                            errUnsupportedVersion,
		"GET /%zz HTTP/1.1\r\n":                         errMalformed,
		"GET /?%zz HTTP/1.1\r\n":                        errMalformed,
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n": errMalformed,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":   errMalformed,
		"POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n":                    errTooLong,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":               errLengthRequired,
		"GET / HTTP/1.1\r\n" + strings.Repeat("x: y\r\n", 1000):               errTooLong,
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\nx": errMalformed,
	} {
		if _, _, err := parseRequest([]byte(text), 4096); !errors.Is(err, want) {
			t.Errorf("%.60q: got error %v, want %v", text, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range validRequests {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req, complete, err := parseRequest(data, 1024)
		if !complete {
			return
		}
		if err != nil || req.method == "" || len(req.path) == 0 {
			t.Fatalf("got the complete request %+v and error %v, want a method, a path and no error", req, err)
		}
	})
}
