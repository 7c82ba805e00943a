package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/answertest"
	"github.com/marblepond/marblepond/internal/connection/dial"
)

func newTestClient(t *testing.T, stand *answertest.Target) *Client {
	t.Helper()
	transport := &http.Transport{DialContext: dial.DetectClosed((&net.Dialer{}).DialContext)}
	t.Cleanup(transport.CloseIdleConnections)
	return New(Options{URL: "http://" + stand.Address(), Timeout: 3 * time.Second, WriteRate: 1000, ReadRate: 1000, Metrics: tally.NoopScope, HTTP: &http.Client{Transport: transport}})
}

// TestInvalidAnswersOfThePlatformProveNothing guards against an answer with an invalid head that is
// taken for an object, for proof that there is none, or for the outcome of a write.
func TestInvalidAnswersOfThePlatformProveNothing(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Text\r\n", "HTTP/1.1 600 Text\r\n", "HTTP/9.9 200 OK\r\n", "HTTP/1.1 206 Partial Content\r\n",
		"HTTP/1.1 200 OK\r\nX Foo: a\r\n", "HTTP/1.1 404 Not Found\r\nX-Foo : a\r\n", "HTTP/1.1 412 Failed\r\nX-Foo : a\r\n",
		"HTTP/1.1 503 Unavailable\r\nX-Foo : a\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			is := is.NewRelaxed(t)
			stand := answertest.Start(t, answertest.Script{Answer: answertest.Text(head + "ETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}"), End: answertest.Close})
			c, ctx := newTestClient(t, stand), context.Background()
			_, err := c.Get(ctx, Commit, "a")
			is.True(errors.Is(err, ErrUnavailable))
			_, err = c.Create(ctx, Commit, "a", []byte("{}"))
			is.True(errors.Is(err, ErrAmbiguous))
			is.True(errors.Is(c.Delete(ctx, Commit, "a", 7), ErrAmbiguous))
			_, err = c.List(ctx, Commit, "a")
			is.True(errors.Is(err, ErrUnavailable))
			_, err = c.Watch(ctx, "a", 1, time.Second)
			is.True(errors.Is(err, ErrUnavailable))
			_, err = c.VMs(ctx, "a")
			is.True(errors.Is(err, ErrUnavailable))
		})
	}
}

// TestWriteResetDuringItsUploadIsNotDone guards against a write that counts as done because the
// platform answers it before it is read and resets the connection.
func TestWriteResetDuringItsUploadIsNotDone(t *testing.T) {
	const runs = 20
	for name, rest := range map[string]string{"neither": "\r\n", "length": "Content-Length: 2\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			stand := answertest.Start(t, answertest.Script{Answer: answertest.Text("HTTP/1.1 201 Created\r\nETag: \"7\"\r\n" + rest), Early: true, End: answertest.Reset})
			done := 0
			for range runs {
				_, err := newTestClient(t, stand).Create(context.Background(), Commit, "a", make([]byte, MaxValueBytes))
				if err == nil {
					done++
				} else if !errors.Is(err, ErrAmbiguous) {
					t.Error(err)
				}
			}
			if done > 0 {
				t.Errorf("%d of %d writes count as done", done, runs)
			}
		})
	}
}
