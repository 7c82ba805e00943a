package objects

import (
	"sync"
	"time"
)

// Health tracks whether the object store serves the calls of one client, and its latency.
// It is safe for concurrent use.
type Health struct {
	now      func() time.Time
	onChange func(up bool, after time.Duration)

	mu         sync.Mutex
	up         bool
	stateSince time.Time     // when up last changed
	latency    time.Duration // of the newest response known, to this node or to another
	measuredAt time.Time     // when that response arrived
}

// latencyValidFor is how long a latency counts as current: a few rounds of the polls
// that keep the cached copies fresh.
const latencyValidFor = 3 * time.Second

// RecordLatency records the latency of a response to this node.
func (h *Health) RecordLatency(took time.Duration) { h.ReceiveLatency(took, 0) }

// ReceiveLatency records the latency of a response, to this node or to another, that
// arrived age ago. Older responses than the newest known are ignored.
func (h *Health) ReceiveLatency(took, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at := h.now().Add(-age); at.After(h.measuredAt) {
		h.latency, h.measuredAt = took, at
	}
}

// Latency returns the latency of the newest response known and its age; took is 0
// if that is older than latencyValidFor.
func (h *Health) Latency() (took, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	age = h.now().Sub(h.measuredAt)
	if age > latencyValidFor {
		return 0, 0
	}
	return h.latency, age
}

// NewHealth returns the health of a store that is up at first. onChange is called at
// each change with how long the previous state lasted.
func NewHealth(now func() time.Time, onChange func(up bool, after time.Duration)) *Health {
	return &Health{now: now, onChange: onChange, up: true, stateSince: now()}
}

// Up reports whether the store served the newest call.
func (h *Health) Up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

// RecordOutcome records whether the store served a call: it responded and did not refuse
// the call as overloaded.
func (h *Health) RecordOutcome(served bool) {
	h.mu.Lock()
	now := h.now()
	changed := h.up != served
	lasted := now.Sub(h.stateSince)
	if changed {
		h.up, h.stateSince = served, now
	}
	h.mu.Unlock()
	if changed {
		h.onChange(served, lasted)
	}
}
