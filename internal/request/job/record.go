// Package job runs batch jobs that callers submit as one unit: it stores an accepted job in
// the object store, runs its items on capacity that online requests leave free, commits
// results in batches, and serves reads at any node.
//
// A job is accepted when its head exists in the object store; its items are written before
// the head, or with it. One node, the holder, runs the job and alone updates the head, by
// conditional writes. A node that takes the job over first writes itself and a higher epoch
// into the head, so every later write of the former holder fails. A result gets its
// position from the write of the head that lists it, and the position never changes.
package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/marblepond/marblepond/internal/version/route"
)

// Kinds of objects in the object store.
const (
	KindHeads   = "marblepond-jobs"    // one Head per job
	KindItems   = "marblepond-items"   // submitted items, in one or more objects per job
	KindResults = "marblepond-results" // committed results, one object per segment
	KindEnds    = "marblepond-ends"    // one object per job that its caller ended
)

// Kinds lists the only kinds of objects that a node may change on behalf of another node.
var Kinds = []string{KindHeads, KindItems, KindResults, KindEnds}

// Holder identifies one incarnation of a node as the holder of a job. The zero Holder means
// that no node holds the job.
type Holder struct {
	Node    string
	Boot    int64  // Unix microseconds at process start
	Address string // IP:port of the node's services for other nodes
}

// String formats a holder for logs.
func (h Holder) String() string {
	if h == (Holder{}) {
		return "no node"
	}
	return fmt.Sprintf("%s boot %d", h.Node, h.Boot)
}

// Head is the authoritative state of a job: who holds it and which results are listed. Only
// the holder updates it, and a node that takes the job over.
type Head struct {
	Workspace string `json:",omitempty"` // empty if the configuration has no workspaces
	Host      string // of the submission
	Path      string // of the submission; identifies the route in any configuration version
	Submitted int64  // Unix milliseconds when a node received the submission
	Total     int    // number of items
	Parts     int    // number of KindItems objects
	// Waiting is the number of tokens of the items without a listed result. While no node holds the
	// job, the limit on waiting tokens counts them.
	Waiting int64 `json:",omitempty"`
	// Inline holds the items of a small job, which is accepted with a single write. The
	// first commit moves them to KindItems objects.
	Inline   []Item `json:",omitempty"`
	Holder   Holder
	Epoch    int         // fencing token, incremented by each takeover
	Segments []Segment   // in order of result position
	Failed   map[int]int `json:",omitempty"` // number of failed attempts by item index; items without any are absent
	Keepers  []string    `json:",omitempty"` // IP:port of the nodes that store the job's checkpoint
	Writer   string      // token of the last write, which identifies it if its response was lost
}

// Segment lists the results that a commit stored in one object.
type Segment struct {
	Object string // name of the KindResults object
	Items  []int  // item indexes, in order of result position
	// Parts is the number of objects of a single result that is too large for one; 0: there is one.
	Parts int `json:",omitempty"`
	// Bytes is the size of its objects; 0: it was written by a version that does not state it.
	Bytes int `json:",omitempty"`
}

// Listed returns the number of results that have a position.
func (h *Head) Listed() int {
	n := 0
	for _, s := range h.Segments {
		n += len(s.Items)
	}
	return n
}

// Complete reports whether every item has a listed result.
func (h *Head) Complete() bool { return h.Listed() >= h.Total }

// Item is one request of a job.
type Item struct {
	ID     string
	Path   string
	Header Header
	Body   []byte
	Tokens int64 // prompt tokens plus maximum output tokens
}

// Result is the outcome of one item.
type Result struct {
	Item string
	Dead bool   // the item was given up; Text is empty
	Text string // data of all events, separated by line feeds
}

// Submission is a job as its caller sends it.
type Submission struct {
	ID        string // as ScopedID returns it
	Workspace string // empty if the configuration has no workspaces
	Host      string
	Path      string
	Route     *route.Route
	Items     []Item
	Arrived   time.Time
	Deadline  time.Time // of the response to the submission
}

// scopeSeparator separates the caller's job ID from the workspace in a scoped ID.
const scopeSeparator = "@"

// ScopedID returns the ID under which a job of a workspace is stored. The same ID in two
// workspaces names two jobs, and no workspace can name a job of another: the separator is
// escaped in both parts.
func ScopedID(workspace, id string) string {
	if workspace == "" {
		return id
	}
	return scopeEscaper.Replace(id) + scopeSeparator + scopeEscaper.Replace(workspace)
}

// Scoped reports whether an ID may be a scoped ID: it contains the separator.
func Scoped(id string) bool { return strings.Contains(id, scopeSeparator) }

var scopeEscaper = strings.NewReplacer("%", "%25", scopeSeparator, "%40")

// Tokens returns the sum of the tokens of all items.
func (s *Submission) Tokens() int64 {
	total := int64(0)
	for i := range s.Items {
		total += s.Items[i].Tokens
	}
	return total
}

// MaxItems is the maximum number of items in a job.
const MaxItems = 200

// Validation errors of a submission.
var (
	errNoItems      = errors.New("a job needs at least one item")
	errNoJobID      = errors.New("a job needs an ID")
	errTooManyItems = fmt.Errorf("a job has at most %d items", MaxItems)
)

// Check returns the first validation error of a submission, or nil.
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
			return fmt.Errorf("duplicate item ID %q", item.ID)
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

// partName returns the name of the n-th KindItems object of a job.
func partName(job string, n int) string { return fmt.Sprintf("%s.%d", job, n) }

// segmentName returns the name of a KindResults object. Epoch and sequence make it unique,
// so that a former holder never writes under a name that its successor uses.
func segmentName(job string, epoch, sequence int) string {
	return fmt.Sprintf("%s.%d.%d", job, epoch, sequence)
}

// encode returns the JSON form of a stored record.
func encode(v any) []byte {
	data, err := encodeStored(v)
	if err != nil {
		panic(err) // all stored records can be marshalled
	}
	return data
}

// encodingOverhead is the number of bytes reserved for each entry beside its text or its
// base64 body.
const encodingOverhead = 512

// split cuts a list into parts whose encoded size stays under limit bytes. An entry that
// exceeds the limit gets a part of its own.
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

// itemSize estimates the encoded size of an item. Base64 takes four characters for each
// three bytes of the body.
func itemSize(i Item) int { return len(i.Body)*4/3 + len(i.Path) + i.Header.size() }

// encodedSize returns the size of a result in an answer to a caller.
func (r Result) encodedSize() int {
	return jsonStringSize(r.Item) + jsonStringSize(r.Text) + resultFieldsBytes
}

// resultFieldsBytes is room for the names of the fields of a result, its state and its separator.
const resultFieldsBytes = 64

// decode parses a stored record.
func decode[T any](data []byte) (T, error) {
	var v T
	err := json.Unmarshal(data, &v)
	return v, err
}

// newToken returns a random token that identifies one write.
func newToken() string { return fmt.Sprintf("%016x", rand.Uint64()) }
