package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// Guards against an answer that is given up after a restart in an outage of the store, because the
// targets of its version are missing from a list that may lack live ones.
func TestVersionMissingFromAnUncertainListIsNotGone(t *testing.T) {
	is := is.New(t)
	uncertain := true
	p := New(choose.Config{Policy: choose.LeastOfFew}, time.Now, func() bool { return uncertain }, func(string, string) {})
	p.Update([]Record{{Target: choose.Target{ID: "b", Incarnation: 1, Service: "s", Addr: "b", Slots: 1, Version: "v2"}}}, nil, nil)
	is.Equal(p.Supply("s", continuation.BegunAt("v1")), continuation.Busy)
	uncertain = false
	is.Equal(p.Supply("s", continuation.BegunAt("v1")), continuation.Gone)
}
