package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests guard against an answer that ends with its connection because its target has ended,
// and is taken for complete: it has neither a length nor chunks that would show that a part is
// missing.

// framingFleet is a fleet whose targets end their answers with the connection.
func framingFleet(t *testing.T) *Fleet {
	f := startFleet(t, Options{Nodes: 2, Runners: 6, Slots: 8, Events: 40, Gap: 10 * time.Millisecond})
	for _, r := range f.Runners {
		r.SetCloseDelimited(true)
	}
	return f
}

// killWhileAnswering sends requests on a path and kills two targets in the middle of their
// answers, four times.
func (f *Fleet) killWhileAnswering(path string) []Reply {
	var calls sync.WaitGroup
	replies := make([]Reply, 64)
	for i := range replies {
		calls.Go(func() {
			replies[i] = Call(context.Background(), http.MethodPost, f.Nodes[i%2].CallerAddress(), path+"x", fmt.Sprint("r-", i), nil, []byte(fmt.Sprint(i)))
		})
		if i%16 == 15 {
			time.Sleep(200 * time.Millisecond)
			for n := range 2 {
				f.Runners[(i/16*2+n)%len(f.Runners)].Kill(300 * time.Millisecond)
			}
			time.Sleep(400 * time.Millisecond)
		}
	}
	calls.Wait()
	return replies
}

// TestAnswerThatEndsWithItsTarget: streams whose targets end in the middle of them are not complete.
// One that may be resumed is, so that its caller gets all of it; the others do not look complete.
func TestAnswerThatEndsWithItsTarget(t *testing.T) {
	for _, path := range []string{StreamPath, ResumePath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := framingFleet(t)
			whole, cut := 0, 0
			for i, reply := range f.killWhileAnswering(path) {
				switch {
				case reply.Err == nil && reply.Status == http.StatusOK && IsWholeText(StreamText(reply.Body), fmt.Sprint("r-", i), 40):
					whole++
				case reply.Err == nil && reply.Status == http.StatusOK:
					cut++
				}
			}
			t.Logf("%d of 64 answers are complete, %d only look so", whole, cut)
			is.Equal(cut, 0)
			is.True(whole > 30)
			if path == ResumePath {
				is.True(whole > 58)
			}
		})
	}
}

// TestCutOffAnswerToAnHTTP10Caller: a response to HTTP/1.0 ends with its connection. If its target
// ends in the middle and no other may go on, the connection is reset, so that the caller sees
// that a part is missing.
func TestCutOffAnswerToAnHTTP10Caller(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 1, Runners: 1, Slots: 8, Events: 40, Gap: 10 * time.Millisecond})
	read := func(id string) (string, error) {
		conn, err := net.Dial("tcp", f.Nodes[0].CallerAddress())
		is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.0\r\nHost: %s\r\nX-Marblepond-Request-Id: %s\r\nContent-Length: 1\r\n\r\nx", StreamPath, Host, id)
		is.NoErr(err)
		data, err := io.ReadAll(conn)
		return string(data), err
	}
	text, err := read("whole")
	is.NoErr(err)
	is.True(strings.Contains(text, "whole piece 40"))
	time.AfterFunc(200*time.Millisecond, func() { f.Runners[0].Kill(time.Minute) })
	text, err = read("cut")
	is.True(strings.Contains(text, "cut piece 3"))
	is.True(!strings.Contains(text, "cut piece 40"))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestUnframedAnswersAreComplete: answers that end with their connection at targets that run on are
// complete, streams, items and answers that are no stream.
func TestUnframedAnswersAreComplete(t *testing.T) {
	is := is.New(t)
	f := framingFleet(t)
	for _, path := range []string{StreamPath, ResumePath, RepeatPath} {
		reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), path+"x", "whole", nil)
		is.NoErr(reply.Err)
		is.True(IsWholeText(StreamText(reply.Body), "whole", 40))
	}
	is.Equal(SubmitJob(f.Nodes[0].CallerAddress(), "job", Items("job", 8)).Status, http.StatusAccepted)
	time.Sleep(200 * time.Millisecond)
	f.Runners[0].Kill(300 * time.Millisecond)
	results, err := ReadAllResults([]string{f.Nodes[0].CallerAddress(), f.Nodes[1].CallerAddress()}, "job", 8*time.Second)
	is.NoErr(err)
	is.Equal(len(results), 8)
	for _, r := range results {
		is.Equal(r.State, "completed")
		is.True(IsWholeText(r.Text, r.ID, 40))
	}
}
