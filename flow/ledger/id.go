package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrID reports a string that is not the text form of an ID.
var ErrID = eris.New("ledger: not a key id")

// ID identifies a key in records, in handovers and in the platform's service.
type ID [16]byte

// NewID returns the id of key.
func NewID(key string) ID {
	s := sha256.Sum256([]byte(key))
	return ID(s[:16])
}

// ParseID parses the text form that String returns. It returns ErrID if s is not one.
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

// Attempt identifies one copy of a keyed request; zero means none.
type Attempt uint64

// NewAttempt returns the hash of an attempt's id, which must be unique among the copies of one key.
func NewAttempt(id string) Attempt { return Attempt(xxhash.Sum64String(id)) }

// Digest identifies the contents of a keyed request.
type Digest uint64

// NewDigest shortens a digest of the request's service, team, method, path and body to 64 bits.
func NewDigest(d []byte) Digest { return Digest(xxhash.Sum64(d)) }

// mix is a 64-bit hash finalizer: every bit of x affects the whole result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
