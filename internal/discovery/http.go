package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// response reads one HTTP/1.1 response as it comes in.
type httpResponse struct {
	maxHeaderBytes, maxBodyBytes int // bytes allowed

	buffered         []byte
	status           int
	closesConnection bool // the connection is not to be used again
	bodyLength       int  // -1 = chunked, -2 = until the connection ends
	headerRead       bool
	body             []byte
}

var errMalformedResponse = errors.New("malformed HTTP response")

// feed takes bytes and says whether the response is whole.
func (response *httpResponse) feed(p []byte) (whole bool, err error) {
	response.buffered = append(response.buffered, p...)
	if !response.headerRead {
		end := bytes.Index(response.buffered, []byte("\r\n\r\n"))
		if end < 0 {
			if len(response.buffered) > response.maxHeaderBytes {
				return false, fmt.Errorf("%w: its header is too long", errMalformedResponse)
			}
			return false, nil
		}
		if err := response.parseHeader(string(response.buffered[:end])); err != nil {
			return false, err
		}
		response.buffered, response.headerRead = response.buffered[end+4:], true
	}
	switch {
	case response.bodyLength == -1:
		return response.readChunks()
	case response.bodyLength == -2:
		if response.body = append(response.body, response.buffered...); len(response.body) > response.maxBodyBytes {
			return false, fmt.Errorf("%w: its body is too long", errMalformedResponse)
		}
		response.buffered = response.buffered[:0]
		return false, nil
	case len(response.buffered) < response.bodyLength:
		return false, nil
	case len(response.buffered) > response.bodyLength:
		return false, fmt.Errorf("%w: bytes behind its end", errMalformedResponse)
	}
	response.body = response.buffered
	return true, nil
}

// ended says whether the end of the connection makes the response whole.
func (response *httpResponse) completeAtClose() bool {
	return response.headerRead && response.bodyLength == -2
}

func (response *httpResponse) parseHeader(text string) error {
	lines := strings.Split(text, "\r\n")
	f := strings.SplitN(lines[0], " ", 3)
	if len(f) < 2 || f[0] != "HTTP/1.1" && f[0] != "HTTP/1.0" {
		return fmt.Errorf("%w: status line %.40q", errMalformedResponse, lines[0])
	}
	var err error
	if response.status, err = strconv.Atoi(f[1]); err != nil || response.status < 100 || response.status > 599 {
		return fmt.Errorf("%w: status %.40q", errMalformedResponse, f[1])
	}
	response.bodyLength, response.closesConnection = -2, f[0] == "HTTP/1.0"
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return fmt.Errorf("%w: header line %.40q", errMalformedResponse, line)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || int(n) > response.maxBodyBytes {
				return fmt.Errorf("%w: length %.40q", errMalformedResponse, value)
			}
			if response.bodyLength == -2 {
				response.bodyLength = int(n)
			}
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return fmt.Errorf("%w: encoding %.40q", errMalformedResponse, value)
			}
			response.bodyLength = -1
		case "connection":
			response.closesConnection = response.closesConnection || strings.EqualFold(value, "close")
		}
	}
	if response.status == 204 || response.status == 304 {
		response.bodyLength = 0
	}
	response.closesConnection = response.closesConnection || response.bodyLength == -2
	return nil
}

func (response *httpResponse) readChunks() (whole bool, err error) {
	for {
		line, rest, ok := bytes.Cut(response.buffered, []byte("\r\n"))
		if !ok {
			if len(response.buffered) > response.maxHeaderBytes {
				return false, fmt.Errorf("%w: chunk line", errMalformedResponse)
			}
			return false, nil
		}
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(response.body)+int(n) > response.maxBodyBytes {
			return false, fmt.Errorf("%w: chunk %.40q", errMalformedResponse, line)
		}
		if n == 0 {
			// Trailers may follow; an empty line ends them.
			if bytes.HasPrefix(rest, []byte("\r\n")) || bytes.Contains(rest, []byte("\r\n\r\n")) {
				return true, nil
			}
			return false, nil
		}
		if len(rest) < int(n)+2 {
			return false, nil
		}
		if rest[n] != '\r' || rest[n+1] != '\n' {
			return false, fmt.Errorf("%w: end of a chunk", errMalformedResponse)
		}
		response.body = append(response.body, rest[:n]...)
		response.buffered = rest[n+2:]
	}
}
