package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// bodyFraming is the way in which the end of a response body is marked.
type bodyFraming uint8

const (
	framedByClose  bodyFraming = iota // ends when the connection is closed
	framedByLength                    // ends after Content-Length bytes
	framedByChunks                    // ends with an empty chunk
)

// The separators within a response.
var (
	crlf      = []byte("\r\n")
	headerEnd = []byte("\r\n\r\n")
)

// httpResponse parses an HTTP/1.1 response from the parts in which it arrives.
type httpResponse struct {
	maxHeaderBytes int
	maxBodyBytes   int

	buffered         []byte // received and not parsed yet
	status           int
	closesConnection bool // the connection can't be reused after this response
	framing          bodyFraming
	contentLength    int
	headerRead       bool
	body             []byte
}

var errMalformedResponse = errors.New("malformed HTTP response")

// feed adds the next received bytes to the response and reports whether the response is complete.
func (r *httpResponse) feed(p []byte) (complete bool, err error) {
	r.buffered = append(r.buffered, p...)
	if !r.headerRead {
		if err := r.readHeader(); err != nil || !r.headerRead {
			return false, err
		}
	}
	switch r.framing {
	case framedByChunks:
		return r.readChunks()
	case framedByLength:
		return r.readBody()
	default:
		return false, r.readUntilClose()
	}
}

// completeAtClose reports whether the end of the connection completes the response.
func (r *httpResponse) completeAtClose() bool { return r.headerRead && r.framing == framedByClose }

// readHeader parses the header if all of it has arrived.
func (r *httpResponse) readHeader() error {
	end := bytes.Index(r.buffered, headerEnd)
	if end < 0 {
		if len(r.buffered) > r.maxHeaderBytes {
			return fmt.Errorf("%w: header is too long", errMalformedResponse)
		}
		return nil
	}
	if err := r.parseHeader(string(r.buffered[:end])); err != nil {
		return err
	}
	r.buffered = r.buffered[end+len(headerEnd):]
	r.headerRead = true
	return nil
}

func (r *httpResponse) parseHeader(text string) error {
	lines := strings.Split(text, "\r\n")
	if err := r.parseStatus(lines[0]); err != nil {
		return err
	}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return fmt.Errorf("%w: header line %.40q", errMalformedResponse, line)
		}
		if err := r.parseField(strings.ToLower(name), strings.TrimSpace(value)); err != nil {
			return err
		}
	}
	if r.status == http.StatusNoContent || r.status == http.StatusNotModified {
		r.framing = framedByLength
		r.contentLength = 0
	}
	if r.framing == framedByClose {
		r.closesConnection = true
	}
	return nil
}

func (r *httpResponse) parseStatus(line string) error {
	fields := strings.SplitN(line, " ", 3)
	isHTTP := fields[0] == "HTTP/1.1" || fields[0] == "HTTP/1.0"
	if len(fields) < 2 || !isHTTP {
		return fmt.Errorf("%w: status line %.40q", errMalformedResponse, line)
	}
	status, err := strconv.Atoi(fields[1])
	if err != nil || status < 100 || status > 599 {
		return fmt.Errorf("%w: status %.40q", errMalformedResponse, fields[1])
	}
	r.status = status
	r.closesConnection = fields[0] == "HTTP/1.0"
	return nil
}

// parseField handles the header fields that frame the response; others are ignored. Chunked encoding takes precedence
// over Content-Length, and the first Content-Length over later ones.
func (r *httpResponse) parseField(name, value string) error {
	switch name {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil || int(length) > r.maxBodyBytes {
			return fmt.Errorf("%w: Content-Length %.40q", errMalformedResponse, value)
		}
		if r.framing == framedByClose {
			r.framing = framedByLength
			r.contentLength = int(length)
		}
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: Transfer-Encoding %.40q", errMalformedResponse, value)
		}
		r.framing = framedByChunks
	case "connection":
		if strings.EqualFold(value, "close") {
			r.closesConnection = true
		}
	}
	return nil
}

// readUntilClose reads a part of a body that ends with the connection.
func (r *httpResponse) readUntilClose() error {
	r.body = append(r.body, r.buffered...)
	if len(r.body) > r.maxBodyBytes {
		return fmt.Errorf("%w: body is too long", errMalformedResponse)
	}
	r.buffered = r.buffered[:0]
	return nil
}

// readBody reads a body of a known length once all of it has arrived.
func (r *httpResponse) readBody() (complete bool, err error) {
	if len(r.buffered) < r.contentLength {
		return false, nil
	}
	if len(r.buffered) > r.contentLength {
		return false, fmt.Errorf("%w: bytes after the body", errMalformedResponse)
	}
	r.body = r.buffered
	return true, nil
}

// readChunks reads the chunks that have arrived completely.
func (r *httpResponse) readChunks() (complete bool, err error) {
	for {
		line, rest, ok := bytes.Cut(r.buffered, crlf)
		if !ok {
			if len(r.buffered) > r.maxHeaderBytes {
				return false, fmt.Errorf("%w: chunk line is too long", errMalformedResponse)
			}
			return false, nil
		}
		size, err := r.parseChunkSize(string(line))
		if err != nil {
			return false, err
		}
		if size == 0 {
			return trailerComplete(rest), nil
		}
		if len(rest) < size+len(crlf) {
			return false, nil
		}
		if !bytes.HasPrefix(rest[size:], crlf) {
			return false, fmt.Errorf("%w: chunk does not end with CRLF", errMalformedResponse)
		}
		r.body = append(r.body, rest[:size]...)
		r.buffered = rest[size+len(crlf):]
	}
}

func (r *httpResponse) parseChunkSize(line string) (int, error) {
	text, _, _ := strings.Cut(line, ";") // an extension may follow
	size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
	if err != nil || len(r.body)+int(size) > r.maxBodyBytes {
		return 0, fmt.Errorf("%w: chunk size %.40q", errMalformedResponse, line)
	}
	return int(size), nil
}

// trailerComplete reports whether the trailer after the last chunk, with or without fields, has ended with an empty
// line.
func trailerComplete(rest []byte) bool {
	return bytes.HasPrefix(rest, crlf) || bytes.Contains(rest, headerEnd)
}
