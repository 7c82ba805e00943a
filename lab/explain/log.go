// Package explain summarises the logs of a fleet's nodes: in which phase late requests and
// batch items spent their time, and why requests were refused or failed.
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

// Line is one line of a node's log, a JSON object. Read ignores the text before the first
// brace, such as the prefix of a log collector.
type Line struct {
	At     time.Time `json:"timestamp"`
	Name   string    `json:"message"` // event name
	Fields Fields    `json:"fields"`
}

// Fields are the event fields that this package uses. Those with the suffix MS are in
// milliseconds.
type Fields struct {
	Node    string `json:"node"`
	Request string `json:"request"` // ID of the request, item or job
	Subject string `json:"subject"`
	Cause   string `json:"cause"`
	Kind    string `json:"kind"` // error kind of a refusal
	Job     string `json:"job"`  // job of an item
	Events  int64  `json:"events"`
	FirstMS int64  `json:"first_ms"`
	PauseMS int64  `json:"pause_ms"`
	AfterMS int64  `json:"after_ms"`
	TookMS  int64  `json:"took_ms"`
	DueMS   int64  `json:"due_ms"` // time left until the item is due
}

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Read returns the lines of all logs, sorted by time. It skips lines that hold no event, and
// fails on an event that cannot be decoded.
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
