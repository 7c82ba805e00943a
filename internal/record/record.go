// Package record defines the objects stored in the platform and the pure
// transitions between their states. A node stores a transition by a conditional
// write on the version from which it was computed, which makes each transition
// atomic over all nodes. Records are stored as JSON under the names of their
// fields.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// JobState is the state of a batch job.
type JobState string

// The states of a job. Completed and Cancelled are final.
const (
	JobOpen       JobState = "in_progress"
	JobCancelling JobState = "cancelling"
	JobCompleted  JobState = "completed"
	JobCancelled  JobState = "cancelled"
)

// Final reports whether no item of the job will be dispatched any more.
func (s JobState) Final() bool { return s == JobCompleted || s == JobCancelled }

// File is a stored JSONL file, cut into chunks.
type File struct {
	ID        string
	Workspace string
	Name      string
	Bytes     int64
	Items     int
	Chunks    int
	Services  []string // services of the items
	ChunkOf   []byte   // per chunk: index into Services; a chunk has one service
	Created   int64    // Unix seconds
	Token     string
}

// Job is a batch of items from one or more files.
type Job struct {
	ID            string
	Workspace     string
	Key           string // caller's idempotency key
	Digest        []byte // of the submission
	Endpoint      string
	Files         []FileRef
	Total         int
	NonIdempotent bool
	State         JobState
	Created       int64 // Unix seconds
	Due           int64 // Unix seconds
	Ended         int64 // Unix seconds
	Completed     int   // set when final
	Failed        int   // set when final
	Token         string
}

// FileRef names a file of a job and its number of chunks.
type FileRef struct {
	ID       string
	Chunks   int
	Services []string
	ChunkOf  []byte // per chunk: index into Services
}

// Chunks returns the number of chunks over all files.
func (j *Job) Chunks() int {
	total := 0
	for _, f := range j.Files {
		total += f.Chunks
	}
	return total
}

// ChunkObject returns the object name of the job's n-th chunk.
func (j *Job) ChunkObject(n int) string {
	for _, f := range j.Files {
		if n < f.Chunks {
			return ChunkName(f.ID, n)
		}
		n -= f.Chunks
	}
	return ""
}

// ChunkService returns the service of the job's n-th chunk.
func (j *Job) ChunkService(n int) string {
	for _, f := range j.Files {
		if n < f.Chunks {
			return f.Services[f.ChunkOf[n]]
		}
		n -= f.Chunks
	}
	return ""
}

// ChunkPhase is the phase of a chunk. A chunk without a stored state is open.
type ChunkPhase string

// The phases of a chunk. Done and Stopped are final.
const (
	ChunkOpen    ChunkPhase = "open" // released by its holder; any node may lease it
	ChunkLeased  ChunkPhase = "leased"
	ChunkDone    ChunkPhase = "done"
	ChunkStopped ChunkPhase = "stopped" // the job was cancelled
)

// Holder is one incarnation of a node that holds a lease.
type Holder struct {
	Node        string
	Incarnation uint64
}

// ChunkState is the lease and the progress of one chunk.
type ChunkState struct {
	Job       string
	N         int
	Phase     ChunkPhase
	Holder    Holder
	Epoch     int64  // counts leases; the fencing token of a commit
	Renewals  int64  // counts writes under one lease; a change shows that the holder is alive
	Token     string // of the writer, to recognise its own write after a lost response
	Items     int    // items in the chunk, known from the first commit on
	Segments  []Segment
	Started   []int // non-idempotent items that may have been dispatched
	Completed int
	Failed    int
}

// Segment names a results object and the indexes of the items whose results it
// contains.
type Segment struct {
	Object string
	Items  []int
}

// Errors of the transitions.
var (
	ErrLeased = errors.New("chunk is leased by another holder")
	ErrFenced = errors.New("lease was taken over")
	ErrFinal  = errors.New("chunk has ended")
)

// Acquire returns the state with a new lease for h. expired means that the
// present lease has expired or its holder's incarnation has ended.
func (c ChunkState) Acquire(h Holder, token string, expired bool) (ChunkState, error) {
	switch {
	case c.Phase == ChunkDone || c.Phase == ChunkStopped:
		return c, ErrFinal
	case c.Phase == ChunkLeased && c.Holder != h && !expired:
		return c, ErrLeased
	}
	c.Phase, c.Holder, c.Token = ChunkLeased, h, token
	c.Epoch++
	c.Renewals = 0
	return c, nil
}

// Progress is what a holder adds to a chunk's state with one commit.
type Progress struct {
	Segment   *Segment   // results written since the last commit; nil: none
	Started   []int      // non-idempotent items about to be dispatched
	Returned  []int      // items of Started that were not dispatched after all
	Completed int        // items of the segment with an answer
	Failed    int        // items of the segment with a final error
	Items     int        // items in the chunk
	Phase     ChunkPhase // phase after the commit
}

