package parser

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// The faults of a stream.
var (
	ErrFrame = errors.New("octet count")
	ErrLong  = errors.New("a message is too long")
	ErrCut   = errors.New("it ends within a message")
)

// Frames reads messages from a stream or a file: with octet counts (RFC 6587, section 3.4.1; RFC 5425, section 4.3), or
// where the first byte is <, a message a line.
type Frames struct {
	r     *bufio.Reader
	most  int
	lines bool
	begun bool
	at    int64
	buf   []byte
}

// NewFrames reads from r messages of at most so many bytes.
func NewFrames(r io.Reader, most int) *Frames {
	return &Frames{r: bufio.NewReaderSize(r, 64<<10), most: most}
}

// Offset is where the next message starts.
func (f *Frames) Offset() int64 { return f.at }

// Next returns the next message, in memory of its own, or io.EOF at the end. Sizes are checked before anything is kept.
func (f *Frames) Next() ([]byte, error) {
	if !f.begun {
		first, err := f.r.Peek(1)
		if err != nil {
			return nil, err
		}
		f.begun, f.lines = true, first[0] == '<'
	}
	if f.lines {
		return f.line()
	}
	n, digits := 0, 0
	for {
		c, err := f.r.ReadByte()
		if err != nil {
			if err == io.EOF && digits > 0 {
				err = ErrCut
			}
			return nil, err
		}
		if c == ' ' && digits > 0 {
			digits++
			break
		}
		if c < '0' || c > '9' || digits == 0 && c == '0' {
			return nil, ErrFrame
		}
		n = n*10 + int(c-'0')
		if digits++; n > f.most {
			return nil, ErrLong
		}
	}
	p := f.room(n)
	if _, err := io.ReadFull(f.r, p); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			err = ErrCut
		}
		return nil, err
	}
	f.at += int64(n + digits)
	return p, nil
}

// room returns memory for one message. Many share a block, so that a file of a million needs few of them.
func (f *Frames) room(n int) []byte {
	if len(f.buf) < n {
		f.buf = make([]byte, max(n, 64<<10))
	}
	p := f.buf[:n:n]
	f.buf = f.buf[n:]
	return p
}

func (f *Frames) line() ([]byte, error) {
	var p []byte
	for {
		part, err := f.r.ReadSlice('\n')
		if p == nil && err == nil && len(part) <= f.most+1 {
			f.at += int64(len(part))
			p = f.room(len(part) - 1)
			copy(p, part)
			return p, nil
		}
		p = append(p, part...)
		if len(p) > f.most+1 {
			return nil, ErrLong
		}
		switch {
		case err == nil:
			f.at += int64(len(p))
			return p[:len(p)-1], nil
		case errors.Is(err, bufio.ErrBufferFull):
		case err == io.EOF && len(p) > 0:
			return nil, ErrCut
		case err == io.EOF:
			return nil, io.EOF
		default:
			return nil, fmt.Errorf("reading: %w", err)
		}
	}
}
