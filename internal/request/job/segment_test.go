package job

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
)

// boundedStore rejects values over a size, as it counts it.
type boundedStore struct {
	*memoryStore
	limit    int
	sizeOf   func(value []byte) int // nil: the length
	rejected int
	writes   int
	latency  time.Duration
}

func (s *boundedStore) accepts(value []byte) bool {
	s.writes++
	size := len(value)
	if s.sizeOf != nil {
		size = s.sizeOf(value)
	}
	if size > s.limit {
		s.rejected++
	}
	return size <= s.limit
}

// Create implements objects.Store.
func (s *boundedStore) Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (objects.Object, error) {
	if s.latency > 0 {
		time.Sleep(s.latency)
	}
	if ctx.Err() != nil {
		return objects.Object{}, objects.ErrUnavailable
	}
	if !s.accepts(value) {
		return objects.Object{}, objects.ErrRejected
	}
	return s.memoryStore.Create(ctx, class, kind, name, value)
}

// Update implements objects.Store.
func (s *boundedStore) Update(ctx context.Context, class callbudget.Class, kind, name string, revision int64, value []byte) (objects.Object, error) {
	if !s.accepts(value) {
		return objects.Object{}, objects.ErrRejected
	}
	return s.memoryStore.Update(ctx, class, kind, name, revision, value)
}

// jobWithResults returns the holder of a job whose items have finished with the texts.
func jobWithResults(t *testing.T, store objects.Store, limit int, texts ...string) (*Manager, *heldJob) {
	t.Helper()
	m := newTestManager("n", store)
	m.cfg.MaxValueBytes = limit
	close(m.stopped) // the test commits
	s := submission("job")
	s.Items = nil
	for i := range texts {
		s.Items = append(s.Items, Item{ID: fmt.Sprint("i", i), Path: "/j/a"})
	}
	if err := m.Submit(context.Background(), s); err != nil {
		t.Fatal(err)
	}
	h := m.held["job"]
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, text := range texts {
		h.progress.finish(i, Result{Item: h.items[i].ID, Text: text}, time.Now())
	}
	return m, h
}

// checkStored compares the results that the object store lists with the texts.
func checkStored(t *testing.T, store objects.Store, h *heldJob, texts []string) {
	t.Helper()
	reader := newTestManager("reader", store)
	for i := 0; i < len(texts); {
		page, err := reader.page(context.Background(), "job", &h.head, i)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Results {
			if r.Item != fmt.Sprint("i", i) || r.Text != texts[i] {
				t.Fatalf("position %d has item %s with %d bytes; item %d has %d bytes", i, r.Item, len(r.Text), i, len(texts[i]))
			}
			i++
		}
	}
}

// TestResultsWithMarkupAreListed guards against results that are never listed, because they
// encode to more than the object store takes.
func TestResultsWithMarkupAreListed(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 16
	for _, text := range []string{`<td class="a">&amp;</td>`, "\"\\\n", "\x01\x02", "ā\u2028", "\xff\xfe"} {
		store := &boundedStore{memoryStore: newMemoryStore(), limit: limit}
		var texts []string
		for i := range 40 {
			texts = append(texts, strings.Repeat(text, i*limit/400/len(text)))
		}
		m, h := jobWithResults(t, store, limit, texts...)
		is.True(m.commit(h))
		is.True(h.head.Complete())
		is.Equal(store.rejected, 0) // the sizes are measured
		checkStored(t, store, h, texts)
	}
}

// TestResultLargerThanAnObjectIsListedWhole guards against a result that is never listed, because
// it alone is over the limit.
func TestResultLargerThanAnObjectIsListedWhole(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 14
	store := &boundedStore{memoryStore: newMemoryStore(), limit: limit}
	texts := []string{"small", strings.Repeat("<ļoti garš>\n", limit/2), strings.Repeat("\xff\x00", limit), "last"}
	m, h := jobWithResults(t, store, limit, texts...)
	is.True(m.commit(h))
	is.True(h.head.Complete())
	is.Equal(store.rejected, 0)
	checkStored(t, store, h, texts)

	head := h.head
	m.remove(context.Background(), "job", &head)
	is.Equal(len(store.objects), 0) // no piece is left
}

