package httpanswer

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// chunkedBody is a body in chunks. It is complete only if its trailer, which nothing uses, is
// well-formed: the chunks before it come from the same server.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
	in   *source // nil if it is not known whether a read failed
}

// withTrailerCheck returns the answer with a body that fails if the trailer is malformed. in is
// the connection, or nil.
func withTrailerCheck(resp *http.Response, in *source) *http.Response {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp, in: in}
	}
	return resp
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if malformed := checkTrailer(b.resp.Trailer); malformed != nil {
			return n, malformed
		}
	case err != nil && b.in != nil:
		err = b.in.cause(err)
	}
	return n, err
}

// checkTrailer checks the names in a trailer. The parser of net/http checks the values. A name
// without a value was announced and did not come.
func checkTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return malformed("trailer name %q", excerpt([]byte(name)))
		}
	}
	return nil
}
