package audit

import (
	"bytes"
	"encoding/base64"
	"strings"

	"github.com/zeebo/blake3"
)

// The link of each message is the keyed BLAKE3 hash of the whole previous message, truncated to 128 bits. A changed,
// removed or moved message is detected because the link of the message after it no longer matches. From time to time
// the head of the chain is written as a separate message, which also carries the hash of itself and so proves every
// message up to it. A gap breaks a single link, and verification continues with the message after the gap.

const (
	linkBytes  = 16 // the length of a link in bytes
	linkLength = 22 // the length of its text in bytes, as base64url without padding (RFC 4648, section 5)
)

// genesisLink is the link of the first message of a start.
var genesisLink = [linkLength]byte([]byte(strings.Repeat("A", linkLength)))

// chain computes the links of the messages of one start.
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

// useKey replaces the key; all later hashes are computed with the new one.
func (c *chain) useKey(key Key) error {
	hash, err := blake3.NewKeyed(key.Secret[:])
	if err != nil {
		return err
	}
	c.key = key
	c.hash = hash
	return nil
}

// computeLink returns the link that the message after msg carries: the text of the hash of msg.
func (c *chain) computeLink(msg []byte) (text [linkLength]byte) {
	c.hash.Reset()
	c.hash.Write(msg)
	base64.RawURLEncoding.Encode(text[:], c.hash.Sum(c.sum[:0])[:linkBytes])
	return text
}

// advance sets the link to the hash of msg, the newest message of the chain.
func (c *chain) advance(msg []byte) { c.link = c.computeLink(msg) }

// macPlaceholder is the parameter mac of a head without its closing quote, with the genesis link as its value. The
// head's own hash is computed over this value and then replaces it.
var macPlaceholder = append([]byte(` mac="`), genesisLink[:]...)

// writeHeadMAC replaces the placeholder in a head of the chain with the head's own hash.
func (c *chain) writeHeadMAC(msg []byte) {
	if i := bytes.Index(msg, macPlaceholder); i >= 0 {
		text := c.computeLink(msg)
		copy(msg[i+len(macPlaceholder)-linkLength:], text[:])
	}
}
