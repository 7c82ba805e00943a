package target

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const eventTimeout = 100 * time.Millisecond

// lostAfter returns when an attempt that receives events at the given times counts as lost,
// if its target is reported as restarted at restart; 0: never.
func lostAfter(t *testing.T, restart time.Duration, events ...time.Duration) (lost time.Duration) {
	synctest.Test(t, func(*testing.T) {
		start := time.Now()
		l := &Liveness{}
		defer l.Stop()
		for _, at := range events {
			time.AfterFunc(at, l.EventReceived)
		}
		time.AfterFunc(restart, func() { l.TargetRestarted(eventTimeout, func() { lost = time.Since(start) }) })
		time.Sleep(10 * time.Second)
	})
	return lost
}

// TestAttemptWithoutEventsIsLost: at once if eventTimeout has passed since its last event,
// else when it passes.
func TestAttemptWithoutEventsIsLost(t *testing.T) {
	is := is.New(t)
	is.Equal(lostAfter(t, 3*time.Second, 20*time.Millisecond, 500*time.Millisecond), 3*time.Second)
	is.Equal(lostAfter(t, 550*time.Millisecond, 500*time.Millisecond), 600*time.Millisecond)
	is.Equal(lostAfter(t, 30*time.Millisecond), 30*time.Millisecond) // it never received an event
}

// TestAttemptWithLaterEventsContinues: it runs in the new process.
func TestAttemptWithLaterEventsContinues(t *testing.T) {
	is := is.New(t)
	is.Equal(lostAfter(t, 550*time.Millisecond, 500*time.Millisecond, 590*time.Millisecond), time.Duration(0))
	is.Equal(lostAfter(t, 50*time.Millisecond, 40*time.Millisecond, 120*time.Millisecond), time.Duration(0))
}

// TestEndedAttemptIsNotLost: restarts reported before and after its end are ignored.
func TestEndedAttemptIsNotLost(t *testing.T) {
	l := &Liveness{}
	l.EventReceived()
	l.TargetRestarted(time.Hour, func() { t.Error("lost") })
	l.Stop()
	l.TargetRestarted(0, func() { t.Error("lost after its end") })
}
