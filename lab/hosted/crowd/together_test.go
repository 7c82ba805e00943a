//go:build crowd

package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/marblepond/marblepond/lab/hosted"
)

// Guards against bounds that hold for each form of misbehaviour and that together allow more than the
// memory of the node.
func TestAllFormsAtOnce(t *testing.T) {
	const items = 8
	n := startNodeWithAnswers(t, answerEvents)
	readable := hosted.Items("read", items)
	for i := range readable {
		readable[i].ID = longID(i)
	}
	if reply := hosted.SubmitJob(n.address, "read", readable); reply.Status != http.StatusAccepted {
		t.Fatal(reply.Status, reply.Err)
	}
	if _, err := hosted.ReadAllResults([]string{n.address}, "read", resultsTimeout); err != nil {
		t.Fatal(err)
	}
	withLength := func(path, id string, length int) []byte {
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head(path, id), length)
	}
	job := func(id string) []byte {
		large := hosted.Items(id, 100)
		for k := range large {
			large[k].Body = filler[:maxBodyBytes*5/8/len(large)]
		}
		body, err := json.Marshal(map[string]any{"items": large})
		if err != nil {
			t.Error(err)
		}
		return body
	}
	chunks := bytes.Repeat(fmt.Appendf(nil, "%x\r\n%s\r\n", 1<<10, filler[:1<<10]), maxBodyBytes>>10-1)
	emptyItems := []byte(`{"items":[` + strings.Repeat(`{},`, maxBodyBytes/3-64) + `{}]}`)
	var manyFields strings.Builder
	for i := 0; manyFields.Len() < maxHeaderBytes-512; i++ {
		fmt.Fprintf(&manyFields, "%03x:\r\n", i)
	}
	forms := []func(id string) [][]byte{
		func(id string) [][]byte {
			return [][]byte{withLength(hosted.RepeatPath+"run", id, maxBodyBytes), filler[1:]}
		},
		func(id string) [][]byte {
			return [][]byte{withLength(hosted.BatchPath+"submit", id, maxBodyBytes), filler[1:]}
		},
		func(id string) [][]byte {
			return [][]byte{[]byte(head(hosted.RepeatPath+"run", id) + "Transfer-Encoding: chunked\r\n\r\n"), chunks}
		},
		func(id string) [][]byte {
			return [][]byte{[]byte(head(hosted.RepeatPath+"run", id)), bytes.Repeat([]byte("a:\r\n"), unconfiguredHeaderBytes/4)}
		},
		func(id string) [][]byte {
			return [][]byte{[]byte(head(hosted.RepeatPath+"run", id) + manyFields.String() + "Content-Length: 10\r\n\r\n")}
		},
		func(id string) [][]byte {
			return [][]byte{withLength(hosted.RepeatPath+"run", id, maxBodyBytes), filler, withLength(hosted.RepeatPath+"run", id+"-again", maxBodyBytes), filler}
		},
		func(id string) [][]byte {
			return [][]byte{fmt.Appendf(nil, "GET /v1/lots/read HTTP/1.1\r\nHost: %s\r\n\r\n", hosted.Host)}
		},
		func(id string) [][]byte {
			return [][]byte{withLength(hosted.BatchPath+"submit", id, len(emptyItems)), emptyItems}
		},
		func(id string) [][]byte {
			body := job(id)
			return [][]byte{withLength(hosted.BatchPath+"submit", id, len(body)), body}
		},
		func(string) [][]byte { return [][]byte{bytes.Repeat([]byte("\r\n"), maxBodyBytes/2)} },
		func(string) [][]byte { return nil },
	}
	n.play(maxDescriptors, func(w io.Writer, i int) error {
		return send(w, forms[i%len(forms)](requestID(i))...)
	})
	n.check()
}
