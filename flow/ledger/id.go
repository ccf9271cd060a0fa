package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrID reports a text that is not the form of an ID.
var ErrID = eris.New("ledger: not a key id")

// ID stands for a key in records, in handovers and in the platform's service.
type ID [16]byte

// NewID returns the id of key.
func NewID(key string) ID {
	s := sha256.Sum256([]byte(key))
	return ID(s[:16])
}

// ParseID returns the id that s is the String of; ErrID if it is none.
func ParseID(s string) (ID, error) {
	var i ID
	if hex.DecodedLen(len(s)) != len(i) {
		return i, ErrID
	}
	if _, err := hex.Decode(i[:], []byte(s)); err != nil {
		return i, ErrID
	}
	return i, nil
}

// String returns the id in hexadecimal digits.
func (i ID) String() string { return hex.EncodeToString(i[:]) }

func (i ID) low() uint64 { return binary.LittleEndian.Uint64(i[:8]) }

// Attempt stands for one copy of a keyed request; zero is none.
type Attempt uint64

// NewAttempt returns the form of an attempt's id, which must be unique among the copies of one key.
func NewAttempt(id string) Attempt { return Attempt(xxhash.Sum64String(id)) }

// Digest stands for the contents of a keyed request.
type Digest uint64

// NewDigest shortens a digest of service, team, method, path and body.
func NewDigest(d []byte) Digest { return Digest(xxhash.Sum64(d)) }

// mix spreads the bits of x over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
