package explain

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sampleLog holds a request for each outcome and three items: one in time, one late because
// it waited between attempts, and one that was never done.
const sampleLog = `collector prefix {"fields":{"request":"r1","after_ms":0},"timestamp":"2026-01-01T00:00:00Z","message":"request_dispatched"}
{"fields":{"request":"r1","events":3,"first_ms":40,"pause_ms":30},"timestamp":"2026-01-01T00:00:01Z","message":"request_answered"}
{"fields":{"request":"r2","after_ms":0},"timestamp":"2026-01-01T00:00:01Z","message":"request_dispatched"}
{"fields":{"request":"r2","cause":"broken: the target was silent for too long"},"timestamp":"2026-01-01T00:00:01.2Z","message":"request_broken"}
{"fields":{"request":"r2","after_ms":150},"timestamp":"2026-01-01T00:00:01.2Z","message":"request_dispatched"}
{"fields":{"request":"r2","events":3,"first_ms":400},"timestamp":"2026-01-01T00:00:02Z","message":"request_answered"}
{"fields":{"request":"r3","after_ms":0},"timestamp":"2026-01-01T00:00:01Z","message":"request_dispatched"}
{"fields":{"request":"r3","events":3,"first_ms":350},"timestamp":"2026-01-01T00:00:02Z","message":"request_answered"}
{"fields":{"request":"r4","after_ms":0},"timestamp":"2026-01-01T00:00:01Z","message":"request_dispatched"}
{"fields":{"request":"r4","events":3,"first_ms":35,"pause_ms":900},"timestamp":"2026-01-01T00:00:02Z","message":"request_answered"}
{"fields":{"request":"r5","after_ms":0},"timestamp":"2026-01-01T00:00:01Z","message":"request_dispatched"}
{"fields":{"request":"r5","kind":"unknown_outcome"},"timestamp":"2026-01-01T00:00:02Z","message":"request_refused"}
{"fields":{"request":"r6","kind":"no_target"},"timestamp":"2026-01-01T00:00:02Z","message":"request_refused"}
no line of a node
{"fields":{"request":"i1","job":"j","due_ms":17000},"timestamp":"2026-01-01T00:00:01Z","message":"item_sent"}
{"fields":{"request":"i2","job":"j","due_ms":17000},"timestamp":"2026-01-01T00:00:01Z","message":"item_sent"}
{"fields":{"request":"i2","cause":"online requests need the room"},"timestamp":"2026-01-01T00:00:02Z","message":"item_failed"}
{"fields":{"request":"i1","job":"j"},"timestamp":"2026-01-01T00:00:06Z","message":"item_done"}
{"fields":{"request":"j"},"timestamp":"2026-01-01T00:00:06.5Z","message":"job_committed"}
{"fields":{"request":"i2","job":"j","due_ms":1000},"timestamp":"2026-01-01T00:00:17Z","message":"item_sent"}
{"fields":{"request":"i2","job":"j"},"timestamp":"2026-01-01T00:00:21Z","message":"item_done"}
{"fields":{"request":"j"},"timestamp":"2026-01-01T00:00:21Z","message":"job_committed"}
{"fields":{"request":"i3","job":"k","due_ms":18000},"timestamp":"2026-01-01T00:00:21Z","message":"item_sent"}
{"fields":{"request":"l","cause":"the object store does not answer"},"timestamp":"2026-01-01T00:00:22Z","message":"job_refused"}
`

func TestRequestsByCause(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(sampleLog))
	is.NoErr(err)
	got := SummariseRequests(lines, Limits{FirstEvent: 300 * time.Millisecond, Pause: 250 * time.Millisecond})
	is.Equal(got, Requests{Answered: 4, Late: 3, Refused: 1, Failed: 1, ByCause: map[string]int{
		"late: sent again after: broken: the target was silent for too lo": 1, "late: queued at the target": 1, "late: the target paused": 1,
		"failed: unknown_outcome": 1, "refused: no_target": 1}})
}

func TestItemsByWhereTheirTimeWent(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(sampleLog))
	is.NoErr(err)
	got := SummariseItems(lines, 18*time.Second)
	is.Equal(got.InTime, Times{Items: 1, BeforeStart: time.Second, AtTargets: 5 * time.Second, UntilListed: 500 * time.Millisecond, Attempts: 1})
	is.Equal(got.Late, Times{Items: 1, BeforeStart: time.Second, BetweenAttempts: 15 * time.Second, AtTargets: 5 * time.Second, Attempts: 2})
	is.Equal(got.Unfinished, 1)
	is.Equal(got.Stopped, map[string]int{"online requests need the room": 1})
	is.Equal(got.Refused, map[string]int{"the object store does not answer": 1})
	var out bytes.Buffer
	is.NoErr(got.Print(&out))
	is.True(strings.Contains(out.String(), "15.00 s"))
}

func TestBrokenLineIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := Read(strings.NewReader(`{"message":"item_sent"`))
	is.True(err != nil)
}
