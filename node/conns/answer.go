package conns

import (
	"bufio"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	lengthChunked = -1 // fasthttp's content length of a chunked body
	lengthByClose = -2 // fasthttp's content length of a body that ends with its connection
	maxInterim    = 8  // interim answers before the final one
)

var (
	errNoLength = eris.New("answer declares no length, so that a cut one cannot be told from a whole one")
	errInterim  = eris.New("too many interim answers")
)

// readWhole reads one answer whose end is declared; a body that ends with its connection is refused.
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

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
