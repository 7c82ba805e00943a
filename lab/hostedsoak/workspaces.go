package hostedsoak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

// Keys of the workspaces. rotatingKey, with the request IDs "passing", is only in every
// second version of the configuration.
const (
	steadyKey   = "steady-key"
	otherKey    = "other-key"
	tightKey    = "tight-key"
	rotatingKey = "passing-key"
)

const (
	// tightRate (requests per second) and tightBurst are the allowance of a workspace that
	// sends three times as much. tightWindow, tightTolerance and tightSlack are the nodes'
	// defaults for the excess that is tolerated.
	tightRate      = 20
	tightBurst     = 20
	tightInterval  = time.Second / (3 * tightRate)
	tightWindow    = 5 * time.Second
	tightTolerance = 1.1
	tightSlack     = 10
	// rotatingKeyInterval is the time between requests with rotatingKey.
	rotatingKeyInterval = 100 * time.Millisecond
)

// workspaces adds the workspaces to a version of the configuration.
func workspaces(version int) func(map[string]any) {
	steady := []string{steadyKey}
	if hasRotatingKey(version) {
		steady = append(steady, rotatingKey)
	}
	return hosted.WithWorkspaces(hosted.Workspace{Name: "steady", Keys: steady}, hosted.Workspace{Name: "other", Keys: []string{otherKey}},
		hosted.Workspace{Name: "tight", Keys: []string{tightKey}, PerSecond: tightRate, Burst: tightBurst})
}

func hasRotatingKey(version int) bool { return version%2 == 1 }

// sendTight and sendRotatingKey send requests that checkWorkspaces checks at the end: the
// first by their rate, the second by their key.
func (l *load) sendTight(n int) { l.sendForCheck(fmt.Sprintf("s%d-tight%d", l.seed, n), tightKey) }
func (l *load) sendRotatingKey(n int) {
	l.sendForCheck(fmt.Sprintf("s%d-passing%d", l.seed, n), rotatingKey)
}

func (l *load) sendForCheck(id, key string) {
	switch status, _, err := l.send(l.pickNode(), hosted.StreamPath, id, key); {
	case err != nil:
	case saysNotRun(status) || status == http.StatusUnauthorized:
		l.history.recordRefusal(id, fmt.Sprint("status ", status))
	}
}

// checkIsolation checks that jobs cannot be read with the key of another workspace.
func (l *load) checkIsolation() {
	for _, j := range l.jobs {
		if _, status := hosted.ReadResultsWithKey(l.pickNode().callers.Address(), j.id, otherKey, 0); status == http.StatusOK {
			l.history.violate("job %s was read with the key of another workspace", j.id)
		}
	}
}

// checkWorkspaces checks the workspaces, keys and rates of the requests that runners
// received. The caller holds h.mu.
func checkWorkspaces(f *fleet, h *history, violate func(format string, args ...any)) {
	var tight []time.Time
	for _, r := range f.runners {
		for _, s := range r.RunStarts() {
			switch header := r.Header(s.RequestID); {
			case header.Get("Authorization") != "":
				violate("request %s reached %s with its key", s.RequestID, r.ID)
			case strings.Contains(s.RequestID, "-tight"):
				tight = append(tight, s.At)
				if header.Get("X-Marblepond-Tenant") != "tight" {
					violate("request %s of workspace tight reached %s as one of %q", s.RequestID, r.ID, header.Get("X-Marblepond-Tenant"))
				}
			case strings.Contains(s.RequestID, "-passing"):
				if removed, removedAt := h.rotatingKeyRemoved(s.At); removed && s.At.Sub(removedAt) > inForceWithin+versionPollInterval && h.faultFreeLocked(removedAt, s.At, ConfigChange, HangupNode) {
					violate("request %s started %v after its key was removed", s.RequestID, s.At.Sub(removedAt))
				}
			}
		}
	}
	if most, allowed := hosted.MaxInWindow(tight, tightWindow), (tightRate*tightWindow.Seconds()+tightBurst*h.burstsLocked())*tightTolerance+tightSlack; float64(most) > allowed {
		violate("%d requests of workspace tight started within %v; at most %.0f are allowed", most, tightWindow, allowed)
	}
}

// burstsLocked returns how many bursts a workspace may have within tightWindow: nodes that are all
// killed, twice in a release of all runners, forget what they have let pass. The caller holds h.mu.
func (h *history) burstsLocked() float64 {
	for _, s := range h.faults {
		if s.fault.Kind == ReleaseAll {
			return 3
		}
	}
	return 1
}

// rotatingKeyRemoved reports whether the newest configuration at a time lacked rotatingKey,
// and since when. The caller holds h.mu.
func (h *history) rotatingKeyRemoved(at time.Time) (removed bool, since time.Time) {
	for _, v := range h.versions {
		if v.at.Before(at) {
			removed, since = !hasRotatingKey(v.version), v.at
		}
	}
	return removed, since
}
