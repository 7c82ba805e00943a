package hostedsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

const (
	// hangUpOneIn is one in how many callers that close the connection after hangUpAfter events
	// and return.
	hangUpOneIn = 5
	hangUpAfter = 8
	// maxReturns is how often a caller returns, and returnDelay how long it takes.
	maxReturns  = 3
	returnDelay = 50 * time.Millisecond
)

// sendReturning asks for a stream, returns at other nodes when it breaks off, and checks all
// that was received.
func (l *load) sendReturning(n int) {
	c := &hosted.ReturningCaller{Name: fmt.Sprintf("s%d-b%d", l.seed, n), Path: hosted.ResumePath + "q",
		Header: map[string]string{"Authorization": "Bearer " + steadyKey, "X-Marblepond-Deadline-Ms": fmt.Sprint(onlineTimeout.Milliseconds())}}
	ctx, cancel := context.WithTimeout(context.Background(), onlineTimeout)
	defer cancel()
	started := time.Now()
	l.history.count(func(sum *counts) { sum.Online++ })
	hangsUp := n%hangUpOneIn == 0
	returned := false
	for range 1 + maxReturns {
		at := l.pickNode()
		_ = c.Attempt(ctx, at.callers.Address(), func(hosted.Event) bool { return !hangsUp || len(c.Events) != hangUpAfter })
		if wasRefused(c) {
			l.history.recordRefusal(fmt.Sprint(c.Name, "-", c.Attempts-1), fmt.Sprintf("status %d from %s", c.Status, at.name))
		}
		if c.Complete || c.Status >= http.StatusBadRequest || ctx.Err() != nil {
			break
		}
		returned = returned || len(c.Events) > 0
		time.Sleep(returnDelay)
	}
	if fault := c.Fault(); fault != "" {
		l.history.violate("stream %s: %s", c.Name, fault)
	}
	if c.Complete && len(c.Events) != answerEvents {
		l.history.violate("stream %s ended as complete after %d events", c.Name, len(c.Events))
	}
	l.countReturning(c, returned)
	if len(c.Events) == 0 && wasRefused(c) {
		return // as for other requests: all targets may be full
	}
	// A fault may break off a stream or take away the targets of its version.
	if !c.Complete && l.history.faultFree(started, time.Now(), StopNode, HangupNode, ConfigChange, Overload) {
		l.history.violate("stream %s was not complete without a fault: status %d after %d events and %d attempts: %s", c.Name, c.Status, len(c.Events), c.Attempts, c.Refusal)
	}
}

// wasRefused reports whether the last attempt was refused as not run.
func wasRefused(c *hosted.ReturningCaller) bool { return saysNotRun(c.Status) }

func (l *load) countReturning(c *hosted.ReturningCaller, returned bool) {
	refused := wasRefused(c)
	l.history.count(func(sum *counts) {
		switch {
		case c.Complete:
			sum.Complete++
		case refused:
			sum.Refused++
		case c.Status >= http.StatusBadRequest:
			sum.Failed++
		default:
			sum.Cut++
		}
		if !returned {
			return
		}
		sum.Returned++
		if c.Complete {
			sum.ReturnedComplete++
		}
		if refused {
			sum.ReturnedRefused++
		}
	})
}
