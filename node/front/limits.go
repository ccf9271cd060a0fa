package front

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"burdockreach.dev/node/board"
)

// limits returns the configured limits of requests.
func (f *Front) limits() board.Limits {
	c, _ := f.board.Config()
	return c.Limits
}

// requestConfig returns the limits for a request whose header has been read.
func (f *Front) requestConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: f.limits().BodyBytes}
}

// headerTooLarge reports whether the request line and the header exceed the configured limit. The server itself refuses headers over
// its read buffer of 4 KiB, also under a larger limit.
func (f *Front) headerTooLarge(h *fasthttp.RequestHeader) bool {
	limit := f.limits().HeaderBytes
	return limit > 0 && len(h.RequestURI())+len(h.RawHeaders()) > limit
}

// handleUnreadable answers a request that could not be read. The connection is closed afterwards. The reason leaves out the server's
// error, which quotes parts of the header and thus a caller's key.
func (f *Front) handleUnreadable(c *fasthttp.RequestCtx, err error) {
	status, reason := fasthttp.StatusBadRequest, "the request cannot be read"
	var small *fasthttp.ErrSmallBuffer
	var n net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &small):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large"
	case errors.As(err, &n) && n.Timeout():
		status, reason = fasthttp.StatusRequestTimeout, "the request was not received in time"
	}
	f.writeAnswer(c, f.refuse(status, reason, 0), time.Now(), requestInfo{})
}
