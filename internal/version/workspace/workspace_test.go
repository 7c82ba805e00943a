package workspace

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func named(name string, keys ...string) *Workspace {
	w := &Workspace{Name: name}
	for _, key := range keys {
		w.KeyHashes = append(w.KeyHashes, HashKey(key))
	}
	return w
}

// TestFaultsAffectNoOtherWorkspace: a name that is missing or used twice leaves out one
// workspace, and a key of two workspaces belongs to none; the texts of the faults contain
// no key.
func TestFaultsAffectNoOtherWorkspace(t *testing.T) {
	is := is.New(t)
	x, faults := NewIndex([]*Workspace{named("a", "k1", "shared"), named("", "k2"), named("b", "shared", "k3"), named("b", "k4"), named("c", "shared", "k5", "k5")})
	is.Equal(x.Names(), []string{"a", "b", "c"})
	for key, name := range map[string]string{"k1": "a", "k3": "b", "k5": "c"} {
		is.Equal(x.ByKey(key).Name, name)
	}
	for _, key := range []string{"k2", "k4", "shared", "", "unknown"} {
		is.True(x.ByKey(key) == nil) // key
	}
	is.Equal(len(faults), 4)
	for _, fault := range faults {
		is.True(!strings.Contains(fault.String(), "shared") && !strings.Contains(fault.String(), HashKey("shared").String()))
	}
}

// TestKeyBelongsToOneWorkspace: in any list, a key is found if exactly one workspace of
// the index has it.
func TestKeyBelongsToOneWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"})
		owners := map[string]map[string]bool{}
		var list []*Workspace
		for i := range rapid.IntRange(0, 6).Draw(t, "workspaces") {
			keys := rapid.SliceOfN(key, 0, 4).Draw(t, "keys")
			name := fmt.Sprint("w", i)
			list = append(list, named(name, keys...))
			for _, k := range keys {
				if owners[k] == nil {
					owners[k] = map[string]bool{}
				}
				owners[k][name] = true
			}
		}
		x, _ := NewIndex(list)
		for k, names := range owners {
			w := x.ByKey(k)
			if (len(names) == 1) != (w != nil) || (w != nil && !names[w.Name]) {
				t.Fatalf("key %s of %v names %v", k, names, w)
			}
		}
	})
}

// listOf returns a list of count workspaces with two keys each.
func listOf(count int) []*Workspace {
	var list []*Workspace
	for i := range count {
		list = append(list, named(fmt.Sprint("workspace-", i), fmt.Sprint("first-key-of-", i), fmt.Sprint("second-key-of-", i)))
	}
	return list
}

// BenchmarkByKey measures the lookup of a caller, which each request makes, and
// BenchmarkNewIndex the indexing of a new version with hashed keys. 73 workspaces are in
// use now, and 5700 are expected.
func BenchmarkByKey(b *testing.B) {
	for _, count := range []int{73, 5700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			x, _ := NewIndex(listOf(count))
			b.ReportAllocs()
			for b.Loop() {
				if x.ByKey("second-key-of-41") == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}

func BenchmarkNewIndex(b *testing.B) {
	for _, count := range []int{73, 5700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := listOf(count)
			b.ReportAllocs()
			for b.Loop() {
				NewIndex(list)
			}
		})
	}
}
