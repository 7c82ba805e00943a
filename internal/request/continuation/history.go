package continuation

import (
	"maps"
	"slices"
	"time"
)

// Timing bounds how old the copies are that nodes have of the list of targets.
type Timing struct {
	// FreshFor is the age up to which a copy proves which versions are in use.
	FreshFor time.Duration
	// UseAfter is how long a node knows a version before it begins resumable streams there. It
	// is longer than FreshFor, so that every node with a fresh copy knows the version by then.
	UseAfter time.Duration
}

// freshShare is FreshFor as a share of the time in which a change of the list has to be in
// force at every node. Copies are refreshed at about half of it.
const freshShare = 0.75

// TimingOf returns the timing if changes of the list have to be in force within a time.
func TimingOf(within time.Duration) Timing {
	return Timing{FreshFor: time.Duration(freshShare * float64(within)), UseAfter: within}
}

// History records which versions the targets of each service have had. It tells whether one
// version alone can have begun a stream, so that nothing has to be remembered of each.
type History struct {
	timing   Timing
	services map[string]map[Version]sighting
	// verified is the time up to which the list of targets is known, and completeSince that
	// from which on no version is missing here; zero: not known.
	verified, completeSince time.Time
	// staleAt is when the list was last known only up to more than FreshFor ago; zero: never.
	staleAt time.Time
	// beganNow: the fleet started for the first time together with this node.
	beganNow bool
}

// sighting says when a version was listed.
type sighting struct {
	first  time.Time // when it was first listed, since it was last missing, as far as this node knows
	stated bool      // other nodes may know it for longer
	inUse  bool      // in use whatever first says: the only version when this node read the list first, or the fleet began then
	listed bool
	ceased time.Time // when it was last no longer listed; zero: never
}

// retention bounds how long a version is kept that is no longer listed. It is longer than any
// window.
const retention = 20 * time.Minute

// NewHistory returns an empty history. A fleet that starts for the first time has had no
// version before.
func NewHistory(t Timing) *History {
	return &History{timing: t, services: map[string]map[Version]sighting{}}
}

// BeginsNow records that no stream can have begun before now, because the fleet starts for
// the first time.
func (h *History) BeginsNow(now time.Time) {
	h.beganNow, h.completeSince = true, now.Add(-retention)
}

// Listed replaces what is listed: the versions of the targets of each service.
func (h *History) Listed(now time.Time, listed map[string]map[Version]int) {
	firstListing := h.verified.IsZero()
	for service, versions := range listed {
		if h.services[service] == nil {
			h.services[service] = map[Version]sighting{}
		}
		for v := range versions {
			s, known := h.services[service][v]
			if !known || !s.listed {
				// A version that returns is new to nodes with older copies.
				s.first, s.stated, s.inUse = now, h.staleLately(now), false
			}
			if firstListing { // the list may arrive in parts
				s.inUse = len(versions) == 1 || h.beganNow
			}
			s.listed = true
			h.services[service][v] = s
		}
	}
	for service, versions := range h.services {
		for v, s := range versions {
			if listed[service][v] == 0 && s.listed {
				s.listed, s.ceased = false, now
				versions[v] = s
			}
		}
		maps.DeleteFunc(versions, func(_ Version, s sighting) bool { return !s.listed && now.Sub(s.ceased) > retention })
	}
}

// afterStale is how long after its copy was stale a node derives nothing: until what changed
// meanwhile has been taken over.
const afterStale = time.Second

// staleLately reports whether the copy was stale a moment ago, or there was none.
func (h *History) staleLately(now time.Time) bool {
	return now.Sub(h.verified) > h.timing.FreshFor || now.Sub(h.staleAt) < afterStale
}

// Verified records up to which time the list is known. After a longer gap a version may have
// come and gone unnoticed.
func (h *History) Verified(now, at time.Time) {
	if !h.verified.IsZero() && now.Sub(h.verified) > h.timing.FreshFor {
		h.staleAt = now
	}
	switch {
	case h.verified.IsZero():
		if h.completeSince.IsZero() {
			h.completeSince = at
		}
	case at.Sub(h.verified) > h.timing.FreshFor:
		h.completeSince = at
	case !at.After(h.verified):
		return
	}
	h.verified = at
}

// CompleteFor returns for how long no version is missing here.
func (h *History) CompleteFor(now time.Time) time.Duration {
	if h.completeSince.IsZero() {
		return 0
	}
	return now.Sub(h.completeSince)
}

// InUse reports whether a node begins resumable streams at a version: other nodes with a
// fresh copy know it by now.
func (h *History) InUse(now time.Time, service string, v Version) bool {
	s, known := h.services[service][v]
	return known && (s.inUse || now.Sub(s.first) >= h.timing.UseAfter)
}

