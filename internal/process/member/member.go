// Package member tracks which nodes of the own data centre are alive, and some contacts in
// the other data centres. It is a pure state machine.
//
// Its memory is proportional to the size of the own data centre: it holds all members of
// that, and at most contactsPerDC nodes of each other data centre. Per heartbeat interval,
// each pair of members exchanges one heartbeat, which informs both sides, and each node
// exchanges one with a contact, in rotation over the other data centres.
package member

import (
	"slices"
	"sort"
	"time"
)

// Info describes one incarnation of a node.
type Info struct {
	ID            string
	Incarnation   uint64
	DataCentre    string
	PeerAddr      string
	CallerAddr    string
	Leaving       bool
	ConfigVersion uint64
}

// State is the liveness of a member, by the time since a message of it was last received.
type State string

// The states. A suspect member keeps its work but is assigned no new tasks; the work of a
// dead member is taken over.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
)

// Member is one known node.
type Member struct {
	Info
	State        State
	lastReceived time.Time
}

// Transition is a change of a member that is recorded as an event.
type Transition struct {
	Member Member
	From   State // empty: newly added
}

// Timing holds the intervals of the state machine.
type Timing struct {
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	DeadAfter    time.Duration
}

const (
	contactsPerDC = 4
	// removeAfterFactor is the number of DeadAfter intervals without a message after which
	// a dead member is removed.
	removeAfterFactor = 40
	// deadProbeTicks is the number of ticks between heartbeats to a dead member, which may
	// only be partitioned.
	deadProbeTicks = 4
)

// StateMachine holds the membership as one node sees it. It is not safe for concurrent use.
type StateMachine struct {
	self     Info
	timing   Timing
	members  map[string]*Member
	contacts map[string][]Member // nodes of other data centres, by data centre
	ticks    int
}

// New returns a state machine that knows only the node itself.
func New(self Info, timing Timing) *StateMachine {
	return &StateMachine{self: self, timing: timing, members: map[string]*Member{}, contacts: map[string][]Member{}}
}

// Self returns the node's own info.
func (m *StateMachine) Self() Info { return m.self }

// SetLeaving marks the node itself as leaving. It can't be undone.
func (m *StateMachine) SetLeaving() { m.self.Leaving = true }

// SetConfigVersion sets the configuration version that the node has in force.
func (m *StateMachine) SetConfigVersion(v uint64) { m.self.ConfigVersion = v }

// ObserveDirect handles a message that the node described by info sent itself.
func (m *StateMachine) ObserveDirect(now time.Time, info Info) []Transition {
	if info.ID == m.self.ID {
		return nil
	}
	if info.DataCentre != m.self.DataCentre {
		m.observeContact(now, info)
		return nil
	}
	return m.update(now, info, true)
}

// ObserveIndirect handles info of a node that comes from another node or from the VM list.
// A member first known in this way is suspect.
func (m *StateMachine) ObserveIndirect(now time.Time, info Info) []Transition {
	if info.ID == m.self.ID {
		return nil
	}
	if info.DataCentre != m.self.DataCentre {
		m.observeContact(now, info)
		return nil
	}
	return m.update(now, info, false)
}

func (m *StateMachine) update(now time.Time, info Info, direct bool) []Transition {
	known, ok := m.members[info.ID]
	switch {
	case !ok:
		added := &Member{Info: info, State: Alive, lastReceived: now}
		if !direct {
			added.State = Suspect // until a message of its own is received
		}
		m.members[info.ID] = added
		return []Transition{{Member: *added}}
	case info.Incarnation < known.Incarnation:
		return nil // stale: an older incarnation
	case info.Incarnation > known.Incarnation:
		from := known.State
		*known = Member{Info: info, State: Alive, lastReceived: now}
		return []Transition{{Member: *known, From: from}}
	}
	info.Leaving = info.Leaving || known.Leaving // an incarnation that leaves never returns
	info.ConfigVersion = max(info.ConfigVersion, known.ConfigVersion)
	changed := info.Leaving != known.Leaving
	known.Info = info
	if !direct {
		return nil
	}
	known.lastReceived = now
	if known.State != Alive || changed {
		from := known.State
		known.State = Alive
		return []Transition{{Member: *known, From: from}}
	}
	return nil
}