// Commit returns the state with progress added and the lease renewed. It fails
// unless h still has the lease of the given epoch. It also fails if an item of
// the new segment is already in a segment.
func (c ChunkState) Commit(h Holder, epoch int64, token string, p Progress) (ChunkState, error) {
	if c.Phase == ChunkDone || c.Phase == ChunkStopped {
		return c, ErrFinal
	}
	if c.Phase != ChunkLeased || c.Holder != h || c.Epoch != epoch {
		return c, ErrFenced
	}
	if p.Segment != nil {
		committed := c.CommittedItems()
		for _, item := range p.Segment.Items {
			if committed[item] {
				return c, fmt.Errorf("item %d of chunk %d committed twice", item, c.N)
			}
		}
		c.Segments = append(append([]Segment{}, c.Segments...), *p.Segment)
	}
	c.Started = without(append(append([]int{}, c.Started...), p.Started...), p.Returned)
	c.Completed += p.Completed
	c.Failed += p.Failed
	c.Items = p.Items
	c.Phase, c.Token = p.Phase, token
	c.Renewals++
	return c, nil
}

// without returns items without those in removed. It overwrites items.
func without(items, removed []int) []int {
	return slices.DeleteFunc(items, func(i int) bool { return slices.Contains(removed, i) })
}

// Stop returns the state of a cancelled chunk, with a higher epoch so that
// commits of the former holder fail.
func (c ChunkState) Stop(token string) (ChunkState, error) {
	if c.Phase == ChunkDone || c.Phase == ChunkStopped {
		return c, ErrFinal
	}
	c.Phase, c.Token = ChunkStopped, token
	c.Epoch++
	return c, nil
}

// CommittedItems returns the set of items whose results are committed.
func (c ChunkState) CommittedItems() map[int]bool {
	committed := map[int]bool{}
	for _, s := range c.Segments {
		for _, item := range s.Items {
			committed[item] = true
		}
	}
	return committed
}

// ClaimState is the state of a claim on a non-idempotent request.
type ClaimState string

// The states of a claim.
const (
	Claimed   ClaimState = "claimed"   // the request may have been dispatched
	Abandoned ClaimState = "abandoned" // the request was certainly not dispatched; its key may be claimed again
)

// Claim is a node's right to dispatch a non-idempotent request once.
type Claim struct {
	Workspace string
	Key       string
	Digest    []byte
	RequestID string
	Holder    Holder
	State     ClaimState
	Token     string
	Created   int64 // Unix seconds
}

// Prefixes of object names, and the name of the configuration's head.
const (
	JobPrefix    = "job/"
	StatePrefix  = "state/"
	ConfigHead   = "config/head"
	ConfigPrefix = "config/"
	ResultPrefix = "result/"
)

// JobName returns the object name of a job.
func JobName(id string) string { return JobPrefix + id }

// FileName returns the object name of a file.
func FileName(id string) string { return "file/" + id }

// ChunkName returns the object name of a file's chunk.
func ChunkName(file string, n int) string { return fmt.Sprintf("chunk/%s/%06d", file, n) }

// StateName returns the object name of a chunk's state.
func StateName(job string, n int) string { return fmt.Sprintf("%s%06d", JobStatePrefix(job), n) }

// JobStatePrefix returns the prefix of the chunk states of a job.
func JobStatePrefix(job string) string { return StatePrefix + job + "/" }

// SegmentName returns the object name of a results segment. The token makes it
// unique, so that a fenced holder cannot replace a segment of its successor.
func SegmentName(job string, n int, epoch int64, token string) string {
	return fmt.Sprintf("segment/%s/%06d/%d-%s", job, n, epoch, token)
}

// ClaimName returns the object name of a claim; hash identifies the workspace and
// the key.
func ClaimName(hash string) string { return "claim/" + hash }

// SectionName returns the object name of a configuration section; hash
// identifies its content.
func SectionName(hash string) string { return "config/section/" + hash }

// ResultBucket returns the prefix of the objects with the online results of one
// data centre whose requests were created in the given minute (Unix minutes).
func ResultBucket(dataCentre string, minute int64) string {
	return fmt.Sprintf("%s%s/%d/", ResultPrefix, dataCentre, minute)
}

// Encode returns the stored form of a record.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: records have only fields that JSON can encode
	}
	return data
}

// Decode reads a stored record.
func Decode[T any](data []byte) (T, error) {
	var v T
	err := json.Unmarshal(data, &v)
	return v, err
}

// IDOf returns the part of an object name after its prefix.
func IDOf(prefix, name string) string { return strings.TrimPrefix(name, prefix) }
