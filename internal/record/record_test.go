package record

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestItemsCommitOnce lets two holders acquire and commit in any order, with
// stale states as a paused holder has them. The platform accepts a write only
// on the version from which it was computed.
func TestItemsCommitOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, version := ChunkState{Job: "j"}, 0
		type cachedState struct {
			state   ChunkState
			version int
			epoch   int64
		}
		holders := []Holder{{"a", 1}, {"b", 1}}
		cached := make([]cachedState, len(holders))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := rapid.IntRange(0, 1).Draw(t, "holder")
			h, c := holders[n], &cached[n]
			if rapid.Bool().Draw(t, "acquire") {
				next, err := stored.Acquire(h, "t", rapid.Bool().Draw(t, "expired"))
				if err == nil {
					stored, version = next, version+1
					*c = cachedState{stored, version, next.Epoch}
				}
				continue
			}
			item := rapid.IntRange(0, 5).Draw(t, "item")
			next, err := c.state.Commit(h, c.epoch, "t", Progress{Segment: &Segment{Object: "s", Items: []int{item}}, Completed: 1, Phase: ChunkLeased})
			if err != nil || c.version != version {
				continue // refused by Commit, or by the conditional write
			}
			stored, version = next, version+1
			*c = cachedState{stored, version, c.epoch}
		}
		seen := map[int]bool{}
		for _, s := range stored.Segments {
			for _, item := range s.Items {
				if seen[item] {
					t.Fatalf("item %d is visible twice", item)
				}
				seen[item] = true
			}
		}
		if stored.Completed != len(seen) {
			t.Fatalf("%d counted, %d visible", stored.Completed, len(seen))
		}
	})
}

func TestFormerHolderIsFenced(t *testing.T) {
	is := is.New(t)
	a, b := Holder{"a", 1}, Holder{"b", 1}
	first, err := ChunkState{}.Acquire(a, "1", false)
	is.NoErr(err)
	_, err = first.Acquire(b, "2", false)
	is.True(errors.Is(err, ErrLeased)) // not expired
	second, err := first.Acquire(b, "2", true)
	is.NoErr(err)
	_, err = second.Commit(a, first.Epoch, "3", Progress{Phase: ChunkDone})
	is.True(errors.Is(err, ErrFenced))
	stopped, err := second.Stop("4")
	is.NoErr(err)
	_, err = stopped.Commit(b, second.Epoch, "5", Progress{Phase: ChunkDone})
	is.True(errors.Is(err, ErrFinal)) // a cancelled chunk accepts no results
}

func TestReturnedStartsAreTakenBack(t *testing.T) {
	is := is.New(t)
	h := Holder{"a", 1}
	s, _ := ChunkState{}.Acquire(h, "1", false)
	s, err := s.Commit(h, s.Epoch, "2", Progress{Started: []int{0, 1, 2}, Phase: ChunkLeased})
	is.NoErr(err)
	s, err = s.Commit(h, s.Epoch, "3", Progress{Returned: []int{1, 2}, Phase: ChunkOpen})
	is.NoErr(err)
	is.Equal(s.Started, []int{0})
	is.Equal(s.Phase, ChunkOpen)
}

func TestChunkOfSeveralFiles(t *testing.T) {
	is := is.New(t)
	job := Job{Files: []FileRef{{"f", 2, []string{"s", "t"}, []byte{0, 1}}, {"g", 1, []string{"u"}, []byte{0}}}}
	is.Equal(job.Chunks(), 3)
	is.Equal(job.ChunkObject(2), "chunk/g/000000")
	is.Equal(job.ChunkService(1), "t")
	is.Equal(job.ChunkService(2), "u")
}
