//go:build crowd

package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

// exchange sends parts on a connection of their own and returns the status of the answer.
func (n *node) exchange(parts ...[]byte) int {
	n.t.Helper()
	conn := n.dial()
	if conn == nil {
		n.t.Fatal("the node takes no connection")
	}
	if err := send(patient{conn}, parts...); err != nil {
		n.t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(ordinaryTimeout)); err != nil {
		n.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		n.t.Error(err)
		return 0
	}
	io.Copy(io.Discard, resp.Body) // an answer that breaks off has a status all the same
	resp.Body.Close()
	return resp.StatusCode
}

// itemsOfHeaders returns the items of a job whose text is close to the limit and consists of small
// headers.
func itemsOfHeaders(id string) []hosted.Item {
	fields := map[string]string{}
	for k := range 400 {
		fields[fmt.Sprintf("x-%03x", k)] = ""
	}
	items := hosted.Items(id, 200)
	for i := range items {
		items[i].Body, items[i].Headers = []byte("x"), fields
	}
	return items
}

// Guards against bounds that a single request inside the limits meets while nothing else is sent, and
// against limits that let one byte more pass.
func TestLargestRequestsInCalm(t *testing.T) {
	n := startNode(t)
	body := func(framing string, parts ...[]byte) func(path string) int {
		return func(path string) int {
			return n.exchange(append([][]byte{[]byte(head(path, "calm") + framing + "\r\n\r\n")}, parts...)...)
		}
	}
	length := func(bytes int) string { return fmt.Sprintf("Content-Length: %d", bytes) }
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", maxBodyBytes/16, filler[:maxBodyBytes/16])
	chunks := []byte(strings.Repeat(string(chunk), 16))
	jobs := hosted.Items("calm", 200)
	for i := range jobs {
		jobs[i].Body = filler[:maxBodyBytes*11/16/len(jobs)]
	}
	job, err := json.Marshal(map[string]any{"items": jobs})
	if err != nil {
		t.Fatal(err)
	}
	// The node counts the names and values of the header, four bytes for each field, the host and
	// the path.
	counted := len(hosted.RepeatPath+"run"+hosted.Host) + len("X-Marblepond-Request-Id: calm\r\n"+"X-Marblepond-Deadline-Ms: 60000\r\n"+"X-Fill: \r\n")
	fields := func(bytes int) string { return "X-Fill: " + string(filler[:bytes-counted]) }
	for _, c := range []struct {
		name, path string
		send       func(path string) int
		want       int
	}{
		{"a body of the limit", hosted.RepeatPath + "run", body(length(maxBodyBytes), filler), http.StatusOK},
		{"a body over the limit", hosted.RepeatPath + "run", body(length(maxBodyBytes + 1)), http.StatusRequestEntityTooLarge},
		{"chunks of the limit", hosted.RepeatPath + "run", body("Transfer-Encoding: chunked", chunks, []byte("0\r\n\r\n")), http.StatusOK},
		{"chunks over the limit", hosted.RepeatPath + "run", body("Transfer-Encoding: chunked", chunks, []byte("1\r\nx\r\n0\r\n\r\n")), http.StatusRequestEntityTooLarge},
		{"a header of the limit", hosted.RepeatPath + "run", body(fields(maxHeaderBytes)), http.StatusOK},
		{"a header over the limit", hosted.RepeatPath + "run", body(fields(maxHeaderBytes + 1)), http.StatusRequestHeaderFieldsTooLarge},
		{"a job of the limit", hosted.BatchPath + "submit", body(length(len(job)), job), http.StatusAccepted},
	} {
		t.Run(c.name, func(t *testing.T) {
			if status := c.send(c.path); status != c.want {
				t.Errorf("status %d, want %d", status, c.want)
			}
		})
	}
	t.Run("a job of the limit in headers", func(t *testing.T) {
		fields := itemsOfHeaders("fields")
		if reply := hosted.SubmitJob(n.address, "fields", fields); reply.Status != http.StatusAccepted {
			t.Fatal(reply.Status, reply.Err)
		}
		results, err := hosted.ReadAllResults([]string{n.address}, "fields", resultsTimeout)
		if err != nil || len(results) != len(fields) {
			t.Errorf("%d results of %d items: %v", len(results), len(fields), err)
		}
	})
	t.Run("a slow body", func(t *testing.T) {
		conn := n.dial()
		if err := send(conn, []byte(head(hosted.RepeatPath+"run", "slow")+length(20)+"\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if err := send(conn, filler[:1]); err != nil {
				t.Fatal(err)
			}
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	})
	n.check()
}
