package clock

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspensionsCount: the time goes on by as long as the machine was suspended,
// within lookEvery, and never back.
func TestSuspensionsCount(t *testing.T) {
	is := is.New(t)
	var away atomic.Int64
	c := NewShifted(func() time.Duration { return time.Duration(away.Load()) })
	before := c.Now()
	is.Equal(c.Suspended(), time.Duration(0))
	away.Store(int64(10 * time.Second))
	time.Sleep(2 * lookEvery)
	passed := c.Since(before)
	is.True(passed >= 10*time.Second+2*lookEvery && passed < 11*time.Second)
	is.True(c.Suspended() >= 10*time.Second && c.Suspended() < 10*time.Second+least)
	away.Store(int64(9 * time.Second)) // the clocks are read one after the other
	time.Sleep(2 * lookEvery)
	is.True(c.Since(before) > passed)
	is.True(c.Until(before.Add(time.Minute)) < 50*time.Second)
}

// TestMachineIsRead: both clocks of this machine go on.
func TestMachineIsRead(t *testing.T) {
	is := is.New(t)
	steady, boot := readMachine()
	time.Sleep(time.Millisecond)
	laterSteady, laterBoot := readMachine()
	is.True(laterSteady > steady && laterBoot > boot)
	is.True(New().Suspended() == 0)
}

// BenchmarkNow gives what a reading costs.
func BenchmarkNow(b *testing.B) {
	c := New()
	for range b.N {
		c.Now()
	}
}
