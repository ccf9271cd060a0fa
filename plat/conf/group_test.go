package conf_test

import (
	"testing"

	"golang.org/x/sync/errgroup"
)

// runConcurrently runs each f in a goroutine and waits for all.
func runConcurrently(t testing.TB, fs ...func()) {
	t.Helper()
	var g errgroup.Group
	for _, f := range fs {
		g.Go(func() error {
			f()
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}
