package place

import (
	"testing"

	"github.com/matryer/is"
)

func TestReplayNight(t *testing.T) {
	d := NightTrace(1, 20, 2400)
	a, b := Replay(d, New()), Replay(d, NewFirstFit())
	t.Logf("placer    %+v", a)
	t.Logf("first fit %+v", b)
	is.New(t).True(a.InTime > b.InTime)
	is.New(t).Equal(a.DuplicateStarts, 0)
	is.New(t).True(a.MaxUrgentWaitMillis <= 1500)
	is.New(t).True(a.WastedCoreMillis < b.WastedCoreMillis)
}
