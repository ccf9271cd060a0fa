package site

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/plat/keyval"
)

func valid() map[string]any {
	return map[string]any{
		"name": "entry-1", "dataCentre": "z", "callerAddr": "127.0.0.1:1", "readyAddr": "127.0.0.1:2", "peerAddr": "127.0.0.1:3",
		"metricsAddr": "127.0.0.1:4", "storeAddr": "127.0.0.1:5", "machinesAddr": "127.0.0.1:6", "adviceAddr": "", "leaseMaxMs": 6000,
		"statusSecs": 120, "dutyGapMs": 3000, "graceSecs": 6,
		"cores": 0.4, "memoryMb": 284, "logLevel": "info",
	}
}

func parse(t *testing.T, change func(map[string]any)) (Settings, error) {
	t.Helper()
	m := valid()
	change(m)
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(b)
}

func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := parse(t, func(map[string]any) {})
	is.NoErr(err)
	is.Equal(s.HelperWorkers, defaultHelperWorkers)
	is.Equal(s.Cores, 0.4)
	for _, c := range []struct {
		field string
		value any
	}{
		{"name", ""}, {"storeAddr", ""}, {"leaseMaxMs", 0}, {"graceSecs", -1}, {"cores", 0}, {"statusSecs", "x"}, {"unknown", 1}, {"helperWorkers", -3}, {"machineOrdersPerSec", -1}, {"linkMbps", -2},
	} {
		t.Run(c.field, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(t, func(m map[string]any) { m[c.field] = c.value })
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.field))
		})
	}
}

// The setting reaches the owner's model, and is off unless it is set.
func TestLookAhead(t *testing.T) {
	is := is.New(t)
	s, err := parse(t, func(map[string]any) {})
	is.NoErr(err)
	is.True(!s.model().LookAhead)
	s, err = parse(t, func(m map[string]any) { m["lookAhead"] = true })
	is.NoErr(err)
	is.True(s.model().LookAhead)
}

// The owner must get the setting, and without it the speeds of workers are not learned.
func TestWorkerSpeedReachesOwner(t *testing.T) {
	for _, v := range []bool{false, true} {
		t.Run(fmt.Sprint(v), func(t *testing.T) {
			is := is.New(t)
			s, err := parse(t, func(m map[string]any) {
				if v {
					m["workerSpeed"] = true
				}
			})
			is.NoErr(err)
			is.Equal(s.model().WorkerSpeed, v)
		})
	}
}

// An entry with a narrow link needs more helpers than one with a wide link: through a link of 2 Mbit/s, the starts of a few
// hundred tasks take seconds, in which the leases of workers lapse.
func TestHelpersByLink(t *testing.T) {
	for _, c := range []struct {
		mbps, helperWorkers any
		want                int
	}{{2, 0, 12}, {0.1, 0, 1}, {20, 0, 60}, {1000, 0, 60}, {0, 0, 60}, {2, 30, 30}} {
		t.Run(fmt.Sprint(c.mbps, " Mbit/s, set ", c.helperWorkers), func(t *testing.T) {
			is := is.New(t)
			s, err := parse(t, func(m map[string]any) { m["linkMbps"], m["helperWorkers"] = c.mbps, c.helperWorkers })
			is.NoErr(err)
			is.Equal(s.HelperWorkers, c.want)
		})
	}
}

// An entry that has just started must not take a free claim before it knows of larger entries, unless it cannot read the list.
func TestClaimWaitsForEntries(t *testing.T) {
	start := func(t *testing.T, c *claims) <-chan time.Duration {
		t.Helper()
		started, g := make(chan time.Duration, 1), errgroup.Group{}
		g.Go(func() error {
			return c.runLease(t.Context(), func(context.Context) error {
				started <- c.delay()
				return nil
			})
		})
		t.Cleanup(func() { is.New(t).NoErr(g.Wait()) })
		return started
	}
	t.Run("after the list", func(t *testing.T) {
		is := is.New(t)
		c := newClaims(Settings{Name: "weak", Cores: 0.2})
		started := start(t, c)
		time.Sleep(50 * time.Millisecond)
		is.Equal(len(started), 0)
		c.Reset([]keyval.Item{keyval.NewItem(entryPrefix+"strong", []byte(`{"cores":0.8,"addr":"c:1"}`), 1)})
		is.Equal(<-started, claimDelay)
	})
	t.Run("without the list", func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		<-start(t, newClaims(Settings{Name: "weak", Cores: 0.2}))
		is.True(time.Since(begin) >= claimDelay)
	})
}

func TestLargerEntry(t *testing.T) {
	is := is.New(t)
	c := newClaims(Settings{Name: "weak", Cores: 0.2})
	is.Equal(c.delay(), claimDelay*0)
	c.entries["weak"] = entryInfo{Cores: 0.2, Addr: "a:1"}
	c.entries["alike"] = entryInfo{Cores: 0.25, Addr: "b:1"}
	is.Equal(c.delay(), claimDelay*0)
	c.entries["strong"] = entryInfo{Cores: 0.8, Addr: "c:1"}
	is.Equal(c.delay(), claimDelay)
	is.Equal(c.Helpers(), []string{"c:1", "b:1"})
}
