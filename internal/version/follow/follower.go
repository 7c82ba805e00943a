package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// Store is what a follower needs of the object store.
type Store interface {
	// List returns every object of a kind.
	List(ctx context.Context, class callbudget.Class, kind string) (objects.Page, error)
	// Watch waits until objects of the kind change after the revision, at most
	// for the time given; then the page is empty.
	Watch(ctx context.Context, kind string, revision int64, wait time.Duration) (objects.Page, error)
}

// Listener hears of changes. It is called from one goroutine per source and
// must not block.
type Listener interface {
	Changed(kind string, news []objects.Object, from Source)
}

const (
	// retryLeast and retryMost bound the pause before a failed list or watch is
	// tried again. A configuration change has to be in force within 2 s, so a
	// node looks several times in that span.
	retryLeast = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// listTimeout bounds one listing; the store answers in milliseconds, and a
	// call that hangs must not use up the time a change has to be in force.
	listTimeout = time.Second
)

// Follower keeps one kind of the cache up to date from the store.
type Follower struct {
	Kind     string
	Store    Store
	Cache    *Cache
	Listener Listener
	// Wait is the longest time that one watch waits.
	Wait time.Duration
	// Restart is signalled when the store has come back after an outage: a
	// watch that was waiting meanwhile may never be answered.
	Restart <-chan struct{}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	revision := int64(0)
	pause := retryLeast
	for ctx.Err() == nil {
		next, err := f.step(ctx, revision)
		if err == nil {
			revision, pause = next, retryLeast
			continue
		}
		if errors.Is(err, errRestart) {
			continue
		}
		if errors.Is(err, objects.ErrHistoryGone) {
			revision = 0
			continue
		}
		wait.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMost)
	}
}

var errRestart = errors.New("the store came back; the watch is started again")

// step lists when nothing is held yet and watches otherwise. It returns the
// revision to go on from.
func (f *Follower) step(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		return f.list(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.Restart:
			cancel(errRestart)
		case <-ctx.Done():
		}
	}()
	page, err := f.Store.Watch(ctx, f.Kind, revision, f.Wait)
	if err != nil {
		if errors.Is(context.Cause(ctx), errRestart) {
			return 0, errRestart
		}
		return 0, err
	}
	if news := f.Cache.Apply(f.Kind, page.Objects, revision, page.Revision); len(news) > 0 {
		f.Listener.Changed(f.Kind, news, FromStore)
	}
	return max(revision, page.Revision), nil
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := f.Store.List(ctx, callbudget.Commit, f.Kind)
	if err != nil {
		return 0, err
	}
	if news := f.Cache.Replace(f.Kind, page.Objects, page.Revision); len(news) > 0 {
		f.Listener.Changed(f.Kind, news, FromStore)
	}
	return page.Revision, nil
}
