package site

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/node/owner"
	"burdockreach.dev/plat/keyval"
)

// mapStore is a read-only store.
type mapStore struct {
	Store
	rows map[string]string
}

func (m mapStore) Get(_ context.Context, key string) (keyval.Item, error) {
	if v, ok := m.rows[key]; ok {
		return keyval.NewItem(key, []byte(v), 7), nil
	}
	return keyval.NewItem(key, nil, 0), nil
}

func (m mapStore) All(_ context.Context, prefix string) ([]keyval.Item, keyval.Revision, error) {
	var l []keyval.Item
	for k, v := range m.rows {
		if strings.HasPrefix(k, prefix) {
			l = append(l, keyval.NewItem(k, []byte(v), 7))
		}
	}
	slices.SortFunc(l, func(a, b keyval.Item) int { return strings.Compare(a.Key(), b.Key()) })
	return l, 9, nil
}

// plainFormat decodes documents that hold one word.
type plainFormat struct{ Format }

func (plainFormat) OperatorPrefix() string   { return "op/" }
func (plainFormat) WorkersPrefix() string    { return "w/" }
func (plainFormat) IsConfig(key string) bool { return key == "op/config" }

func (plainFormat) Config([]byte) (board.Config, error) {
	return board.Config{Version: 3, Queues: []board.Queue{{Name: "q1", Service: "s"}, {Name: "q2", Service: "s", Priority: 1}}}, nil
}

func (plainFormat) Wave(i keyval.Item, _ bool) (batch.WaveMsg, bool, error) {
	return batch.WaveMsg{Number: 1, Machines: []string{"m1", "m2"}}, i.Key() == "op/wave/1", nil
}

var errWord = errors.New("unknown word")

func (plainFormat) Entry(i keyval.Item) (batch.WorkerEntry, error) {
	if string(i.Value()) == "garbage" {
		return batch.WorkerEntry{}, errWord
	}
	return batch.WorkerEntry{Service: "s", Draining: string(i.Value()) == "draining", Room: batch.Size{CPU: 4000}}, nil
}

const job1 = `{"job":{"id":"0000000000000001","queue":"q1","service":"s","steps":[{"count":2,"size":{}}]},"atMs":5}`

func installation() Platform {
	return Platform{Format: plainFormat{}, Store: mapStore{rows: map[string]string{
		"own/all": `{"holder":"10.0.0.1:7/1/2"}`, "own/entry/e1": `{"cores":0.4,"addr":"10.0.0.1:7"}`, "op/config": "", "op/wave/1": "",
		"wave/1": `{"number":1,"begun":["m1","m2"],"done":["m1"]}`, "w/a": "", "w/b": "draining", "w/c": "garbage",
		"own/teams":            `{"fence":7,"count":2,"teams":[{"team":"a","limit":{"cpu":4000},"used":{"cpu":3000},"runs":3,"waiting":5,"limitedBy":"limit"}]}`,
		"job/0000000000000001": job1, "run/0000000000000001": `{"failed":{"0.0.1":[1]}}`, "run/0000000000000002": `{"state":"completed"}`,
	}}}
}

func TestReadStatus(t *testing.T) {
	is := is.New(t)
	s, err := ReadStatus(context.Background(), installation())
	is.NoErr(err)
	is.Equal(s.Owner, "10.0.0.1:7/1/2")
	is.Equal(s.Fence, int64(7))
	is.Equal(s.Entries["e1"].Cores, 0.4)
	is.Equal(s.Config, int64(3))
	is.Equal(s.Queues, map[string]QueueStatus{"q1": {Service: "s", Open: 1}, "q2": {Service: "s", Priority: 1}})
	is.Equal(s.Services, map[string]ServiceStatus{"s": {Workers: 2, Draining: 1, Room: batch.Size{CPU: 8000}}})
	is.Equal(s.Waves, []WaveStatus{{Wave: 1, Machines: 2, Begun: 2, Done: 1}})
	is.Equal(s.Teams, &owner.StoredTeams{Fence: 7, Count: 2, Teams: []batch.TeamStatus{
		{Team: "a", Limit: batch.Size{CPU: 4000}, Used: batch.Size{CPU: 3000}, Runs: 3, Waiting: 5, LimitedBy: "limit"},
	}})
	is.Equal(s.Unread, []string{"w/c"})
}

func TestReadJob(t *testing.T) {
	read := func(id string) (JobStatus, error) { return ReadJob(context.Background(), installation(), id) }
	t.Run("open", func(t *testing.T) {
		is := is.New(t)
		s, err := read("0000000000000001")
		is.NoErr(err)
		is.Equal(s.Accepted.Job.Queue, "q1")
		is.Equal(s.Progress.Failed, map[string][]int{"0.0.1": {1}})
	})
	t.Run("ended", func(t *testing.T) {
		is := is.New(t)
		s, err := read("0000000000000002")
		is.NoErr(err)
		is.True(s.Accepted == nil)
		is.Equal(s.Progress.State, batch.StateCompleted)
	})
	t.Run("never accepted", func(t *testing.T) {
		is := is.New(t)
		s, err := read("0000000000000003")
		is.NoErr(err)
		is.True(s.Accepted == nil && s.Progress == nil)
	})
	t.Run("malformed id", func(t *testing.T) {
		is := is.New(t)
		_, err := read("x")
		var f *batch.FieldError
		is.True(errors.As(err, &f))
	})
}
