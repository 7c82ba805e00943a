package dial

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// probeTimeout bounds the probe of a target whose answer has ended.
const probeTimeout = 300 * time.Millisecond

// CheckEnd makes the body of an answer that ends with its connection fail with io.ErrUnexpectedEOF
// if the target at an address does not accept connections at its end: the end of its process looks
// the same. Answers with a length or in chunks are left as they are.
func CheckEnd(ctx context.Context, resp *http.Response, address string) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &unframedBody{ReadCloser: resp.Body, ctx: ctx, address: address}
	}
}

// unframedBody is the body of an answer that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context
	address string
	end     error // nil: not read to the end
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.stillRuns() {
		err = io.ErrUnexpectedEOF
	}
	b.end = err
	return n, err
}

// stillRuns reports whether the target accepts connections.
func (b *unframedBody) stillRuns() bool {
	ctx, cancel := context.WithTimeout(b.ctx, probeTimeout)
	defer cancel()
	return Probe(ctx, b.address) == Accepts
}
