package choose

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestScatterSeparatesRequests guards against a harmless request that is retried together
// with one that crashes its targets. Both lose a target at the same moment at two nodes;
// these know the same loads and send both to the same least loaded target. Up to five
// targets crashed under both, so that the two could not be told apart before six targets
// were lost (6 of 14 runs). With targets selected by a hash of the work, 12 of 12 runs
// lost 7 targets each; without it, 3 of 12 lost 9 to 12.
//
// The test places pairs of such requests at two nodes with the same reports, four times
// in a row. By load they nearly always get the same target, by the hash in about one of
// 12 cases and almost never four times in a row.
func TestScatterSeparatesRequests(t *testing.T) {
	is := is.New(t)
	const pairs, targets, steps = 400, 12, 4
	meet := func(key func(request int) uint64) (together, always int) {
		for pair := range pairs {
			first, second := newTable(targets, LeastOfFew), newTable(targets, LeastOfFew)
			lost := map[string]bool{}
			met := 0
			for range steps {
				a, _ := first.Choose(start, Need{Service: "s", Exclude: lost, ScatterKey: key(2 * pair)})
				b, _ := second.Choose(start, Need{Service: "s", Exclude: lost, ScatterKey: key(2*pair + 1)})
				if a.ID == b.ID {
					met++
				}
				lost[a.ID] = true
			}
			together += met
			if met == steps {
				always++
			}
		}
		return together, always
	}
	together, always := meet(func(request int) uint64 { return uint64(request+1) * 0x9e3779b97f4a7c15 })
	t.Logf("scattered: %d of %d steps together, %d of %d pairs always", together, pairs*steps, always, pairs)
	is.True(together < pairs*steps/6)
	is.True(always <= 1)
	byLoad, _ := meet(func(int) uint64 { return 0 })
	is.True(byLoad > pairs*steps/2) // without scattering they do meet
}

// TestScatterPrefersFreeTargets: only targets with free slots are selected by the hash; if
// there are none, the request is placed like any other.
func TestScatterPrefersFreeTargets(t *testing.T) {
	is := is.New(t)
	tab := newTable(3, LeastOfFew)
	for _, id := range []string{"t0", "t2"} {
		for range 8 {
			tab.Begin(id)
		}
	}
	for key := range uint64(50) {
		got, ok := tab.Choose(start, Need{Service: "s", ScatterKey: key + 1})
		is.True(ok)
		is.Equal(got.ID, "t1")
	}
	for range 8 {
		tab.Begin("t1")
	}
	_, ok := tab.Choose(start, Need{Service: "s", ScatterKey: 1, Overflow: 4})
	is.True(ok)
	used := map[string]bool{}
	for i := range 30 {
		got, _ := newTable(3, LeastOfFew).Choose(start, Need{Service: "s", ScatterKey: uint64(i+1) * 0x9e3779b97f4a7c15})
		used[fmt.Sprint(got.ID)] = true
	}
	is.Equal(len(used), 3)
}
