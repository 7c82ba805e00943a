package hostedsoak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

// Keys of the workspaces in a soak. passingKey is a key that every second version of the
// configuration has and the others have not.
const (
	steadyKey  = "steady-key"
	otherKey   = "other-key"
	tightKey   = "tight-key"
	passingKey = "passing-key"
)

const (
	// tightRate and tightBurst are the allowance of a workspace that asks for three times
	// as much, and tightWindow and tightOver what the nodes' defaults tolerate.
	tightRate   = 20
	tightBurst  = 20
	tightEvery  = time.Second / (3 * tightRate)
	tightWindow = 5 * time.Second
	tightOver   = 1.1
	tightSlack  = 10
	// passingEvery is the time between requests with the key that comes and goes.
	passingEvery = 100 * time.Millisecond
)

// workspaces adds them to a version of the configuration.
func workspaces(version int) func(map[string]any) {
	steady := []string{steadyKey}
	if hasPassingKey(version) {
		steady = append(steady, passingKey)
	}
	return hosted.WithWorkspaces(hosted.Workspace{Name: "steady", Keys: steady}, hosted.Workspace{Name: "other", Keys: []string{otherKey}},
		hosted.Workspace{Name: "tight", Keys: []string{tightKey}, PerSecond: tightRate, Burst: tightBurst})
}

func hasPassingKey(version int) bool { return version%2 == 1 }

// tight and passing send requests whose number, and whose key, is judged by what runners
// saw.
func (l *load) tight(n int)   { l.judgedLater(fmt.Sprintf("s%d-tight%d", l.seed, n), tightKey) }
func (l *load) passing(n int) { l.judgedLater(fmt.Sprintf("s%d-passing%d", l.seed, n), passingKey) }

func (l *load) judgedLater(id, key string) {
	switch status, _, err := l.ask(l.pick(), hosted.StreamPath, id, key); {
	case err != nil:
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusUnauthorized:
		l.history.refuse(id, fmt.Sprint("status ", status))
	}
}

// checkWalls reads jobs with the key of another workspace.
func (l *load) checkWalls() {
	for _, j := range l.jobs {
		if _, status := hosted.ReadResultsWithKey(l.pick().callers.Address(), j.id, otherKey, 0); status == http.StatusOK {
			l.history.violate("job %s was read with the key of another workspace", j.id)
		}
	}
}

// checkWorkspaces checks what runners saw of workspaces. The caller holds h.mu.
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
					violate("request %s of tight reached %s as of %q", s.RequestID, r.ID, header.Get("X-Marblepond-Tenant"))
				}
			case strings.Contains(s.RequestID, "-passing"):
				if gone, since := h.passingGone(s.At); gone && s.At.Sub(since) > inForceWithin+versionPoll && h.calmLocked(since, s.At, ConfigChange, HangupNode) {
					violate("request %s began %v after its key was taken away", s.RequestID, s.At.Sub(since))
				}
			}
		}
	}
	if most, allowed := hosted.MaxInWindow(tight, tightWindow), (tightRate*tightWindow.Seconds()+tightBurst)*tightOver+tightSlack; float64(most) > allowed {
		violate("%d requests of tight began within %v, %.0f may", most, tightWindow, allowed)
	}
}

// passingGone reports whether the configuration in force at a time had not the key that
// comes and goes, and since when. The caller holds h.mu.
func (h *history) passingGone(at time.Time) (gone bool, since time.Time) {
	for _, v := range h.versions {
		if v.at.Before(at) {
			gone, since = !hasPassingKey(v.version), v.at
		}
	}
	return gone, since
}
