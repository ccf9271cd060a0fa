package conf_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"burdockreach.dev/plat/conf"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func tokenDigest(s string) string {
	d := sha256.Sum256([]byte(s))
	return hex.EncodeToString(d[:])
}

// baseDocument returns a document with a profile, two pools, a service, a team, an approval and a wave.
func baseDocument(t testing.TB) *conf.Document {
	d := conf.NewDocument()
	for _, c := range []conf.Change{
		{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: "gold"}},
		{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "riders"}},
		{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "office", Spare: true}},
		{Kind: conf.PutService, Service: &conf.ServiceSpec{Name: "routes", Profile: "gold", Pool: "riders"}},
		{Kind: conf.PutTeam, Team: &conf.TeamSpec{Name: "reception", TokenDigest: tokenDigest("r")}},
		{Kind: conf.Approve, Approval: &conf.ApprovalSpec{Team: "reception", Service: "routes"}},
		{Kind: conf.PutWave, Wave: &conf.WaveSpec{ID: "w1", Pools: []string{"riders"}}},
	} {
		d = mustApply(t, d, c)
	}
	return d
}

func mustApply(t testing.TB, d *conf.Document, c conf.Change) *conf.Document {
	t.Helper()
	c.Number = d.Number() + 1
	if c.Op == "" {
		c.Op = fmt.Sprint("op", c.Number)
	}
	e, err := d.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestValidateNamesTheField(t *testing.T) {
	d := baseDocument(t)
	for _, c := range []struct {
		field  string
		change conf.Change
	}{
		{"kind", conf.Change{Kind: "makeTea"}},
		{"profile", conf.Change{Kind: conf.PutProfile}},
		{"team", conf.Change{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "a"}, Team: &conf.TeamSpec{}}},
		{"profile.name", conf.Change{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: "a b"}}},
		{"profile.maxVMs", conf.Change{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: "a", MinVMs: 5, MaxVMs: 4}}},
		{"profile.targetUse", conf.Change{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: "a", TargetUse: 1.5}}},
		{"service.profile", conf.Change{Kind: conf.PutService, Service: &conf.ServiceSpec{Name: "a", Profile: "no", Pool: "office"}}},
		{"service.pool", conf.Change{Kind: conf.PutService, Service: &conf.ServiceSpec{Name: "a", Profile: "gold", Pool: "riders"}}},
		{"team.tokenDigest", conf.Change{Kind: conf.PutTeam, Team: &conf.TeamSpec{Name: "b", TokenDigest: tokenDigest("r")}}},
		{"team.tokenDigest", conf.Change{Kind: conf.PutTeam, Team: &conf.TeamSpec{Name: "b", TokenDigest: "zz"}}},
		{"approval.team", conf.Change{Kind: conf.Approve, Approval: &conf.ApprovalSpec{Team: "no", Service: "routes"}}},
		{"approval", conf.Change{Kind: conf.Withdraw, Approval: &conf.ApprovalSpec{Team: "no", Service: "routes"}}},
		{"wave.pools", conf.Change{Kind: conf.PutWave, Wave: &conf.WaveSpec{ID: "a", Pools: []string{"riders", "riders"}}}},
		{"name", conf.Change{Kind: conf.DropProfile, Name: "gold"}},
		{"name", conf.Change{Kind: conf.DropPool, Name: "riders"}},
		{"expect", conf.Change{Kind: conf.DropTeam, Name: "reception", Expect: 2}},
		{"expect", conf.Change{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "riders"}, Expect: conf.ExpectAbsent}},
	} {
		t.Run(c.field, func(t *testing.T) {
			is := is.New(t)
			c.change.Op, c.change.Number = "x", d.Number()+1
			before, err := d.Marshal()
			is.NoErr(err)
			_, err = d.Apply(c.change)
			var f *conf.FieldError
			is.True(errors.As(err, &f)) // a typed error
			is.Equal(f.Field(), c.field)
			is.True(errors.Is(err, conf.ErrInvalid))
			after, err := d.Marshal()
			is.NoErr(err)
			is.Equal(string(before), string(after)) // the document is unchanged
		})
	}
}

func TestDocumentLookups(t *testing.T) {
	is := is.New(t)
	d := baseDocument(t)
	team, ok := d.TeamByDigest(sha256.Sum256([]byte("r")))
	is.True(ok)
	is.Equal(team.Name, "reception")
	is.True(d.Approved("reception", "routes"))
	is.Equal(d.LastChange(conf.Approve, conf.ApprovalName("reception", "routes")), conf.Number(6))
	p, _ := d.Profile("gold")
	is.Equal(p.UrgentStartMillis, conf.DefaultUrgentStartMillis)

	b, err := d.Marshal()
	is.NoErr(err)
	e, err := conf.ParseDocument(b)
	is.NoErr(err)
	is.True(d.Equal(e))

	f := mustApply(t, d, conf.Change{Kind: conf.DropTeam, Name: "reception"})
	is.True(!f.Approved("reception", "routes")) // its approvals are removed with the team
	is.True(d.Approved("reception", "routes"))  // the older document is unchanged
	_, ok = f.TeamByDigest(sha256.Sum256([]byte("r")))
	is.True(!ok)
}

func TestHolderWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := conf.NewHolder()
		errs := make(chan error, 1)
		n, err := h.Offer(putPool(2, "b"))
		is.True(errors.Is(err, conf.ErrGap))
		is.Equal(n, 0)
		runConcurrently(t, func() { errs <- h.Wait(t.Context(), 2) }, func() {
			synctest.Wait()
			_, err := h.Offer(putPool(1, "a"), putPool(2, "b"))
			is.NoErr(err)
		})
		is.NoErr(<-errs)
	})
}

// putPool returns change n, which puts a pool that is named after op.
func putPool(n conf.Number, op string) conf.Change {
	return conf.Change{Number: n, Op: op, Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "p-" + op}}
}