// TestResultWithALargeBodyTakesFewObjects guards against a piece of a result for each of its
// characters, because the body of its item leaves no room beside the first.
func TestResultWithALargeBodyTakesFewObjects(t *testing.T) {
	is := is.New(t)
	const limit = 8 << 10
	r := newStoredResult(Result{Item: "i0", Text: strings.Repeat("a", 10*limit)})
	r.Body = bytes.Repeat([]byte("b"), limit)
	parts := divide(r, limit)
	is.True(len(parts) <= 12)
	for _, part := range parts[1:] {
		is.True(len(part) <= limit)
	}
}

// TestRejectedResultsAreDividedFurther guards against writes that are repeated without end, where
// the object store counts more bytes than were measured.
func TestRejectedResultsAreDividedFurther(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 16
	store := &boundedStore{memoryStore: newMemoryStore(), limit: limit, sizeOf: func(value []byte) int { return 5 * len(value) }}
	texts := []string{strings.Repeat("a", limit), strings.Repeat("b", limit/2), "c", strings.Repeat("d", limit/2)}
	m, h := jobWithResults(t, store, limit, texts...)
	is.True(m.commit(h))
	is.True(h.head.Complete())
	is.True(store.rejected > 0 && store.rejected <= 5) // halves until it fits
	checkStored(t, store, h, texts)
}

// TestRejectedCommitsBackOff guards against the same write many times a second, where the object
// store rejects results of any size.
func TestRejectedCommitsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &boundedStore{memoryStore: newMemoryStore(), limit: 1 << 20}
		m, h := jobWithResults(t, store, 1<<16, "text")
		store.limit, store.writes = 0, 0
		for range 5 * 60 { // a minute of checks
			m.commitStep(h)
			time.Sleep(commitPollInterval)
		}
		is.True(store.writes > 0 && store.writes <= 8)
		store.limit = 1 << 20
		time.Sleep(maxRejectedBackoff)
		m.commitStep(h)
		is.True(h.head.Complete()) // it goes on once the store accepts them
	})
}

// TestSlowStoreListsSomeResults guards against results that are all written again without end,
// because they take longer to write than a commit may.
func TestSlowStoreListsSomeResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 1 << 14
		store := &boundedStore{memoryStore: newMemoryStore(), limit: limit}
		var texts []string
		for range 20 {
			texts = append(texts, strings.Repeat("a", limit/2))
		}
		m, h := jobWithResults(t, store, limit, texts...)
		store.latency = 700 * time.Millisecond
		for commits := 0; !h.head.Complete(); commits++ {
			is.True(commits < 6)
			is.True(m.commit(h))
		}
		checkStored(t, store, h, texts)
	})
}

// TestJobThatNoObjectTakesIsRefusedAtOnce guards against a job that waits for an object store
// that will never accept it.
func TestJobThatNoObjectTakesIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 14
	for _, shared := range []bool{false, true} {
		store := &boundedStore{memoryStore: newMemoryStore(), limit: limit}
		m := newTestManager("n", store)
		m.cfg.MaxValueBytes = limit
		m.SharedView = func() bool { return shared }
		s := submission("job")
		s.Items[0].Body = bytes.Repeat([]byte("a"), limit)
		began := time.Now()
		err := m.Submit(context.Background(), s)
		is.True(errkind.Is(err, errkind.TooLarge))
		is.True(time.Since(began) < time.Second)
		is.Equal(store.writes, 0)
		is.Equal(m.held["job"], nil)

		// the store rejects what was measured to fit
		store.sizeOf = func(value []byte) int { return 100 * len(value) }
		s = submission("other")
		s.Items[0].Body = bytes.Repeat([]byte("a"), limit/2)
		err = m.Submit(context.Background(), s)
		is.True(errkind.Is(err, errkind.TooLarge))
		is.True(time.Since(began) < time.Second)
	}
}

// TestItemsThatEncodeLargerAreAccepted guards against jobs whose items encode to more than
// estimated.
func TestItemsThatEncodeLargerAreAccepted(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 14
	store := &boundedStore{memoryStore: newMemoryStore(), limit: limit}
	m := newTestManager("n", store)
	m.cfg.MaxValueBytes = limit
	s := submission("job")
	s.Items = nil
	for i := range 40 {
		s.Items = append(s.Items, Item{ID: fmt.Sprint("i", i), Path: "/j/a", Header: Header(encode(map[string]string{"X": strings.Repeat("\x01\"", 150)}))})
	}
	is.NoErr(m.Submit(context.Background(), s))
	head, _, err := m.getHead(context.Background(), callbudget.Commit, "job")
	is.NoErr(err)
	items, err := m.getItems(context.Background(), "job", &head)
	is.NoErr(err)
	is.Equal(items, s.Items)
	is.Equal(store.rejected, 0)
}

