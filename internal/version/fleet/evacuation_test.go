package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestEvacuationChangesNothingElse: an evacuation changes one key, and ending it restores
// the previous configuration.
func TestEvacuationChangesNothingElse(t *testing.T) {
	is := is.New(t)
	before, err := Parse([]byte("[service \"s\"]\nversion = 2\n"))
	is.NoErr(err)
	evacuated, err := before.WithEvacuation("hall-a", true)
	is.NoErr(err)
	is.True(evacuated.IsEvacuated("hall-a"))
	is.True(!evacuated.IsEvacuated("hall-b"))
	is.Equal(Diff(before, evacuated), []Change{{Section: `data_centre "hall-a"`, Key: "evacuated", After: "true"}})
	returned, err := evacuated.WithEvacuation("hall-a", false)
	is.NoErr(err)
	is.Equal(returned.Text(), before.Text())
	is.True(!returned.IsEvacuated("hall-a"))
}
