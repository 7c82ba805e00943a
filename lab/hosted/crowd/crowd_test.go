//go:build crowd

package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

const (
	// crowd is the number of clients whose requests are large.
	crowd = 400
	// writeTimeout bounds a write to a node that does not read.
	writeTimeout = 10 * time.Second
	// answerEvents is the number of events of large answers; with longID they take some 800 KiB.
	answerEvents   = 200
	resultsTimeout = 30 * time.Second
	// unconfiguredHeaderBytes is just under the bound on headers that holds for all configurations.
	unconfiguredHeaderBytes = 1<<20 - 4<<10
)

// play sends from many clients at once and returns when all have sent what the node accepts
// of it. Their connections stay open.
func (n *node) play(clients int, send func(w io.Writer, client int) error) {
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			if conn := n.dial(); conn != nil {
				_ = send(patient{conn}, i) // the node may cut it at any time
			}
		})
	}
	wg.Wait()
}

// patient is a connection whose writes end after writeTimeout.
type patient struct{ conn net.Conn }

func (p patient) Write(b []byte) (int, error) {
	if err := p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return p.conn.Write(b)
}

// head returns the head of a POST request up to the fields that state the body.
func head(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Marblepond-Request-Id: %s\r\nX-Marblepond-Deadline-Ms: 60000\r\n", path, hosted.Host, id)
}

func requestID(client int) string { return fmt.Sprintf("crowd-%d", client) }

// send writes parts one after the other.
func send(w io.Writer, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

var filler = bytes.Repeat([]byte("x"), maxBodyBytes)

// Guards against bodies of legal size that stop before their last byte and are held without a
// bound on all of them together.
func TestUnfinishedBodies(t *testing.T) {
	for _, path := range []string{hosted.RepeatPath + "run", hosted.BatchPath + "submit"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			n := startNode(t)
			n.play(crowd, func(w io.Writer, i int) error {
				return send(w, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head(path, requestID(i)), maxBodyBytes), filler[1:])
			})
			n.check()
		})
	}
}

// Guards against chunked bodies without end, whose buffers grow by copies.
func TestUnfinishedChunkedBodies(t *testing.T) {
	for _, c := range []struct{ chunk, body int }{{16 << 10, maxBodyBytes - 1<<10}, {1, maxBodyBytes / 2}} {
		t.Run(fmt.Sprintf("chunks of %d bytes", c.chunk), func(t *testing.T) {
			n := startNode(t)
			chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", c.chunk, filler[:c.chunk])
			batch := bytes.Repeat(chunk, max(1, 16<<10/len(chunk)))
			n.play(crowd, func(w io.Writer, i int) error {
				if err := send(w, []byte(head(hosted.RepeatPath+"run", requestID(i))+"Transfer-Encoding: chunked\r\n\r\n")); err != nil {
					return err
				}
				for sent := 0; sent+len(batch)/len(chunk)*c.chunk <= c.body; sent += len(batch) / len(chunk) * c.chunk {
					if err := send(w, batch); err != nil {
						return err
					}
				}
				return nil
			})
			n.check()
		})
	}
}

// Guards against a bound on headers that is checked only after all of a header has been parsed.
func TestHeadersOverTheLimit(t *testing.T) {
	field := func(line string) []byte { return bytes.Repeat([]byte(line), unconfiguredHeaderBytes/len(line)) }
	for _, c := range []struct {
		name string
		rest []byte
	}{
		{"one field without end", append([]byte("X-Long: "), filler[:unconfiguredHeaderBytes]...)},
		{"many fields, unfinished", field("X-Field: 0123456789abcdef0123456789abcdef0123456789\r\n")},
		{"tiny fields, unfinished", field("a:\r\n")},
		{"tiny fields and a request that waits for its body", append(field("a:\r\n"), "Content-Length: 10\r\n\r\n"...)},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t)
			n.play(crowd, func(w io.Writer, i int) error {
				return send(w, []byte(head(hosted.RepeatPath+"run", requestID(i))), c.rest)
			})
			n.check()
		})
	}
}

// Guards against headers inside the limit whose fields take many times their bytes once parsed.
func TestHeadersOfManyFields(t *testing.T) {
	n := startNode(t)
	var fields strings.Builder
	for i := 0; fields.Len() < maxHeaderBytes-512; i++ {
		fmt.Fprintf(&fields, "%03x:\r\n", i)
	}
	n.play(crowd, func(w io.Writer, i int) error {
		return send(w, []byte(head(hosted.RepeatPath+"run", requestID(i))+fields.String()+"Content-Length: 10\r\n\r\n"))
	})
	n.check()
}

