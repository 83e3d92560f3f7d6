package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// response reads one HTTP/1.1 response as it comes in.
type response struct {
	header, most int // bytes allowed

	buf    []byte
	status int
	close  bool // the connection is not to be used again
	length int  // -1 = chunked, -2 = until the connection ends
	inBody bool
	body   []byte
}

var errHTTP = errors.New("malformed HTTP response")

// feed takes bytes and says whether the response is whole.
func (r *response) feed(p []byte) (whole bool, err error) {
	r.buf = append(r.buf, p...)
	if !r.inBody {
		end := bytes.Index(r.buf, []byte("\r\n\r\n"))
		if end < 0 {
			if len(r.buf) > r.header {
				return false, fmt.Errorf("%w: its header is too long", errHTTP)
			}
			return false, nil
		}
		if err := r.head(string(r.buf[:end])); err != nil {
			return false, err
		}
		r.buf, r.inBody = r.buf[end+4:], true
	}
	switch {
	case r.length == -1:
		return r.chunks()
	case r.length == -2:
		if r.body = append(r.body, r.buf...); len(r.body) > r.most {
			return false, fmt.Errorf("%w: its body is too long", errHTTP)
		}
		r.buf = r.buf[:0]
		return false, nil
	case len(r.buf) < r.length:
		return false, nil
	case len(r.buf) > r.length:
		return false, fmt.Errorf("%w: bytes behind its end", errHTTP)
	}
	r.body = r.buf
	return true, nil
}

// ended says whether the end of the connection makes the response whole.
func (r *response) ended() bool { return r.inBody && r.length == -2 }

func (r *response) head(text string) error {
	lines := strings.Split(text, "\r\n")
	f := strings.SplitN(lines[0], " ", 3)
	if len(f) < 2 || f[0] != "HTTP/1.1" && f[0] != "HTTP/1.0" {
		return fmt.Errorf("%w: status line %.40q", errHTTP, lines[0])
	}
	var err error
	if r.status, err = strconv.Atoi(f[1]); err != nil || r.status < 100 || r.status > 599 {
		return fmt.Errorf("%w: status %.40q", errHTTP, f[1])
	}
	r.length, r.close = -2, f[0] == "HTTP/1.0"
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return fmt.Errorf("%w: header line %.40q", errHTTP, line)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || int(n) > r.most {
				return fmt.Errorf("%w: length %.40q", errHTTP, value)
			}
			if r.length == -2 {
				r.length = int(n)
			}
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return fmt.Errorf("%w: encoding %.40q", errHTTP, value)
			}
			r.length = -1
		case "connection":
			r.close = r.close || strings.EqualFold(value, "close")
		}
	}
	if r.status == 204 || r.status == 304 {
		r.length = 0
	}
	r.close = r.close || r.length == -2
	return nil
}

func (r *response) chunks() (whole bool, err error) {
	for {
		line, rest, ok := bytes.Cut(r.buf, []byte("\r\n"))
		if !ok {
			if len(r.buf) > r.header {
				return false, fmt.Errorf("%w: chunk line", errHTTP)
			}
			return false, nil
		}
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(r.body)+int(n) > r.most {
			return false, fmt.Errorf("%w: chunk %.40q", errHTTP, line)
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
			return false, fmt.Errorf("%w: end of a chunk", errHTTP)
		}
		r.body = append(r.body, rest[:n]...)
		r.buf = rest[n+2:]
	}
}
