package conf_test

import (
	"fmt"
	"testing"

	"burdockreach.dev/plat/conf"
)

// documentWithTeams returns a document with that many teams, each approved for two services, and 51 pools with one service each.
func documentWithTeams(b testing.TB, teams int) *conf.Document {
	d := mustApply(b, conf.NewDocument(), conf.Change{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: "gold"}})
	for i := range 51 {
		n := fmt.Sprint("service-", i)
		d = mustApply(b, d, conf.Change{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: n}})
		d = mustApply(b, d, conf.Change{Kind: conf.PutService, Service: &conf.ServiceSpec{Name: n, Profile: "gold", Pool: n}})
	}
	for i := range teams {
		n := fmt.Sprint("team-", i)
		d = mustApply(b, d, conf.Change{Kind: conf.PutTeam, Team: &conf.TeamSpec{Name: n, TokenDigest: tokenDigest(n), QuotaPerSec: 10}})
		for k := range 2 {
			a := &conf.ApprovalSpec{Team: n, Service: fmt.Sprint("service-", (i+k)%51)}
			d = mustApply(b, d, conf.Change{Kind: conf.Approve, Approval: a})
		}
	}
	return d
}

func eachSize(b *testing.B, f func(*testing.B, *conf.Document)) {
	for _, n := range []int{57, 115, 230, 460, 920} {
		d := documentWithTeams(b, n)
		b.Run(fmt.Sprint("teams=", n), func(b *testing.B) {
			b.ReportAllocs()
			f(b, d)
		})
	}
}

func BenchmarkApply(b *testing.B) {
	eachSize(b, func(b *testing.B, d *conf.Document) {
		c := conf.Change{
			Number: d.Number() + 1, Op: "x", Kind: conf.PutTeam,
			Team: &conf.TeamSpec{Name: "team-7", TokenDigest: tokenDigest("team-7"), QuotaPerSec: 20},
		}
		for b.Loop() {
			if _, err := d.Apply(c); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkMarshal(b *testing.B) {
	eachSize(b, func(b *testing.B, d *conf.Document) {
		n := 0
		for b.Loop() {
			v, err := d.Marshal()
			if err != nil {
				b.Fatal(err)
			}
			n = len(v)
		}
		b.ReportMetric(float64(n), "bytes")
	})
}

func BenchmarkParse(b *testing.B) {
	eachSize(b, func(b *testing.B, d *conf.Document) {
		v, err := d.Marshal()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, err := conf.ParseDocument(v); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkHolderDocument(b *testing.B) {
	h := conf.NewHolder()
	h.OfferDocument(documentWithTeams(b, 230))
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if !h.Document().Approved("team-1", "service-1") {
				b.Fail()
			}
		}
	})
}
