package board

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// shownDigestBytes is the part of a key's digest that logs may show, 8 hexadecimal digits.
const shownDigestBytes = 4

// KeyDigest returns the first digits of a key's SHA-256 digest, which stand for the key in logs.
func KeyDigest(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:shownDigestBytes])
}

// digestPrefix is the half of a SHA-256 digest by which keys are indexed. It is long enough that no two keys share it by chance.
type digestPrefix [sha256.Size / 2]byte

func prefixOf(d [sha256.Size]byte) digestPrefix { return digestPrefix(d[:sha256.Size/2]) }

// holder is the team that a key admits. A key of several teams admits none.
type holder struct {
	digest [sha256.Size]byte
	team   string
	shared bool
}

// keyIndex finds the holder of a key. It holds no keys, and is nil if calls need none.
type keyIndex map[digestPrefix]holder

// indexKeys returns the index of a configuration's keys.
func indexKeys(c Config) keyIndex {
	if len(c.Teams) == 0 && !c.Closed {
		return nil
	}
	x := keyIndex{}
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			x.add(t.Name, k)
		}
	}
	return x
}

// add enters a key of a team. The empty key admits nobody, as it would admit every call without a key.
func (x keyIndex) add(team, key string) {
	if key == "" {
		return
	}
	d := sha256.Sum256([]byte(key))
	h, ok := x[prefixOf(d)]
	x[prefixOf(d)] = holder{digest: d, team: team, shared: h.shared || ok && (h.team != team || h.digest != d)}
}

// find returns the team that a key admits. Only digests are compared, and these in constant time, so that the time taken tells nothing
// about the keys: nobody can choose a key by the digits of its digest.
func (x keyIndex) find(key string) (string, bool) {
	d := sha256.Sum256([]byte(key))
	h := x[prefixOf(d)] // the zero holder for an unknown key, whose digest is compared all the same.
	if subtle.ConstantTimeCompare(d[:], h.digest[:]) != 1 || h.shared {
		return "", false
	}
	return h.team, true
}

// NeedsKeys reports whether calls need keys, unless their queue is public.
func (b *Board) NeedsKeys() bool {
	t := b.current.Load()
	return t != nil && t.keys != nil
}

// Authorize returns the team that a key admits, and whether a call with this key may use the queue. A public queue admits every call; its
// calls belong to the key's team if there is one. Without teams, every call is admitted.
func (b *Board) Authorize(q Queue, key string) (team string, ok bool) {
	t := b.current.Load()
	switch {
	case t == nil:
		return "", false
	case t.keys == nil:
		return "", true
	}
	team, ok = t.keys.find(key)
	return team, ok || q.Public
}
