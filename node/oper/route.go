package oper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
)

// route is the handler of a method and path, with the query fields that it accepts.
type route struct {
	queryFields []string
	serve       handler
}

// handler serves one request; c ends when the server shuts down. The request context must not be the parent of other contexts,
// since the server reuses it.
type handler func(c context.Context, x *fasthttp.RequestCtx)

// withoutContext adapts a handler that needs no context, because it waits for nothing.
func withoutContext(f fasthttp.RequestHandler) handler {
	return func(_ context.Context, x *fasthttp.RequestCtx) { f(x) }
}

// routeTable returns the routes by method and path.
func (a *API) routeTable() map[string]route {
	get := func(f fasthttp.RequestHandler, args ...string) route { return route{args, withoutContext(f)} }
	return map[string]route{
		"POST /op/change":      {nil, a.commitChange},
		"GET /op/change":       {[]string{"op"}, a.settleChange},
		"GET /op/conf":         get(a.showDocument),
		"GET /op/profiles":     get(a.profiles, "name"),
		"GET /op/services":     get(a.services, "name"),
		"GET /op/pools":        get(a.pools, "name"),
		"GET /op/teams":        get(a.teams, "name"),
		"GET /op/waves":        get(a.waves, "name"),
		"GET /op/approvals":    get(a.approvals, "team", "service"),
		"GET /op/vms":          get(a.vms, "name", "pool", "state", "dataCentre"),
		"GET /op/entries":      get(a.entries),
		"GET /op/applied":      get(a.applied, "n"),
		"GET /op/jobs":         {[]string{"id", "dataCentre", "pool", "state"}, a.requireJobs(a.listJobs)},
		"POST /op/jobs":        {nil, a.requireJobs(a.submitJobs)},
		"POST /op/jobs/cancel": {nil, a.requireJobs(a.cancelJobs)},
		"GET /op/burn":         get(a.report),
		"GET /debug/vars":      get(expvarhandler.ExpvarHandler, "r"),
	}
}

// Handle serves one request. c bounds the calls that it makes.
func (a *API) Handle(c context.Context, x *fasthttp.RequestCtx) {
	if !a.hasOperatorToken(x) {
		a.refuse(x, fasthttp.StatusUnauthorized, Refusal{Reason: "no operator's token, or one that this entry does not know"})
		return
	}
	r, ok := a.routes[string(x.Method())+" "+string(x.Path())]
	if !ok {
		a.refuse(x, fasthttp.StatusNotFound, Refusal{Reason: fmt.Sprintf("no such call: %s %s", x.Method(), x.Path())})
		return
	}
	if f := unknownQueryField(x, r.queryFields); f != "" {
		a.refuse(x, fasthttp.StatusBadRequest, Refusal{
			Reason: "unknown query field", Field: f, Value: string(x.QueryArgs().Peek(f)), Allowed: fmt.Sprintf("one of %v", r.queryFields),
		})
		return
	}
	if len(x.PostBody()) > maxBodyBytes {
		refuseUnreadable(x, fasthttp.ErrBodyTooLarge)
		return
	}
	r.serve(c, x)
}

// unknownQueryField returns a query field that is not in known, or "".
func unknownQueryField(x *fasthttp.RequestCtx, known []string) string {
	for k := range x.QueryArgs().All() {
		found := false
		for _, n := range known {
			found = found || n == string(k)
		}
		if !found {
			return string(k)
		}
	}
	return ""
}

// refuse logs a refused request and answers it with r.
func (a *API) refuse(x *fasthttp.RequestCtx, status int, r Refusal) {
	a.log.Info().Str("step", "operate").Stringer("peer", x.RemoteAddr()).Bytes("path", x.Path()).
		Int("status", status).Str("reason", r.Reason).Str("field", r.Field).Msg("operatorRefused")
	reply(x, status, r)
}

// reply answers with v as JSON.
func reply(x *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		x.Error(`{"reason":"the answer cannot be written"}`, fasthttp.StatusInternalServerError)
		return
	}
	x.SetStatusCode(status)
	x.SetContentType("application/json")
	x.SetBody(append(b, '\n'))
}

// refuseUnreadable answers a request that is too long or malformed.
func refuseUnreadable(x *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		reply(x, fasthttp.StatusRequestEntityTooLarge, Refusal{
			Reason: "request too long", Field: "body", Value: "too long", Allowed: fmt.Sprintf("at most %d bytes", maxBodyBytes),
		})
		return
	}
	reply(x, fasthttp.StatusBadRequest, Refusal{Reason: "malformed request"})
}
