package job

import (
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// Guards against an item that may not use a free target, for a reason of its own, and is taken to show
// that no target is free for others.
func TestOwnReasonsToWaitCoverNoOtherItem(t *testing.T) {
	is := is.New(t)
	other := choose.Need{Service: "s", Origin: continuation.BegunAnywhere()}
	full := fullScopes{}
	full.add(choose.Need{Service: "s", Origin: other.Origin, Exclude: map[string]bool{"t": true}})
	full.add(choose.Need{Service: "s", Origin: other.Origin, Apart: true})
	full.add(choose.Need{Service: "s", Origin: other.Origin, NoProbe: true})
	is.True(!full.covers(other))
	full.add(other)
	is.True(full.covers(other))
	is.True(!full.isFull("s"))
	full.add(choose.Need{Service: "s"})
	is.True(full.isFull("s"))
	is.True(!full.covers(choose.Need{Service: "another"}))
}
