// Package order compares what a service wants loaded with what a target
// reports and returns the next order for it. It is pure and level-triggered:
// it is asked again until the two agree, so an order that was lost, refused
// or overtaken is given again.
//
// The fencing number of an order is the configuration version it was derived
// from. Two nodes that both take themselves for a target's owner derive the
// same orders from the same version; one with an older version is refused by
// engines that check, and corrected at the next comparison with those that
// do not.
package order

import (
	"strings"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// Next returns the next order for a target of the service, if any. Everything
// wanted is loaded before anything else is unloaded, so that the old version
// serves until the new one can.
func Next(s *fleet.Service, version uint64, report engine.Report) (engine.Order, bool) {
	if s.Kind != fleet.KindModel || len(report.Loading) > 0 {
		return engine.Order{}, false
	}
	loaded := set(report.Loaded)
	wanted := s.Wanted()
	for _, name := range wanted {
		if !loaded[name] {
			return engine.Order{Fence: int64(version), Op: engine.OpLoad, Name: name}, true
		}
	}
	keep := set(wanted)
	for _, name := range report.Loaded {
		if !keep[name] {
			return engine.Order{Fence: int64(version), Op: engine.OpUnload, Name: name}, true
		}
	}
	return engine.Order{}, false
}

// SameModel reports whether two loaded names are versions of one model with
// the same adapter: while a version is being rolled out, the one before it
// goes on serving.
func SameModel(a, b string) bool {
	return strip(a) == strip(b)
}

func strip(name string) string {
	model, rest, _ := strings.Cut(name, "@")
	_, adapter, _ := strings.Cut(rest, "+")
	return model + "+" + adapter
}

func set(names []string) map[string]bool {
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}
