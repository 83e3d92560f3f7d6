package adminapi

import (
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// request is one call of an operator. Its headers and body mean nothing here.
type request struct {
	method string
	path   []string // the segments, decoded
	query  url.Values
}

// requestError is why a request cannot be read, with the status that answers it.
type requestError struct {
	status int
	text   string
}

// Error returns the text that operators read.
func (e *requestError) Error() string { return e.text }

// The errors of a request that cannot be read.
var (
	errMalformed          = &requestError{http.StatusBadRequest, "malformed request"}
	errTooLong            = &requestError{http.StatusRequestEntityTooLarge, "request too long"}
	errUnsupportedVersion = &requestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 only"}
	errLengthRequired     = &requestError{http.StatusLengthRequired, "a body needs a Content-Length"}
)

// statusOf returns the status that answers a request which cannot be read.
func statusOf(err error) int {
	var unreadable *requestError
	if errors.As(err, &unreadable) {
		return unreadable.status
	}
	return http.StatusBadRequest
}

// endOfHead separates the head of a request from its body.
const endOfHead = "\r\n\r\n"

// parseRequest reads a request from what has arrived so far; complete is false while more has to arrive. The body is
// ignored but must have arrived too, because closing a connection with unread bytes would cut the answer off. maxBytes
// bounds head and body together.
func parseRequest(data []byte, maxBytes int) (req request, complete bool, err error) {
	data = bytes.TrimLeft(data, "\r\n") // some clients end the request before with a line too many
	head, _, found := bytes.Cut(data, []byte(endOfHead))
	if !found {
		return request{}, false, checkIncompleteHead(data, maxBytes)
	}
	requestLine, headers, _ := strings.Cut(string(head), "\r\n")
	req, err = parseRequestLine(requestLine)
	if err != nil {
		return request{}, false, err
	}
	contentLength, err := parseContentLength(headers)
	if err != nil {
		return request{}, false, err
	}
	total := len(head) + len(endOfHead) + contentLength
	if total > maxBytes {
		return request{}, false, errTooLong
	}
	return req, len(data) >= total, nil
}

// checkIncompleteHead rejects what cannot become a request. A caller that does not speak HTTP is answered after its
// first line, not when its time is up.
func checkIncompleteHead(data []byte, maxBytes int) error {
	if len(data) >= maxBytes {
		return errTooLong
	}
	requestLine, _, found := bytes.Cut(data, []byte("\r\n"))
	if !found {
		return nil
	}
	_, err := parseRequestLine(string(requestLine))
	return err
}

// parseContentLength reads the header lines and returns the length of the body.
func parseContentLength(headers string) (int, error) {
	if headers == "" {
		return 0, nil
	}
	const unknown = -1
	length := unknown
	for _, line := range strings.Split(headers, "\r\n") {
		name, value, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return 0, errMalformed
		}
		switch strings.ToLower(name) {
		case "content-length":
			parsed, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
			if err != nil {
				return 0, errMalformed
			}
			if length != unknown && length != int(parsed) {
				return 0, errMalformed
			}
			length = int(parsed)
		case "transfer-encoding":
			return 0, errLengthRequired
		}
	}
	return max(0, length), nil
}

// parseRequestLine reads the method, the target and the version.
func parseRequestLine(line string) (request, error) {
	fields := strings.Split(line, " ")
	if len(fields) != 3 {
		return request{}, errMalformed
	}
	method := fields[0]
	if !isMethod(method) {
		return request{}, errMalformed
	}
	if err := checkVersion(fields[2]); err != nil {
		return request{}, err
	}
	target, rawQuery, _ := strings.Cut(fields[1], "?")
	query, err := url.ParseQuery(rawQuery)
	if err != nil {
		return request{}, errMalformed
	}
	path, err := parsePath(target)
	if err != nil {
		return request{}, err
	}
	return request{method: method, path: path, query: query}, nil
}

// isMethod reports whether a word consists of capital letters.
func isMethod(word string) bool {
	return word != "" && strings.Trim(word, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func checkVersion(version string) error {
	switch {
	case version == "HTTP/1.1", version == "HTTP/1.0":
		return nil
	case strings.HasPrefix(version, "HTTP/"):
		return errUnsupportedVersion
	}
	return errMalformed
}

// parsePath splits a target, in its origin form or its absolute form, into decoded segments.
func parsePath(target string) ([]string, error) {
	if afterScheme, absolute := strings.CutPrefix(target, "http://"); absolute {
		_, path, _ := strings.Cut(afterScheme, "/")
		target = "/" + path
	}
	path, found := strings.CutPrefix(target, "/")
	if !found {
		return nil, errMalformed
	}
	var segments []string
	for _, escaped := range strings.Split(path, "/") {
		segment, err := url.PathUnescape(escaped)
		if err != nil {
			return nil, errMalformed
		}
		segments = append(segments, segment)
	}
	return segments, nil
}
