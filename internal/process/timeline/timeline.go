// Package timeline records the decisions of a node as numbered events in a ring buffer.
// Hybrid logical time orders the events of all nodes (Kulkarni et al., "Logical Physical
// Clocks", 2014).
package timeline

import (
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// hlcLogicalBits is the number of low bits of an HLC that hold the logical counter.
const hlcLogicalBits = 16

// HLC is a hybrid logical time: Unix milliseconds above a 16-bit logical counter.
type HLC int64

// Time returns the physical part of h.
func (h HLC) Time() time.Time { return time.UnixMilli(int64(h) >> hlcLogicalBits) }

// Clock issues hybrid logical times in strictly increasing order.
type Clock struct {
	mu   sync.Mutex
	last HLC
	wall func() time.Time
}

// NewClock returns a clock that reads the given wall clock.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a time later than all that were returned or observed before.
func (c *Clock) Now() HLC {
	c.mu.Lock()
	defer c.mu.Unlock()
	physical := HLC(c.wall().UnixMilli() << hlcLogicalBits)
	c.last = max(c.last+1, physical)
	return c.last
}

// Observe makes later calls of Now return times later than remote, a time received from
// another node.
func (c *Clock) Observe(remote HLC) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, remote)
}

// Event is one recorded event.
type Event struct {
	At        HLC
	Node      string
	Code      Code
	RequestID string
	Subject   string // target, job, node or section that the event is about
	Cause     string
}

// Recorder keeps the newest events of one node, logs them and counts them. It is safe for
// concurrent use.
type Recorder struct {
	Clock *Clock

	node    string
	logger  log.Interface
	metrics tally.Scope

	mu   sync.Mutex
	ring []Event
	next int
	full bool
}

// NewRecorder returns a recorder that keeps the last size events.
func NewRecorder(node string, size int, logger log.Interface, metrics tally.Scope) *Recorder {
	return &Recorder{
		Clock:   NewClock(time.Now),
		node:    node,
		logger:  logger,
		metrics: metrics,
		ring:    make([]Event, size),
	}
}

// Field is an additional field of an event's log line, such as an input of the decision.
type Field struct {
	Name  string
	Value any
}

// Record adds an event. It never blocks: if the buffer is full, the oldest event is
// overwritten. The fields go into the log line only.
func (r *Recorder) Record(code Code, requestID, subject, cause string, fields ...Field) {
	event := Event{At: r.Clock.Now(), Node: r.node, Code: code, RequestID: requestID, Subject: subject, Cause: cause}
	r.mu.Lock()
	r.ring[r.next] = event
	r.next++
	if r.next == len(r.ring) {
		r.next, r.full = 0, true
	}
	r.mu.Unlock()
	r.metrics.Counter("event_" + code.String()).Inc(1)
	r.log(event, fields)
}

func (r *Recorder) log(event Event, extra []Field) {
	level := Catalogue[event.Code].Level
	if level == log.DebugLevel {
		return // kept in the ring buffer only, so that the log stays readable under load
	}
	fields := log.Fields{"event": uint32(event.Code)}
	for name, value := range map[string]string{"request": event.RequestID, "subject": event.Subject, "cause": event.Cause} {
		if value != "" {
			fields[name] = value
		}
	}
	for _, f := range extra {
		fields[f.Name] = f.Value
	}
	entry := r.logger.WithFields(fields)
	switch level {
	case log.ErrorLevel:
		entry.Error(event.Code.String())
	case log.WarnLevel:
		entry.Warn(event.Code.String())
	default:
		entry.Info(event.Code.String())
	}
}

// Events returns the newest events of a request, oldest first and at most limit. An empty
// requestID selects the events of all requests.
func (r *Recorder) Events(requestID string, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	ordered := r.ring[:r.next]
	if r.full {
		ordered = append(append([]Event{}, r.ring[r.next:]...), r.ring[:r.next]...)
	}
	var out []Event
	for i := len(ordered) - 1; i >= 0 && len(out) < limit; i-- {
		if requestID == "" || ordered[i].RequestID == requestID {
			out = append(out, ordered[i])
		}
	}
	Sort(out)
	return out
}

// Sort sorts events by time, then by node.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		if events[i].At != events[j].At {
			return events[i].At < events[j].At
		}
		return events[i].Node < events[j].Node
	})
}