// TestPageWithMarkupStaysWithinItsSize guards against pages of results over the size that callers
// accept.
func TestPageWithMarkupStaysWithinItsSize(t *testing.T) {
	is := is.New(t)
	var all []Result
	for i := range 30 {
		all = append(all, Result{Item: fmt.Sprint("i", i), Text: strings.Repeat("\"\n\x01", 20<<10)})
	}
	page := limitToPage(all)
	data := encode(page)
	is.True(len(page) > 1)
	is.True(len(data) <= pageBytes)
	is.Equal(len(limitToPage(all[:1])), 1)
}

// TestOutputWithoutEndIsDropped guards against a target that sends events to an item without end,
// and so takes the memory of its node: at one item, and at many together.
func TestOutputWithoutEndIsDropped(t *testing.T) {
	is := is.New(t)
	m, h := jobWithResults(t, newMemoryStore(), 1<<20, make([]string, 100)...)
	h.progress = newProgress(&h.head)
	m.cfg.ResultCacheBytes = 8 << 20
	piece := bytes.Repeat([]byte("a"), 16<<10)
	extend := func(item int) (size int) {
		for n := int64(1); ; n++ {
			h.progress.addEvent(item, n, piece)
			size = len(h.progress.items[item].text)
			if m.textTooLong(h, item, len(piece)) || size > 1<<24 {
				return size
			}
		}
	}
	is.True(extend(0) <= maxTextBytes+len(piece)+256) // one alone
	total := 0
	for i := 1; i < 100; i++ {
		total += extend(i)
	}
	is.True(total <= 99*(freeTextBytes+2*len(piece))+m.maxHeldText())
	m.beginAnew(h, 1, errTextTooLong.Error())
	is.Equal(len(h.progress.items[1].text), 0)
}

// FuzzStoredResults guards against results that encode to more than an object may have, or that
// come back changed.
func FuzzStoredResults(f *testing.F) {
	f.Add([]byte(`<a href="x">&</a>`), 1, 200)
	f.Add([]byte("\x00\x1f\"\\\u2028\xff"), 900, 4096)
	f.Add([]byte("ļ\xc4"), 3000, 300)
	f.Fuzz(func(t *testing.T, text []byte, repeat, limit int) {
		repeat, limit = max(0, repeat%5000), 400+max(0, limit%20000)
		whole := string(bytes.Repeat(text, 1+repeat%(1+100_000/(len(text)+1))))
		if encoded, _ := encodeStored(whole); jsonStringSize(whole) != len(encoded) {
			t.Fatalf("measured %d bytes, encoded %d", jsonStringSize(whole), len(encoded))
		}
		store := &boundedStore{memoryStore: newMemoryStore(), limit: 1 << 20}
		m, h := jobWithResults(t, store, 1<<20, whole, "b", whole)
		h.segmentBytes, store.limit = limit, limit
		before := store.rejected
		segments, err := m.writeSegments(context.Background(), h, h.progress.pending)
		if err != nil || store.rejected > before {
			t.Fatalf("%d bytes at a limit of %d: %v, %d rejected", len(whole), limit, err, store.rejected-before)
		}
		var got []string
		for _, s := range segments {
			stored, err := m.readSegment(context.Background(), s)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range stored {
				got = append(got, r.result().Text)
			}
		}
		if len(got) != 3 || got[0] != whole || got[1] != "b" || got[2] != whole {
			t.Fatalf("%d results, changed", len(got))
		}
	})
}

// TestResultsOfEarlierNodesAreRead guards against results that a node before this format stored.
func TestResultsOfEarlierNodesAreRead(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	m := newTestManager("n", store)
	value, err := json.Marshal([]map[string]any{{"Item": "i0", "Dead": false, "Text": "<a>"}, {"Item": "i1", "Dead": true, "Text": "", "Body": []byte("b")}})
	is.NoErr(err)
	store.put(KindResults, "job.1.1", value)
	stored, err := m.readSegment(context.Background(), Segment{Object: "job.1.1", Items: []int{0, 1}})
	is.NoErr(err)
	is.Equal(stored[0].result(), Result{Item: "i0", Text: "<a>"})
	is.Equal(stored[1].result(), Result{Item: "i1", Dead: true})
	is.Equal(stored[1].Body, []byte("b"))
}
