package conns

import (
	"bufio"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	lengthChunked = -1 // fasthttp's content length of a chunked body
	lengthByClose = -2 // fasthttp's content length of a body that ends when the connection is closed
	maxInterim    = 8  // interim (1xx) answers before the final one
)

var (
	errNoLength = eris.New("answer declares no length, so a truncated one cannot be detected")
	errInterim  = eris.New("too many interim answers")
)

// readWhole reads one answer with a declared length or chunked encoding. A body that ends when the connection is closed is
// rejected, because it may have been cut.
func readWhole(r *bufio.Reader, a *fasthttp.Response, limit int) error {
	if err := readHeader(r, a); err != nil {
		return err
	}
	if a.SkipBody || hasNoBody(a.StatusCode()) {
		return nil
	}
	n := a.Header.ContentLength()
	if n == lengthByClose {
		return errNoLength
	}
	if err := a.ReadBody(r, limit); err != nil {
		return err
	}
	if n == lengthChunked {
		return a.Header.ReadTrailer(r)
	}
	return nil
}

// readHeader reads the header of the final answer and skips interim ones.
func readHeader(r *bufio.Reader, a *fasthttp.Response) error {
	for range maxInterim {
		if err := a.Header.Read(r); err != nil {
			return err
		}
		if s := a.StatusCode(); s >= fasthttp.StatusOK || s == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errInterim
}

// hasNoBody reports whether answers with the status never have a body.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
