// Package job keeps batch jobs that are submitted whole: it accepts them into
// the object store, runs their items in the room that online requests leave,
// commits results in groups, and answers reads at any node.
//
// A job is accepted when its head exists in the object store; its items were
// written before. One node holds the job and alone changes the head, by
// conditional writes; another node that takes the job over changes the head
// first, so that every later write of the former holder fails. A result has
// its position from the write of the head that lists it, and never moves.
package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/marblepond/marblepond/internal/version/route"
)

// Kinds of objects in the store.
const (
	KindHeads   = "marblepond-jobs"    // one Head a job
	KindItems   = "marblepond-items"   // the submitted items, in parts
	KindResults = "marblepond-results" // committed results, in segments
	KindEnds    = "marblepond-ends"    // one object for each job that its caller ended
)

// Kinds lists them: the only ones that one node may change for another.
var Kinds = []string{KindHeads, KindItems, KindResults, KindEnds}

// Holder is one boot of a node that holds a job. The zero Holder is nobody.
type Holder struct {
	Node    string
	Boot    int64  // Unix microseconds at process start
	Address string // IP:port of the node's services for other nodes
}

// String describes a holder for the log.
func (h Holder) String() string {
	if h == (Holder{}) {
		return "nobody"
	}
	return fmt.Sprintf("%s boot %d", h.Node, h.Boot)
}

// Head is the state of a job that every decision about it depends on.
type Head struct {
	Workspace string `json:",omitempty"` // whose job it is; empty: of a configuration without workspaces
	Host      string // of the submission
	Path      string // of the submission; names the route in any version
	Submitted int64  // Unix milliseconds when a node first read the job
	Total     int    // items
	Parts     int    // objects of KindItems
	// Inline are the items while they are not in objects of their own: a small job
	// is accepted with one write. They move at the first commit.
	Inline   []Item `json:",omitempty"`
	Holder   Holder
	Epoch    int         // counts holders
	Segments []Segment   // in the order of their positions
	Failed   map[int]int `json:",omitempty"` // answers of failure by item index, where any
	Keepers  []string    `json:",omitempty"` // IP:port of the nodes that keep checkpoints
	Writer   string      // token of the last write, to recognise it after a lost answer
}

// Segment lists results that one commit added.
type Segment struct {
	Object string // of KindResults
	Items  []int  // item indexes, in the order of their positions
}

// Listed returns the number of results that have a position.
func (h *Head) Listed() int {
	n := 0
	for _, s := range h.Segments {
		n += len(s.Items)
	}
	return n
}

// Complete reports whether every item has its result.
func (h *Head) Complete() bool { return h.Listed() >= h.Total }

// Item is one request of a job.
type Item struct {
	ID     string
	Path   string
	Header map[string]string
	Body   []byte
	Tokens int64 // of the prompt and the longest answer together
}

// header returns the item's header as it is sent.
func (i *Item) header() http.Header {
	header := make(http.Header, len(i.Header))
	for k, v := range i.Header {
		header.Set(k, v)
	}
	return header
}

// Result is the outcome of one item.
type Result struct {
	Item string
	Dead bool   // given up; Text is empty
	Text string // the data of all events, separated by line feeds
}

// Submission is a job as its caller sends it.
type Submission struct {
	ID        string // as ScopedID returns it
	Workspace string // whose job it is; empty: the configuration has no workspaces
	Host      string
	Path      string
	Route     *route.Route
	Items     []Item
	Arrived   time.Time
	Deadline  time.Time // of the answer
}

// scopeSeparator separates the ID that a caller gave a job from its workspace.
const scopeSeparator = "@"

// ScopedID returns the ID under which a job of a workspace is kept. The same ID of two
// workspaces names two jobs, and neither can name the other's: the mark is escaped in
// both parts.
func ScopedID(workspace, id string) string {
	if workspace == "" {
		return id
	}
	return scopeEscaper.Replace(id) + scopeSeparator + scopeEscaper.Replace(workspace)
}

// Scoped reports whether an ID could be that of a workspace's job.
func Scoped(id string) bool { return strings.Contains(id, scopeSeparator) }

var scopeEscaper = strings.NewReplacer("%", "%25", scopeSeparator, "%40")

// Tokens returns the tokens of all items.
func (s *Submission) Tokens() int64 {
	total := int64(0)
	for i := range s.Items {
		total += s.Items[i].Tokens
	}
	return total
}

// MaxItems is the most items that one job may have.
const MaxItems = 200

// Errors of a submission that can never be accepted.
var (
	errNoItems      = errors.New("a job needs at least one item")
	errNoJobID      = errors.New("a job needs an ID")
	errTooManyItems = fmt.Errorf("a job has at most %d items", MaxItems)
)

// Check returns what is wrong with a submission, or nil.
func (s *Submission) Check() error {
	switch {
	case s.ID == ScopedID(s.Workspace, ""):
		return errNoJobID
	case len(s.Items) == 0:
		return errNoItems
	case len(s.Items) > MaxItems:
		return errTooManyItems
	}
	seen := make(map[string]bool, len(s.Items))
	for _, item := range s.Items {
		switch {
		case item.ID == "":
			return errors.New("an item has no ID")
		case seen[item.ID]:
			return fmt.Errorf("item ID %q stands twice", item.ID)
		case !hasPrefix(item.Path, s.Route.Prefix):
			return fmt.Errorf("the path of item %q is outside the route", item.ID)
		case item.Tokens < 0:
			return fmt.Errorf("item %q has a negative token count", item.ID)
		}
		seen[item.ID] = true
	}
	return nil
}

func hasPrefix(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix
}

// partName names one object of KindItems; the item index tells the part.
func partName(job string, n int) string { return fmt.Sprintf("%s.%d", job, n) }

// segmentName names one object of KindResults. Epoch and sequence make it
// unique, so that a former holder never writes the name of its successor.
func segmentName(job string, epoch, sequence int) string {
	return fmt.Sprintf("%s.%d.%d", job, epoch, sequence)
}

// encode returns the stored form of a record of plain fields.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // records hold only plain fields
	}
	return data
}

// encodingOverhead is the room in bytes that one entry takes beside its text
// or, in base64, its body.
const encodingOverhead = 512

// split cuts a list into parts whose encoded size stays under limit bytes. An
// entry that is larger alone gets a part of its own.
func split[T any](list []T, limit int, size func(T) int) [][]T {
	var parts [][]T
	start, sum := 0, 0
	for i, entry := range list {
		n := size(entry) + encodingOverhead
		if i > start && sum+n > limit {
			parts = append(parts, list[start:i])
			start, sum = i, 0
		}
		sum += n
	}
	return append(parts, list[start:])
}

// itemSize counts the body in base64: four characters for each three bytes.
func itemSize(i Item) int { return len(i.Body)*4/3 + len(i.Path) + headerSize(i.Header) }

func headerSize(h map[string]string) int {
	n := 0
	for k, v := range h {
		n += len(k) + len(v) + encodingOverhead/64
	}
	return n
}

// resultSize allows for characters that JSON escapes.
func resultSize(r Result) int { return len(r.Text) * 5 / 4 }

// decode reads a stored record.
func decode[T any](data []byte) (T, error) {
	var v T
	err := json.Unmarshal(data, &v)
	return v, err
}

// newToken returns a token that no other write has.
func newToken() string { return fmt.Sprintf("%016x", rand.Uint64()) }
