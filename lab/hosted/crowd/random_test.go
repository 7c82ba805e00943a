//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/marblepond/marblepond/lab/hosted"
)

// randomRequest returns parts of a request that may be large, malformed or unfinished.
func randomRequest(r *rand.Rand, id string) [][]byte {
	paths := []string{hosted.RepeatPath + "run", hosted.StreamPath + "run", hosted.ResumePath + "run", hosted.BatchPath + "submit", "/v1/lots/" + id, "/none/"}
	methods := []string{"POST", "POST", "POST", "GET", "DELETE", "\x00"}
	var text strings.Builder
	text.WriteString(strings.Repeat("\r\n", r.IntN(3)))
	fmt.Fprintf(&text, "%s %s HTTP/1.%d\r\nHost: %s\r\nX-Marblepond-Request-Id: %s\r\n", methods[r.IntN(len(methods))], paths[r.IntN(len(paths))], r.IntN(2), hosted.Host, id)
	if r.IntN(2) == 0 {
		fmt.Fprintf(&text, "X-Marblepond-Deadline-Ms: %d\r\n", r.IntN(60_000))
	}
	fields := []string{"a:\r\n", "X-Field: value\r\n", "X-Long: " + strings.Repeat("y", 1000) + "\r\n", "no field\r\n"}
	if field := fields[r.IntN(len(fields))]; r.IntN(3) == 0 {
		text.WriteString(strings.Repeat(field, r.IntN(2*maxHeaderBytes/len(field))))
	}
	body := filler[:r.IntN(maxBodyBytes+1)]
	if r.IntN(3) == 0 {
		element := []string{`{},`, `{"headers":{"a":"b"}},`, `{"id":"a","path":"/sheet/run","body":"YWJj"},`}[r.IntN(3)]
		body = []byte(`{"items":[` + strings.TrimSuffix(strings.Repeat(element, 1+len(body)/len(element)), ",") + `]}`)
	}
	switch r.IntN(4) {
	case 0:
		chunk := 1 + r.IntN(32<<10)
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		parts := [][]byte{[]byte(text.String())}
		for len(body) > 0 {
			piece := body[:min(chunk, len(body))]
			body = body[len(piece):]
			parts = append(parts, fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece))
		}
		return append(parts, []byte("0\r\n\r\n"))
	case 1:
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", r.IntN(2*maxBodyBytes)) // rarely that of the body
	default:
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", len(body))
	}
	return [][]byte{[]byte(text.String()), body}
}

// Guards against mixtures of forms that no other test sends: large, unfinished, malformed and whole
// requests, one after the other on each connection, with answers that are read or not.
func TestRandomForms(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			n := startNode(t)
			n.play(crowd, func(w io.Writer, i int) error {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				if r.IntN(2) == 0 {
					go io.Copy(io.Discard, w.(patient).conn)
				}
				for round := range 4 {
					request := bytes.Join(randomRequest(r, fmt.Sprint(requestID(i), "-", round)), nil)
					if r.IntN(2) == 0 {
						request = request[:r.IntN(len(request))]
					}
					if err := send(w, request); err != nil {
						return err
					}
				}
				return nil
			})
			n.check()
		})
	}
}