// Settled reports whether every node with a fresh copy of the list knows by that copy that streams
// begin at a version. At a version that is not settled, a node begins streams only once it has told
// the others: in a release that is faster than the list, or after a start, no version is settled.
func (h *History) Settled(now time.Time, service string, v Version) bool {
	s, known := h.services[service][v]
	return known && (now.Sub(s.first) >= h.timing.UseAfter || (s.inUse && h.beganNow))
}

// Used records that another node begins streams at a version, which the list may not have here yet
// or has no more.
func (h *History) Used(now time.Time, service string, v Version) {
	if h.services[service] == nil {
		h.services[service] = map[Version]sighting{}
	}
	s, known := h.services[service][v]
	if !known {
		s.first = now
	}
	s.ceased = now // of the use that is known; the next listing here decides
	h.services[service][v] = s
}

// versions returns the versions that may have begun a stream within a window, or that may begin
// one soon if soon is set.
func (h *History) versions(now time.Time, service string, window time.Duration, soon bool) []Version {
	var out []Version
	for v, s := range h.services[service] {
		usedElsewhere := s.stated || now.Sub(s.first) >= h.timing.UseAfter-h.timing.FreshFor
		// A node with an older copy may have begun a stream after this one noticed the end.
		usedLately := !s.ceased.IsZero() && now.Sub(s.ceased) <= window+h.timing.FreshFor
		if (s.listed && (usedElsewhere || soon)) || usedLately {
			out = append(out, v)
		}
	}
	return out
}

// Several reports whether targets of several versions serve a service, did so within the
// window, or will soon, so that the origins of its streams have to be recorded.
func (h *History) Several(now time.Time, service string, window time.Duration) bool {
	return len(h.versions(now, service, window, true)) > 1
}

// Sole returns the one version that can have begun a stream of a service within the window;
// ok is false if there may have been several or this node does not know.
func (h *History) Sole(now time.Time, service string, window time.Duration) (v Version, ok bool) {
	if h.verified.IsZero() || h.staleLately(now) || now.Sub(h.completeSince) < window+h.timing.FreshFor {
		return "", false
	}
	versions := h.versions(now, service, window, false)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// Report is a history as one node states it to another; times are ages.
type Report struct {
	CompleteFor time.Duration
	Sightings   []Sighting
}

// Sighting is the part of a report on one version of a service.
type Sighting struct {
	Service string
	Version Version
	// FirstAgo is the time since the version was first listed; negative: not known.
	FirstAgo time.Duration
	// CeasedAgo is the time since it was no longer listed; negative: it is listed.
	CeasedAgo time.Duration
}

// Report returns the history for another node; ok is false if it is not complete or not
// fresh.
func (h *History) Report(now time.Time) (r Report, ok bool) {
	if h.verified.IsZero() || h.staleLately(now) {
		return Report{}, false
	}
	r.CompleteFor = now.Sub(h.completeSince)
	for service, versions := range h.services {
		for v, s := range versions {
			sighting := Sighting{Service: service, Version: v, FirstAgo: now.Sub(s.first), CeasedAgo: -1}
			if !s.listed {
				sighting.CeasedAgo = now.Sub(s.ceased)
			}
			r.Sightings = append(r.Sightings, sighting)
		}
	}
	return r, true
}

// Extend adds versions that were listed at some time after a report was made. The time is not
// known, so that each may have begun streams until now.
func (r Report) Extend(listed map[string]map[Version]int) Report {
	r.Sightings = slices.Clone(r.Sightings)
	for service, versions := range listed {
		for v := range versions {
			r.Sightings = append(r.Sightings, Sighting{Service: service, Version: v})
		}
	}
	return r
}

// Merge adds the report of another node, so that a node that has just started knows what was
// listed before.
func (h *History) Merge(now time.Time, r Report) {
	if since := now.Add(-r.CompleteFor); h.completeSince.IsZero() || since.Before(h.completeSince) {
		h.completeSince = since
	}
	for _, stated := range r.Sightings {
		if h.services[stated.Service] == nil {
			h.services[stated.Service] = map[Version]sighting{}
		}
		s, known := h.services[stated.Service][stated.Version]
		// The first listing of a version that was removed says nothing about one that is back.
		ofNow := stated.CeasedAgo < 0 || !s.listed
		if first := now.Add(-stated.FirstAgo); ofNow && stated.FirstAgo >= 0 && (!known || first.Before(s.first)) {
			s.first = first
		}
		s.stated = s.stated || stated.CeasedAgo < 0 // it may have been used at the other node before it was removed and came back
		ceased := now                               // listed at the other node: the next listing here decides
		if stated.CeasedAgo >= 0 {
			ceased = now.Add(-stated.CeasedAgo)
		}
		if (stated.CeasedAgo >= 0 || !s.listed) && ceased.After(s.ceased) {
			s.ceased = ceased
		}
		h.services[stated.Service][stated.Version] = s
	}
}
