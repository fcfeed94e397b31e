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
	s       *streamRun
	timer   <-chan time.Time
	pause   time.Duration
	asks    int
	silent  int // questions in a row without an answer
	stopped bool
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

// ask finds what stands still. Its error says that the first endpoint is lost.
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
		s.repath(ctx, at)
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

// repath puts other endpoints in the place of the one at address.
func (s *streamRun) repath(ctx context.Context, address string) {
	if address == s.path[0].Address {
		return
	}
	for _, p := range s.path {
		if p.Address == address {
			s.avoid[p.ID] = true
		}
	}
	demand := s.demand()
	first := s.path[0]
	demand.First = &first
	path := pathing.Choose(s.j.service.Engine, s.stages(func(e *fleet.Endpoint) bool {
		return s.avoid[e.ID] || s.g.tracker.Avoided(e.ID)
	}), demand, jitter)
	if path == nil || !pathing.Whole(s.j.service.Engine, path) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stallAskTimeout)
	defer cancel()
	err := s.g.backend.Repath(ctx, first.Address, s.j.req.ID, path)
	s.g.log.Event(eventlog.StreamRepathed, eventlog.Str("request", s.j.req.ID), eventlog.Str("around", address), eventlog.Err(err))
	if err == nil {
		s.take(path)
	}
}
