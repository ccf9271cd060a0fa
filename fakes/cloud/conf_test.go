package cloud_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/plat/conf"
)

// commitUntilSettled commits c and repeats the commit until its outcome is known.
func commitUntilSettled(ctx context.Context, k *conf.Committer, c conf.Change) error {
	commit := k.Commit
	for {
		t, cancel := context.WithTimeout(ctx, time.Second)
		_, err := commit(t, c)
		cancel()
		if !errors.Is(err, conf.ErrUnsettled) && !errors.Is(err, conf.ErrNotAccepted) {
			return err
		}
		commit = k.Repeat
	}
}

// TestConfigurationOverFaults guards against lost, duplicated or diverging configuration changes. Three entries edit over HTTP
// while the platform loses answers, refuses connections, hangs, and is restored to an older snapshot. Every entry must end with
// the same document, in which each edit is applied exactly once.
func TestConfigurationOverFaults(t *testing.T) {
	is := is.New(t)
	s := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	var run, edit errgroup.Group
	holders := make([]*conf.Holder, 3)
	for i := range holders {
		c, h := client(t, s, fmt.Sprint("entry-", i)), conf.NewHolder()
		holders[i] = h
		f := conf.NewFollower(c, h, conf.WithWatchTimeout(100*time.Millisecond), conf.WithAuditInterval(200*time.Millisecond), conf.WithHealJitter(50*time.Millisecond))
		run.Go(func() error { return f.Run(ctx) })
		k := conf.NewCommitter(c, h)
		edit.Go(func() error {
			for n := range 20 {
				name := fmt.Sprintf("p-%d-%d", i, n)
				if err := commitUntilSettled(ctx, k, conf.Change{Op: name, Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: name}}); err != nil {
					return err
				}
				time.Sleep(5 * time.Millisecond)
			}
			return nil
		})
	}
	for _, m := range []cloud.FaultMode{cloud.Lose, cloud.Refuse, cloud.Silent, cloud.Down, cloud.Lose} {
		s.Save()
		time.Sleep(50 * time.Millisecond)
		s.Fault(cloud.Fault{Mode: m})
		time.Sleep(50 * time.Millisecond)
		s.Restore()
		s.Fault(cloud.Fault{Mode: cloud.Up})
	}
	is.NoErr(edit.Wait())
	for _, h := range holders {
		for len(h.Document().Pools()) < 60 || !h.Document().Equal(holders[0].Document()) {
			time.Sleep(5 * time.Millisecond) // ends with the timeout of go test at the latest
		}
	}
	is.Equal(holders[0].Document().Number(), conf.Number(60)) // each edit exactly once
	cancel()
	is.NoErr(run.Wait())
}
