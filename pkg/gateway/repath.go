package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
)

// errResendElsewhere says that a stream should be sent anew on another path, because it
// cannot be repathed, or because the other path has fewer domain crossings. An endpoint
// that joins a path in another domain needs all tokens so far, which would have to cross
// a link that all streams share.
var errResendElsewhere = errors.New("no other endpoint in the failure domain; continued elsewhere")

// repath replaces the endpoint at address in the path if it is not the first one and
// another path is found and accepted. Its error says that the stream should be sent elsewhere.
func (s *streamRun) repath(ctx context.Context, address string) error {
	if address == s.path[0].Address {
		return nil
	}
	s.exclude(s.path, address)
	firstInBackoff := s.g.backoffs.Remaining(s.path[0].ID) > 0 // then it must not be called with a new path
	for range repathTries {
		var path []fleet.Stage
		if !firstInBackoff {
			path = s.replacementPath()
		}
		if path == nil && !firstInBackoff {
			path = s.includingFull(s.replacementPath)
		}
		if s.betterElsewhere(path) {
			return errResendElsewhere
		}
		if path == nil || s.offerPath(ctx, path, address) {
			return nil
		}
	}
	return nil
}

// replacementPath returns a path without the endpoints that failed this request, which
// keeps the other stages unless it would cross more failure domains. It returns nil if there
// is none.
func (s *streamRun) replacementPath() []fleet.Stage {
	path := s.pathAround(s.isExcluded)
	if path == nil || pathing.DomainCrossings(path) > pathing.DomainCrossings(s.path) {
		path = s.pathFrom(&s.path[0])
	}
	return path
}

// repathTries is how many paths are offered at once. The first may be rejected because
// an endpoint on it has no free capacity or was lost too.
const repathTries = 2

// repathTimeout limits the call that offers a path.
const repathTimeout = 200 * time.Millisecond

// isExcluded reports whether the endpoint of a stage failed this request.
func (s *streamRun) isExcluded(p fleet.Stage) bool {
	return s.failedIDs[p.ID]
}

// offerPath calls the first endpoint with a new path that avoids the endpoint at
// address, and reports whether it accepted the path.
func (s *streamRun) offerPath(ctx context.Context, path []fleet.Stage, address string) bool {
	first := s.path[0]
	if s.g.backoffs.Remaining(first.ID) > 0 || !s.acquireRepathPermits(path) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, repathTimeout)
	defer cancel()
	s.g.countLimitedCall("repath", first.ID)
	sent := s.g.svc.Now()
	err := s.g.client.Repath(ctx, first.Address, s.j.req.ID, path)
	s.g.log.Event(eventlog.StreamRepathed, eventlog.Str("request", s.j.req.ID), eventlog.Str("around", address), eventlog.Err(err))
	if err == nil {
		s.setPath(path)
		s.liveness.followPath()
		return true
	}
	call := &Call{
		ID:      first.ID,
		Address: first.Address,
		Path:    path,
	}
	var rejected *fleet.RejectedError
	if errors.As(err, &rejected) {
		s.g.observeAnswer(s.j, call, &Answer{
			Notice: rejected.Notice,
		}, sent)
	}
	var atStage *RepathError
	if errors.As(err, &atStage) {
		s.g.observeAnswer(s.j, call, &Answer{
			FaultAddress: atStage.Address,
			Notice:       atStage.Notice,
		}, sent)
		s.exclude(path, atStage.Address)
	}
	return false
}

// exclude keeps this request off the endpoint at address on path.
func (s *streamRun) exclude(path []fleet.Stage, address string) {
	for _, p := range path {
		if p.Address == address {
			s.failedIDs[p.ID] = true
		}
	}
}

