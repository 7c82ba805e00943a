package batch

import "time"

// suspects decides which item a lost target is held against. An item can crash
// the engine that runs it, and takes every other item there with it. Nothing
// tells which one it was, so all that were lost become suspects, and suspects
// run one to a target: the next loss there is that suspect's fault and nobody
// else's.
//
// The order in which the losses of one crash are noticed does not matter: an
// attempt is judged by what its item was when the attempt started.
type suspects struct {
	running map[string]int       // by target: attempts that started as a suspect's
	lost    map[string]time.Time // by target: when such an attempt was last lost
}

// blameTime is how long after the loss of a suspect the losses of others at
// the same target are put down to it: the time in which the broken connections
// of one crash are noticed.
const blameTime = time.Second

func newSuspects() *suspects {
	return &suspects{running: map[string]int{}, lost: map[string]time.Time{}}
}

// at reports whether a suspect runs at a target.
func (s *suspects) at(target string) bool { return s.running[target] > 0 }

// start counts an attempt that begins at it.target.
func (s *suspects) start(it *item) {
	it.watched = it.suspect
	if it.watched {
		s.running[it.target]++
	}
}

// end counts an attempt off again.
func (s *suspects) end(it *item) {
	if !it.watched {
		return
	}
	s.running[it.target]--
	if s.running[it.target] == 0 {
		delete(s.running, it.target)
	}
}

// lose judges an attempt whose target was lost, and reports whether the loss
// counts against the item. One that was lost beside a suspect is excused, but
// is a suspect from then on: it may be the cause, and would otherwise be
// excused again beside the next suspect, which would take the blame.
func (s *suspects) lose(it *item, now time.Time) bool {
	if it.watched {
		s.lost[it.target] = now
		return true
	}
	it.suspect = true
	return !s.at(it.target) && now.Sub(s.lost[it.target]) >= blameTime
}
