package continuation

import "time"

// maxUnusableWait bounds how long an answer waits for a version whose targets get no work. Where targets
// are full a slot becomes free when an answer ends; nothing says when an evacuation or ejection does.
const maxUnusableWait = 3 * time.Second

// ShouldBeginAnew reports whether an answer that no target can take now drops what it holds,
// so that it may begin at another version; nobody has seen a part of it. It waits for its
// version as long as attempts have run for what it holds: waiting and beginning anew then cost
// at most twice as much as the better of the two. It waits for a moment only while no target of its
// version gets work.
func ShouldBeginAnew(o Origin, s Supply, waited, ran time.Duration) bool {
	return o.Begun() && (Next(o, s) == GiveUp || waited >= ran || (s == Unusable && waited >= maxUnusableWait))
}
