package hosted

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/origins"
	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/forward"
)

// requestLog implements forward.Log: it records an event for each decision, with the inputs
// of the decision.
type requestLog struct{ n *Node }

// LogRefusal records that a call was refused before its caller's workspace was known, with
// the version and the age of the configuration in force.
func (n *Node) LogRefusal(requestID, subject string, err error) {
	n.LogCallerRefusal(requestID, subject, "", err)
}

// LogCallerRefusal is LogRefusal for a call whose workspace is known.
func (n *Node) LogCallerRefusal(requestID, subject, workspace string, err error) {
	version := int64(0)
	if table := n.Table(); table != nil {
		version = table.Version
	}
	age, _ := n.cache.Age(n.adapter.Kinds.Config)
	answer := errkind.Of(err)
	n.recorder.Record(timeline.RequestRefused, requestID, subject, errkind.Message(err), field("kind", answer.Name), field("workspace", workspace),
		field("not_run", string(answer.NotRun)), field("config", version), field("config_age_ms", age.Milliseconds()), field("retry_after_ms", answer.RetryAfter.Milliseconds()))
	n.metrics.Counter("calls_refused").Inc(1)
}

// requestBuckets cover response times from a few milliseconds to the longest usual timeout.
var requestBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second,
}

// ownInFlightAt returns how many requests and items this node has in flight at a target.
func (n *Node) ownInFlightAt(t choose.Target) int {
	here := n.pool.OwnInFlight()[t.ID]
	return here.Online + here.Batch
}

func field(name string, value any) timeline.Field { return timeline.Field{Name: name, Value: value} }

func (l *requestLog) Sent(req *forward.Request, t choose.Target, resumeAfter int64) {
	fields := []timeline.Field{field("route", req.Route.Name), field("workspace", req.Workspace), field("config", req.Version), field("address", t.Addr), field("version", string(t.Version)),
		field("after_ms", l.n.clock.Since(req.Arrived).Milliseconds()), field("left_ms", l.n.clock.Until(req.Deadline).Milliseconds())}
	if resumeAfter > 0 {
		l.n.metrics.Counter("streams_resumed").Inc(1)
		fields = append(fields, field("resume_after", resumeAfter), field("resumes", req.Resumes))
	}
	l.n.recorder.Record(timeline.RequestDispatched, req.ID, t.ID, "", fields...)
	l.n.metrics.Counter("requests_sent").Inc(1)
}

func (l *requestLog) Resumes(req *forward.Request, found origins.Found) {
	version, known := found.Origin.Version()
	cause := string(found.Source)
	l.n.recorder.Record(timeline.StreamOrigin, req.ID, req.Service, cause, field("resumes", req.Resumes), field("resume_after", req.ResumeAfter), field("known", known), field("version", string(version)),
		field("record_age_ms", found.Age.Milliseconds()), field("asked", found.Asked), field("replied", found.Replied), field("took_ms", l.n.clock.Since(req.Arrived).Milliseconds()))
	if !known {
		l.n.metrics.Counter("streams_not_resumed_unknown_version").Inc(1)
	}
}

func (l *requestLog) Failed(req *forward.Request, t choose.Target, events int64, err error) {
	ran := target.FailureOf(err).MayHaveRun()
	fields := []timeline.Field{field("may_have_run", ran), field("after_ms", l.n.clock.Since(req.Arrived).Milliseconds())}
	if ran { // for correlation with other attempts at the same work or with the same parts of the prompt, and with requests lost together with it
		fields = append(fields, field("route", req.Route.Name), field("sent_ms", l.n.clock.Since(t.Sent).Milliseconds()), field("work", req.Work.ID().String()), field("events", events), field("version", string(t.Version)), field("others_there", l.n.ownInFlightAt(t)))
	}
	if target.LostConnection(err) { // only then may the target have crashed, and is the prompt decoded
		fields = append(fields, field("parts", req.Work.Parts()))
	}
	if forward.Saturated(err) { // the requests and items that this node knows at the target
		counts := l.n.pool.Counts(t.ID)
		fields = append(fields, field("online", counts.Online), field("items", counts.Items), field("yielding", counts.Yielding),
			field("others_online", counts.Elsewhere.Online), field("others_items", counts.Elsewhere.Batch))
	}
	l.n.recorder.Record(timeline.RequestBroken, req.ID, t.ID, err.Error(), fields...)
	l.n.metrics.Counter("attempts_failed").Inc(1)
	if target.Unattributed(err) {
		l.n.metrics.Counter("answers_unattributed").Inc(1)
	}
}

func (l *requestLog) Answered(req *forward.Request, t choose.Target, answer forward.AnswerSummary) {
	took := l.n.clock.Since(req.Arrived)
	l.n.recorder.Record(timeline.RequestAnswered, req.ID, t.ID, "", field("status", answer.Status), field("events", answer.Events), field("took_ms", took.Milliseconds()),
		field("first_ms", answer.FirstEvent.Milliseconds()), field("pause_ms", answer.LongestGap.Milliseconds()), field("version", string(t.Version)), field("workspace", req.Workspace))
	l.n.metrics.Counter("requests_answered").Inc(1)
	l.n.metrics.Histogram("request", requestBuckets).RecordDuration(took)
}

func (l *requestLog) Refused(req *forward.Request, err error) {
	answer := errkind.Of(err)
	l.n.recorder.Record(timeline.RequestRefused, req.ID, req.Route.Name, errkind.Message(err), field("kind", answer.Name), field("workspace", req.Workspace),
		field("not_run", string(answer.NotRun)), field("config", req.Version), field("left_ms", l.n.clock.Until(req.Deadline).Milliseconds()), field("took_ms", l.n.clock.Since(req.Arrived).Milliseconds()), field("retry_after_ms", answer.RetryAfter.Milliseconds()))
	l.n.metrics.Counter("requests_refused").Inc(1)
	switch {
	case req.ResumeAfter == 0:
	case errkind.Is(err, errkind.VersionGone):
		l.n.metrics.Counter("streams_not_resumed_version_gone").Inc(1)
	case errkind.Is(err, errkind.NoTarget):
		l.n.metrics.Counter("streams_not_resumed_no_room").Inc(1)
	}
}
