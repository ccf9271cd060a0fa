package relay

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/flow/ledger"
)

// toRecord and the functions below convert between the types of package ledger and those of the protocol.
func toRecord(r ledger.Record) *Record {
	return &Record{
		Key: r.ID.String(), AttemptHash: uint64(r.Attempt), DigestHash: uint64(r.Digest), Phase: Phase(r.Phase),
		Status: int32(r.Status), Answer: r.Answer, Kept: r.HasAnswer, ContentType: r.ContentType, AgeMillis: r.Age.Milliseconds(),
	}
}

func fromRecord(r *Record) (ledger.Record, error) {
	id, err := ledger.ParseID(r.GetKey())
	return ledger.Record{
		ID: id, Attempt: ledger.Attempt(r.GetAttemptHash()), Digest: ledger.Digest(r.GetDigestHash()), Phase: fromPhase(r.GetPhase()),
		Status: int(r.GetStatus()), Answer: r.GetAnswer(), HasAnswer: r.GetKept(), ContentType: r.GetContentType(),
		Age: time.Duration(r.GetAgeMillis()) * time.Millisecond,
	}, err
}

// fromPhase converts a phase; a value that it does not know becomes ledger.Unknown, which forbids a second run.
func fromPhase(p Phase) ledger.Phase {
	if p < Phase_PHASE_NONE || p > Phase_PHASE_NOT_RUN {
		return ledger.Unknown
	}
	return ledger.Phase(p)
}

func toReply(r ledger.ClaimReply) *ClaimReply {
	o := &ClaimReply{Verdict: Verdict(r.Verdict), RetryMillis: r.RetryAfter.Milliseconds(), Store: r.NeedsStoreKey}
	if r.Verdict == ledger.Repeat || r.Verdict == ledger.Mismatch {
		o.Record = toRecord(r.Record)
	}
	return o
}

func fromReply(r *ClaimReply) (ledger.ClaimReply, error) {
	o := ledger.ClaimReply{
		Verdict: ledger.Verdict(r.GetVerdict()), NeedsStoreKey: r.GetStore(), RetryAfter: time.Duration(r.GetRetryMillis()) * time.Millisecond,
	}
	if r.GetVerdict() < Verdict_VERDICT_GRANTED || r.GetVerdict() > Verdict_VERDICT_FULL {
		return o, eris.Errorf("relay: unknown verdict %d", r.GetVerdict())
	}
	if r.GetRecord() == nil {
		return o, nil
	}
	var err error
	o.Record, err = fromRecord(r.GetRecord())
	return o, err
}

func toLapse(l ledger.RecordGap, now time.Time) *Lapse {
	m, _ := json.Marshal(l.Members) // cannot fail: only strings and numbers
	o, _ := json.Marshal(l.Lost)
	w := &Lapse{Roster: l.Roster, Members: m, Lost: o}
	if !l.Until.IsZero() {
		w.LeftMillis = max(l.Until.Sub(now).Milliseconds(), 1)
	}
	return w
}

func fromLapse(w *Lapse, now time.Time) (ledger.RecordGap, error) {
	l := ledger.RecordGap{Roster: w.GetRoster()}
	if err := json.Unmarshal(w.GetMembers(), &l.Members); err != nil {
		return l, eris.Wrap(err, "relay: decode the members of a lapse")
	}
	if err := json.Unmarshal(w.GetLost(), &l.Lost); err != nil {
		return l, eris.Wrap(err, "relay: decode the lost members of a lapse")
	}
	if m := w.GetLeftMillis(); m > 0 {
		l.Until = now.Add(time.Duration(m) * time.Millisecond)
	}
	return l, nil
}

func toPage(p ledger.Page, now time.Time) *RecordsReply {
	r := &RecordsReply{More: p.More, Complete: p.Complete, After: p.After}
	for _, e := range p.Records {
		r.Records = append(r.Records, toRecord(e))
	}
	for _, l := range p.Gaps {
		r.Lapses = append(r.Lapses, toLapse(l, now))
	}
	return r
}

func fromPage(r *RecordsReply, now time.Time) (ledger.Page, error) {
	p := ledger.Page{More: r.GetMore(), Complete: r.GetComplete(), After: r.GetAfter()}
	for _, w := range r.GetRecords() {
		e, err := fromRecord(w)
		if err != nil {
			return p, err
		}
		p.Records = append(p.Records, e)
	}
	for _, w := range r.GetLapses() {
		l, err := fromLapse(w, now)
		if err != nil {
			return p, err
		}
		p.Gaps = append(p.Gaps, l)
	}
	return p, nil
}
