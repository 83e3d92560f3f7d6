package audit

import (
	"bytes"
	"encoding/base64"

	"github.com/zeebo/blake3"
)

// A message carries as link the keyed BLAKE3 hash of the whole message before it, cut to 128 bits, so that no message can
// be changed, taken out or moved without the one behind it telling. Now and then the head of the chain is a message of
// its own, which carries the hash of itself too: up to there all is proved. A gap breaks one link only: the chain is
// followed again right behind it.

// linkBytes is the length of a link, and linkText what it takes as base64url without padding (RFC 4648, section 5).
const (
	linkBytes = 16
	linkText  = 22
)

// genesis is the link of the first message of a start.
var genesis = [linkText]byte{'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A', 'A'}

// chain follows the messages of one start.
type chain struct {
	key  Key
	hash *blake3.Hasher
	link [linkText]byte
	sum  [32]byte
}

func newChain(k Key) (*chain, error) {
	c := &chain{link: genesis}
	return c, c.use(k)
}

// use takes another key: what is hashed from now on, it hashes.
func (c *chain) use(k Key) error {
	h, err := blake3.NewKeyed(k.Secret[:])
	if err != nil {
		return err
	}
	c.key, c.hash = k, h
	return nil
}

func (c *chain) of(msg []byte) (text [linkText]byte) {
	c.hash.Reset()
	c.hash.Write(msg)
	base64.RawURLEncoding.Encode(text[:], c.hash.Sum(c.sum[:0])[:linkBytes])
	return text
}

// next enters a message.
func (c *chain) next(msg []byte) { c.link = c.of(msg) }

// macField is where a head carries its own hash: it is computed with the genesis link in its place.
var macField = append([]byte(` mac="`), genesis[:]...)

// seal writes a head's own hash into it.
func (c *chain) seal(msg []byte) {
	if i := bytes.Index(msg, macField); i >= 0 {
		text := c.of(msg)
		copy(msg[i+len(macField)-linkText:], text[:])
	}
}
