package adminapi

import (
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// request is an operator's HTTP request. Its headers and body are not used.
type request struct {
	method string
	path   []string // decoded segments
	query  url.Values
}

// requestError is an error about an invalid request, with the status code of the response.
type requestError struct {
	status int
	text   string
}

// Error returns the text of the response.
func (e *requestError) Error() string { return e.text }

// Errors about invalid requests.
var (
	errMalformed          = &requestError{http.StatusBadRequest, "malformed request"}
	errTooLong            = &requestError{http.StatusRequestEntityTooLarge, "request too long"}
	errUnsupportedVersion = &requestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 only"}
	errLengthRequired     = &requestError{http.StatusLengthRequired, "a body needs a Content-Length"}
)

// statusOf returns the status code of the response to an invalid request.
func statusOf(err error) int {
	var unreadable *requestError
	if errors.As(err, &unreadable) {
		return unreadable.status
	}
	return http.StatusBadRequest
}

// endOfHead separates the request line and headers from the body.
const endOfHead = "\r\n\r\n"

// parseRequest parses a request from the data received so far. complete is false while more data is needed. The body is
// ignored but must be complete too: closing a connection with unread bytes would reset it and cut off the response.
// maxBytes bounds the whole request, including its body.
func parseRequest(data []byte, maxBytes int) (req request, complete bool, err error) {
	data = bytes.TrimLeft(data, "\r\n") // some clients send an extra line break before the request line
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

// checkIncompleteHead returns an error if the data cannot become a valid request. A client that does not speak HTTP
// gets its response after the first line rather than at the timeout.
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

// parseContentLength parses the header lines and returns the length of the body in bytes.
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

// parseRequestLine parses the method, target and version.
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

// isMethod reports whether word is not empty and consists of capital ASCII letters.
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

// parsePath splits a target in origin form or absolute form into decoded path segments.
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
