package objects

import (
	"sync"
	"time"
)

// Health is what the calls of one client say of the store. It is safe for
// concurrent use.
type Health struct {
	now      func() time.Time
	onChange func(up bool, after time.Duration)

	mu    sync.Mutex
	up    bool
	since time.Time // of the present state
}

// NewHealth returns the health of a store that is taken to be up. onChange is
// told each change with the time that the state before lasted.
func NewHealth(now func() time.Time, onChange func(up bool, after time.Duration)) *Health {
	return &Health{now: now, onChange: onChange, up: true, since: now()}
}

// Up reports whether the newest call was answered.
func (h *Health) Up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

// Note takes the outcome of a call: whether the store answered it at all.
func (h *Health) Note(answered bool) {
	h.mu.Lock()
	now := h.now()
	changed := h.up != answered
	lasted := now.Sub(h.since)
	if changed {
		h.up, h.since = answered, now
	}
	h.mu.Unlock()
	if changed {
		h.onChange(answered, lasted)
	}
}
