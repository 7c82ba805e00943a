package choose

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestAllotNeverExceedsTheSlots: the allotments that nodes compute from the same claims
// add up to all available slots, or to all claims if these are fewer, and no node gets
// more than it claims.
func TestAllotNeverExceedsTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(-2, 30).Draw(t, "slots")
		claims := map[string]int{}
		for n := range rapid.IntRange(1, 12).Draw(t, "nodes") {
			claims[fmt.Sprint("n", n)] = rapid.IntRange(0, 40).Draw(t, "claim")
		}
		allotted, wanted := 0, 0
		for node, claim := range claims {
			share := Allot("target", slots, node, claims)
			if share > claim {
				t.Fatalf("%s gets %d of the %d that it claims", node, share, claim)
			}
			allotted += share
			wanted += claim
		}
		if allotted != min(max(0, slots), wanted) {
			t.Fatalf("%d allotted of %d slots, %d claimed", allotted, slots, wanted)
		}
	})
}
