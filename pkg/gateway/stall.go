package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
)

// stallWatch asks, when a stream pauses, whether a part of its path stands
// still, and puts another in its place.
type stallWatch struct {
	s     *streamRun
	timer <-chan time.Time
	pause time.Duration
	asks  int
}

func newStallWatch(s *streamRun) *stallWatch {
	w := &stallWatch{
		s: s,
	}
	if s.j.service.Engine != nil {
		w.wait(stallWait)
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
	w.wait(stallWait)
}

// restAsk is how often a stream looks whether its first endpoint, which rests, may be
// asked.
const restAsk = time.Second

const (
	// mostUrgent is the priority of a question about streams that stand still: one
	// answer serves all of them.
	mostUrgent = 0
	// questionWait is how long it waits for a permit. The stream's events wait as long.
	questionWait = 50 * time.Millisecond
)

// ask finds what stands still. Its error says that the stream must be sent
// anew.
func (w *stallWatch) ask(ctx context.Context) error {
	if w.asks >= maxAsks {
		w.timer = nil
		return nil
	}
	s := w.s
	first := s.path[0]
	q := s.g.asker.ask(ctx, s.j.service.Name, first.ID, first.Address)
	if q == nil && s.g.permits.HasLimit(first.ID) && s.g.source.RequestPermits(ctx, []string{first.ID}, true, mostUrgent, questionWait).AvailableIn == 0 {
		q = s.g.asker.ask(ctx, s.j.service.Name, first.ID, first.Address)
	}
	if q == nil {
		w.wait(max(stallWait, min(restAsk, s.g.rests.Remaining(first.ID))))
		return nil
	}
	w.asks++
	switch {
	case ctx.Err() != nil:
		return nil
	case q.lost():
		s.avoid[first.ID] = true
		s.g.tracker.RecordFailure(first.ID, "silent: "+q.err.Error())
		s.g.attemptFailed(s.j, first.ID, "silent")
		s.g.fell(s.j, first.ID, !s.moved, s.started)
		return errors.Wrap(q.err, "the first endpoint is silent")
	case q.err != nil:
		w.wait(askAgain)
		return nil
	}
	if at, ok := q.found.Addresses[s.j.req.ID]; ok {
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
			s.g.tracker.RecordFailure(p.ID, why)
		}
	}
}
