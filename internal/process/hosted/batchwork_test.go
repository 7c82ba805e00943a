package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/beacon"
)

// TestWaitingTokensOfAllCount: the tokens that wait on a route are those at the
// other nodes of the group, at other groups and at other data centres; a part that
// is silent for long counts no more, because its jobs have been taken over.
func TestWaitingTokensOfAllCount(t *testing.T) {
	is := is.New(t)
	w := newBatchWork(&Node{})
	word := func(tokens int64) beacon.BatchWord {
		return beacon.BatchWord{Waiting: map[string]int64{"r": tokens, "other": 1}}
	}
	w.HeardNode("n1", word(100))
	w.HeardNode("n1", word(10)) // the newest word counts
	w.HeardNode("n2", word(20))
	w.HeardGroup("group-1", word(300))
	w.HeardDataCentre("there", word(4000))
	is.Equal(w.waiting("r"), int64(4330))
	w.groups["group-1"] = heardWord{word(300), time.Now().Add(-waitingFor - time.Second)}
	is.Equal(w.waiting("r"), int64(4030))
	w.JoinGroup() // the data centre is divided anew
	is.Equal(w.waiting("r"), int64(4000))
}
