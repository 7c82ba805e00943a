package member

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var timing = Timing{Heartbeat: time.Second, SuspectAfter: 3 * time.Second, DeadAfter: 6 * time.Second}

func newStateMachine() (*StateMachine, time.Time) {
	return New(Info{ID: "self", Incarnation: 1, DataCentre: "dc"}, timing), time.Unix(1000, 0)
}

func TestUnresponsiveMembersBecomeSuspectAndDead(t *testing.T) {
	is := is.New(t)
	m, now := newStateMachine()
	m.ObserveDirect(now, Info{ID: "b", Incarnation: 1, DataCentre: "dc"})
	for _, c := range []struct {
		sinceReceived time.Duration
		state         State
		active        bool
	}{{2 * time.Second, Alive, true}, {3 * time.Second, Suspect, false}, {6 * time.Second, Dead, false}} {
		m.Tick(now.Add(c.sinceReceived))
		b, _ := m.View().Find("b")
		is.Equal(b.State, c.state)
		is.Equal(slices.Contains(m.View().ActiveIDs, "b"), c.active)
	}
	m.ObserveDirect(now.Add(7*time.Second), Info{ID: "b", Incarnation: 1, DataCentre: "dc"})
	b, _ := m.View().Find("b")
	is.Equal(b.State, Alive) // it was only partitioned
	is.True(!m.View().Departed("b", 1))
	m.ObserveDirect(now.Add(8*time.Second), Info{ID: "b", Incarnation: 2, DataCentre: "dc"})
	is.True(m.View().Departed("b", 1)) // restarted: the former incarnation has ended
	is.True(!m.View().Departed("b", 2))
}

// TestStaleReportsAreIgnored delivers infos of a node in any order: the newest incarnation
// is kept, and an incarnation that leaves stays leaving.
func TestStaleReportsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := newStateMachine()
		var newest uint64
		left := map[uint64]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			info := Info{ID: "b", DataCentre: "dc", Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")), Leaving: rapid.Bool().Draw(t, "leaving")}
			if info.Incarnation >= newest {
				newest = info.Incarnation
				left[newest] = left[newest] || info.Leaving
			}
			if rapid.Bool().Draw(t, "direct") {
				m.ObserveDirect(now, info)
			} else {
				m.ObserveIndirect(now, info)
			}
			b, _ := m.View().Find("b")
			if b.Incarnation != newest || b.Leaving != left[newest] {
				t.Fatalf("incarnation %d leaving %v, want %d %v", b.Incarnation, b.Leaving, newest, left[newest])
			}
		}
	})
}

func TestStateOfOtherCentresIsBounded(t *testing.T) {
	is := is.New(t)
	m, now := newStateMachine()
	for i := range 50 {
		m.ObserveDirect(now, Info{ID: string(rune('A' + i)), Incarnation: 1, DataCentre: "far"})
	}
	is.Equal(len(m.View().Contacts), contactsPerDC)
	send, _ := m.Tick(now)
	is.Equal(len(send), 1) // one contact per tick
}
