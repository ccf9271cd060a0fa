package entry

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"burdockreach.dev/flow/sched"
	"burdockreach.dev/plat/conf"
)

// checkedRequest holds the parameters of a request that passed its checks.
type checkedRequest struct {
	service    string
	path       []byte
	team       string
	key        string
	class      sched.Class
	timeout    time.Duration
	idempotent bool
}

const (
	callPrefix  = "/call/"
	maxKeyBytes = 200
)

// check authenticates, authorises and parses a request. A refusal says what is wrong; the request was not run.
func (e *Entry) check(x *fasthttp.RequestCtx, d *conf.Document) (checkedRequest, *Refusal) {
	var o checkedRequest
	name, path, ok := splitPath(x.Request.Header.RequestURI())
	if !ok {
		return o, notRun(fasthttp.StatusNotFound, "route", "path must be /call/{service}/{path}")
	}
	t, r := authenticate(x, d)
	if r != nil {
		return o, r
	}
	v, ok := d.Service(string(name))
	if !ok {
		return o, notRun(fasthttp.StatusNotFound, "route", fmt.Sprintf("service %.64q is not configured", name))
	}
	if !d.Approved(t, v.Name) {
		return o, notRun(fasthttp.StatusForbidden, "approve", fmt.Sprintf("team %q is not approved for service %q", t, v.Name))
	}
	o = checkedRequest{service: v.Name, path: path, team: t}
	if r := e.readClassAndTimeout(x, d, v, &o); r != nil {
		return o, r
	}
	return o, readKey(x, &o)
}

// splitPath splits /call/{service}/{path} into service and path. Query and percent-encoding stay in the path unchanged.
func splitPath(uri []byte) (service, path []byte, ok bool) {
	rest, ok := bytes.CutPrefix(uri, []byte(callPrefix))
	if !ok {
		return nil, nil, false
	}
	n := bytes.IndexAny(rest, "/?")
	if n < 0 {
		return rest, []byte("/"), len(rest) > 0
	}
	if rest[n] == '?' {
		return rest[:n], append([]byte{'/'}, rest[n:]...), n > 0
	}
	return rest[:n], rest[n:], n > 0
}

// authenticate returns the team whose token digest matches the bearer token.
func authenticate(x *fasthttp.RequestCtx, d *conf.Document) (string, *Refusal) {
	const scheme = "Bearer "
	h := x.Request.Header.Peek(fasthttp.HeaderAuthorization)
	if len(h) <= len(scheme) || !strings.EqualFold(string(h[:len(scheme)]), scheme) {
		return "", notRun(fasthttp.StatusUnauthorized, "authenticate", "Authorization must be: Bearer TOKEN")
	}
	sum := sha256.Sum256(h[len(scheme):])
	t, ok := d.TeamByDigest(sum)
	var hexDigest [2 * sha256.Size]byte
	hex.Encode(hexDigest[:], sum[:])
	if !ok || subtle.ConstantTimeCompare(hexDigest[:], []byte(strings.ToLower(t.TokenDigest))) != 1 {
		return "", notRun(fasthttp.StatusUnauthorized, "authenticate", "the token belongs to no team")
	}
	return t.Name, nil
}

// readClassAndTimeout reads the class and the timeout; the timeout defaults to the profile's, then to the settings'.
func (e *Entry) readClassAndTimeout(x *fasthttp.RequestCtx, d *conf.Document, v conf.ServiceSpec, o *checkedRequest) *Refusal {
	switch c := string(x.Request.Header.Peek(headerClass)); conf.Class(c) {
	case conf.Urgent:
		o.class = sched.Urgent
	case conf.Normal, "":
		o.class = sched.Normal
	case conf.Background:
		o.class = sched.Background
	default:
		return notRun(fasthttp.StatusBadRequest, "parse", fmt.Sprintf("%s %.32q must be urgent, normal or background", headerClass, c))
	}
	o.timeout = e.settings.DefaultDeadline()
	if p, ok := d.Profile(v.Profile); ok && p.DeadlineMillis > 0 {
		o.timeout = time.Duration(p.DeadlineMillis) * time.Millisecond
	}
	h := x.Request.Header.Peek(headerTimeout)
	if len(h) == 0 {
		return nil
	}
	n, err := strconv.ParseInt(string(h), 10, 64)
	if limit := e.settings.MaxDeadline().Milliseconds(); err != nil || n < 1 || n > limit {
		return notRun(fasthttp.StatusBadRequest, "parse", fmt.Sprintf("%s %.32q must be 1 to %d milliseconds", headerTimeout, h, limit))
	}
	o.timeout = time.Duration(n) * time.Millisecond
	return nil
}

// readKey reads the idempotency key. Methods that are not idempotent require one; a request with a key is not treated as idempotent.
func readKey(x *fasthttp.RequestCtx, o *checkedRequest) *Refusal {
	k := x.Request.Header.Peek(headerKey)
	o.idempotent = len(k) == 0
	if len(k) == 0 && !isIdempotent(string(x.Method())) {
		return notRun(fasthttp.StatusBadRequest, "parse", fmt.Sprintf("method %.16q needs the header %s", x.Method(), headerKey))
	}
	if len(k) > maxKeyBytes {
		return notRun(fasthttp.StatusBadRequest, "parse", fmt.Sprintf("%s has %d bytes; at most %d are allowed", headerKey, len(k), maxKeyBytes))
	}
	for _, c := range k {
		if c <= ' ' || c > '~' {
			return notRun(fasthttp.StatusBadRequest, "parse", headerKey+" must be printable ASCII without spaces")
		}
	}
	o.key = string(k)
	return nil
}

func isIdempotent(method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodPut, fasthttp.MethodDelete:
		return true
	}
	return false
}
