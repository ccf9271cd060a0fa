package target

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// control serves one call at the control address.
func (t *Target) control(x *fasthttp.RequestCtx) {
	switch string(x.Path()) {
	case "/ctl/runs":
		reply(x, t.report(!x.QueryArgs().Has("brief")))
		return
	case "/ctl/drain":
		t.Drain()
	case "/ctl/undrain":
		t.draining.Store(false)
	case "/ctl/reboot":
		t.ctlReboot(x)
	case "/ctl/assign":
		t.ctlAssign(x)
	case "/ctl/fault":
		t.ctlFault(x)
	default:
		x.Error("no such call", fasthttp.StatusNotFound)
		return
	}
	if x.Response.StatusCode() == fasthttp.StatusOK {
		reply(x, struct {
			OK bool `json:"ok"`
		}{true})
	}
}

// Drain makes the target refuse new requests and state that it is leaving. Running requests continue.
func (t *Target) Drain() {
	t.mu.Lock()
	t.drainStart = time.Now()
	t.mu.Unlock()
	t.draining.Store(true)
}

// Reboot stops the target immediately and starts it again after its reboot time.
// Interrupted requests count as cut if the reboot is planned, as crashed otherwise.
func (t *Target) Reboot(planned bool) { t.rebootFor(planned, t.rebootTime) }

// rebootFor requests a reboot with downtime d. It does nothing if another reboot is already requested.
func (t *Target) rebootFor(planned bool, d time.Duration) {
	select {
	case t.reboots <- reboot{planned: planned, downtime: d}:
	default:
	}
}

// SetFault applies the fault to every request without a Fake-Fault header. The mode None ends it.
func (t *Target) SetFault(f Fault) {
	if f.Mode == None {
		t.fault.Store(nil)
		return
	}
	t.fault.Store(&f)
}

func (t *Target) ctlReboot(x *fasthttp.RequestCtx) {
	d := t.rebootTime
	if n := x.QueryArgs().GetUintOrZero("ms"); n > 0 {
		d = time.Duration(n) * time.Millisecond
	}
	t.rebootFor(!x.QueryArgs().Has("crash"), d)
}

func (t *Target) ctlAssign(x *fasthttp.RequestCtx) {
	var a struct {
		Pool string `json:"pool"`
	}
	if !decodeBody(x, &a) {
		return
	}
	t.mu.Lock()
	t.pool = a.Pool
	t.mu.Unlock()
	t.count.assigned()
}

func (t *Target) ctlFault(x *fasthttp.RequestCtx) {
	var f Fault
	if decodeBody(x, &f) {
		t.SetFault(f)
	}
}

// decodeBody decodes the JSON body of the call into v. On failure it answers 400 and returns false.
func decodeBody(x *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(x.PostBody(), v); err != nil {
		x.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func reply(x *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		x.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	x.SetContentType("application/json")
	x.SetBody(b)
}
