// Package explain reads the logs of a fleet's nodes and tells where the time of
// late requests and batch items went, and why requests were refused or failed.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// Line is one line of a node's log. What stands before its first brace is left
// out, so that logs which a collector has prefixed are read too.
type Line struct {
	At     time.Time `json:"timestamp"`
	Name   string    `json:"message"` // of the event
	Fields Fields    `json:"fields"`
}

// Fields are those of an event that this package uses; times are in milliseconds.
type Fields struct {
	Node    string `json:"node"`
	Request string `json:"request"` // or item, or job
	Subject string `json:"subject"`
	Cause   string `json:"cause"`
	Kind    string `json:"kind"` // of a refusal
	Job     string `json:"job"`  // of an item
	Events  int64  `json:"events"`
	FirstMS int64  `json:"first_ms"`
	PauseMS int64  `json:"pause_ms"`
	AfterMS int64  `json:"after_ms"`
	TookMS  int64  `json:"took_ms"`
	DueMS   int64  `json:"due_ms"` // left until the item is due
}

// maxLine bounds one line, in bytes.
const maxLine = 1 << 20

// Read returns the lines of logs in the order of their time. Lines without an
// object are left out; one that cannot be decoded is an error.
func Read(logs ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			text := scanner.Bytes()
			brace := bytes.IndexByte(text, '{')
			if brace < 0 || !bytes.Contains(text, []byte(`"message"`)) {
				continue
			}
			var line Line
			if err := json.Unmarshal(text[brace:], &line); err != nil {
				return nil, fmt.Errorf("line %q: %w", text, err)
			}
			lines = append(lines, line)
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines, nil
}
