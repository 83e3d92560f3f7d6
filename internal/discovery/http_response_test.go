package discovery

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

const (
	responseWithLength = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	responseInChunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n" +
		"2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n"
	responseBusy = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nConnection: close\r\n\r\n"
)

// feedResponse parses a text in parts whose sizes nextSize returns, given the number of bytes left.
func feedResponse(text string, nextSize func(left int) int) (response *httpResponse, complete bool, err error) {
	response = &httpResponse{maxHeaderBytes: 512, maxBodyBytes: 4096}
	for rest := []byte(text); len(rest) > 0 && !complete && err == nil; {
		size := nextSize(len(rest))
		complete, err = response.feed(rest[:size])
		rest = rest[size:]
	}
	return response, complete, err
}

func inOnePart(left int) int { return left }

func byteByByte(int) int { return 1 }

func TestResponseInRandomParts(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	inRandomParts := func(left int) int { return 1 + rng.IntN(left) }
	for name, test := range map[string]struct {
		text       string
		wantStatus int
		wantBody   string
		wantClose  bool
	}{
		"with a length": {responseWithLength, 200, "hello", false},
		"in chunks":     {responseInChunks, 200, "hello", false},
		"busy":          {responseBusy, 503, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			for range 200 {
				response, complete, err := feedResponse(test.text, inRandomParts)
				if !complete || err != nil {
					t.Fatalf("complete %v, error %v; want a complete response", complete, err)
				}
				if response.status != test.wantStatus || string(response.body) != test.wantBody {
					t.Fatalf("unexpected status %d or body %q", response.status, response.body)
				}
				if response.closesConnection != test.wantClose {
					t.Fatalf("closesConnection is %v, want the opposite", response.closesConnection)
				}
			}
		})
	}
}

func TestGarbledResponseDoesNotPanic(_ *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	inRandomParts := func(left int) int { return 1 + rng.IntN(left) }
	for _, text := range []string{responseWithLength, responseInChunks, responseBusy} {
		for range 200 {
			garbled := []byte(text)
			for range 1 + rng.IntN(6) {
				garbled[rng.IntN(len(garbled))] = byte(rng.Uint32())
			}
			_, _, _ = feedResponse(string(garbled), inRandomParts)
		}
	}
}

func TestMalformedResponses(t *testing.T) {
	for text, want := range map[string]string{
		"SMTP ready\r\n\r\n":                                                    `status line "SMTP ready"`,
		"HTTP/1.1 abc\r\n\r\n":                                                  `status "abc"`,
		"HTTP/1.1 99\r\n\r\n":                                                   `status "99"`,
		"HTTP/1.1 200 OK\r\nnothing\r\n\r\n":                                    `header line "nothing"`,
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n":                          `Content-Length "x"`,
		"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n":                       `Content-Length "5000"`,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n":                    `Transfer-Encoding "gzip"`,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab":                        "bytes after the body",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxy\r\n":           `chunk size "xy"`,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc":         "chunk does not end with CRLF",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 600):                     "header is too long",
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 5000):                   "body is too long",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + longChunkLine: "chunk line is too long",
	} {
		_, complete, err := feedResponse(text, inOnePart)
		if complete || !errors.Is(err, errMalformedResponse) {
			t.Errorf("%.60q: complete %v, error %v; want errMalformedResponse", text, complete, err)
			continue
		}
		if got := err.Error(); got != "malformed HTTP response: "+want {
			t.Errorf("%.60q: unexpected error text %q", text, got)
		}
	}
}

var longChunkLine = strings.Repeat("0", 600)

// The end of a response body is found by its framing: length, chunks, status or the end of the connection.
func TestResponseFraming(t *testing.T) {
	for name, test := range map[string]struct {
		text         string
		wantComplete bool
		wantAtClose  bool // complete when the connection ends
	}{
		"no content":               {"HTTP/1.1 204 No Content\r\n\r\n", true, false},
		"not modified":             {"HTTP/1.1 304 Not Modified\r\n\r\n", true, false},
		"no length":                {"HTTP/1.1 200 OK\r\n\r\nhello", false, true},
		"half a header":            {"HTTP/1.1 200 OK\r\n", false, false},
		"half a body":              {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", false, false},
		"the first of two lengths": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nhe", true, false},
		"chunks and a length": {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\n", true, false},
		"half a trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y", false, false},
		"a trailer":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			response, complete, err := feedResponse(test.text, inOnePart)
			if err != nil || complete != test.wantComplete || response.completeAtClose() != test.wantAtClose {
				t.Errorf("unexpected result: complete %v, complete at close %v, error %v",
					complete, response.completeAtClose(), err)
			}
		})
	}
}

func FuzzResponse(f *testing.F) {
	f.Add(responseWithLength)
	f.Add(responseInChunks)
	f.Add(responseBusy)
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		whole, wholeComplete, wholeErr := feedResponse(text, inOnePart)
		parts, partsComplete, partsErr := feedResponse(text, byteByByte)
		if len(whole.body) > 4096 || len(parts.body) > 4096 {
			t.Fatalf("bodies of %d and %d bytes, want at most 4096", len(whole.body), len(parts.body))
		}
		if wholeComplete && partsComplete && string(whole.body) != string(parts.body) {
			t.Fatalf("body %q in one part, %q byte by byte, want the same; errors %v, %v",
				whole.body, parts.body, wholeErr, partsErr)
		}
	})
}
