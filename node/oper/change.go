package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"burdockreach.dev/plat/conf"
)

// maxOpBytes is the maximum length of an operation id.
const maxOpBytes = 128

// commitChange commits the change in the request body.
func (a *API) commitChange(c context.Context, x *fasthttp.RequestCtx) {
	g, bad := parseChange(x.PostBody())
	if bad != nil {
		a.refuse(x, fasthttp.StatusBadRequest, *bad)
		return
	}
	if g.Op == "" {
		g.Op = uuid.NewString()
	}
	g.At = a.now().UTC()
	t, cancel := context.WithTimeout(c, commitTimeout)
	defer cancel()
	n, err := a.config.Commit(t, g)
	r := changeReply(g.Op, n, err)
	a.log.Info().Str("step", "change").Stringer("peer", x.RemoteAddr()).Str("op", g.Op).Str("by", g.By).Str("kind", string(g.Kind)).
		Str("object", g.Object()).Str("outcome", string(r.Outcome)).Int64("n", int64(r.Number)).Str("reason", r.Reason).Msg("change")
	reply(x, changeStatus(r), r)
}

// settleChange answers whether an operation was accepted.
func (a *API) settleChange(c context.Context, x *fasthttp.RequestCtx) {
	op := string(x.QueryArgs().Peek("op"))
	if op == "" || len(op) > maxOpBytes {
		a.refuse(x, fasthttp.StatusBadRequest, Refusal{
			Reason: "bad query", Field: "op", Value: truncate(op), Allowed: fmt.Sprintf("1 to %d bytes", maxOpBytes),
		})
		return
	}
	t, cancel := context.WithTimeout(c, commitTimeout)
	defer cancel()
	n, err := a.config.Settle(t, op)
	r := changeReply(op, n, err)
	reply(x, changeStatus(r), r)
}

// parseChange parses a change; number and prev must be unset, since they are set on acceptance.
func parseChange(b []byte) (conf.Change, *Refusal) {
	var c conf.Change
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, jsonRefusal(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return c, &Refusal{Reason: "malformed change", Field: "body", Value: "more than one value", Allowed: "one JSON object"}
	}
	if c.Number != 0 {
		return c, &Refusal{Reason: "malformed change", Field: "n", Value: fmt.Sprint(c.Number), Allowed: "none: the number is given on acceptance"}
	}
	if c.Prev != "" {
		return c, &Refusal{Reason: "malformed change", Field: "prev", Value: truncate(c.Prev), Allowed: "none: it is set on acceptance"}
	}
	return c, nil
}

// jsonRefusal returns a refusal that names the field and value of a JSON decoding error.
func jsonRefusal(err error) *Refusal {
	r := &Refusal{Reason: "malformed change", Field: "body", Value: "not readable", Allowed: "one JSON object: " + err.Error()}
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		r.Field, r.Value, r.Allowed = t.Field, t.Value, "a value of type "+t.Type.String()
	}
	if f, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		r.Field, r.Value, r.Allowed = strings.Trim(f, `"`), "unknown field", "the fields of a change"
	}
	return r
}

// changeReply returns the reply to an operation that ended with n or err.
func changeReply(op string, n conf.Number, err error) ChangeReply {
	var f *conf.FieldError
	switch {
	case err == nil:
		return ChangeReply{Outcome: Accepted, Op: op, Number: n}
	case errors.As(err, &f):
		return ChangeReply{Outcome: NotAccepted, Op: op, Reason: "not valid", Field: f.Field(), Value: truncate(f.Value()), Allowed: f.Allowed()}
	case errors.Is(err, conf.ErrNotAccepted), errors.Is(err, conf.ErrInvalid):
		return ChangeReply{Outcome: NotAccepted, Op: op, Reason: eris.ToString(err, false)}
	default:
		return ChangeReply{Outcome: Unknown, Op: op, Reason: eris.ToString(err, false)}
	}
}

// changeStatus returns the HTTP status of a reply.
func changeStatus(r ChangeReply) int {
	switch {
	case r.Outcome == Accepted:
		return fasthttp.StatusOK
	case r.Outcome == Unknown:
		return fasthttp.StatusGatewayTimeout
	case r.Field != "":
		return fasthttp.StatusUnprocessableEntity
	default:
		return fasthttp.StatusConflict
	}
}

// maxShownBytes is the maximum length of a value that an answer repeats.
const maxShownBytes = 200

// truncate shortens s to maxShownBytes for use in an answer.
func truncate(s string) string {
	if len(s) > maxShownBytes {
		return s[:maxShownBytes] + "..."
	}
	return s
}
