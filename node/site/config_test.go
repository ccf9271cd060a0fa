package site

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/node/stats"
	"burdockreach.dev/plat/keyval"
)

// teamFormat decodes a configuration as JSON. A team with a negative weight is a fault.
type teamFormat struct{ plainFormat }

func (teamFormat) Config(b []byte) (board.Config, error) {
	var c board.Config
	if err := json.Unmarshal(b, &c); err != nil {
		return c, err
	}
	var l board.Faults
	for _, t := range c.Teams {
		if t.Weight < 0 {
			l = append(l, board.NewFaultError(t.Name, "weight", "is negative"))
		}
	}
	if len(l) > 0 {
		return c, l
	}
	return c, nil
}

// Wave has no waves.
func (teamFormat) Wave(keyval.Item, bool) (batch.WaveMsg, bool, error) {
	return batch.WaveMsg{}, false, nil
}

// newConfigSink returns a sink of an entry that has just started, and what it logs.
func newConfigSink() (*operatorSink, *bytes.Buffer) {
	b := &bytes.Buffer{}
	return &operatorSink{&Site{platform: Platform{Format: teamFormat{}}, board: board.New(), stats: stats.New(), log: zerolog.New(b)}}, b
}

// configItem returns the stored configuration with the given version, in which team a has the given keys.
func configItem(t *testing.T, version int64, weight float64, keys ...string) keyval.Item {
	t.Helper()
	b, err := json.Marshal(board.Config{Version: version, Teams: []board.Team{{Team: batch.Team{Name: "a", Weight: weight}, Keys: keys}}})
	is.New(t).NoErr(err)
	return keyval.NewItem("op/config", b, keyval.Revision(version))
}

// checkConfig checks the version in force at an entry, 0 for none, and whether it admits a key.
func checkConfig(t *testing.T, o *operatorSink, version int64, key string, admitted bool) {
	t.Helper()
	is := is.New(t)
	c, _ := o.e.board.Config()
	is.Equal(c.Version, version)
	_, ok := o.e.board.Authorize(board.Queue{}, key)
	is.Equal(ok, admitted)
}

// A configuration with faults must come into force, as the keys that it removes would be served otherwise. Its faults are logged once.
func TestConfigurationWithFaults(t *testing.T) {
	is := is.New(t)
	o, log := newConfigSink()
	o.Reset([]keyval.Item{configItem(t, 1, 1, "old", "kept")})
	o.Apply([]keyval.Event{keyval.NewEvent(configItem(t, 2, -1, "kept"), false)})
	checkConfig(t, o, 2, "old", false)
	checkConfig(t, o, 2, "kept", true)
	o.Reset([]keyval.Item{configItem(t, 2, -1, "kept")})
	is.Equal(strings.Count(log.String(), `"team":"a","field":"weight"`), 1)
	var m bytes.Buffer
	_, err := o.e.stats.WriteTo(&m)
	is.NoErr(err)
	is.True(strings.Contains(m.String(), "config_faults 1\n"))
	o.Apply([]keyval.Event{keyval.NewEvent(keyval.NewItem("op/config", []byte("{"), 3), false)})
	checkConfig(t, o, 2, "kept", true) // one that cannot be decoded is passed over.
}

