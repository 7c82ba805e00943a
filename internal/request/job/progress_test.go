package job

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
	"pgregory.net/rapid"
)

// TestEveryItemHasOnePosition: in whatever order attempts end, every item gets one result,
// and its text contains each event once.
func TestEveryItemHasOnePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 8).Draw(t, "items")
		p := newProgress(&Head{Total: total})
		now := time.Unix(0, 0)
		positions := map[int]int{}
		for step := 0; !p.allListed() && step < 500; step++ {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, total-1).Draw(t, "item")
			s := &p.items[i]
			switch action := rapid.SampledFrom([]string{"send", "event", "repeat", "break", "yield", "finish", "finish twice", "commit"}).Draw(t, "action"); {
			case action == "send" && s.phase == waiting:
				p.markSent(i, choose.Target{ID: "t"}, now)
			case action == "event" && s.phase == running:
				p.addEvent(i, s.lastEvent+1, []byte(fmt.Sprint(s.lastEvent+1)))
			case action == "repeat" && s.phase == running:
				p.addEvent(i, s.lastEvent, []byte("repeated"))
			case action == "break" && s.phase == running:
				p.attemptBroke(i, now)
			case action == "yield" && s.phase == running:
				p.requeue(i, now, 0)
			case strings.HasPrefix(action, "finish") && s.phase == running:
				p.finish(i, Result{Text: string(s.text)}, now)
				if action == "finish twice" && p.finish(i, Result{Text: "other"}, now) {
					t.Fatal("an item has two results")
				}
			case action == "commit" && len(p.pending) > 0:
				n := rapid.IntRange(1, len(p.pending)).Draw(t, "n")
				for _, r := range p.pending[:n] {
					positions[r.index]++
					for k, line := range strings.Split(r.result.Text, "\n") {
						if r.result.Text != "" && line != fmt.Sprint(k+1) {
							t.Fatalf("text %q", r.result.Text)
						}
					}
				}
				p.markListed(n)
			}
		}
		for i, n := range positions {
			if n != 1 {
				t.Fatalf("item %d has %d positions", i, n)
			}
		}
	})
}

func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newProgress(&Head{Total: 1, Failed: map[int]int{0: 1}}) // one failure under the former holder
	now := time.Unix(0, 0)
	p.markSent(0, choose.Target{ID: "t"}, now)
	is.True(p.attemptFailed(0, now, 3))
	is.True(!p.mayBeSent(0, now)) // backs off first
	is.True(p.mayBeSent(0, now.Add(failureBackoff)))
	p.markSent(0, choose.Target{ID: "t"}, now)
	is.True(!p.attemptFailed(0, now, 3))
}

func TestBreaksBackOff(t *testing.T) {
	is := is.New(t)
	p := newProgress(&Head{Total: 1})
	now := time.Unix(0, 0)
	p.attemptBroke(0, now)
	first := p.items[0].notBefore.Sub(now)
	for range 20 {
		p.attemptBroke(0, now)
	}
	is.True(p.items[0].notBefore.Sub(now) > first)
	is.Equal(p.items[0].notBefore.Sub(now), maxBreakBackoff)
}

func TestSplitKeepsOrderAndSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 30).Draw(t, "sizes")
		var joined []int
		for _, part := range split(sizes, 4000, func(n int) int { return n }) {
			sum := 0
			for _, n := range part {
				sum += n + encodingOverhead
			}
			if len(part) > 1 && sum > 4000 {
				t.Fatalf("part of %d bytes", sum)
			}
			joined = append(joined, part...)
		}
		if fmt.Sprint(joined) != fmt.Sprint(sizes) {
			t.Fatalf("%v became %v", sizes, joined)
		}
	})
}

func TestResultCacheForgetsTheLeastRead(t *testing.T) {
	is := is.New(t)
	c := newResultCache(100)
	long := strings.Repeat("x", 40)
	is.Equal(c.put("a", 0, []Result{{Text: long}}), -1)
	is.Equal(c.put("a", 0, []Result{{Text: "another"}}), 0) // the first result stays, and the conflict is returned
	c.put("b", 0, []Result{{Text: long}})
	c.from("a", 0)
	c.put("c", 0, []Result{{Text: long}})
	got, _ := c.from("a", 0)
	is.Equal(len(got), 1)
	got, _ = c.from("b", 0)
	is.Equal(len(got), 0)
}

// TestCommitsAreGrouped: results wait to be committed with others, much less shortly before
// their job is due, and as long as before once it is late.
func TestCommitsAreGrouped(t *testing.T) {
	is := is.New(t)
	is.Equal(commitWait(15*time.Second), commitDelay)
	is.Equal(commitWait(urgentMargin+time.Second), time.Second)
	is.Equal(commitWait(time.Second), urgentCommitDelay)
	is.Equal(commitWait(-time.Second), commitDelay)
}

// Many results that finish together are listed much sooner than a single one, so that a
// caller that ends its job a second later has read them.
func TestManyResultsAreCommittedSooner(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	waits := func(results int) time.Duration {
		p := newProgress(&Head{Total: results + 1})
		for i := range results {
			p.finish(i, Result{}, start)
		}
		now := start
		for !p.commitDue(now, commitDelay) {
			now = now.Add(commitPollInterval)
		}
		return now.Sub(start)
	}
	is.Equal(waits(1), commitDelay)
	is.Equal(waits(2), commitDelay/2)
	is.True(waits(17) <= 200*time.Millisecond)
}
