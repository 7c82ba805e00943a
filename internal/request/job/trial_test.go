package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// refusingParts has a verdict on parts of the prompts of all items.
type refusingParts struct {
	noQuarantine
	parts   fingerprint.ID
	refused bool
}

func (q *refusingParts) RefusedParts(*fingerprint.Work) (fingerprint.ID, bool) {
	return q.parts, q.refused
}

// TestItemsWithRefusedPartsAreTriedOneAtATime guards against items that are kept back for as long as
// a verdict on a part of their prompts lasts, and against all of them being sent at once.
func TestItemsWithRefusedPartsAreTriedOneAtATime(t *testing.T) {
	is := is.New(t)
	m, h := jobWithResults(t, newMemoryStore(), 1<<20, "", "", "")
	h.progress = newProgress(&h.head)
	q := &refusingParts{parts: fingerprint.ID{1}, refused: true}
	m.Quarantine = q
	now := time.Now()
	is.Equal(len(m.waitingItems(now)), 3)
	m.beginTrial(h, 0)
	is.True(!m.mayTry(h, 1, now))
	is.Equal(len(m.waitingItems(now)), 0)

	for n, delay := range []time.Duration{trialBackoff, maxTrialBackoff, maxTrialBackoff} { // the target is lost each time
		m.endTrial(h, 0, now, true)
		is.True(!m.mayTry(h, 1, now.Add(delay-time.Millisecond)))
		now = now.Add(delay)
		is.True(m.mayTry(h, 1, now))
		is.Equal(m.trials[q.parts].losses, n+1)
		m.beginTrial(h, 0)
	}
	m.endTrial(h, 0, now, false) // answered: the next one at once
	is.True(m.mayTry(h, 1, now))
	is.Equal(len(m.trials), 0)

	m.beginTrial(h, 0)
	q.refused = false // the verdict has ended
	is.True(m.mayTry(h, 1, now) && m.mayTry(h, 2, now))
	m.endTrial(h, 0, now, false)
	is.Equal(len(m.trials), 0)
}

// TestTrialsAreBounded guards against memory that grows with each verdict.
func TestTrialsAreBounded(t *testing.T) {
	is := is.New(t)
	tries := trials{}
	now := time.Now()
	for i := range 1000 {
		now = now.Add(time.Second)
		id := fingerprint.ID{byte(i), byte(i >> 8)}
		tries.begin(id)
		tries.end(id, now, true)
	}
	is.True(len(tries) <= maxTrials+1)
}