// Guards against whole bodies whose requests wait, or whose answers nobody reads, and that are
// held without a bound on all of them together.
func TestWholeBodiesWithUnreadAnswers(t *testing.T) {
	n := startNode(t)
	n.play(crowd, func(w io.Writer, i int) error {
		for round := range 3 {
			if err := send(w, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head(hosted.RepeatPath+"run", fmt.Sprint(requestID(i), "-", round)), maxBodyBytes), filler); err != nil {
				return err
			}
		}
		return nil
	})
	n.check()
}

// longID is an ID that a runner's answers repeat in each event.
func longID(client int) string { return fmt.Sprintf("%0*d", maxHeaderBytes/2, client) }

// Guards against large answers that nobody reads and that are held without a time limit and
// without a bound on all of them together.
func TestUnreadAnswers(t *testing.T) {
	n := startNodeWithAnswers(t, answerEvents)
	n.play(crowd, func(w io.Writer, i int) error {
		return send(w, []byte(head(hosted.RepeatPath+"run", longID(i))+"Content-Length: 0\r\n\r\n"))
	})
	n.check()
}

// Guards against pages of results that nobody reads, which are built anew for each reader.
func TestUnreadResults(t *testing.T) {
	const items = 8
	n := startNodeWithAnswers(t, answerEvents)
	job := hosted.Items("a", items)
	for i := range job {
		job[i].ID = longID(i)
	}
	if reply := hosted.SubmitJob(n.address, "a", job); reply.Status != http.StatusAccepted {
		t.Fatal(reply.Status, reply.Err)
	}
	if _, err := hosted.ReadAllResults([]string{n.address}, "a", resultsTimeout); err != nil {
		t.Fatal(err)
	}
	n.play(crowd, func(w io.Writer, i int) error {
		return send(w, fmt.Appendf(nil, "GET /v1/lots/a HTTP/1.1\r\nHost: %s\r\n\r\n", hosted.Host))
	})
	n.check()
}

// Jobs whose results are large.
const (
	largeJobs     = 16
	largeJobItems = 8
)

func largeJobID(i int) string { return fmt.Sprint("large-", i) }

// finishLargeJobs submits small jobs whose results are large, and reads all of these.
func (n *node) finishLargeJobs() {
	n.t.Helper()
	n.submitLargeJobs()
	for i := range largeJobs {
		if _, err := hosted.ReadAllResults([]string{n.address}, largeJobID(i), resultsTimeout); err != nil {
			n.t.Fatal(err)
		}
	}
}

func (n *node) submitLargeJobs() {
	n.t.Helper()
	for i := range largeJobs {
		job := hosted.Items(largeJobID(i), largeJobItems)
		for k := range job {
			job[k].ID = longID(i*largeJobItems + k)
		}
		if reply := hosted.SubmitJob(n.address, largeJobID(i), job); reply.Status != http.StatusAccepted {
			n.t.Fatal(reply.Status, reply.Err)
		}
	}
}

// readLargeJobs sends the reads of a client, one after the other, from a position that differs by client.
func readLargeJobs(w io.Writer, client, times int) error {
	for k := range times {
		after := (client/largeJobs + k) % largeJobItems
		if err := send(w, fmt.Appendf(nil, "GET /v1/lots/%s?after=%d HTTP/1.1\r\nHost: %s\r\nX-Marblepond-Wait-Ms: 1000\r\n\r\n", largeJobID(client%largeJobs), after, hosted.Host)); err != nil {
			return err
		}
	}
	return nil
}

// Guards against small jobs whose results are large, and that are kept in memory without a bound that
// fits the node: while they wait to be stored, and once they have been read.
func TestLargeResultsOfManyJobs(t *testing.T) {
	n := startNodeWithAnswers(t, answerEvents)
	n.finishLargeJobs()
	n.check()
}

// Guards against pages of results that many readers have read from the store at once, before the
// memory of any of them counts.
func TestUnreadResultsOfManyJobs(t *testing.T) {
	n := startNodeWithAnswers(t, answerEvents)
	n.finishLargeJobs()
	n.play(crowd, func(w io.Writer, i int) error {
		return readLargeJobs(w, i, 1)
	})
	n.check()
}

