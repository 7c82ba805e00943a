package target

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sends counts how often requests were sent to processes of targets. An answer names its request
// only by the request's ID, so that a copy of an answer to an earlier send of the same request
// cannot be told from the answer to this one by its content. It is safe for concurrent use.
type Sends struct {
	mu               sync.Mutex
	current, earlier map[uint64]int // by a hash of process and request
	renewedAt        time.Time
}

const (
	// sendsKeptFor is the least time for which a send is remembered while there are not too many:
	// longer than callers wait for an answer.
	sendsKeptFor = 2 * time.Minute
	// maxSends bounds each of the two maps, to about 1 MB.
	maxSends = 1 << 15
)

// Begin counts a send and returns how often the request was sent to the process before.
func (s *Sends) Begin(now time.Time, process, request string) (before int) {
	key := sendKey(process, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || len(s.current) >= maxSends || now.Sub(s.renewedAt) >= sendsKeptFor {
		s.earlier, s.current, s.renewedAt = s.current, map[uint64]int{}, now
	}
	before = max(s.current[key], s.earlier[key])
	s.current[key] = before + 1
	return before
}

// Undo takes back a Begin of a request of which nothing was sent.
func (s *Sends) Undo(process, request string) {
	key := sendKey(process, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current[key] > 0 {
		s.current[key]--
	}
}

func sendKey(process, request string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(process)
	d.Write([]byte{0})
	d.WriteString(request)
	return d.Sum64()
}
