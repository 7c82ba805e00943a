package beacon

import (
	"slices"
	"time"
)

// pauses are the times in which this process did not run, for lack of a processor for example.
// Datagrams that arrive meanwhile wait in the socket, so the silence of other nodes is this
// node's own then. The zero value records none. It is not safe for concurrent use.
type pauses struct {
	allowed  time.Duration // between two ticks; what is longer is a pause
	lastTick time.Time     // zero: no ticks are expected
	past     []span        // in order; without those that no longer matter
}

type span struct{ from, until time.Time }

// length returns the part of a span after a time.
func (s span) length(after time.Time) time.Duration {
	from := s.from
	if after.After(from) {
		from = after
	}
	return max(0, s.until.Sub(from))
}

// tick notes that the process runs.
func (s *pauses) tick(now time.Time) {
	if current := s.current(now); current.until.After(current.from) {
		s.past = append(s.past, current)
	}
	s.lastTick = now
	s.past = slices.DeleteFunc(s.past, func(p span) bool { return s.ranSince(p.until, now) > 2*unreachableAfter })
}

// stop notes that no more ticks are expected.
func (s *pauses) stop() { s.lastTick, s.past = time.Time{}, nil }

// current returns the pause that has not been noted by a tick yet, an empty span if there is
// none.
func (s *pauses) current(now time.Time) span {
	if from := s.lastTick.Add(s.allowed); !s.lastTick.IsZero() && from.Before(now) {
		return span{from: from, until: now}
	}
	return span{from: now, until: now}
}

// ranSince returns for how long the process has run since t.
func (s *pauses) ranSince(t, now time.Time) time.Duration {
	ran := now.Sub(t) - s.current(now).length(t)
	for _, p := range s.past {
		ran -= p.length(t)
	}
	return ran
}
