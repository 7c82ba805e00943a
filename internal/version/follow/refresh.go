package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// Store is what following needs of the object store.
type Store interface {
	// List returns every object of a kind.
	List(ctx context.Context, class callbudget.Class, kind string) (objects.Page, error)
	// Changes returns at once what changed in a kind after a revision. It fails
	// with objects.ErrHistoryExpired when that is no longer known.
	Changes(ctx context.Context, kind string, revision int64) (objects.Page, error)
}

// Listener hears of changes. It is called from several goroutines and must not
// block.
type Listener interface {
	Changed(kind string, news []objects.Object, from Source)
	// Failed hears that the store did not answer a question about a kind.
	Failed(kind string, revision int64, cause error)
}

const (
	// mostRankDelay is how much longer each further node waits before it asks the
	// store itself: the answer that the node before it got has arrived by then,
	// by a datagram or two. It is shorter where copies have to be newer: the
	// share rankShare of their age.
	mostRankDelay = 250 * time.Millisecond
	rankShare     = 0.36
	// mostRank bounds the delay of nodes far down the order.
	mostRank = 4
	// listTimeout bounds one listing; the store answers in milliseconds, and a
	// call that hangs must not use up the time a change has to be in force.
	listTimeout = time.Second
	// failurePause is the pause after a question that was not answered; it
	// doubles up to mostFailurePause, and a node pauses longer the farther down
	// the order it stands. Refused calls are charged like others, and the first
	// node that is answered again tells the rest within a fraction of a second.
	failurePause     = 100 * time.Millisecond
	mostFailurePause = time.Second
)

// Refresher keeps one kind of the cache up to date. Nodes in contact
// share the work: each knows how old its copy is, whoever asked the store, and
// the first in order asks when it is older than MaxAge. A node that hears
// nobody asks for itself. The store is thus asked about once each MaxAge by
// every group of nodes that are in contact, however many they are.
//
// It asks over and over in place of leaving a watch waiting, because a waiting
// watch of this store can go silent: it was seen to miss changes for seconds
// while the store dropped its history, without being answered or cut.
type Refresher struct {
	Kind     string
	Store    Store
	Cache    *Cache
	Listener Listener
	MaxAge   time.Duration
	// Self is this node and DataCentre its own. PeersInDataCentre returns the other nodes of it
	// that are heard and follow the kind, and OtherDataCentres the other data centres heard.
	Self              string
	DataCentre        string
	PeersInDataCentre func() []string
	OtherDataCentres  func() []string

	kicks chan struct{}
}

// Trigger makes the refresher ask the store at once. It never blocks.
func (r *Refresher) Trigger() {
	select {
	case r.kicks <- struct{}{}:
	default: // a kick is waiting already
	}
}

// NewRefresher returns a refresher of a kind; the caller sets the other fields.
func NewRefresher(kind string) *Refresher {
	return &Refresher{Kind: kind, kicks: make(chan struct{}, 1)}
}

// Run refreshes until ctx ends.
func (r *Refresher) Run(ctx context.Context) {
	pause := failurePause
	for ctx.Err() == nil {
		if due := r.due(); due > 0 && !r.kicked(ctx, due) {
			continue
		}
		if err := r.refresh(ctx); err != nil {
			r.Listener.Failed(r.Kind, r.Cache.CompleteRevision(r.Kind), err)
			wait.For(ctx, time.Duration(1+r.rank())*(pause/2+rand.N(pause)))
			pause = min(2*pause, mostFailurePause)
			continue
		}
		pause = failurePause
	}
}

// kicked waits and reports whether a kick came meanwhile.
func (r *Refresher) kicked(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.kicks:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// due returns how long the copy may still go without a question.
func (r *Refresher) due() time.Duration {
	age, known := r.Cache.Age(r.Kind)
	if !known {
		return 0
	}
	return r.MaxAge + time.Duration(r.rank())*r.rankDelay() - age
}

func (r *Refresher) rankDelay() time.Duration {
	return min(mostRankDelay, time.Duration(rankShare*float64(r.MaxAge)))
}

// rank returns this node's place in the order of those that may ask: data
// centres are in an order, and so are the nodes of each. What decides it is known
// the same everywhere, also where the fleet is too large to hear every node.
func (r *Refresher) rank() int {
	centre := rendezvous.Place(r.Kind, r.DataCentre, r.OtherDataCentres(), mostRank)
	return min(mostRank, centre+rendezvous.Place(r.Kind, r.Self, r.PeersInDataCentre(), mostRank))
}

// refresh asks the store once.
func (r *Refresher) refresh(ctx context.Context) error {
	asked := r.Cache.Now()
	since := r.Cache.CompleteRevision(r.Kind)
	if since > 0 {
		page, err := r.Store.Changes(ctx, r.Kind, since)
		if err == nil {
			r.Cache.MarkVerified(r.Kind, asked)
			r.take(r.Cache.Apply(r.Kind, page.Objects, since, page.Revision))
			return nil
		}
		if !errors.Is(err, objects.ErrHistoryExpired) {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := r.Store.List(ctx, callbudget.Commit, r.Kind)
	if err != nil {
		return err
	}
	r.Cache.MarkVerified(r.Kind, asked)
	r.take(r.Cache.Replace(r.Kind, page.Objects, page.Revision))
	return nil
}

func (r *Refresher) take(news []objects.Object) {
	if len(news) > 0 {
		r.Listener.Changed(r.Kind, news, FromStore)
	}
}