// Guards against results that a node requests from the holder of their job for many readers at once,
// while they become ready and later.
func TestUnreadResultsAtAnotherNode(t *testing.T) {
	nodes := startNodes(t, 2, answerEvents)
	holder, other := nodes[0], nodes[1]
	holder.submitLargeJobs()
	other.play(crowd, func(w io.Writer, i int) error { return readLargeJobs(w, i, 4) })
	other.check()
	holder.check()
}

// Guards against jobs that take many times the bytes of their text once decoded.
func TestJobsThatGrowWhenDecoded(t *testing.T) {
	object := func(open, member, end string) []byte {
		return []byte(open + strings.TrimSuffix(strings.Repeat(member+",", (maxBodyBytes-256)/(len(member)+1)), ",") + end)
	}
	var headers strings.Builder
	headers.WriteString(`{"items":[{"id":"a","path":"/sheet/run","headers":{"":""`)
	for i := 0; headers.Len() < maxBodyBytes-256; i++ {
		fmt.Fprintf(&headers, `,"%x":""`, i)
	}
	headers.WriteString(`}}]}`)
	for _, c := range []struct {
		name string
		body []byte
	}{
		{"empty items", object(`{"items":[`, `{}`, `]}`)},
		{"items with empty headers", object(`{"items":[`, `{"headers":{}}`, `]}`)},
		{"many headers", []byte(headers.String())},
		{"deep", []byte(`{"items":` + strings.Repeat("[", maxBodyBytes/2))},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t)
			n.play(crowd/4, func(w io.Writer, i int) error {
				return send(w, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head(hosted.BatchPath+"submit", requestID(i)), len(c.body)), c.body)
			})
			n.check()
		})
	}
}

// Guards against accepted jobs whose items are held without a bound on all of them together.
func TestLargeJobs(t *testing.T) {
	const items = 100
	n := startNode(t)
	n.play(crowd/4, func(w io.Writer, i int) error {
		job := struct {
			Items []hosted.Item `json:"items"`
		}{hosted.Items(requestID(i), items)}
		for k := range job.Items {
			job.Items[k].Body = filler[:maxBodyBytes*5/8/items]
		}
		body, err := json.Marshal(job)
		if err != nil || len(body) > maxBodyBytes {
			t.Errorf("a job of %d bytes: %v", len(body), err)
			return err
		}
		return send(w, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head(hosted.BatchPath+"submit", requestID(i)), len(body)), body)
	})
	n.check()
}

// Guards against accepted jobs whose headers take many times their bytes while their items wait or run.
func TestJobsOfHeaders(t *testing.T) {
	n := startNode(t)
	n.play(crowd/4, func(w io.Writer, i int) error {
		body, err := json.Marshal(map[string]any{"items": itemsOfHeaders(requestID(i))})
		if err != nil || len(body) > maxBodyBytes {
			t.Errorf("a job of %d bytes: %v", len(body), err)
			return err
		}
		return send(w, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head(hosted.BatchPath+"submit", requestID(i)), len(body)), body)
	})
	n.check()
}

// Guards against connections that take all descriptors, so that none is left for targets, the
// store and other callers.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	for _, c := range []struct{ name, sent string }{
		{"silent", ""},
		{"part of a header", "POST /"},
		{"a length and no body", head(hosted.RepeatPath+"run", "a") + "Content-Length: 1000\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t)
			n.play(maxDescriptors+100, func(w io.Writer, _ int) error { return send(w, []byte(c.sent)) })
			n.check()
		})
	}
}

// Guards against input of which nothing is kept, but which may be sent without end.
func TestInputWithoutEnd(t *testing.T) {
	chunked := head(hosted.RepeatPath+"run", "a") + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, begin, piece string }{
		{"blank lines before a request", "", "\r\n"},
		{"chunk extensions", chunked, "1;ext=" + strings.Repeat("y", 50) + "\r\nx\r\n"},
		{"an extension without end", chunked + "1;ext=", "y"},
		{"trailers", chunked + "0\r\n", "X-Trailer: z\r\n"},
		{"no request", "", "\x00\xff\x16\x03"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t)
			pieces := bytes.Repeat([]byte(c.piece), maxBodyBytes/len(c.piece))
			n.play(crowd, func(w io.Writer, _ int) error { return send(w, []byte(c.begin), pieces) })
			n.check()
		})
	}
}
