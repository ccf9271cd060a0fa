package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var benchSizes = []int{1e3, 1e4, 1e5, 1e6}

func benchIDs(n int) []ID {
	l := make([]ID, n)
	for i := range l {
		l[i] = NewID(fmt.Sprint(i))
	}
	return l
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBook measures the time of a claim with its settlement, and the bytes per record, in a book of constant size.
func BenchmarkBook(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ids := benchIDs(2 * n)
			before := heapBytes()
			k, number := singleMemberBook(WithRecords(2 * n))
			now, step := clusterStart, RecordTTL/time.Duration(n)
			for _, id := range ids[:n] {
				claimAndSettle(k, id, number, now)
				now = now.Add(step)
			}
			bytes := float64(heapBytes()-before) / float64(k.Len())
			b.ResetTimer()
			b.ReportAllocs()
			for i := range b.N {
				claimAndSettle(k, ids[(n+i)%(2*n)], number, now)
				now = now.Add(step)
			}
			b.StopTimer()
			b.ReportMetric(bytes, "B/record")
			runtime.KeepAlive(ids)
		})
	}
}

func claimAndSettle(k *Book, id ID, number int64, now time.Time) {
	k.Claim(ClaimMsg{Now: now, ID: id, Roster: number, Attempt: 7, Digest: 9})
	k.Settle(SettleMsg{Now: now, Record: Record{ID: id, Attempt: 7, Phase: Answered}})
}

func BenchmarkHolders(b *testing.B) {
	for _, n := range []int{3, 20, 50} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var m []Member
			for k := range n {
				m = append(m, Member{Entry: fmt.Sprint(k)})
			}
			r, id := NewRoster("east", m, 1), NewID("k")
			for b.Loop() {
				r.HoldersOf(id)
			}
		})
	}
}
