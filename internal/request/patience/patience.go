// Package patience decides how long work may wait for its caller, and when a refused caller is to
// return, from the time that the caller has and the time that an attempt takes. It is pure, and
// knows neither other callers nor earlier attempts of the same one: each attempt is judged by the
// time that its own caller has left.
package patience

import "time"

// honouredPart: callers honour a Retry-After of up to this part of the time that they have left
// (docs/PLATFORM.md).
const honouredPart = 3

// Fits reports whether an attempt that takes the given time can end within the time left to its
// caller.
func Fits(left, attempt time.Duration) bool { return left > 0 && left >= attempt }

// Wait returns for how long an attempt may wait for something that another node may have already.
// It is half of the time left to the caller, so that an attempt elsewhere has as much time as this
// one, and less where an attempt, after the longest Retry-After that the caller honours, would not
// fit into the rest. attempt is the time that one takes without waiting, 0 if it is not known.
func Wait(left, attempt time.Duration) time.Duration {
	return max(0, min(left/2, left-withRetryAfter(attempt)))
}

// withRetryAfter returns the time that a refused caller needs so that an attempt fits after the
// longest Retry-After that it honours.
func withRetryAfter(attempt time.Duration) time.Duration {
	return attempt * honouredPart / (honouredPart - 1)
}

// LongestRetryAfter returns the longest Retry-After that a caller honours and that leaves time for an
// attempt.
func LongestRetryAfter(left, attempt time.Duration) time.Duration {
	return max(0, min(left/honouredPart, left-attempt))
}

// lateReturnShare is the part of the longest Retry-After from which on LateReturn spreads callers.
const lateReturnShare = 0.8

// LateReturn returns the Retry-After of a caller that is refused for something whose end is not known,
// an outage or an overload: late in the time that it honours, because it tries again only a few times,
// and the later it does the more likely the cause has ended. random, in [0, 1), keeps callers that are
// refused together from returning together.
func LateReturn(left, attempt time.Duration, random float64) time.Duration {
	longest := LongestRetryAfter(left, attempt)
	return Spread(time.Duration(lateReturnShare*float64(longest)), longest, random)
}

// Spread returns a time between least and most, by a number in [0, 1): callers that are refused
// together return one after another.
func Spread(least, most time.Duration, random float64) time.Duration {
	if most <= least {
		return max(0, most)
	}
	return least + time.Duration(random*float64(most-least))
}
