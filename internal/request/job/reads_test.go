package job

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
)

// Guards against reads for callers that bring any number of large objects into memory at once, against
// a queue of them without a bound, and against one that waits for longer than its caller does.
func TestBulkReadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const object = 1 << 20
		b := newBulkReads(3*bulkReadFactor*object, 0)
		var running, most, refused atomic.Int64
		var readers sync.WaitGroup
		read := func(takes time.Duration) {
			readers.Go(func() {
				end, err := b.begin(context.Background(), object)
				if err != nil {
					is.True(errkind.Is(err, errkind.Overloaded) && errkind.Of(err).NotRun == errkind.NotRunTrue)
					refused.Add(1)
					return
				}
				defer end()
				most.Store(max(most.Load(), running.Add(1)))
				time.Sleep(takes)
				running.Add(-1)
			})
		}
		for range 3 + maxBulkWaits + 5 {
			read(time.Millisecond)
		}
		readers.Wait()
		is.Equal(most.Load(), int64(3))
		is.Equal(refused.Load(), int64(5)) // at once, because too many wait
		began := time.Now()
		for range 4 {
			read(time.Minute)
		}
		synctest.Wait()
		is.Equal(refused.Load(), int64(5))
		time.Sleep(bulkReadWait)
		synctest.Wait()
		is.Equal(refused.Load(), int64(6))
		is.Equal(time.Since(began), bulkReadWait)
		readers.Wait()
		end, err := b.begin(context.Background(), 1<<40) // alone
		is.NoErr(err)
		is.True(!b.memory.TryAcquire(1))
		end()
		is.True(b.memory.TryAcquire(b.limit))
		is.Equal(newBulkReads(0, 0).limit, int64(defaultBulkMemory))
		few := newBulkReads(1<<30, 2)
		for range 2 {
			_, err = few.begin(context.Background(), 1)
			is.NoErr(err)
		}
		is.True(!few.memory.TryAcquire(1)) // two connections
	})
}

// slowResults is a store in which reads of results take a while.
type slowResults struct {
	*memoryStore
	running, most atomic.Int64
}

func (s *slowResults) Get(ctx context.Context, class callbudget.Class, kind, name string) (objects.Object, error) {
	if kind == KindResults {
		s.most.Store(max(s.most.Load(), s.running.Add(1)))
		defer s.running.Add(-1)
		time.Sleep(5 * time.Millisecond)
	}
	return s.memoryStore.Get(ctx, class, kind, name)
}

// Guards against results that many callers have read from the store at once.
func TestStoredResultsAreReadAFewAtATime(t *testing.T) {
	is := is.New(t)
	store := &slowResults{memoryStore: newMemoryStore()}
	m, h := jobWithResults(t, store.memoryStore, 1<<20, strings.Repeat("a", 1000), "b")
	is.True(m.commit(h))
	m.Store, m.reads = store, newBulkReads(2*minBulkRead, 0)
	m.results = newResultCache(1) // nothing is cached
	var readers sync.WaitGroup
	for range 10 {
		readers.Go(func() {
			page, err := m.Read(context.Background(), h.id, 0, 0)
			is.NoErr(err)
			is.Equal(len(page.Results), 2)
		})
	}
	readers.Wait()
	is.Equal(store.most.Load(), int64(2))
}

// Guards against a size of stored results that does not say what a read brings into memory, and
// against one that is taken for small because a former version did not state it.
func TestSizeOfSegments(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	m, h := jobWithResults(t, store, 1<<20, strings.Repeat("a", 5000), "b")
	is.True(m.commit(h))
	size := m.segmentSize(&h.head, 1)
	is.Equal(size, len(store.objects[KindResults+"/"+h.head.Segments[0].Object].Value))
	is.Equal(m.segmentSize(&h.head, 2), m.cfg.MaxValueBytes) // not listed
	h.head.Segments[0].Bytes = 0
	is.Equal(m.segmentSize(&h.head, 1), m.cfg.MaxValueBytes)
	is.Equal(m.itemsSize(&Head{}), maxInlineBytes)
	is.Equal(m.itemsSize(&Head{Parts: 3}), 3*m.cfg.MaxValueBytes)
}

