package hostedsoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

const (
	// badPartInterval is the time between requests with a part that crashes runners.
	badPartInterval = 250 * time.Millisecond
	// stableWindow is the time after the fifth crash from which on at most maxLateRuns requests
	// with the part may reach runners.
	stableWindow = 3 * time.Second
	maxLateRuns  = 3
	// preferredShare is the share of new connections at the preferred node.
	preferredShare = 0.9
	// maxRefusedForPart is the share of the other requests that may be refused for a part.
	maxRefusedForPart = 0.01
	commonPart        = "f0"
)

// harmlessPrompt returns the header of a request with one of eight first parts and one of fifty
// second ones.
func harmlessPrompt(id string) string {
	return fmt.Sprintf("f%d:100,5%02d:100,e%x:250", rand.IntN(8), rand.IntN(50), id)
}

// isPartRefusal reports whether a request was refused for a part of its prompt.
func isPartRefusal(status int, body string) bool {
	return status == http.StatusInternalServerError && strings.Contains(body, "crashed when they began")
}

// followProcess has a slot's proxy refuse connections while the process of its runner is down
// after a crash, and registers the runner again after its restart, in the state that it was in.
func (f *fleet) followProcess(s *runnerSlot, r *hosted.Runner) {
	r.OnExit(s.proxy.Refuse)
	r.OnRestart(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.proxy.Accept() == nil && s.runner == r {
			f.register(s, s.state)
		}
	})
}

// sendBadPart sends requests that share a part, no two alike, with which runners crash, until undo
// is called.
func (i *injector) sendBadPart() (undo func()) {
	l := i.load
	l.mu.Lock()
	part := fmt.Sprintf("bad%02d", len(l.parts))
	l.parts = append(l.parts, part)
	l.mu.Unlock()
	i.fleet.setBadPart(part)
	stop := make(chan struct{})
	var requests sync.WaitGroup
	requests.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(badPartInterval):
			}
			id := fmt.Sprintf("s%d-%s-%d", l.seed, part, n)
			path := []string{hosted.StreamPath, hosted.ResumePath, hosted.RepeatPath}[n%3]
			requests.Go(func() {
				_, _, _ = l.sendPrompt(l.pickNode(), path, id, steadyKey, fmt.Sprintf("%s:100,%s:100,e%x:250", commonPart, part, id)) // what reaches runners is checked at the end
			})
		}
	})
	return func() {
		close(stop)
		requests.Wait()
		i.fleet.setBadPart("")
	}
}

func (f *fleet) setBadPart(part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.badPart = part
	for _, r := range f.runners {
		r.SetCrashingParts(part)
	}
}

// preferOne has most new connections go to one node until undo is called.
func (l *load) preferOne() (undo func()) {
	l.preferred.Store(int32(1 + rand.IntN(len(l.fleet.nodes))))
	return func() { l.preferred.Store(0) }
}

// checkParts checks that few requests with a part reached runners later than stableWindow after
// its fifth crash, unless another fault kept nodes from learning of the crashes, and that few
// other requests were refused.
func (l *load) checkParts() {
	h := l.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, part := range l.parts {
		var crashes, runs []time.Time
		for _, r := range l.fleet.runners {
			for _, c := range r.PartCrashes() {
				if c.Part == part {
					crashes = append(crashes, c.At)
				}
			}
			for _, run := range r.PartRuns() {
				if run.Part == part {
					runs = append(runs, run.At)
				}
			}
		}
		slices.SortFunc(crashes, time.Time.Compare)
		h.counts.BadParts++
		h.counts.PartCrashes += len(crashes)
		if len(crashes) < 5 {
			continue
		}
		late := 0
		for _, at := range runs {
			if at.Sub(crashes[4]) > stableWindow && h.faultFreeLocked(crashes[4], at, BadPart, MostAtOne, ConfigChange, HangupNode) {
				late++
			}
		}
		h.counts.LatePartRuns += late
		if late > maxLateRuns {
			h.violations = append(h.violations, fmt.Sprintf("%d requests with part %s reached runners later than %v after its fifth crash", late, part, stableWindow))
		}
	}
	if float64(h.counts.RefusedForPart) > maxRefusedForPart*float64(h.counts.Online) {
		h.violations = append(h.violations, fmt.Sprintf("%d of %d requests without a bad part were refused for a part", h.counts.RefusedForPart, h.counts.Online))
	}
}
