// Package crowd tests one hosted node, as a process of its own, against many clients that
// misbehave at once. The tests have the build tag crowd, since they need the machine to
// themselves: go test -tags crowd ./lab/hosted/crowd.
package crowd