func (m *StateMachine) observeContact(now time.Time, info Info) {
	list := m.contacts[info.DataCentre]
	for i := range list {
		if list[i].ID == info.ID {
			if info.Incarnation >= list[i].Incarnation {
				list[i] = Member{Info: info, State: Alive, lastReceived: now}
			}
			return
		}
	}
	if len(list) < contactsPerDC {
		m.contacts[info.DataCentre] = append(list, Member{Info: info, State: Alive, lastReceived: now})
		return
	}
	oldest := 0
	for i := range list {
		if list[i].lastReceived.Before(list[oldest].lastReceived) {
			oldest = i
		}
	}
	if now.Sub(list[oldest].lastReceived) > m.timing.DeadAfter {
		list[oldest] = Member{Info: info, State: Alive, lastReceived: now}
	}
}

// Tick is called once per heartbeat interval. It returns the nodes to send a heartbeat to,
// and the changes of members from which no message was received for too long.
func (m *StateMachine) Tick(now time.Time) (send []Info, changes []Transition) {
	m.ticks++
	for _, id := range m.sortedIDs() {
		member := m.members[id]
		changes = append(changes, m.updateState(now, member)...)
		sinceReceived := now.Sub(member.lastReceived)
		switch {
		case member.State == Dead && sinceReceived > removeAfterFactor*m.timing.DeadAfter:
			delete(m.members, id)
		case member.State == Dead && m.ticks%deadProbeTicks != 0:
		case m.initiates(member, sinceReceived):
			send = append(send, member.Info)
		}
	}
	if contact, ok := m.nextContact(); ok {
		send = append(send, contact)
	}
	return send, changes
}

// initiates reports whether this node sends the heartbeat of an exchange with a member. Of
// each pair the node with the lower ID does, and the other one too if the member is not
// alive or no message was received for one and a half intervals.
func (m *StateMachine) initiates(member *Member, sinceReceived time.Duration) bool {
	return m.self.ID < member.ID || member.State != Alive || sinceReceived > m.timing.Heartbeat*3/2
}

func (m *StateMachine) updateState(now time.Time, member *Member) []Transition {
	sinceReceived := now.Sub(member.lastReceived)
	next := Alive
	switch {
	case sinceReceived >= m.timing.DeadAfter:
		next = Dead
	case sinceReceived >= m.timing.SuspectAfter || member.State == Suspect:
		next = Suspect
	}
	if next == member.State {
		return nil
	}
	from := member.State
	member.State = next
	return []Transition{{Member: *member, From: from}}
}

// nextContact returns the next contact, in rotation over the other data centres.
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

// View is an immutable snapshot of the membership.
type View struct {
	Self      Info
	Members   []Member // of the own data centre without self, sorted by ID
	Contacts  []Member // of other data centres
	ActiveIDs []string // nodes of the own data centre that may be assigned tasks: alive, not leaving, self included; sorted
	// MemberListPending: the VM list was not read yet, so nodes of the own data centre may
	// be missing. SeedsPending: a seed has not responded yet, so its data centre may be missing.
	MemberListPending bool
	SeedsPending      bool
}

// View returns a snapshot of the present state.
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

// DataCentres returns the names of the known data centres, sorted.
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

// Departed reports whether the given incarnation of a node has ended, or the node is dead.
func (v *View) Departed(id string, incarnation uint64) bool {
	if id == v.Self.ID {
		return incarnation != v.Self.Incarnation
	}
	m, ok := v.Find(id)
	return ok && (m.Incarnation > incarnation || m.State == Dead)
}
