// Package order compares the models that a target must have loaded for its
// service with those that it reports, and returns the next order to load or unload
// one. It is pure and level-triggered: callers repeat the comparison until the two
// agree, so an order that was lost, refused or superseded is sent again.
//
// The fencing token of an order is the configuration version from which the order
// was derived. Two nodes that both count as a target's owner derive the same orders
// from the same version. Engines that check the token refuse orders of an older
// version; with those that do not, the next comparison corrects the effect.
package order

import (
	"strings"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// Next returns the next order for a target of the service, if any; version is the
// configuration version that s is from. All wanted models are loaded before any other is
// unloaded, so that the old version serves until the new one can.
func Next(s *fleet.Service, version uint64, report engine.Report) (engine.Order, bool) {
	if s.Kind != fleet.KindModel || len(report.Loading) > 0 {
		return engine.Order{}, false
	}
	loaded := toSet(report.Loaded)
	wanted := s.Wanted()
	for _, name := range wanted {
		if !loaded[name] {
			return engine.Order{Fence: int64(version), Op: engine.OpLoad, Name: name}, true
		}
	}
	keep := toSet(wanted)
	for _, name := range report.Loaded {
		if !keep[name] {
			return engine.Order{Fence: int64(version), Op: engine.OpUnload, Name: name}, true
		}
	}
	return engine.Order{}, false
}

// SameModel reports whether two loaded names are versions of one model with the
// same adapter: while a version is rolled out, the previous one continues to serve.
func SameModel(a, b string) bool {
	return withoutVersion(a) == withoutVersion(b)
}

func withoutVersion(name string) string {
	model, rest, _ := strings.Cut(name, "@")
	_, adapter, _ := strings.Cut(rest, "+")
	return model + "+" + adapter
}

func toSet(names []string) map[string]bool {
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}
