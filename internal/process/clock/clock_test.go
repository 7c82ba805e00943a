package clock

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestSuspensionsCount: the time goes on by as long as the machine was suspended,
// within lookEvery, and never back.
func TestSuspensionsCount(t *testing.T) {
	is := is.New(t)
	var away atomic.Int64
	c := NewWithSuspensions(func() time.Duration { return time.Duration(away.Load()) })
	before := c.Now()
	is.Equal(c.Suspended(), time.Duration(0))
	away.Store(int64(10 * time.Second))
	time.Sleep(2 * lookEvery)
	passed := c.Since(before)
	is.True(passed >= 10*time.Second && passed < 11*time.Second)
	off := c.Suspended() - 10*time.Second // the clocks are read up to `together` apart
	is.True(off > -together && off < together)
	away.Store(int64(9 * time.Second)) // the clocks are read one after the other
	time.Sleep(2 * lookEvery)
	is.True(c.Since(before) > passed)
	is.True(c.Until(before.Add(time.Minute)) < 50*time.Second)
}

// TestMachineIsRead: both clocks of this machine go on.
func TestMachineIsRead(t *testing.T) {
	is := is.New(t)
	steady, boot := readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_BOOTTIME)
	time.Sleep(time.Millisecond)
	is.True(readClock(unix.CLOCK_MONOTONIC) > steady && readClock(unix.CLOCK_BOOTTIME) > boot)
	is.True(New().Suspended() == 0)
}

// TestTornReadingsDontCount: a process that loses its processor for long between the
// readings of the two clocks was not suspended.
func TestTornReadingsDontCount(t *testing.T) {
	is := is.New(t)
	torn := false
	c := newClock(func() (time.Duration, bool) {
		if torn {
			return time.Minute, false
		}
		return time.Second, true
	})
	torn = true
	time.Sleep(2 * lookEvery)
	is.Equal(c.Suspended(), time.Duration(0))
	torn = false
	is.Equal(c.Suspended(), time.Duration(0))
}

// BenchmarkNow gives what a reading costs.
func BenchmarkNow(b *testing.B) {
	c := New()
	for range b.N {
		c.Now()
	}
}
