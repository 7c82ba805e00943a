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

// source reads two clocks of the machine at one moment: the steady one, which stands
// still during a suspension, and the one that counts it. Each counts from a point of
// its own.
type source func() (steady, boot time.Duration)

// lookEvery is how long, in steady time, an earlier look at both clocks is relied on.
// A suspension shows within that time after its end; a look takes two system calls,
// and a busy node asks for the time some thousand times a second.
const lookEvery = 10 * time.Millisecond

// least is the shortest suspension that counts: the two clocks are not read at quite
// the same moment.
const least = 5 * time.Millisecond

// Clock is safe for concurrent use.
type Clock struct {
	read  source
	begun time.Time // with the steady clock's reading

	mu        sync.Mutex
	looked    time.Duration // steady time since begun at the last look
	ahead     time.Duration // of boot before steady at the first look
	suspended time.Duration // since then
}

// New returns the clock of this machine.
func New() *Clock { return newClock(readMachine) }

func newClock(read source) *Clock {
	c := &Clock{read: read, begun: time.Now()}
	steady, boot := read()
	c.ahead = boot - steady
	return c
}

// NewShifted returns the clock of this machine with the suspensions that a function
// returns added up; for tests.
func NewShifted(suspended func() time.Duration) *Clock {
	return newClock(func() (time.Duration, time.Duration) {
		steady, boot := readMachine()
		return steady, boot + suspended()
	})
}

func readMachine() (steady, boot time.Duration) {
	return readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_BOOTTIME)
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

// measure returns the steady time since the clock was made and the suspensions.
func (c *Clock) measure() (elapsed, suspended time.Duration) {
	elapsed = time.Since(c.begun)
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed-c.looked >= lookEvery {
		c.looked = elapsed
		steady, boot := c.read()
		if away := boot - steady - c.ahead; away >= c.suspended+least {
			c.suspended = away
		}
	}
	return elapsed, c.suspended
}
