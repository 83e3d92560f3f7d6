package audit

import (
	"bytes"
	"encoding/base64"
	"strings"

	"github.com/zeebo/blake3"
)

// Each message carries as its link the keyed BLAKE3 hash of the whole message before it, cut to 128 bits. A message
// that is changed, removed or moved is found because the link of the message behind it no longer fits. From time to
// time the head of the chain is written as a message of its own, which carries the hash of itself too: everything up to
// it is proved. A gap breaks one link only, and verification goes on right behind it.

// linkBytes is the length of a link, and linkLength what it takes as base64url without padding (RFC 4648, section 5).
const (
	linkBytes  = 16
	linkLength = 22
)

// genesisLink is the link of the first message of a start.
var genesisLink = [linkLength]byte([]byte(strings.Repeat("A", linkLength)))

// chain follows the messages of one start.
type chain struct {
	key  Key
	hash *blake3.Hasher
	link [linkLength]byte
	sum  [32]byte
}

func newChain(key Key) (*chain, error) {
	c := &chain{link: genesisLink}
	return c, c.useKey(key)
}

// useKey changes the key: everything that is hashed from now on is hashed with it.
func (c *chain) useKey(key Key) error {
	hash, err := blake3.NewKeyed(key.Secret[:])
	if err != nil {
		return err
	}
	c.key = key
	c.hash = hash
	return nil
}

// linkOf returns the hash of a message as text.
func (c *chain) linkOf(msg []byte) (text [linkLength]byte) {
	c.hash.Reset()
	c.hash.Write(msg)
	base64.RawURLEncoding.Encode(text[:], c.hash.Sum(c.sum[:0])[:linkBytes])
	return text
}

// advance makes a message the newest one of the chain.
func (c *chain) advance(msg []byte) { c.link = c.linkOf(msg) }

// macPlaceholder is where a head carries its own hash, which is computed with the genesis link in that place.
var macPlaceholder = append([]byte(` mac="`), genesisLink[:]...)

// sealHead writes a head's own hash into it.
func (c *chain) sealHead(msg []byte) {
	if i := bytes.Index(msg, macPlaceholder); i >= 0 {
		text := c.linkOf(msg)
		copy(msg[i+len(macPlaceholder)-linkLength:], text[:])
	}
}
