package job

import (
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// Guards against an item that may not use a free target, or runs apart, and is taken to show that no
// target is free for others.
func TestOwnReasonsToWaitCoverNoOtherItem(t *testing.T) {
	is := is.New(t)
	other := choose.Need{Service: "s", Origin: continuation.BegunAnywhere()}
	full := fullScopes{}
	full.add(choose.Need{Service: "s", Origin: other.Origin, Exclude: map[string]bool{"t": true}}, true)
	full.add(choose.Need{Service: "s", Origin: other.Origin, Apart: true}, true)
	is.True(!full.cover(other))
	full.add(other, false)
	is.True(full.cover(other))
	is.True(!full.all("s"))
	full.add(other, true)
	is.True(full.all("s"))
	is.True(!full.cover(choose.Need{Service: "another"}))
}
