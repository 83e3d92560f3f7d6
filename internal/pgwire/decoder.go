package pgwire

import "encoding/binary"

// nullLength is the length field of a NULL, which is followed by no bytes.
const nullLength = -1

// decoder reads the fields of a message body in order. After the first malformed field it returns zero values, and end
// reports the error, so that a caller need not check each field.
type decoder struct {
	rest   []byte
	size   int // bytes of the whole body
	failed bool
}

func newDecoder(body []byte) decoder { return decoder{rest: body, size: len(body)} }

func (d *decoder) next(n int) []byte {
	if d.failed || n < 0 || n > len(d.rest) {
		d.failed = true
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) byte() byte {
	if b := d.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uint16() uint16 {
	if b := d.next(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *decoder) uint32() uint32 {
	if b := d.next(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// text reads a string that ends with a zero byte.
func (d *decoder) text() string {
	for i, b := range d.rest {
		if b == 0 && !d.failed {
			s := string(d.rest[:i])
			d.rest = d.rest[i+1:]
			return s
		}
	}
	d.failed = true
	return ""
}

// value reads a length and as many bytes. It returns nil for NULL.
func (d *decoder) value() []byte {
	length := int32(d.uint32())
	if length == nullLength {
		return nil
	}
	return d.next(int(length))
}

// formats skips a list of format codes.
func (d *decoder) formats() {
	for n := int(d.uint16()); n > 0 && !d.failed; n-- {
		d.uint16()
	}
}

// values skips a list of values.
func (d *decoder) values() {
	for n := int(d.uint16()); n > 0 && !d.failed; n-- {
		d.value()
	}
}

// end returns an error if a field was malformed or bytes are left over.
func (d *decoder) end(message string) error {
	if d.failed || len(d.rest) != 0 {
		return d.malformed(message)
	}
	return nil
}

// malformed returns an error at the current offset.
func (d *decoder) malformed(message string) error {
	return &FormatError{Message: message, Offset: d.size - len(d.rest)}
}
