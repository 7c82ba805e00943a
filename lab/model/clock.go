package model

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs scheduled functions in order of their time.
type clock struct {
	now       time.Duration
	queue     eventQueue
	scheduled int
}

type event struct {
	at       time.Duration
	sequence int // events of the same time run in the order in which they were scheduled
	run      func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after runs f when d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.scheduled++
	heap.Push(&c.queue, event{c.now + max(0, d), c.scheduled, f})
}

// every runs f each time d has passed.
func (c *clock) every(d time.Duration, f func()) {
	c.after(d, func() {
		f()
		c.every(d, f)
	})
}

// run runs all events up to the end.
func (c *clock) run(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// startTime is the wall-clock time at virtual time 0.
var startTime = time.Unix(1_700_000_000, 0)

func (c *clock) wallTime() time.Time { return startTime.Add(c.now) }
