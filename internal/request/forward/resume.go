package forward

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/connection/origins"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/version/route"
)

const (
	// defaultReturnWindow is returnWindow for a route without a timeout.
	defaultReturnWindow = 2 * time.Minute
	// minFindWait is the least time for which other nodes are asked at which version a stream
	// began: a datagram to another region and back takes up to 50 ms.
	minFindWait = 100 * time.Millisecond
	// unknownRetryAfter is the Retry-After of a caller whose stream no node that replied knows
	// while others did not reply or have just started.
	unknownRetryAfter = 300 * time.Millisecond
	// recordCheckInterval is the time between two checks whether the version of a stream has to
	// be recorded, because a second version was listed. It is short compared with the time
	// after which streams begin at that one.
	recordCheckInterval = 200 * time.Millisecond
)

// returnWindow returns how long after the last event of an attempt its caller may return: an
// attempt ends with the route's timeout, and a caller that is still there then may wait as
// long again.
func returnWindow(r *route.Route) time.Duration {
	if r.Timeout <= 0 {
		return defaultReturnWindow
	}
	return 2 * r.Timeout
}

// stream identifies the stream whose first event an attempt of the request's caller brought.
func stream(req *Request, attemptID string) origins.Stream {
	return origins.Stream{Workspace: req.Workspace, Service: req.Service, ID: attemptID, Window: returnWindow(req.Route)}
}

// findOrigin sets at which version the stream began that a caller resumes. The error refuses a
// stream whose version is not known: at any other version it could not continue.
func (f *Forwarder) findOrigin(ctx context.Context, req *Request, p *progress) error {
	if req.ResumeAfter <= 0 {
		return nil
	}
	found := f.Origins.Find(ctx, stream(req, req.Resumes), max(minFindWait, req.Route.GapObjective))
	f.Log.Resumes(req, found)
	p.origin = found.Origin
	if _, known := p.origin.Version(); known {
		return nil
	}
	err := errkind.OriginUnknown.New("the version that began the stream is not known")
	if found.Asked == 0 || found.Replied < found.Asked || found.Starting {
		err = errkind.WithRetryAfter(err, unknownRetryAfter)
	}
	return err
}

// bound reports whether a request continues a stream that only some of the targets may take.
// It is not queued behind new requests, which any target may take.
func (f *Forwarder) bound(req *Request, p *progress) bool {
	return p.origin.Begun() && f.Targets.SeveralVersions(req.Service)
}

// recordOrigin records the version of a stream before the caller gets the next event of it,
// unless any node can derive the version. A caller that returns names its first attempt.
func (f *Forwarder) recordOrigin(req *Request, p *progress) {
	now := f.Now()
	if !req.Route.Resumable || p.recorded || now.Sub(p.recordChecked) < recordCheckInterval {
		return
	}
	p.recordChecked = now
	v, known := p.origin.Version()
	if !known || f.Origins.Derivable(req.Service, returnWindow(req.Route)) {
		return
	}
	p.recorded = true
	f.Origins.Record(stream(req, req.ID), v)
	if req.Resumes != "" {
		f.Origins.Record(stream(req, req.Resumes), v)
	}
}
