// Package clock tells a time that goes on while the machine is suspended. The steady
// clock that package time measures with stands still then, so that an age, a silence, a
// lease or a deadline that is measured with it looks younger than it is by as long as
// the machine was away.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// source reads how far the clock that counts suspensions is ahead of the steady one,
// which stands still during them. false: the two were not read at one moment.
type source func() (ahead time.Duration, ok bool)

// lookEvery is how long, in steady time, an earlier look at both clocks is relied on.
// A suspension shows within that time after its end; a look takes two system calls,
// and a busy node asks for the time some thousand times a second.
const lookEvery = 10 * time.Millisecond

const (
	// least is the shortest suspension that counts, and together how far apart the two
	// clocks may be read: a process that loses its processor between the two readings
	// would take that for a suspension.
	least    = 5 * time.Millisecond
	together = time.Millisecond
	// firstLooks is how often a new clock tries to read both at one moment.
	firstLooks = 1000
)

// Clock is safe for concurrent use.
type Clock struct {
	read  source
	begun time.Time // with the steady clock's reading

	mu        sync.Mutex
	looked    time.Duration // steady time since begun at the last look
	ahead     time.Duration // of the counting clock at the first look
	suspended time.Duration // since then
}

// New returns the clock of this machine.
func New() *Clock { return newClock(readMachine) }

func newClock(read source) *Clock {
	c := &Clock{read: read, begun: time.Now()}
	ok := false
	for n := 0; n < firstLooks && !ok; n++ {
		c.ahead, ok = read()
	}
	return c
}

// NewWithSuspensions returns the clock of this machine with the suspensions that a function
// returns added up; for tests.
func NewWithSuspensions(suspended func() time.Duration) *Clock {
	return newClock(func() (time.Duration, bool) {
		ahead, ok := readMachine()
		return ahead + suspended(), ok
	})
}

func readMachine() (ahead time.Duration, ok bool) {
	before := readClock(unix.CLOCK_MONOTONIC)
	boot := readClock(unix.CLOCK_BOOTTIME)
	after := readClock(unix.CLOCK_MONOTONIC)
	return boot - before, after-before <= together
}

// readClock reads a clock that every supported kernel has.
func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0 // then both are missing, and no suspension shows
	}
	return time.Duration(t.Nano())
}

// Now returns the time. Times of one clock may be compared with each other; none has a
// reading of the steady clock, and none follows steps of the time of day.
func (c *Clock) Now() time.Time {
	elapsed, suspended := c.measure()
	return c.begun.Round(0).Add(elapsed + suspended)
}

// Since returns how long ago a time of this clock was, Until how long it is until it
// comes.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns how long it is until a time of this clock comes.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Suspended returns how long the machine was suspended in all since the clock was made.
func (c *Clock) Suspended() time.Duration {
	_, suspended := c.measure()
	return suspended
}

// note takes how far the counting clock has gone ahead since the first look. The caller
// holds c.mu.
func (c *Clock) note(away time.Duration) {
	if away >= c.suspended+least {
		c.suspended = away
	}
}

// measure returns the steady time since the clock was made and the suspensions.
func (c *Clock) measure() (elapsed, suspended time.Duration) {
	elapsed = time.Since(c.begun)
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed-c.looked >= lookEvery {
		if ahead, ok := c.read(); ok {
			c.looked = elapsed
			c.note(ahead - c.ahead)
		}
	}
	return elapsed, c.suspended
}
