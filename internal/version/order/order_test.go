package order

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// TestOrdersConverge applies orders to a target that loses some of them. The target
// ends with exactly the wanted models, and until then always has some version of the
// model loaded.
func TestOrdersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fleet.Service{Kind: fleet.KindModel, Model: "m", Version: "2", Adapters: []string{"a"}}
		report := engine.Report{Loaded: []string{"m@1", "m@1+a", "other@7"}}
		for steps := 0; ; steps++ {
			next, ok := Next(s, 5, report)
			if !ok {
				break
			}
			if steps > 200 || next.Fence != 5 {
				t.Fatalf("no end, or wrong fence: %+v", next)
			}
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			if next.Op == engine.OpLoad {
				report.Loaded = append(report.Loaded, next.Name)
			} else {
				report.Loaded = slices.DeleteFunc(report.Loaded, func(n string) bool { return n == next.Name })
			}
			if !slices.ContainsFunc(report.Loaded, func(n string) bool { return SameModel(n, "m@2") }) {
				t.Fatalf("no version can serve: %v", report.Loaded)
			}
		}
		slices.Sort(report.Loaded)
		if !slices.Equal(report.Loaded, []string{"m@2", "m@2+a"}) {
			t.Fatalf("ends with %v", report.Loaded)
		}
	})
}

func TestSameModel(t *testing.T) {
	is := is.New(t)
	is.True(SameModel("m@1+a", "m@2+a"))
	is.True(!SameModel("m@1+a", "m@1+b"))
	is.True(!SameModel("m@1", "m@1+a"))
	is.True(!SameModel("m@1", "n@1"))
}
