package parser

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// The framing errors of a stream.
var (
	ErrOctetCount = errors.New("malformed octet count")
	ErrTooLong    = errors.New("message exceeds the size limit")
	ErrTruncated  = errors.New("input ends within a message")
)

// Frames reads messages from a stream or a file. They are framed with octet counts (RFC 6587, section 3.4.1; RFC 5425,
// section 4.3) or, if the first byte is <, one per line.
type Frames struct {
	r            *bufio.Reader
	maxBytes     int
	lineFraming  bool
	framingKnown bool
	offset       int64
	block        []byte
}

// NewFrames returns a Frames that reads messages of at most maxBytes from r.
func NewFrames(r io.Reader, maxBytes int) *Frames {
	return &Frames{r: bufio.NewReaderSize(r, 64<<10), maxBytes: maxBytes}
}

// Offset returns the offset in bytes at which the frame of the next message starts.
func (f *Frames) Offset() int64 { return f.offset }

// Next returns the next message, or io.EOF at the end of the input. The message stays valid after further calls. Its
// size is checked before memory is allocated for it.
func (f *Frames) Next() ([]byte, error) {
	if !f.framingKnown {
		first, err := f.r.Peek(1)
		if err != nil {
			return nil, err
		}
		f.framingKnown, f.lineFraming = true, first[0] == '<'
	}
	if f.lineFraming {
		return f.nextLine()
	}
	n, digits := 0, 0
	for {
		c, err := f.r.ReadByte()
		if err != nil {
			if err == io.EOF && digits > 0 {
				err = ErrTruncated
			}
			return nil, err
		}
		if c == ' ' && digits > 0 {
			digits++
			break
		}
		if c < '0' || c > '9' || digits == 0 && c == '0' {
			return nil, ErrOctetCount
		}
		n = n*10 + int(c-'0')
		if digits++; n > f.maxBytes {
			return nil, ErrTooLong
		}
	}
	p := f.allocate(n)
	if _, err := io.ReadFull(f.r, p); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			err = ErrTruncated
		}
		return nil, err
	}
	f.offset += int64(n + digits)
	return p, nil
}

// allocate returns memory for a message of n bytes. Messages share blocks, so that a file of a million messages needs
// few allocations.
func (f *Frames) allocate(n int) []byte {
	if len(f.block) < n {
		f.block = make([]byte, max(n, 64<<10))
	}
	p := f.block[:n:n]
	f.block = f.block[n:]
	return p
}

// nextLine returns the message on the next line.
func (f *Frames) nextLine() ([]byte, error) {
	var p []byte
	for {
		part, err := f.r.ReadSlice('\n')
		if p == nil && err == nil && len(part) <= f.maxBytes+1 {
			f.offset += int64(len(part))
			p = f.allocate(len(part) - 1)
			copy(p, part)
			return p, nil
		}
		p = append(p, part...)
		if len(p) > f.maxBytes+1 {
			return nil, ErrTooLong
		}
		switch {
		case err == nil:
			f.offset += int64(len(p))
			return p[:len(p)-1], nil
		case errors.Is(err, bufio.ErrBufferFull):
		case err == io.EOF && len(p) > 0:
			return nil, ErrTruncated
		case err == io.EOF:
			return nil, io.EOF
		default:
			return nil, fmt.Errorf("reading a message: %w", err)
		}
	}
}
