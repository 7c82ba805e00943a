package allowance

import (
	"time"

	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Policy is how an owner lends when the shared view is on. The zero value is of no use; see
// DefaultPolicy.
type Policy struct {
	// ReleaseFactor bounds the rate at which tokens are released, as a multiple of PerSecond.
	// A burst then does not reach full targets.
	ReleaseFactor float64
	// AdvanceShare is the share of the tolerance by which more may be lent than a token bucket
	// with the depth of the burst would lend. A successor of the owner does not know what was
	// lent in advance, so the advance and the tokens with which it starts share the tolerance.
	AdvanceShare float64
}

// DefaultPolicy is the policy of the product. Tokens go to requests in the order in which they ask,
// whether or not they were refused before: a request does not state that. A place in line is the time
// at which its caller is likely to find a token; none is kept for it.
var DefaultPolicy = Policy{ReleaseFactor: 4, AdvanceShare: 0.6}

const (
	// exceedingTime is the time over which requests are compared with the rate, and for which a
	// statement that a workspace exceeds its allowance holds.
	exceedingTime = time.Second
	// successorInitialShare is the share of the tolerance with which an owner starts that does
	// not know what was lent before, while other nodes run. With the advance and the capacity
	// of the bucket it adds up to little more than the tolerance if two owners start at a time.
	// Callers that get no token then have a place in line instead.
	successorInitialShare = 0.4
)

// line is what an owner keeps of a workspace, beside its bucket, while the shared view is on.
// Three bounds hold for what is lent:
//
//   - the window: in any window, no more than PerSecond x window + Burst;
//   - the bucket: in any shorter time, no more than the rate yields, and the capacity of the
//     bucket and the advance;
//   - the release: no faster than ReleaseFactor times the rate.
type line struct {
	policy  Policy
	window  *slotted
	places  places
	release float64 // tokens that may be lent now as far as the rate of release allows
	// unknown reports whether earlier owners may have lent the whole depth until startedAt.
	// initial tokens are lent nevertheless.
	unknown   bool
	portion   float64 // of the allowance that this owner lent at updatedAt
	initial   float64
	startedAt time.Time
	updatedAt time.Time
	refusedAt time.Time
}

// newLine returns the line of a bucket as it is now. A bucket of which nothing was lent yet
// belongs to a new owner, else the shared view has just been turned on.
func (bs *Buckets) newLine(now time.Time, b *bucket, limit workspace.Allowance, view FleetView, req BorrowRequest) *line {
	l := &line{policy: bs.policy, window: newSlotted(now, bs.tolerance.Window), startedAt: now, updatedAt: now, portion: b.portion, release: bs.capacity(limit, b.portion)}
	if b.untouched && view.Preferred && !bs.justStarted(now) {
		return l // no other node lends, and no tokens were borrowed for a whole window
	}
	l.unknown, l.initial = true, b.tokens
	if !b.untouched {
		return l
	}
	// If the borrower has just started too, all nodes were down, and no fallback owner has lent
	// its own initial tokens meanwhile.
	allRestarted := view.Preferred && now.Sub(time.UnixMicro(req.Boot)) < bs.tolerance.Window
	if !allRestarted {
		l.initial = max(1, successorInitialShare*bs.tolerance.of(limit))
	}
	if view.Isolated {
		l.initial = max(1, b.portion*l.initial)
	}
	l.release = max(l.release, l.initial)
	return l
}

// depth returns the capacity of the bucket and the advance.
func (bs *Buckets) depth(b *bucket, limit workspace.Allowance) float64 {
	return bs.capacity(limit, b.portion) + b.portion*b.line.policy.AdvanceShare*bs.tolerance.of(limit)
}

// windowLimit returns how many tokens this node may lend in a window.
func (bs *Buckets) windowLimit(b *bucket, limit workspace.Allowance) float64 {
	return max(1, b.portion*(limit.PerSecond*bs.tolerance.Window.Seconds()+limit.Burst))
}

// update adds what the time since the last update yielded.
func (bs *Buckets) update(now time.Time, b *bucket, limit workspace.Allowance) {
	l := b.line
	l.window.current(now)
	l.places.expire(now)
	bs.restartLine(now, b, limit)
	passed := now.Sub(l.updatedAt).Seconds()
	if passed <= 0 {
		return
	}
	earned := passed * b.portion * limit.PerSecond
	l.window.earn(l.updatedAt, now, b.portion*limit.PerSecond)
	l.updatedAt = now
	most := max(bs.capacity(limit, b.portion), l.initialTokens(now, bs.tolerance.Window))
	l.release = min(most, l.release+l.policy.ReleaseFactor*earned)
}

// restartLine counts the line as new when this owner lends a larger portion than before: other
// owners may have lent the rest of the depth until now.
func (bs *Buckets) restartLine(now time.Time, b *bucket, limit workspace.Allowance) {
	l := b.line
	portion := b.portion
	if portion > l.portion {
		b.portion = l.portion
		l.initial = max(0, bs.unlent(now, b, limit))
		b.portion = portion
		l.unknown, l.startedAt = true, now
	}
	l.portion = portion
}

// unlent returns how many tokens the window and the bucket leave. It may be negative.
func (bs *Buckets) unlent(now time.Time, b *bucket, limit workspace.Allowance) float64 {
	l := b.line
	depth := bs.depth(b, limit)
	left, lent, earned, lentSince := depth, 0.0, 0.0, 0.0
	start := l.window.newest - slotNumber(l.startedAt, l.window.slot) // slots since then
	i := l.window.newest % (slots + 1)
	for n := range int64(slots + 1) {
		s := &l.window.ring[i]
		if i--; i < 0 {
			i = slots
		}
		lent += float64(s.lent)
		earned += float64(s.earned)
		left = min(left, depth+earned-lent)
		if n == start {
			lentSince = lent
			if l.unknown {
				left = min(left, earned-lent)
			}
		}
	}
	left = min(left, bs.windowLimit(b, limit)+burstToleranceShare*b.portion*bs.tolerance.of(limit)-lent)
	if initial := l.initialTokens(now, bs.tolerance.Window); initial > 0 {
		left = max(left, initial-lentSince)
	}
	return left
}

// initialTokens returns how many tokens are lent in the first window although earlier owners
// may have lent all.
func (l *line) initialTokens(now time.Time, window time.Duration) float64 {
	if now.Sub(l.startedAt) < window {
		return l.initial
	}
	return 0
}

// lendInLine answers a request for tokens when the shared view is on.
func (bs *Buckets) lendInLine(now time.Time, b *bucket, limit workspace.Allowance, req BorrowRequest) Grant {
	l := b.line
	bs.update(now, b, limit)
	bs.takeBack(now, b, req.Returned)
	l.window.current(now).asked += float32(max(0, req.Need))
	grant := Grant{Lent: min(max(0, req.Need), bs.lendable(now, b, limit, 0))}
	l.spend(now, grant.Lent)
	refused := req.Need - grant.Lent
	if refused > 0 {
		l.refusedAt = now
		b.refused.add(now, float64(refused), usageTimeConstant)
		grant.Wait, grant.Step = bs.giveOutPlaces(now, b, limit, refused)
	}
	grant.Exceeding = b.exceeding(now, limit)
	if refused <= 0 && !grant.Exceeding {
		grant.Lent += bs.lendAhead(now, b, limit, req.Prefetch)
	}
	b.tokens = max(0, bs.unlent(now, b, limit))
	b.lent.add(now, float64(grant.Lent), usageTimeConstant)
	grant.Used = int(l.window.lent())
	return grant
}

// takeBack takes unused tokens back.
func (bs *Buckets) takeBack(now time.Time, b *bucket, n int) {
	if n <= 0 {
		return
	}
	b.line.window.takeBack(float32(n))
	b.line.release += float64(n)
}

// lendable returns how many tokens may be lent now if some are kept back.
func (bs *Buckets) lendable(now time.Time, b *bucket, limit workspace.Allowance, keep int) int {
	return max(0, int(min(b.line.release, bs.unlent(now, b, limit)))-keep)
}

func (l *line) spend(now time.Time, n int) {
	l.window.current(now).lent += float32(n)
	l.release -= float64(n)
}

// lendAhead lends tokens for requests that are expected, as long as the bucket without the
// advance is over prefetchThreshold.
func (bs *Buckets) lendAhead(now time.Time, b *bucket, limit workspace.Allowance, ahead int) int {
	advance := bs.depth(b, limit) - bs.capacity(limit, b.portion)
	keep := int(advance+prefetchThreshold*b.portion*limit.Burst) + b.line.places.total()
	n := min(max(0, ahead), bs.lendable(now, b, limit, keep))
	b.line.spend(now, n)
	return n
}

// giveOutPlaces gives places in line to refused requests. wait is the time of the first place and
// step the time to each further one. Nobody is given a place after maxWait.
func (bs *Buckets) giveOutPlaces(now time.Time, b *bucket, limit workspace.Allowance, refused int) (wait, step time.Duration) {
	l := b.line
	rate := b.portion * limit.PerSecond
	if rate <= 0 {
		return maxWait, 0
	}
	left := bs.unlent(now, b, limit)
	step = seconds(1 / rate)
	given := l.places.total()
	for n := range refused {
		place := float64(given + n + 1)
		due := max(minRefusalTime, seconds((place-left)/rate), seconds((place-l.release)/(l.policy.ReleaseFactor*rate)))
		if due > maxWait {
			break
		}
		l.places.add(now.Add(due), 1)
		if n == 0 {
			wait = due
		}
	}
	if wait == 0 {
		return maxWait, 0
	}
	return wait, step
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// exceeding reports whether the workspace asks for more than its allowance: its requests were over the
// rate during the last second, and tokens were refused in it. A fallback owner
// that lends little in place of a reachable preferred owner does not know.
func (b *bucket) exceeding(now time.Time, limit workspace.Allowance) bool {
	l := b.line
	if b.portion <= fallbackPortion || l.refusedAt.IsZero() || now.Sub(l.refusedAt) > exceedingTime {
		return false
	}
	return l.window.asked(exceedingTime) > b.portion*limit.PerSecond
}
