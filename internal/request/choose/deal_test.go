package choose

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestDealNeverExceedsTheRoom: what nodes compute from the same claims never
// adds up to more than the slots that online requests leave, uses all of them
// when the claims do, and gives nobody more than it claims.
func TestDealNeverExceedsTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.IntRange(-2, 30).Draw(t, "room")
		claims := map[string]int{}
		for n := range rapid.IntRange(1, 12).Draw(t, "nodes") {
			claims[fmt.Sprint("n", n)] = rapid.IntRange(0, 40).Draw(t, "claim")
		}
		dealt, wanted := 0, 0
		for node, claim := range claims {
			share := Allot("target", room, node, claims)
			if share > claim {
				t.Fatalf("%s gets %d of the %d that it claims", node, share, claim)
			}
			dealt += share
			wanted += claim
		}
		if dealt != min(max(0, room), wanted) {
			t.Fatalf("%d dealt, room for %d, %d wanted", dealt, room, wanted)
		}
	})
}