// pathFrom returns a new path that begins with the given first stage, or with any if
// first is nil. It returns nil if there is none.
func (s *streamRun) pathFrom(first *fleet.Stage) []fleet.Stage {
	demand := s.demand()
	if first != nil {
		stage := *first
		demand.First = &stage
	}
	path := pathing.Choose(s.j.service.Engine, s.candidates(func(e *fleet.Endpoint) bool {
		return s.failed(e.ID) || s.g.tracker.Avoided(e.ID)
	}), demand, s.jitter)
	if path == nil || !pathing.CoversAllLayers(s.j.service.Engine, path) {
		return nil
	}
	return path
}

// betterElsewhere reports whether the stream should be sent anew rather than continue
// on path. If so, the new send is charged to the retry budget already.
func (s *streamRun) betterElsewhere(path []fleet.Stage) bool {
	if s.suspended != nil || !s.couldResume() || path != nil && pathing.DomainCrossings(path) == 0 {
		return false
	}
	other := s.pathFromOther()
	if other == nil || path != nil && pathing.DomainCrossings(other) >= pathing.DomainCrossings(path) {
		return false
	}
	return s.reserveRetry()
}

// pathFromOther returns a new path that begins with another endpoint than the current one, which
// stays open until the new one has brought an event. It returns nil if there is none.
func (s *streamRun) pathFromOther() []fleet.Stage {
	first := s.path[0].ID
	if !s.failedIDs[first] {
		s.failedIDs[first] = true
		defer delete(s.failedIDs, first)
	}
	return s.pathFrom(nil)
}

// pathAround returns the path of the stream with other endpoints for the stages for
// which replace returns true, and the other stages unchanged: an endpoint that joins a
// path has to process all tokens so far, while one that stays keeps its KV cache. It
// returns nil if there is nothing to replace, or if other endpoints do not cover the
// layers.
func (s *streamRun) pathAround(replace func(p fleet.Stage) bool) []fleet.Stage {
	kept, gaps := splitStages(s.path, replace)
	if len(gaps) == 0 {
		return nil
	}
	candidates := make([]pathing.Candidate, 0, len(kept))
	onPath := map[string]bool{
		s.path[0].ID: true,
	}
	for _, p := range kept {
		onPath[p.ID] = true
		candidates = append(candidates, pathing.Candidate{
			ID:      p.ID,
			Address: p.Address,
			Domain:  p.Domain,
			Layers:  p.Layers,
		})
	}
	fit := s.candidates(func(e *fleet.Endpoint) bool {
		return onPath[e.ID] || s.failed(e.ID) || s.g.tracker.Avoided(e.ID)
	})
	for _, c := range fit {
		if clipped, ok := clip(c, gaps); ok {
			candidates = append(candidates, clipped)
		}
	}
	demand := s.demand()
	demand.First = &s.path[0]
	path := pathing.Choose(s.j.service.Engine, candidates, demand, s.jitter)
	if path == nil || !pathing.CoversAllLayers(s.j.service.Engine, path) {
		return nil
	}
	return path
}

// splitStages returns the stages of a path after the first that are kept, and the layer
// ranges of those that are replaced, with adjacent ranges joined.
func splitStages(path []fleet.Stage, replace func(p fleet.Stage) bool) (kept []fleet.Stage, gaps []fleet.Range) {
	for _, p := range path[1:] {
		n := len(gaps)
		switch {
		case !replace(p):
			kept = append(kept, p)
		case n > 0 && gaps[n-1].To == p.Layers.From:
			gaps[n-1].To = p.Layers.To
		default:
			gaps = append(gaps, p.Layers)
		}
	}
	return kept, gaps
}

// clip limits a candidate to the first gap of which it holds layers, because a path may
// contain an endpoint only once.
func clip(c pathing.Candidate, gaps []fleet.Range) (pathing.Candidate, bool) {
	for _, gap := range gaps {
		from := max(c.Layers.From, gap.From)
		to := min(c.Layers.To, gap.To)
		if from < to {
			c.LayersHeld = c.Layers.Len()
			c.Layers = fleet.Range{
				From: from,
				To:   to,
			}
			return c, true
		}
	}
	return c, false
}
