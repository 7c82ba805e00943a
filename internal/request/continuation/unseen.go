package continuation

import "time"

// ShouldBeginAnew reports whether an answer that no target can take now drops what it holds,
// so that it may begin at another version; nobody has seen a part of it. It waits for its
// version as long as attempts have run for what it holds: waiting and beginning anew then cost
// at most twice as much as the better of the two.
func ShouldBeginAnew(o Origin, s Supply, waited, ran time.Duration) bool {
	return o.Begun() && (Next(o, s) == GiveUp || waited >= ran)
}
