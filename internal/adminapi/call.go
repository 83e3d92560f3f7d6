package adminapi

import (
	"bytes"
	"errors"
	"net/url"
	"strconv"
	"strings"
)

// call is one call of an operator.
type call struct {
	method string
	path   []string // its parts, decoded
	query  url.Values
}

// What is wrong with a call that cannot be read.
var (
	errForm    = errors.New("malformed request")
	errLong    = errors.New("request too long")
	errVersion = errors.New("HTTP/1.1 only")
	errLength  = errors.New("a body needs a Content-Length")
)

// parse reads a request of HTTP/1.1 that has come so far; whole is false when more has to come. Its body says nothing
// here, but must have come too: closing on what is not read would cut the answer. most bounds head and body together.
func parse(p []byte, most int) (c call, whole bool, err error) {
	p = bytes.TrimLeft(p, "\r\n") // some clients end the request before with a line too many
	end, sep := bytes.Index(p, []byte("\r\n\r\n")), 4
	if end < 0 {
		if len(p) >= most {
			return c, false, errLong
		}
		// Guards against a caller that does not speak HTTP: it is told at its first line, not when its time is up.
		if line, _, ok := bytes.Cut(p, []byte("\r\n")); ok {
			_, err = start(string(line))
		}
		return c, false, err
	}
	lines := strings.Split(string(p[:end]), "\r\n")
	if c, err = start(lines[0]); err != nil {
		return c, false, err
	}
	length := -1
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return c, false, errForm
		}
		switch value = strings.TrimSpace(value); strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 && int(n) != length {
				return c, false, errForm
			}
			length = int(n)
		case "transfer-encoding":
			return c, false, errLength
		}
	}
	if length = max(0, length); end+sep+length > most {
		return c, false, errLong
	}
	return c, len(p) >= end+sep+length, nil
}

// start reads the request line.
func start(line string) (c call, err error) {
	f := strings.Split(line, " ")
	if len(f) != 3 || f[0] == "" || strings.Trim(f[0], "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return c, errForm
	}
	switch {
	case f[2] == "HTTP/1.1", f[2] == "HTTP/1.0":
	case strings.HasPrefix(f[2], "HTTP/"):
		return c, errVersion
	default:
		return c, errForm
	}
	target, query, _ := strings.Cut(f[1], "?")
	if c.query, err = url.ParseQuery(query); err != nil {
		return c, errForm
	}
	if rest, ok := strings.CutPrefix(target, "http://"); ok { // the absolute form
		_, path, _ := strings.Cut(rest, "/")
		target = "/" + path
	}
	if !strings.HasPrefix(target, "/") {
		return c, errForm
	}
	for _, part := range strings.Split(target[1:], "/") {
		if part, err = url.PathUnescape(part); err != nil {
			return c, errForm
		}
		c.path = append(c.path, part)
	}
	c.method = f[0]
	return c, nil
}
