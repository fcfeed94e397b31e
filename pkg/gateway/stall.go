package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
)

// stallWatch asks, when a stream pauses, whether a part of its path stands
// still, and puts another in its place.
type stallWatch struct {
	s      *streamRun
	timer  <-chan time.Time
	pause  time.Duration
	asks   int
	silent int // questions in a row without an answer
}

func newStallWatch(s *streamRun) *stallWatch {
	w := &stallWatch{
		s: s,
	}
	if s.j.service.Engine != nil {
		w.wait(firstStall)
	}
	return w
}

func (w *stallWatch) wait(d time.Duration) {
	w.pause = d
	w.timer = w.s.g.svc.After(d)
}

// moved notes an event.
func (w *stallWatch) moved() {
	if w.s.j.service.Engine == nil || w.asks >= maxAsks {
		return
	}
	w.silent = 0
	w.wait(gapStall)
}

// ask finds what stands still. Its error says that the stream must be sent
// anew.
func (w *stallWatch) ask(ctx context.Context) error {
	if w.asks >= maxAsks {
		w.timer = nil
		return nil
	}
	w.asks++
	s := w.s
	first := s.path[0]
	askCtx, cancel := context.WithTimeout(ctx, stallAskTimeout)
	stalled, err := s.g.backend.Stalled(askCtx, first.Address)
	cancel()
	if err != nil {
		w.silent++
		if w.silent >= deadAfter {
			s.avoid[first.ID] = true
			s.g.tracker.Avoid(first.ID, "silent: "+err.Error())
			s.g.attemptFailed(s.j, first.ID, "silent")
			return errors.Wrap(err, "the first endpoint is silent")
		}
		w.wait(gapStall)
		return nil
	}
	w.silent = 0
	if at, ok := stalled[s.j.req.ID]; ok {
		s.avoidAt(at, "stalled")
		s.g.log.Event(eventlog.StreamStalled, eventlog.Str("request", s.j.req.ID), eventlog.Str("at", at), eventlog.Str("after", s.last))
		if err := s.repath(ctx, at); err != nil {
			return err
		}
	}
	w.wait(2 * w.pause)
	return nil
}

// avoidAt keeps new requests of this host off the part at address.
func (s *streamRun) avoidAt(address, why string) {
	for _, p := range s.path {
		if p.Address == address {
			s.g.tracker.Avoid(p.ID, why)
		}
	}
}

// errElsewhere says that a stream is better continued by other endpoints, all
// in one failure domain, than by a path that crosses domains: each token so far
// would have to cross too, and the pipe between domains is shared.
var errElsewhere = errors.New("no other endpoint in the failure domain; continued elsewhere")

// repath puts other endpoints in the place of the one at address. Its error
// says that the stream must be sent anew.
func (s *streamRun) repath(ctx context.Context, address string) error {
	if address == s.path[0].Address {
		return nil
	}
	s.shun(s.path, address)
	for range repathTries {
		path := s.pathAround(s.shunned)
		if path == nil || pathing.Crossings(path) > pathing.Crossings(s.path) {
			path = s.pathFrom(&s.path[0])
		}
		if s.betterElsewhere(path) {
			return errElsewhere
		}
		if path == nil || s.follow(ctx, path, address) {
			return nil
		}
	}
	return nil
}

// repathTries is how many paths are offered at once: one may be refused for an
// endpoint that has no room or was lost with the first.
const repathTries = 2

// shunned reports whether a part failed this request.
func (s *streamRun) shunned(p fleet.Part) bool {
	return s.avoid[p.ID]
}

// follow gives the stream a path around the part at address, and reports
// whether the first endpoint took it.
func (s *streamRun) follow(ctx context.Context, path []fleet.Part, address string) bool {
	first := s.path[0].Address
	ctx, cancel := context.WithTimeout(ctx, stallAskTimeout)
	defer cancel()
	err := s.g.backend.Repath(ctx, first, s.j.req.ID, path)
	s.g.log.Event(eventlog.StreamRepathed, eventlog.Str("request", s.j.req.ID), eventlog.Str("around", address), eventlog.Err(err))
	if err == nil {
		s.take(path)
		return true
	}
	var fault *RepathError
	if errors.As(err, &fault) {
		s.shun(path, fault.At)
	}
	return false
}

// shun keeps this request off the part of a path at address.
func (s *streamRun) shun(path []fleet.Part, address string) {
	for _, p := range path {
		if p.Address == address {
			s.avoid[p.ID] = true
		}
	}
}

// pathFrom returns a path that begins with a part that stands, or any if nil.
func (s *streamRun) pathFrom(first *fleet.Part) []fleet.Part {
	demand := s.demand()
	if first != nil {
		part := *first
		demand.First = &part
	}
	path := pathing.Choose(s.j.service.Engine, s.stages(func(e *fleet.Endpoint) bool {
		return s.failed(e.ID) || s.g.tracker.Avoided(e.ID)
	}), demand, s.jitter)
	if path == nil || !pathing.Whole(s.j.service.Engine, path) {
		return nil
	}
	return path
}

// betterElsewhere reports whether a stream should be sent anew rather than
// follow path.
func (s *streamRun) betterElsewhere(path []fleet.Part) bool {
	if !s.j.route.Resumable || s.ran+1 >= s.j.route.MaxAttempts || path != nil && pathing.Crossings(path) == 0 {
		return false
	}
	other := s.pathFrom(nil)
	if other == nil || path != nil && pathing.Crossings(other) >= pathing.Crossings(path) {
		return false
	}
	return s.payAhead()
}
