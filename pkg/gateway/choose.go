package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
)

// demand estimates what the request needs. The caller's own figures are all that is known if
// the service has no engines.
func (s *streamRun) demand() pathing.Demand {
	e := s.j.service.Engine
	d := pathing.Demand{
		Prompt:     float64(s.j.req.PromptTokens),
		Answer:     float64(s.j.req.AnswerTokensHint),
		HomeDomain: s.g.domain,
	}
	if e != nil && d.Prompt <= 0 {
		d.Prompt = float64(e.Prompt)
	}
	if e != nil && d.Answer <= 0 {
		d.Answer = float64(e.Answer)
	}
	if most := float64(s.j.req.MaxAnswerTokens); most > 0 {
		d.Answer = min(d.Answer, most)
	}
	return d
}

// candidates returns the endpoints that hold layers and may be called now, with their
// load, except those for which skip returns true. It includes full ones only if withFull
// is set.
func (s *streamRun) candidates(skip func(e *fleet.Endpoint) bool) []pathing.Candidate {
	skipFull := !s.withFull && s.g.full.HasAny()
	if !skipFull && !s.g.backoffs.HasAny() && !s.g.permits.HasLimits() {
		return s.allCandidates(skip)
	}
	return s.allCandidates(func(e *fleet.Endpoint) bool {
		return skipFull && s.g.full.Remaining(e.ID) > 0 || s.g.backoffs.Remaining(e.ID) > 0 || !s.g.permits.MayCall(e.ID) || skip(e)
	})
}

// allCandidates is candidates, but includes endpoints that are in backoff or for which
// this host holds no permit.
func (s *streamRun) allCandidates(skip func(e *fleet.Endpoint) bool) []pathing.Candidate {
	list := s.g.source.Endpoints(s.j.service.Name)
	out := make([]pathing.Candidate, 0, len(list))
	for i := range list {
		e := &list[i]
		if e.Layers.Len() <= 0 || e.Loading || e.Silent || skip(e) {
			continue
		}
		if s.suspended != nil && s.g.tracker.Silent(e.ID) {
			continue // nothing is gained there
		}
		own := s.g.tracker.Load(e.ID)
		others := s.g.source.PeerLoad(e.ID)
		out = append(out, pathing.Candidate{
			ID:       e.ID,
			Address:  e.Address,
			Domain:   e.Domain,
			Kind:     e.Kind,
			Layers:   e.Layers,
			Requests: float64(own.Requests + others.Requests),
			Tokens:   float64(own.Tokens + others.Tokens),
			Slowdown: e.Slowdown,
			Wait:     s.g.waits.estimate(e.ID),
		})
	}
	return out
}

// jitter returns a random factor for the cost of an endpoint. It varies more for
// streams that were interrupted: many of them look for a new path at once, before the
// loads can show it.
func (s *streamRun) jitter() float64 {
	width := jitterWidth
	if s.attempts > 0 {
		width = resumeJitterWidth
	}
	return 1 - width + 2*width*rand.Float64()
}

// choosePath finds a path and takes it, waiting for one if that is worthwhile. While
// some endpoints may not have announced themselves yet, it waits up to discoveryWait for
// a path within one failure domain before it takes one that crosses domains.
func (s *streamRun) choosePath(ctx context.Context) *failure.Error {
	for {
		if s.suspendedGoesOn() {
			return errOvertaken
		}
		changed := s.g.source.Changed()
		path, e := s.findPath()
		if e == nil && (pathing.DomainCrossings(path) == 0 || s.g.source.Settled()) {
			if !s.g.acquireCalls(endpointIDs(path)...) {
				continue // another request took a permit, or the call in a backoff
			}
			s.setPath(path)
			return nil
		}
		if e != nil && s.requestPathPermits(ctx) {
			continue
		}
		if e != nil && s.permitAvailableIn > 0 {
			e = s.g.noPermitError(s.permitAvailableIn)
		}
		if s.g.awaitEndpoints(ctx, s.j.req, changed) || s.awaitCapacity(ctx, e) {
			continue
		}
		if e == nil && !s.g.acquireCalls(endpointIDs(path)...) {
			continue
		}
		if e == nil {
			s.setPath(path)
		}
		return e
	}
}

const (
	// capacityWait is how long an interrupted stream waits for a path with free
	// capacity. Its caller gives it up after a gap of two seconds, of which a third may
	// be over by then.
	capacityWait = 900 * time.Millisecond
	// capacityPollInterval is how often it looks for a path meanwhile. Memory is freed
	// with every stream that ends, a few dozen each second.
	capacityPollInterval = 100 * time.Millisecond
)

