package hosted

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// PromptHeader is the header that lists the parts of a prompt, as ID:TOKENS entries.
const PromptHeader = "X-Marblepond-Prompt-Prefix"

// PartRun is the start of a run of a request with a part that crashes the runner.
type PartRun struct {
	RequestID, Part string
	At              time.Time
}

// SetCrashingParts sets the parts of prompts that crash the runner's process when it begins to
// answer a request that has one of them, other than as its last part.
func (r *Runner) SetCrashingParts(parts ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashingParts = parts
}

// PartRuns returns the starts of the runs of requests with parts that crash the runner.
func (r *Runner) PartRuns() []PartRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]PartRun(nil), r.partRuns...)
}

// PartCrashes returns the crashes that parts of prompts caused.
func (r *Runner) PartCrashes() []PartRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]PartRun(nil), r.partCrashes...)
}

func (r *Runner) recordPartCrash(h http.Header) {
	crash := PartRun{h.Get("X-Marblepond-Request-Id"), r.crashingPart(h), time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partCrashes = append(r.partCrashes, crash)
}

// crashingPart returns the part of a request that crashes the runner, "" if none does.
func (r *Runner) crashingPart(h http.Header) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashingParts) == 0 {
		return ""
	}
	entries := strings.Split(h.Get(PromptHeader), ",")
	for _, entry := range entries[:len(entries)-1] {
		if part, _, _ := strings.Cut(entry, ":"); slices.Contains(r.crashingParts, part) {
			return part
		}
	}
	return ""
}
