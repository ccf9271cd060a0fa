package oper

import (
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"

	"burdockreach.dev/plat/conf"
)

// showDocument answers with the configuration document in force.
func (a *API) showDocument(x *fasthttp.RequestCtx) {
	b, err := a.config.Document().Marshal()
	if err != nil {
		a.refuse(x, fasthttp.StatusInternalServerError, Refusal{Reason: "the configuration cannot be written"})
		return
	}
	x.SetContentType("application/json")
	x.SetBody(b)
}

func (a *API) profiles(x *fasthttp.RequestCtx) {
	d := a.config.Document()
	listObjects(a, x, d, d.Profiles(), conf.PutProfile, func(p conf.ProfileSpec) string { return p.Name })
}

func (a *API) services(x *fasthttp.RequestCtx) {
	d := a.config.Document()
	listObjects(a, x, d, d.Services(), conf.PutService, func(s conf.ServiceSpec) string { return s.Name })
}

func (a *API) pools(x *fasthttp.RequestCtx) {
	d := a.config.Document()
	listObjects(a, x, d, d.Pools(), conf.PutPool, func(p conf.PoolSpec) string { return p.Name })
}

func (a *API) teams(x *fasthttp.RequestCtx) {
	d := a.config.Document()
	listObjects(a, x, d, d.Teams(), conf.PutTeam, func(t conf.TeamSpec) string { return t.Name })
}

func (a *API) waves(x *fasthttp.RequestCtx) {
	d := a.config.Document()
	listObjects(a, x, d, d.Waves(), conf.PutWave, func(w conf.WaveSpec) string { return w.ID })
}

// listObjects answers with all objects of kind k, or with the one that the query names.
func listObjects[T any](a *API, x *fasthttp.RequestCtx, d *conf.Document, all []T, k conf.Kind, name func(T) string) {
	want := string(x.QueryArgs().Peek("name"))
	r := Objects[T]{Number: d.Number(), Items: []Object[T]{}}
	for _, v := range all {
		if want == "" || name(v) == want {
			r.Items = append(r.Items, Object[T]{Spec: v, Changed: d.LastChange(k, name(v))})
		}
	}
	if want != "" && len(r.Items) == 0 {
		a.refuse(x, fasthttp.StatusNotFound, Refusal{Reason: "no such object", Field: "name", Value: truncate(want), Allowed: "an existing name"})
		return
	}
	reply(x, fasthttp.StatusOK, r)
}

// approvals answers with the approvals, filtered by the team and the service of the query if given.
func (a *API) approvals(x *fasthttp.RequestCtx) {
	d := a.config.Document()
	team, service := string(x.QueryArgs().Peek("team")), string(x.QueryArgs().Peek("service"))
	r := Objects[conf.ApprovalSpec]{Number: d.Number(), Items: []Object[conf.ApprovalSpec]{}}
	for _, v := range d.Approvals() {
		if matches(team, v.Team) && matches(service, v.Service) {
			n := d.LastChange(conf.Approve, conf.ApprovalName(v.Team, v.Service))
			r.Items = append(r.Items, Object[conf.ApprovalSpec]{Spec: v, Changed: n})
		}
	}
	reply(x, fasthttp.StatusOK, r)
}

// vms answers with the VMs that match the query.
func (a *API) vms(x *fasthttp.RequestCtx) {
	arg := func(k string) string { return string(x.QueryArgs().Peek(k)) }
	vs := slices.DeleteFunc(slices.Clone(a.fleet.VMs()), func(v VM) bool {
		return !matches(arg("name"), v.ID) || !matches(arg("pool"), v.Pool) ||
			!matches(arg("state"), v.State) || !matches(arg("dataCentre"), v.DataCentre)
	})
	if arg("name") != "" && len(vs) == 0 {
		a.refuse(x, fasthttp.StatusNotFound, Refusal{Reason: "no such VM", Field: "name", Value: truncate(arg("name")), Allowed: "an existing name"})
		return
	}
	reply(x, fasthttp.StatusOK, VMs{Items: vs})
}

// matches reports whether v equals the wanted value; an empty want matches every value.
func matches(want, v string) bool { return want == "" || want == v }

func (a *API) entries(x *fasthttp.RequestCtx) {
	reply(x, fasthttp.StatusOK, Entries{Items: a.fleet.Entries()})
}

// applied answers whether a change is in force at every known entry. An entry without a recent heartbeat counts as not having it.
func (a *API) applied(x *fasthttp.RequestCtx) {
	r := Applied{Entry: a.name, Newest: a.config.Document().Number(), Entries: a.fleet.Entries()}
	r.Number = r.Newest
	if s := string(x.QueryArgs().Peek("n")); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 1 {
			a.refuse(x, fasthttp.StatusBadRequest, Refusal{Reason: "bad query", Field: "n", Value: truncate(s), Allowed: "a whole number from 1"})
			return
		}
		r.Number = conf.Number(n)
	}
	r.InForce = r.Newest >= r.Number
	for _, e := range r.Entries {
		r.InForce = r.InForce && e.Reachable && e.Applied >= r.Number
	}
	if c, ok := a.config.ChangeAt(r.Number); ok {
		r.ChangedAt, r.AgeMs, r.Op, r.ChangedBy = c.At, a.now().Sub(c.At).Milliseconds(), c.Op, c.By
	}
	reply(x, fasthttp.StatusOK, r)
}

func (a *API) report(x *fasthttp.RequestCtx) {
	reply(x, fasthttp.StatusOK, a.reporter.Report(a.now()))
}