// awaitCapacity pauses before a stream that was interrupted looks for a path again, and
// reports whether it should. When an endpoint is lost, all its streams move to the
// others at once, which have no free capacity for a moment.
func (s *streamRun) awaitCapacity(ctx context.Context, e *failure.Error) bool {
	if e == nil || s.attempts == 0 || s.capacityWaited >= capacityWait {
		return false
	}
	s.capacityWaited += capacityPollInterval
	select {
	case <-s.g.svc.After(capacityPollInterval):
	case it := <-s.suspendedItems():
		s.handleSuspended(it)
	case <-ctx.Done():
		return false
	}
	s.forgetRefusals()
	return true
}

// findPath returns a path without the endpoints that failed this request and those that
// this host avoids. If there is none, it allows the avoided ones, then full ones if the
// stream may use those, and then endpoints in backoff that may be called once
// nevertheless. If the links between failure domains have no bandwidth left for the path,
// the path must stay in one failure domain.
func (s *streamRun) findPath() ([]fleet.Stage, *failure.Error) {
	e := s.j.service.Engine
	if e == nil {
		return s.chooseSingle()
	}
	strict := s.candidates(func(p *fleet.Endpoint) bool { return s.failed(p.ID) || s.g.tracker.Avoided(p.ID) })
	path := pathing.Choose(e, strict, s.demand(), s.jitter)
	loose := func() []fleet.Stage {
		return pathing.Choose(e, s.candidates(func(p *fleet.Endpoint) bool { return s.failed(p.ID) }), s.demand(), s.jitter)
	}
	if path == nil {
		path = loose()
	}
	if path == nil && s.mayUseFull() {
		path = s.includingFull(loose)
	}
	if path == nil || !pathing.CoversAllLayers(e, path) {
		path = s.lastChoicePath()
	}
	if path == nil {
		return nil, s.noPathError()
	}
	d := s.demand()
	if s.g.links.tryTake(e, path, d.Prompt+d.Answer, s.g.source.HostCount()) {
		return path, nil
	}
	d.SingleDomain = true
	if path = pathing.Choose(e, strict, d, s.jitter); path == nil {
		return nil, failure.New(failure.Overloaded, "the pipes between failure domains are full").WithRetryAfter(linkRetryAfter)
	}
	return path, nil
}

// linkRetryAfter is the retry-after time of requests that are refused because the
// inter-domain links are saturated. The endpoint whose loss makes paths cross domains
// is replaced within one to five seconds.
const linkRetryAfter = time.Second

// failed reports whether an endpoint failed or refused this request.
func (s *streamRun) failed(id string) bool {
	return s.failedIDs[id] || s.refusedIDs[id]
}

// noPathError returns the failure for a request for which there is no path, with the
// reason.
func (s *streamRun) noPathError() *failure.Error {
	if e := s.fullError(); e != nil {
		return e
	}
	if left := s.backoffRemaining(); left > 0 {
		return s.g.backoffError(left)
	}
	withLayers := 0
	silent := 0
	list := s.g.source.Endpoints(s.j.service.Name)
	for i := range list {
		if list[i].Layers.Len() > 0 {
			withLayers++
		}
		if list[i].Silent {
			silent++
		}
	}
	return failure.New(failure.NoChain, "no path over every layer: %d endpoints, %d with layers, %d silent, %d failed this request",
		len(list), withLayers, silent, len(s.failedIDs)+len(s.refusedIDs)).WithRetryAfter(baseRetryAfter)
}

// chooseSingle chooses an endpoint of a service each of whose endpoints runs a request
// alone.
func (s *streamRun) chooseSingle() ([]fleet.Stage, *failure.Error) {
	tried := map[string]bool{}
	for _, e := range s.g.source.Endpoints(s.j.service.Name) {
		tried[e.ID] = s.failed(e.ID)
	}
	e, ok := s.g.pick(s.j.service.Name, func(id string) bool { return !tried[id] })
	if !ok && s.sends == 0 {
		e, ok = s.g.lastChoice(s.j.service.Name, tried)
	}
	if !ok {
		return nil, s.noPathError()
	}
	return []fleet.Stage{{
		ID:      e.ID,
		Address: e.Address,
		Domain:  e.Domain,
	}}, nil
}

// setPath makes path the current one and counts the request as load of each of its
// endpoints.
func (s *streamRun) setPath(path []fleet.Stage) {
	s.release()
	s.path = path
	s.permitRequests = 0
	s.permitAvailableIn = 0
	tokens := 0
	if s.j.service.Engine != nil {
		d := s.demand()
		tokens = int(d.MeanKVTokens())
	}
	for _, p := range path {
		s.releases = append(s.releases, s.g.tracker.Begin(p.ID, tokens))
	}
}
