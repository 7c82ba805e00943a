// Package continuation decides where an answer that has begun may go on. What two versions
// of a target's software write does not fit together, and targets do not check it, so an
// answer goes on only at the version that began it. The package is pure: the caller passes
// the time.
package continuation

// Version is the version of a target's software. Two versions are equal or not; they have no
// order. It is unrelated to the version of the model's weights, which is part of the names
// that a target has loaded.
type Version string
