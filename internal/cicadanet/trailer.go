package cicadanet

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// trailerChecker is a body in chunks. It ends with an error if a trailer has a malformed name: net/http accepts
// spaces there.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
}

// CheckTrailers makes the body of a response check the names of the trailers that follow it.
func CheckTrailers(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, resp: resp}
	}
}

// Read reads the body.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range c.resp.Trailer {
		if !isToken(name) {
			return n, errors.Errorf("malformed response: trailer %q", name)
		}
	}
	return n, err
}
