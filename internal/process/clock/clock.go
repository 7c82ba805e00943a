// Package clock provides a clock that includes the time for which the VM was suspended.
// The monotonic clock of package time stops during a suspension, so an age, a lease, a
// deadline or a time without messages that is measured with it comes out too short by the
// length of the suspension.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// readAhead returns how far CLOCK_BOOTTIME, which includes suspensions, is ahead of
// CLOCK_MONOTONIC, which does not. ok is false if the two were read too far apart.
type readAhead func() (ahead time.Duration, ok bool)

// readInterval is how long, in monotonic time, a reading of both clocks is reused. A
// suspension is noticed within that time after its end. A reading takes three system
// calls, and a busy node asks for the time some thousand times a second.
const readInterval = 10 * time.Millisecond

const (
	// minSuspension is the shortest suspension that counts. maxReadSkew is how far apart the
	// two clocks may be read: otherwise a process that is descheduled between the two
	// readings would count that as a suspension.
	minSuspension = 5 * time.Millisecond
	maxReadSkew   = time.Millisecond
	// firstReadAttempts is how often a new clock tries to read both within maxReadSkew.
	firstReadAttempts = 1000
)

// Clock returns times that include suspensions. It is safe for concurrent use.
type Clock struct {
	read    readAhead
	created time.Time // with a monotonic reading

	mu           sync.Mutex
	readAt       time.Duration // monotonic time from created to the last reading
	initialAhead time.Duration // at the first reading
	suspended    time.Duration // total since the first reading
}

// New returns a clock that reads the system's clocks.
func New() *Clock { return newClock(readSystem) }

func newClock(read readAhead) *Clock {
	c := &Clock{read: read, created: time.Now()}
	ok := false
	for n := 0; n < firstReadAttempts && !ok; n++ {
		c.initialAhead, ok = read()
	}
	return c
}

// NewWithSuspensions returns a clock that adds the total that suspended returns to the
// suspensions of the system; for tests.
func NewWithSuspensions(suspended func() time.Duration) *Clock {
	return newClock(func() (time.Duration, bool) {
		ahead, ok := readSystem()
		return ahead + suspended(), ok
	})
}

func readSystem() (ahead time.Duration, ok bool) {
	before := readClock(unix.CLOCK_MONOTONIC)
	boot := readClock(unix.CLOCK_BOOTTIME)
	after := readClock(unix.CLOCK_MONOTONIC)
	return boot - before, after-before <= maxReadSkew
}

// readClock reads a clock of the kernel. Every supported kernel has both that are used.
func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0 // both are missing then, and no suspension is noticed
	}
	return time.Duration(t.Nano())
}

// Now returns the current time. Times of one clock may be compared with each other; they
// have no monotonic reading and do not follow steps of the wall clock.
func (c *Clock) Now() time.Time {
	elapsed, suspended := c.measure()
	return c.created.Round(0).Add(elapsed + suspended)
}

// Since returns the time elapsed since t, a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t, a time of this clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Suspended returns the total time for which the VM was suspended since the clock was created.
func (c *Clock) Suspended() time.Duration {
	_, suspended := c.measure()
	return suspended
}

// recordSuspended updates the total if it grew by at least minSuspension. The caller holds c.mu.
func (c *Clock) recordSuspended(total time.Duration) {
	if total >= c.suspended+minSuspension {
		c.suspended = total
	}
}

// measure returns the monotonic time since the clock was created, and the total of suspensions.
func (c *Clock) measure() (elapsed, suspended time.Duration) {
	elapsed = time.Since(c.created)
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed-c.readAt >= readInterval {
		if ahead, ok := c.read(); ok {
			c.readAt = elapsed
			c.recordSuspended(ahead - c.initialAhead)
		}
	}
	return elapsed, c.suspended
}
