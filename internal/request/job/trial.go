package job

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// An item with parts of a prompt that are refused, because targets seemed to crash when they began
// to answer requests with them, is still owed. Such items are tried one at a time: an answer ends
// the verdict for all requests, and each target that is lost delays the next try.
const (
	trialBackoff    = 5 * time.Second
	maxTrialBackoff = 10 * time.Second
	// maxTrials bounds the verdicts that are remembered; there are seldom more than a few.
	maxTrials = 64
)

// trials holds the tries of a verdict on parts of prompts, by fingerprint.Join of these.
type trials map[fingerprint.ID]trial

type trial struct {
	running   bool
	losses    int       // in a row
	notBefore time.Time // earliest time of the next try
}

// may reports whether an item may be tried.
func (t trials) may(parts fingerprint.ID, now time.Time) bool {
	last := t[parts]
	return !last.running && !now.Before(last.notBefore)
}

func (t trials) begin(parts fingerprint.ID) {
	last := t[parts]
	last.running = true
	t[parts] = last
}

// end records that a try has ended; lost says that it lost its target.
func (t trials) end(parts fingerprint.ID, now time.Time, lost bool) {
	last := t[parts]
	if !lost {
		delete(t, parts)
		return
	}
	last.notBefore = now.Add(min(trialBackoff<<min(last.losses, 10), maxTrialBackoff))
	last.running, last.losses = false, last.losses+1
	t[parts] = last
	if len(t) <= maxTrials {
		return
	}
	for other, old := range t {
		if !old.running && !now.Before(old.notBefore) {
			delete(t, other)
		}
	}
}

// mayTry reports whether an item may be sent now with regard to verdicts on the parts of its
// prompt. The caller holds m.mu.
func (m *Manager) mayTry(h *heldJob, i int, now time.Time) bool {
	parts, refused := m.Quarantine.RefusedParts(&h.works[i])
	return !refused || m.trials.may(parts, now)
}

// beginTrial records that an item is sent, if parts of its prompt are refused. The caller holds
// m.mu.
func (m *Manager) beginTrial(h *heldJob, i int) {
	if parts, refused := m.Quarantine.RefusedParts(&h.works[i]); refused {
		h.progress.items[i].trial = parts
		m.trials.begin(parts)
	}
}

// endTrial records that an attempt at an item has ended. The caller holds m.mu.
func (m *Manager) endTrial(h *heldJob, i int, now time.Time, lost bool) {
	item := &h.progress.items[i]
	if item.trial == (fingerprint.ID{}) {
		return
	}
	m.trials.end(item.trial, now, lost)
	item.trial = fingerprint.ID{}
}
