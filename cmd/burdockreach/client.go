package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/oper"
)

const (
	entriesEnv         = "BURDOCKREACH_ENTRIES"
	tokenFileEnv       = "BURDOCKREACH_TOKEN_FILE"
	maxTokenBytes      = 4 << 10
	maxReplyBytes      = 64 << 20
	dialTimeout        = 2 * time.Second
	defaultTimeout     = 10 * time.Second
	maxConcurrentCalls = 64 // limit of parallel calls to entries
)

var (
	// errNotSent means that the connection failed, so the request was not sent.
	errNotSent = eris.New("entry cannot be reached")
	// errNoAnswer means that the request may have been sent, and no answer came.
	errNoAnswer = eris.New("no answer from the entry")
)

// apiClient calls the operators' API of the entries that its flags name.
type apiClient struct {
	app       *app
	entries   string
	tokenFile string
	timeout   time.Duration
	asJSON    bool
	token     string
	client    *fasthttp.Client
}

func (a *app) newAPIClient() *apiClient { return &apiClient{app: a} }

// flags defines the flags for the entries' addresses, the operator's token, the timeout and the output format.
func (l *apiClient) flags(f *flag.FlagSet) {
	f.StringVar(&l.entries, "entries", os.Getenv(entriesEnv), "operator addresses of entries, IP:port, separated by commas; default from "+entriesEnv)
	f.StringVar(&l.tokenFile, "operator-token-file", os.Getenv(tokenFileEnv), "file with the operator's token; default from "+tokenFileEnv)
	f.DurationVar(&l.timeout, "timeout", defaultTimeout, "longest wait for an answer")
	f.BoolVar(&l.asJSON, "json", false, "write JSON")
}

// prepare reads the token, creates the HTTP client and returns the addresses of the entries.
func (l *apiClient) prepare() ([]string, error) {
	var addrs []string
	for _, s := range strings.Split(l.entries, ",") {
		s = strings.TrimSpace(s)
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, eris.Wrapf(errUsage, "-entries: %q is not allowed; allowed: IP:port, separated by commas", s)
		}
		addrs = append(addrs, s)
	}
	if l.tokenFile == "" {
		return nil, eris.Wrapf(errUsage, "-operator-token-file is missing; it may also come from %s", tokenFileEnv)
	}
	b, err := os.ReadFile(l.tokenFile)
	if err != nil {
		return nil, eris.Wrap(err, "read the operator's token")
	}
	l.token = strings.TrimSpace(string(b))
	if l.token == "" || len(l.token) > maxTokenBytes || strings.ContainsAny(l.token, "\r\n") {
		return nil, eris.Errorf("%s: a token is one line of 1 to %d bytes", l.tokenFile, maxTokenBytes)
	}
	l.client = &fasthttp.Client{
		Dial: dial, MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize: maxReplyBytes, NoDefaultUserAgentHeader: true,
	}
	return addrs, nil
}

// dial connects to addr. It marks a failure with errNotSent, because nothing was sent then.
func dial(addr string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, dialTimeout)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	return c, nil
}

// call sends one request to one entry. If the status is 200 or one of ok, it decodes the answer into v.
// Otherwise it returns the entry's refusal as an error. It never retries.
func (l *apiClient) call(c context.Context, addr, method, path string, body []byte, v any, ok ...int) error {
	q, r := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(r)
	q.SetRequestURI("http://" + addr + path)
	q.Header.SetMethod(method)
	q.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+l.token)
	q.SetBody(body)
	t := time.Now().Add(l.timeout)
	if d, set := c.Deadline(); set && d.Before(t) {
		t = d
	}
	if err := l.client.DoDeadline(q, r, t); err != nil {
		if errors.Is(err, errNotSent) {
			return eris.Wrapf(errNotSent, "%s", addr)
		}
		return eris.Wrapf(errNoAnswer, "%s: %v", addr, err)
	}
	for _, s := range append(ok, fasthttp.StatusOK) {
		if r.StatusCode() == s {
			return eris.Wrapf(json.Unmarshal(r.Body(), v), "%s: read answer", addr)
		}
	}
	return refusalError(addr, r)
}

// refusalError returns an error with the reason that the entry gave for refusing the request, or with the status if it gave none.
func refusalError(addr string, r *fasthttp.Response) error {
	var f oper.Refusal
	if json.Unmarshal(r.Body(), &f) != nil || f.Reason == "" {
		return eris.Errorf("%s: status %d", addr, r.StatusCode())
	}
	if f.Field != "" {
		return eris.Errorf("%s: %s: %s: %s is not allowed; allowed: %s", addr, f.Reason, f.Field, f.Value, f.Allowed)
	}
	return eris.Errorf("%s: %s", addr, f.Reason)
}

// get sends a GET request to the entries in turn until one answers, and decodes the answer into v. A refusal is an answer, too.
func (l *apiClient) get(c context.Context, path string, v any) error {
	addrs, err := l.prepare()
	if err != nil {
		return err
	}
	for _, a := range addrs {
		err = l.call(c, a, fasthttp.MethodGet, path, nil, v)
		if !errors.Is(err, errNotSent) && !errors.Is(err, errNoAnswer) {
			return err
		}
	}
	return err
}

// reply is the answer or error of one entry.
type reply[T any] struct {
	addr  string
	value T
	err   error
}

// getAll sends a GET request to all entries in parallel.
func getAll[T any](c context.Context, l *apiClient, path string) ([]reply[T], error) {
	addrs, err := l.prepare()
	if err != nil {
		return nil, err
	}
	return getEach[T](c, l, addrs, path), nil
}

// getEach sends a GET request to the entries at addrs in parallel.
func getEach[T any](c context.Context, l *apiClient, addrs []string, path string) []reply[T] {
	rs := make([]reply[T], len(addrs))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i, a := range addrs {
		g.Go(func() error {
			rs[i].addr = a
			rs[i].err = l.call(c, a, fasthttp.MethodGet, path, nil, &rs[i].value)
			return nil
		})
	}
	_ = g.Wait() // Each reply holds its own error.
	return rs
}
