package front

import (
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"burdockreach.dev/node/board"
)

// Reasons of a refusal with status 401.
const (
	reasonNoKey      = "the call has no key"
	reasonUnknownKey = "no team has this key"
)

// caller is what a call's key tells of its caller.
type caller struct {
	team      string
	refusal   string // why the call is not admitted; empty if it is.
	keyDigest string // stands for a refused key in the log, which must not show the key.
}

// identify returns the caller of a call on a queue.
func (f *Front) identify(h *fasthttp.RequestHeader, q board.Queue) caller {
	if !f.board.NeedsKeys() {
		return caller{}
	}
	key := string(h.Peek(f.codec.KeyHeader()))
	team, ok := f.board.Authorize(q, key)
	switch {
	case ok:
		return caller{team: team}
	case key == "":
		return caller{refusal: reasonNoKey}
	}
	return caller{refusal: reasonUnknownKey, keyDigest: board.KeyDigest(key)}
}

// maxTeamNames is the number of teams that are counted by name, several times the 20 of a deployment. It bounds the counters of a process
// under which teams come and go.
const maxTeamNames = 100

// teamNames are the first teams that a process has served.
type teamNames struct {
	mu    sync.Mutex
	names map[string]bool
}

// has reports whether a team is counted by name, and enters it while there is room.
func (n *teamNames) has(team string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.names) < maxTeamNames {
		n.names[team] = true
	}
	return n.names[team]
}

// countCall counts an answered call of a team.
func (f *Front) countCall(team string, status int) {
	if team == "" {
		return
	}
	name := "team_calls_other"
	if f.teams.has(team) {
		name = "team_calls{team=" + strconv.Quote(team) + ",status=\"" + strconv.Itoa(status) + "\"}"
	}
	f.stats.Add(name, 1)
}
