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

// send sends a call, and takes what the answer says of an endpoint at once, whether or
// not anybody still waits for the answer: each answer that tells of a leave or a rest is
// heard here, and each choice of endpoints heeds it.
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
	return a, err
}

// observeAnswer takes the word of an answer. Where it names another endpoint at fault, the
// leave may be of either. Booked on the wrong one it would keep that from every host until
// it starts again; so both are avoided for a moment only, and as suspects they are asked
// by the leader: each of them tells of itself then.
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

// stageLeaving is why endpoints are avoided that share a path of which one leaves.
const stageLeaving = "it or another on the path leaves"

// noticeSubject returns the endpoint that an answer's word is about: the one that it names as
// at fault, or else who gave it. Empty: that can't be told.
func (g *Gateway) noticeSubject(j *job, c *Call, a *Answer) string {
	switch {
	case a.FaultAddress == "" && a.Misdirected:
		return "" // another endpoint is at the address
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

// observeNotice takes what an endpoint says of itself: a rest is for this host alone, a leave is
// for all of them.
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

// acquireLastChoice reports whether an endpoint may be called as the last choice now, and counts
// and logs it if that is in its rest.
func (g *Gateway) acquireLastChoice(id string) bool {
	left := g.backoffs.Remaining(id)
	if !g.backoffs.TryAcquire(id) {
		return false
	}
	if left > 0 {
		g.metrics.Counter("calls_in_rest").Inc(1)
		g.log.Event(eventlog.CallInRest, eventlog.Str("endpoint", id), eventlog.Ms("left_ms", left))
	}
	return true
}

// backoffRetryJitter is the part of a rest by which callers are told to come back later than its
// end: those that were refused together must not return together.
const backoffRetryJitter = 0.25

// lengthen returns a time that is somewhat longer.
func lengthen(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + backoffRetryJitter*rand.Float64()))
}

// backoffError refuses a request at once for which every endpoint rests: held until the rest
// is over, it would only come with all others.
func (g *Gateway) backoffError(left time.Duration) *failure.Error {
	return failure.New(failure.Overloaded, "the endpoints asked for rest").WithRetryAfter(max(baseRetryAfter, lengthen(left)))
}

// backoffRemaining returns how long it takes until an endpoint of a service may be called; 0 if
// one may be now, or there is none.
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

// backoffRemaining returns how long it takes until endpoints that rest make a path whole; 0 if
// no rest stands in the way, or not rests alone.
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

// pathUsing returns a whole path over endpoints that fit, whether they rest or not; those
// that had no room for this request just now may have it later.
func (s *streamRun) pathUsing(fits func(id string) bool) []fleet.Stage {
	e := s.j.service.Engine
	list := s.allCandidates(func(p *fleet.Endpoint) bool { return s.failedIDs[p.ID] || !fits(p.ID) })
	path := pathing.Choose(e, list, s.demand(), s.jitter)
	if path == nil || !pathing.CoversAllLayers(e, path) {
		return nil
	}
	return path
}

// lastChoicePath returns a path over endpoints that rest, where there is no other for a stream
// that wasn't sent yet, and counts that they are called in their rests.
func (s *streamRun) lastChoicePath() []fleet.Stage {
	if s.sends > 0 || !s.g.backoffs.HasAny() {
		return nil
	}
	path := s.pathUsing(func(id string) bool { return s.g.backoffs.MayCall(id) && s.g.permits.MayCall(id) })
	for _, p := range path {
		if !s.g.acquireLastChoice(p.ID) {
			return nil // another stream was before this one
		}
	}
	return path
}
