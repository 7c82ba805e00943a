// Package member is the membership of a node: who is alive in its own data
// centre, and whom to ask in the others. It is a pure state machine.
//
// State grows with the node's data centre: all of its members, and at most
// contactsPerDC nodes of each other data centre. Messages: one exchange per
// pair of members and interval, which informs both sides, and one with a
// contact of one other data centre, in turn.
package member

import (
	"slices"
	"sort"
	"time"
)

// Info identifies one run of a node.
type Info struct {
	ID            string
	Incarnation   uint64
	DataCentre    string
	PeerAddr      string
	CallerAddr    string
	Leaving       bool
	ConfigVersion uint64
}

// State is what silence says of a member.
type State string

// The states. A suspect keeps its work and gets no new duties; a dead
// member's work is taken over.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
)

// Member is one known node.
type Member struct {
	Info
	State State
	heard time.Time
}

// Transition is a change of a member's state worth an event.
type Transition struct {
	Member Member
	From   State // empty: newly known
}

// Timing holds the intervals of the machine.
type Timing struct {
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	DeadAfter    time.Duration
}

const (
	contactsPerDC = 4
	// forgetAfter is the number of DeadAfter intervals after which a dead
	// member is no longer asked.
	forgetAfter = 40
	// deadAskEvery is how many ticks pass between attempts to reach a dead
	// member; it may have been cut off only.
	deadAskEvery = 4
)

// StateMachine is the state machine. It is not safe for concurrent use.
type StateMachine struct {
	self     Info
	timing   Timing
	members  map[string]*Member
	contacts map[string][]Member // other data centres
	ticks    int
}

// New returns a machine that knows only itself.
func New(self Info, timing Timing) *StateMachine {
	return &StateMachine{self: self, timing: timing, members: map[string]*Member{}, contacts: map[string][]Member{}}
}

// Self returns the node's own info.
func (m *StateMachine) Self() Info { return m.self }

// SetLeaving marks the node itself as leaving, for good.
func (m *StateMachine) SetLeaving() { m.self.Leaving = true }

// SetConfigVersion sets the version the node has in force.
func (m *StateMachine) SetConfigVersion(v uint64) { m.self.ConfigVersion = v }

// ObserveDirect notes a message from a node itself.
func (m *StateMachine) ObserveDirect(now time.Time, info Info) []Transition {
	if info.ID == m.self.ID {
		return nil
	}
	if info.DataCentre != m.self.DataCentre {
		m.contact(now, info)
		return nil
	}
	return m.update(now, info, true)
}

// ObserveIndirect notes a node that another one spoke of.
func (m *StateMachine) ObserveIndirect(now time.Time, info Info) []Transition {
	if info.ID == m.self.ID {
		return nil
	}
	if info.DataCentre != m.self.DataCentre {
		m.contact(now, info)
		return nil
	}
	return m.update(now, info, false)
}

func (m *StateMachine) update(now time.Time, info Info, direct bool) []Transition {
	known, ok := m.members[info.ID]
	switch {
	case !ok:
		added := &Member{Info: info, State: Alive, heard: now}
		if !direct {
			added.State = Suspect // until it answers itself
		}
		m.members[info.ID] = added
		return []Transition{{Member: *added}}
	case info.Incarnation < known.Incarnation:
		return nil // an older run; stale
	case info.Incarnation > known.Incarnation:
		from := known.State
		*known = Member{Info: info, State: Alive, heard: now}
		return []Transition{{Member: *known, From: from}}
	}
	info.Leaving = info.Leaving || known.Leaving // sticky for an incarnation
	info.ConfigVersion = max(info.ConfigVersion, known.ConfigVersion)
	changed := info.Leaving != known.Leaving
	known.Info = info
	if !direct {
		return nil
	}
	known.heard = now
	if known.State != Alive || changed {
		from := known.State
		known.State = Alive
		return []Transition{{Member: *known, From: from}}
	}
	return nil
}

func (m *StateMachine) contact(now time.Time, info Info) {
	list := m.contacts[info.DataCentre]
	for i := range list {
		if list[i].ID == info.ID {
			if info.Incarnation >= list[i].Incarnation {
				list[i] = Member{Info: info, State: Alive, heard: now}
			}
			return
		}
	}
	if len(list) < contactsPerDC {
		m.contacts[info.DataCentre] = append(list, Member{Info: info, State: Alive, heard: now})
		return
	}
	oldest := 0
	for i := range list {
		if list[i].heard.Before(list[oldest].heard) {
			oldest = i
		}
	}
	if now.Sub(list[oldest].heard) > m.timing.DeadAfter {
		list[oldest] = Member{Info: info, State: Alive, heard: now}
	}
}

