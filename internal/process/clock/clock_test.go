package clock

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestSuspensionsCount checks that the time advances by the length of a suspension within
// readInterval, and never goes back.
func TestSuspensionsCount(t *testing.T) {
	is := is.New(t)
	var suspended atomic.Int64
	c := NewWithSuspensions(func() time.Duration { return time.Duration(suspended.Load()) })
	before := c.Now()
	is.Equal(c.Suspended(), time.Duration(0))
	suspended.Store(int64(10 * time.Second))
	time.Sleep(2 * readInterval)
	passed := c.Since(before)
	is.True(passed >= 10*time.Second && passed < 11*time.Second)
	off := c.Suspended() - 10*time.Second // the clocks are read up to maxReadSkew apart
	is.True(off > -maxReadSkew && off < maxReadSkew)
	suspended.Store(int64(9 * time.Second)) // as if the clocks were read apart
	time.Sleep(2 * readInterval)
	is.True(c.Since(before) > passed)
	is.True(c.Until(before.Add(time.Minute)) < 50*time.Second)
}

// TestSystemClocksAdvance checks that both clocks of the system advance.
func TestSystemClocksAdvance(t *testing.T) {
	is := is.New(t)
	monotonic, boot := readClock(unix.CLOCK_MONOTONIC), readClock(unix.CLOCK_BOOTTIME)
	time.Sleep(time.Millisecond)
	is.True(readClock(unix.CLOCK_MONOTONIC) > monotonic && readClock(unix.CLOCK_BOOTTIME) > boot)
	is.True(New().Suspended() == 0)
}

// TestReadingsApartAreIgnored checks that a process that is descheduled for long between
// the readings of the two clocks is not taken to be suspended.
func TestReadingsApartAreIgnored(t *testing.T) {
	is := is.New(t)
	apart := false
	c := newClock(func() (time.Duration, bool) {
		if apart {
			return time.Minute, false
		}
		return time.Second, true
	})
	apart = true
	time.Sleep(2 * readInterval)
	is.Equal(c.Suspended(), time.Duration(0))
	apart = false
	is.Equal(c.Suspended(), time.Duration(0))
}

// BenchmarkNow measures the cost of reading the time.
func BenchmarkNow(b *testing.B) {
	c := New()
	for range b.N {
		c.Now()
	}
}