// Guards against a cache that one job with many results fills beyond its limit.
func TestResultsOfOneJobStayWithinTheCache(t *testing.T) {
	is := is.New(t)
	c := newResultCache(1000)
	for i := range 20 {
		c.put("job", i, []Result{{Item: fmt.Sprint(i), Text: strings.Repeat("a", 300)}})
		is.True(c.bytes <= c.limit)
		is.True(c.has("job", i))
	}
	c.put("job", 20, []Result{{Item: "large", Text: strings.Repeat("a", 1001)}})
	is.Equal(c.bytes, 0)
	is.True(!c.has("job", 19))
	c.put("job", 0, []Result{{Item: "0", Text: "b"}})
	is.True(c.has("job", 0))
}

// scriptedHolder is the client of a holder. Poll fails for answers over a size.
type scriptedHolder struct {
	marblepondv1connect.UnimplementedJobServiceHandler
	noPeers
	polls, queries atomic.Int64
	text           string
	release        chan struct{} // ends the waits
}

func (p *scriptedHolder) Job(string) marblepondv1connect.JobServiceClient  { return p }
func (p *scriptedHolder) Poll(string) marblepondv1connect.JobServiceClient { return pollOf{p} }

func (p *scriptedHolder) Results(context.Context, *v1.ResultsRequest) (*v1.ResultsResponse, error) {
	p.queries.Add(1)
	resp := &v1.ResultsResponse{Known: true, Total: 1}
	if p.text != "" {
		resp.Results = []*v1.JobResult{{Item: "a", Text: []byte(p.text)}}
	}
	return resp, nil
}

type pollOf struct{ *scriptedHolder }

func (p pollOf) Results(ctx context.Context, _ *v1.ResultsRequest) (*v1.ResultsResponse, error) {
	p.polls.Add(1)
	select {
	case <-p.release:
	case <-ctx.Done():
	}
	if len(p.text) > MaxPollBytes {
		return nil, connect.NewError(connect.CodeResourceExhausted, nil)
	}
	return &v1.ResultsResponse{Known: true, Total: 1}, nil
}

// Guards against callers that wait for results at a node without them and take all its connections to
// the holder: beyond a number of them, an answer comes at once.
func TestWaitsAtAHolderAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const most = 3
		m, holder := newTestManager("a", newMemoryStore()), &scriptedHolder{release: make(chan struct{})}
		m.Peers, m.reads = holder, newBulkReads(0, most)
		m.rememberHead("job", Head{Total: 1, Holder: Holder{Node: "b", Boot: 1, Address: "b"}}, 1, time.Time{})
		var readers sync.WaitGroup
		for range 10 {
			readers.Go(func() {
				page, err := m.Read(context.Background(), "job", 0, 100*time.Millisecond)
				is.NoErr(err)
				is.Equal(len(page.Results), 0)
			})
		}
		synctest.Wait()
		is.Equal(holder.polls.Load(), int64(most))
		close(holder.release)
		readers.Wait()
		is.True(m.reads.polls.TryAcquire(most)) // all are returned
	})
}

// Guards against large answers of a holder that are read while their memory does not count, and against
// results that are not found because of their size.
func TestLargeAnswerOfAHolderIsCounted(t *testing.T) {
	is := is.New(t)
	m, holder := newTestManager("a", newMemoryStore()), &scriptedHolder{release: make(chan struct{}), text: strings.Repeat("a", MaxPollBytes+1)}
	close(holder.release)
	m.Peers = holder
	m.rememberHead("job", Head{Total: 1, Holder: Holder{Node: "b", Boot: 1, Address: "b"}}, 1, time.Time{})
	page, err := m.Read(context.Background(), "job", 0, time.Second)
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
	is.Equal(page.Results[0].Text, holder.text)
	is.Equal(holder.polls.Load(), int64(1))
	is.Equal(holder.queries.Load(), int64(1))
}