// Tick advances time: it returns the nodes to send a heartbeat to and the
// changes of state that silence brought.
func (m *StateMachine) Tick(now time.Time) (send []Info, changes []Transition) {
	m.ticks++
	for _, id := range m.sortedIDs() {
		member := m.members[id]
		changes = append(changes, m.judge(now, member)...)
		silent := now.Sub(member.heard)
		switch {
		case member.State == Dead && silent > forgetAfter*m.timing.DeadAfter:
			delete(m.members, id)
		case member.State == Dead && m.ticks%deadAskEvery != 0:
		case m.begins(member, silent):
			send = append(send, member.Info)
		}
	}
	if contact, ok := m.nextContact(); ok {
		send = append(send, contact)
	}
	return send, changes
}

// begins reports whether this node starts the exchange with a member: of each
// pair the node with the lower ID does, and the other one too after silence.
func (m *StateMachine) begins(member *Member, silent time.Duration) bool {
	return m.self.ID < member.ID || member.State != Alive || silent > m.timing.Heartbeat*3/2
}

func (m *StateMachine) judge(now time.Time, member *Member) []Transition {
	silent := now.Sub(member.heard)
	next := Alive
	switch {
	case silent >= m.timing.DeadAfter:
		next = Dead
	case silent >= m.timing.SuspectAfter || member.State == Suspect:
		next = Suspect
	}
	if next == member.State {
		return nil
	}
	from := member.State
	member.State = next
	return []Transition{{Member: *member, From: from}}
}

// nextContact returns one node of the next other data centre in turn.
func (m *StateMachine) nextContact() (Info, bool) {
	names := make([]string, 0, len(m.contacts))
	for name := range m.contacts {
		names = append(names, name)
	}
	if len(names) == 0 {
		return Info{}, false
	}
	sort.Strings(names)
	list := m.contacts[names[m.ticks%len(names)]]
	return list[(m.ticks/len(names))%len(list)].Info, true
}

func (m *StateMachine) sortedIDs() []string {
	ids := make([]string, 0, len(m.members))
	for id := range m.members {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// View is an immutable picture of the membership.
type View struct {
	Self      Info
	Members   []Member // own data centre without self, sorted by ID
	Contacts  []Member // of other data centres
	ActiveIDs []string // IDs that carry duties: alive, not leaving, self included; sorted
	// MemberListPending and SeedsPending say what the picture may lack: nodes of the own data centre
	// until their list was read, and data centres while a seed has not answered.
	MemberListPending bool
	SeedsPending      bool
}

// View returns the present picture.
func (m *StateMachine) View() *View {
	v := &View{Self: m.self}
	for _, id := range m.sortedIDs() {
		member := *m.members[id]
		v.Members = append(v.Members, member)
		if member.State == Alive && !member.Leaving {
			v.ActiveIDs = append(v.ActiveIDs, id)
		}
	}
	if !m.self.Leaving {
		v.ActiveIDs = append(v.ActiveIDs, m.self.ID)
	}
	sort.Strings(v.ActiveIDs)
	for _, dc := range sortedDCs(m.contacts) {
		v.Contacts = append(v.Contacts, m.contacts[dc]...)
	}
	return v
}

func sortedDCs(contacts map[string][]Member) []string {
	names := make([]string, 0, len(contacts))
	for name := range contacts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// DataCentres returns the names of the data centres known, sorted.
func (v *View) DataCentres() []string {
	names := []string{v.Self.DataCentre}
	for _, m := range v.Contacts {
		names = append(names, m.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Find returns a member of the own data centre by ID.
func (v *View) Find(id string) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Departed reports whether the given run of a node is known to have ended or to
// be dead by silence.
func (v *View) Departed(id string, incarnation uint64) bool {
	if id == v.Self.ID {
		return incarnation != v.Self.Incarnation
	}
	m, ok := v.Find(id)
	return ok && (m.Incarnation > incarnation || m.State == Dead)
}
