package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
)

// send sends a call and records at once what the endpoint reports with its answer,
// whether or not anybody still waits for the answer. Every later choice of endpoints
// takes these notices into account.
func (g *Gateway) send(ctx context.Context, j *job, c *Call) (*Answer, error) {
	g.countLimitedCall("request", c.ID)
	for _, p := range c.Path[min(1, len(c.Path)):] {
		g.countLimitedCall("part", p.ID)
	}
	sent := g.svc.Now()
	a, err := g.client.Send(ctx, c)
	var sendErr *SendError
	switch {
	case err == nil:
		g.observeAnswer(j, c, a, sent)
	case errors.As(err, &sendErr):
		g.observeNotice(c.ID, sendErr.Notice)
		g.observeLimit(j.service.Name, c.ID, sendErr.Notice.Limit, sent)
	}
	g.observeCapacity(j, c, a)
	return a, err
}

// observeAnswer records the notice of an answer. If the answer names another endpoint
// as at fault, either of the two may be the one that is leaving. Recording that for the
// wrong one would keep all hosts from using it until it restarts. So both are only
// avoided for a moment, and the leader probes avoided endpoints: each of them then
// reports its own state.
func (g *Gateway) observeAnswer(j *job, c *Call, a *Answer, sent time.Time) {
	subject := g.noticeSubject(j, c, a)
	n := a.Notice
	g.observeAnswerLimit(j, c, subject, n.Limit, sent)
	if n.Leaving && subject != c.ID {
		n.Leaving = false
		g.tracker.RecordFailure(c.ID, stageLeaving)
		if subject != "" {
			g.tracker.RecordFailure(subject, stageLeaving)
		}
	}
	g.observeNotice(subject, n)
}

// stageLeaving is the reason given for avoiding the endpoints of a path of which one is
// leaving.
const stageLeaving = "it or another on the path leaves"

// noticeSubject returns the endpoint that an answer's notice is about: the one named as
// at fault, or else the one that answered. It returns an empty string if that is
// unknown.
func (g *Gateway) noticeSubject(j *job, c *Call, a *Answer) string {
	switch {
	case a.FaultAddress == "" && a.Misdirected:
		return "" // another endpoint is at the address now
	case a.FaultAddress == "" || a.FaultAddress == c.Address:
		return c.ID
	}
	for _, p := range c.Path {
		if p.Address == a.FaultAddress {
			return p.ID
		}
	}
	for _, e := range g.source.Endpoints(j.service.Name) {
		if e.Address == a.FaultAddress {
			return e.ID
		}
	}
	return ""
}

// observeNotice records what an endpoint reports of itself. A backoff applies to this
// host only, leaving to all hosts.
func (g *Gateway) observeNotice(id string, n fleet.Notice) {
	if id == "" {
		return
	}
	if n.Leaving {
		g.source.MarkLeaving(id)
	}
	if n.Backoff <= 0 {
		return
	}
	g.backoffs.Record(id, n.Backoff)
	g.metrics.Counter("rests_asked").Inc(1)
	g.log.Event(eventlog.EndpointResting, eventlog.Str("endpoint", id), eventlog.Ms("for_ms", n.Backoff))
}

// acquireCalls acquires what calls to these endpoints need, all or none: permits, and the one
// call that an endpoint in backoff may get. It reports whether the calls must be made now.
func (g *Gateway) acquireCalls(ids ...string) bool {
	if !g.backoffs.TryAcquire(ids...) {
		return false
	}
	if !g.permits.TryAcquire(ids...) {
		g.backoffs.Release(ids...)
		return false
	}
	for _, id := range ids {
		if left := g.backoffs.Remaining(id); left > 0 {
			g.metrics.Counter("calls_in_rest").Inc(1)
			g.log.Event(eventlog.CallInRest, eventlog.Str("endpoint", id), eventlog.Ms("left_ms", left))
		}
	}
	return true
}

// backoffRetryJitter is the part of a backoff by which retry-after times are lengthened
// at most, so that callers that were refused together do not retry together.
const backoffRetryJitter = 0.25

// lengthen returns d, lengthened by a random part.
func lengthen(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + backoffRetryJitter*rand.Float64()))
}

// backoffError returns the failure for a request all of whose endpoints are in backoff.
// It is refused at once: if it was delayed until the backoff ends, it would only arrive
// together with all others.
func (g *Gateway) backoffError(left time.Duration) *failure.Error {
	return failure.New(failure.Overloaded, "the endpoints asked for rest").WithRetryAfter(max(baseRetryAfter, lengthen(left)))
}

// backoffRemaining returns the time until the first endpoint of a service is out of
// backoff; 0 if one is now, or if there is no endpoint.
func (g *Gateway) backoffRemaining(service string) time.Duration {
	shortest := time.Duration(0)
	for _, e := range g.source.Endpoints(service) {
		left := g.backoffs.Remaining(e.ID)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// backoffRemaining returns the time until enough endpoints are out of backoff for a
// complete path; 0 if no backoff prevents one, or not only backoffs do.
func (s *streamRun) backoffRemaining() time.Duration {
	if s.j.service.Engine == nil {
		return s.g.backoffRemaining(s.j.service.Name)
	}
	var remaining []time.Duration
	for _, e := range s.g.source.Endpoints(s.j.service.Name) {
		if left := s.g.backoffs.Remaining(e.ID); left > 0 && !s.failedIDs[e.ID] {
			remaining = append(remaining, left)
		}
	}
	slices.Sort(remaining)
	n := sort.Search(len(remaining), func(i int) bool {
		return s.pathUsing(func(id string) bool { return s.g.backoffs.Remaining(id) <= remaining[i] }) != nil
	})
	if n == len(remaining) {
		return 0
	}
	return remaining[n]
}

// pathUsing returns a complete path over endpoints for which fits returns true, also if
// they are in backoff. It allows endpoints that had no free capacity for this request,
// because they may have some later.
func (s *streamRun) pathUsing(fits func(id string) bool) []fleet.Stage {
	e := s.j.service.Engine
	list := s.allCandidates(func(p *fleet.Endpoint) bool { return s.failedIDs[p.ID] || !fits(p.ID) })
	path := pathing.Choose(e, list, s.demand(), s.jitter)
	if path == nil || !pathing.CoversAllLayers(e, path) {
		return nil
	}
	return path
}

// lastChoicePath returns a path over endpoints that may be called in spite of a
// backoff, for a stream that was not sent yet and has no other path.
func (s *streamRun) lastChoicePath() []fleet.Stage {
	if s.sends > 0 || !s.g.backoffs.HasAny() {
		return nil
	}
	return s.pathUsing(func(id string) bool {
		return s.g.backoffs.MayCall(id) && s.g.permits.MayCall(id) && !s.leftOut(id)
	})
}