// Configurations that overtake each other: the highest version holds, whatever the order in which they arrive.
func TestOvertakenConfigurations(t *testing.T) {
	apply := func(o *operatorSink, l ...keyval.Item) {
		var events []keyval.Event
		for _, i := range l {
			events = append(events, keyval.NewEvent(i, false))
		}
		o.Apply(events)
	}
	t.Run("one by one", func(t *testing.T) {
		o, _ := newConfigSink()
		apply(o, configItem(t, 3, 1, "new"))
		apply(o, configItem(t, 2, 1, "old"))
		checkConfig(t, o, 3, "old", false)
		checkConfig(t, o, 3, "new", true)
	})
	t.Run("together", func(t *testing.T) {
		o, _ := newConfigSink()
		apply(o, configItem(t, 1, 1, "old"), configItem(t, 3, 1, "new"), configItem(t, 2, 1, "old"))
		checkConfig(t, o, 3, "old", false)
		checkConfig(t, o, 3, "new", true)
	})
	t.Run("the last one cannot be decoded", func(t *testing.T) {
		o, _ := newConfigSink()
		apply(o, configItem(t, 3, 1, "new"), keyval.NewItem("op/config", []byte("{"), 4))
		checkConfig(t, o, 3, "new", true)
	})
	t.Run("a list after a reconnection", func(t *testing.T) {
		o, _ := newConfigSink()
		apply(o, configItem(t, 3, 1, "new"))
		o.Reset([]keyval.Item{configItem(t, 2, 1, "old")})
		checkConfig(t, o, 3, "old", false)
	})
	t.Run("a deleted configuration stays in force", func(t *testing.T) {
		o, _ := newConfigSink()
		apply(o, configItem(t, 3, 1, "new"))
		o.Apply([]keyval.Event{keyval.NewEvent(keyval.NewItem("op/config", nil, 4), true)})
		checkConfig(t, o, 3, "new", true)
	})
}

// cutStore is a store that cannot be listed while it is cut off, and that counts the watches of an entry that has not listed it.
type cutStore struct {
	*keyval.Memory
	cut       atomic.Bool
	listed    atomic.Bool
	unordered atomic.Int64
}

var errCutOff = errors.New("cut off")

// All reads the whole store at one revision.
func (s *cutStore) All(ctx context.Context, prefix string) ([]keyval.Item, keyval.Revision, error) {
	if s.cut.Load() {
		return nil, 0, errCutOff
	}
	l, rev, err := s.List(ctx, prefix, "", 10)
	s.listed.Store(err == nil)
	return l, rev, err
}

func (s *cutStore) Watch(ctx context.Context, prefix string, rev keyval.Revision, wait time.Duration) ([]keyval.Event, keyval.Revision, error) {
	if !s.listed.Load() {
		s.unordered.Add(1)
	}
	return s.Memory.Watch(ctx, prefix, rev, wait)
}

// An entry that restarts must not serve with an older configuration than the one it may have had: it has none until it has listed the
// store, and then the newest one. If it watched from the first revision instead, it would go through all old ones and their keys.
func TestRestartedEntryReadsNewest(t *testing.T) {
	is := is.New(t)
	s := &cutStore{Memory: keyval.NewMemory()}
	s.cut.Store(true)
	for v, keys := range [][]string{{"removed", "kept"}, {"kept"}} {
		_, err := s.Put(t.Context(), "op/config", configItem(t, int64(v+1), 1, keys...).Value(), keyval.Any, 0)
		is.NoErr(err)
	}
	o, log := newConfigSink()
	ctx, stop := context.WithCancel(t.Context())
	g := errgroup.Group{}
	g.Go(func() error { return keyval.Follow(ctx, s, "op/", 50*time.Millisecond, o) })
	time.Sleep(150 * time.Millisecond)
	checkConfig(t, o, 0, "removed", false)
	checkConfig(t, o, 0, "kept", false)
	s.cut.Store(false)
	for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
		if _, ok := o.e.board.Authorize(board.Queue{}, "removed"); ok {
			t.Fatal("the removed key is admitted")
		}
		if _, ok := o.e.board.Config(); ok {
			break
		}
	}
	checkConfig(t, o, 2, "kept", true)
	stop()
	is.NoErr(g.Wait())
	is.Equal(s.unordered.Load(), int64(0))
	is.Equal(strings.Count(log.String(), `"event":"configuration"`)+strings.Count(log.String(), `"message":"configuration"`), 1)
}

// An operator sees the faults of the configuration without a search through the logs.
func TestStatusShowsFaults(t *testing.T) {
	is := is.New(t)
	rows := map[string]string{"op/config": string(configItem(t, 2, -1, "k").Value())}
	s, err := ReadStatus(t.Context(), Platform{Format: teamFormat{}, Store: mapStore{rows: rows}})
	is.NoErr(err)
	is.Equal(s.Config, int64(2))
	is.Equal(s.Faults, []string{`team "a": field "weight" is negative`})
	is.Equal(len(s.Unread), 0)
}
