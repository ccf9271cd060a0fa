package relay

import (
	"bytes"
	"context"
	"time"

	"burdockreach.dev/flow/ledger"
)

// sendWindow is how long after the start of its claim a copy may be sent.
const sendWindow = 5 * time.Second

// Ticket permits one copy of a keyed request to be sent, and delivers its outcome to the holders of the key.
type Ticket struct {
	settlement *settlement
	sendBy     time.Time
}

// SendBy returns the time after which the copy must not be sent.
func (t *Ticket) SendBy() time.Time { return t.sendBy }

// Settle delivers the outcome of the copy to the holders, in the background. It copies answer and may be called once.
//
// The phase p is Answered, Unknown or NotRun; an answer of up to ledger.MaxAnswerBytes bytes is stored for later copies.
func (t *Ticket) Settle(p ledger.Phase, status int, contentType string, answer []byte) {
	j := t.settlement
	j.record.Phase, j.record.Status = p, status
	if p == ledger.Answered && len(answer) <= ledger.MaxAnswerBytes {
		j.record.HasAnswer, j.record.ContentType, j.record.Answer = true, contentType, bytes.Clone(answer)
	}
	j.enqueue()
}

// attempt is the claim of one copy while it is being made.
type attempt struct {
	k       *KeyHolder
	home    string // data centre whose entries remember the key
	request *ClaimRequest
	id      ledger.ID
	digest  ledger.Digest
	attempt ledger.Attempt
	claim   *ledger.Claim
}

// ClaimKey claims key for one copy of a request. attemptID must be unique to the copy, and digest identifies the contents of the request.
//
// The error is a *RepeatError if another copy has claimed the key, or a *RefusedError. After an error the copy must not be sent.
func (k *KeyHolder) ClaimKey(ctx context.Context, key string, digest []byte, attemptID string) (*Ticket, error) {
	a := &attempt{
		k: k, home: ledger.HomeDataCentre(key, k.dataCentres), id: ledger.NewID(key),
		digest: ledger.NewDigest(digest), attempt: ledger.NewAttempt(attemptID),
		request: &ClaimRequest{Key: key, Entry: k.self.Entry, Attempt: attemptID, Digest: digest},
	}
	a.claim = ledger.NewClaim(a.id)
	start := k.now()
	cmds := a.claim.Update(ledger.StartMsg{Now: start, Roster: k.Roster(a.home)})
	for {
		var m ledger.Msg
		for _, c := range cmds {
			switch c := c.(type) {
			case ledger.SendCmd:
				return &Ticket{settlement: a.newSettlement(c.Holders, c.InStore), sendBy: start.Add(sendWindow)}, nil
			case ledger.RefuseCmd:
				return nil, a.refusal(c)
			case ledger.RepeatCmd:
				return nil, &RepeatError{record: c.Record}
			case ledger.ReleaseCmd:
				a.release(c)
			default:
				m = a.perform(ctx, c)
			}
		}
		if ctx.Err() != nil {
			m = ledger.CancelMsg{}
		}
		cmds = a.claim.Update(m)
	}
}

// refusal returns the error of a refused claim. Unless the key was used for another request, it also requests a refresh of
// the roster.
func (a *attempt) refusal(c ledger.RefuseCmd) error {
	if c.Reason != ledger.OtherRequest {
		a.k.requestRefresh(a.home)
	}
	return &RefusedError{reason: c.Reason, notRun: c.NotRun, retryAfter: c.RetryAfter, peer: c.Holder}
}

// perform carries out a command that takes time and returns its result.
func (a *attempt) perform(ctx context.Context, c ledger.Cmd) ledger.Msg {
	switch c := c.(type) {
	case ledger.AskCmd:
		return a.askHolder(ctx, c)
	case ledger.WaitCmd:
		t := time.NewTimer(c.For)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		return ledger.NoReplyMsg{Now: a.k.now(), Roster: a.k.Roster(a.home)}
	case ledger.ConfirmCmd:
		return ledger.ConfirmMsg{Number: a.k.confirmRoster(ctx, a.home)}
	default:
		return a.k.createKey(ctx, a)
	}
}

// askHolder asks a holder for the claim: this entry directly, another one by a call.
func (a *attempt) askHolder(ctx context.Context, c ledger.AskCmd) ledger.Msg {
	if c.Holder.SameIncarnation(a.k.self) {
		r := a.k.claimLocal(ledger.ClaimMsg{ID: a.id, Roster: c.Roster, Attempt: a.attempt, Digest: a.digest})
		return ledger.ReplyMsg{Now: a.k.now(), Holder: c.Holder.Entry, Reply: r, Roster: a.k.Roster(a.home)}
	}
	a.request.Roster = c.Roster
	w, err := a.k.client.Claim(ctx, c.Holder.Addr, a.request)
	if err == nil {
		err = a.k.LearnRoster(w.GetRosterDocument())
	}
	var r ledger.ClaimReply
	if err == nil {
		r, err = fromReply(w)
	}
	if err != nil {
		return ledger.NoReplyMsg{Now: a.k.now(), Holder: c.Holder.Entry, Roster: a.k.Roster(a.home)}
	}
	return ledger.ReplyMsg{Now: a.k.now(), Holder: c.Holder.Entry, Reply: r, Roster: a.k.Roster(a.home)}
}

// release tells the holders that the copy is not run, so that the key is free again.
func (a *attempt) release(c ledger.ReleaseCmd) {
	j := a.newSettlement(c.Holders, c.InStore)
	j.record.Phase = ledger.NotRun
	j.enqueue()
}

// newSettlement returns a settlement of the copy without an outcome.
func (a *attempt) newSettlement(holders []ledger.Member, store bool) *settlement {
	return &settlement{
		outbox: a.k.outbox, home: a.home, key: a.request.Key, attempt: a.request.Attempt, holders: holders, mayHaveStoreKey: store,
		record: ledger.Record{ID: a.id, Attempt: a.attempt, Digest: a.digest},
	}
}
