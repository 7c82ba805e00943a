package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestPlaceIsTheRank: the place of a member is its index in the complete ranking.
func TestPlaceIsTheRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []string
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			members = append(members, fmt.Sprint("n", i))
		}
		key, limit := rapid.String().Draw(t, "key"), rapid.IntRange(1, 14).Draw(t, "limit")
		self := rapid.SampledFrom(members).Draw(t, "self")
		others := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == self })
		want := min(limit, slices.Index(Rank(key, members, len(members)), self))
		if got := Place(key, self, others, limit); got != want {
			t.Fatalf("place %d, rank %d", got, want)
		}
	})
}

// BenchmarkRank ranks the first four of 51 and of 360 members.
func BenchmarkRank(b *testing.B) {
	for _, count := range []int{51, 360} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var members []string
			for i := range count {
				members = append(members, fmt.Sprint("edge-data-centre-", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				Rank("workspace-41", members, 4)
			}
		})
	}
}
