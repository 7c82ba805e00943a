package continuation

// Origin is what is known of the version that began an answer. The zero Origin belongs to an
// answer without an event: it may begin at any target.
type Origin struct {
	begun   bool
	known   bool
	version Version
}

// BegunAt returns the origin of an answer whose first event a target of a version wrote.
func BegunAt(v Version) Origin { return Origin{begun: true, known: true, version: v} }

// BegunAnywhere returns the origin of an answer that has begun at a version that nobody knows.
func BegunAnywhere() Origin { return Origin{begun: true} }

// Begun reports whether the answer has an event.
func (o Origin) Begun() bool { return o.begun }

// Version returns the version that began the answer; ok is false if the answer has not begun
// or nobody knows the version.
func (o Origin) Version() (v Version, ok bool) { return o.version, o.known }

// Allows reports whether a target of a version may write the next event.
func (o Origin) Allows(v Version) bool { return !o.begun || (o.known && o.version == v) }

// After returns the origin after an event that a target of a version wrote.
func (o Origin) After(v Version) Origin {
	if o.begun {
		return o
	}
	return BegunAt(v)
}

// Supply says whether a target of the version that began an answer can take it.
type Supply int

// The supplies.
const (
	Gone     Supply = iota // no target of the version is left
	Unusable               // targets of the version are left, and none of them gets any work now
	Busy                   // targets of the version are left, and none can take the answer now
)

// Step is what to do with a begun answer that no target can take now.
type Step int

// The steps.
const (
	GiveUp Step = iota // it cannot continue
	Wait               // a target of its version may take it later
)

// Next decides about a begun answer that no target can take now.
func Next(o Origin, s Supply) Step {
	if !o.known || s == Gone {
		return GiveUp
	}
	return Wait
}
