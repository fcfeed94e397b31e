package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
)

// stallWatch sends a stall query when a stream pauses, and replaces the stage that is
// stalled, if any.
type stallWatch struct {
	s       *streamRun
	timer   <-chan time.Time
	pause   time.Duration
	queries int
}

func newStallWatch(s *streamRun) *stallWatch {
	w := &stallWatch{
		s: s,
	}
	if s.j.service.Engine != nil {
		w.arm(stallWait)
	}
	return w
}

func (w *stallWatch) arm(d time.Duration) {
	w.pause = d
	w.timer = w.s.g.svc.After(d)
}

// sawEvent restarts the timer after an event.
func (w *stallWatch) sawEvent() {
	if w.s.j.service.Engine == nil || w.queries >= maxStallQueries {
		return
	}
	w.arm(stallWait)
}

// backoffQueryInterval is the longest time between two checks whether the first
// endpoint, which is in backoff, may be sent a stall query.
const backoffQueryInterval = time.Second

const (
	// highestPriority is the priority of a permit for a stall query, whose answer
	// serves all streams of the endpoint.
	highestPriority = 0
	// queryPermitWait is how long a stall query waits at most for a permit. Meanwhile no
	// events of the stream are passed on.
	queryPermitWait = 50 * time.Millisecond
)

// check finds out whether a stage is stalled and replaces it. Its error says that the
// stream should be sent elsewhere.
func (w *stallWatch) check(ctx context.Context) error {
	if w.queries >= maxStallQueries {
		w.timer = nil
		return nil
	}
	s := w.s
	first := s.path[0]
	q := s.g.querier.query(ctx, s.j.service.Name, first.ID, first.Address)
	if q == nil && s.g.permits.HasLimit(first.ID) && s.g.source.RequestPermits(ctx, []string{first.ID}, true, highestPriority, queryPermitWait).AvailableIn == 0 {
		q = s.g.querier.query(ctx, s.j.service.Name, first.ID, first.Address)
	}
	if q == nil {
		w.arm(max(stallWait, min(backoffQueryInterval, s.g.backoffs.Remaining(first.ID))))
		return nil
	}
	w.queries++
	if ctx.Err() != nil {
		return nil
	}
	if q.unresponsive() {
		s.recordSilence()
	}
	s.g.recordRefused(first.ID, q.err)
	switch {
	case q.unresponsive() && !s.mayLeave():
		w.arm(stallWait)
	case q.unresponsive():
		return errors.Wrap(q.err, "the first endpoint is silent")
	case q.err != nil:
		w.arm(stallQueryRetry)
		return nil
	}
	if q.err == nil {
		s.g.tracker.Restore(first.ID)
	}
	if address, ok := q.report.Addresses[s.j.req.ID]; ok {
		s.avoidAddress(address, "stalled")
		s.g.log.Event(eventlog.StreamStalled, eventlog.Str("request", s.j.req.ID), eventlog.Str("at", address), eventlog.Str("after", s.lastEvent))
		if err := s.repath(ctx, address); err != nil {
			return err
		}
	}
	w.arm(2 * w.pause)
	return nil
}

// avoidAddress makes this host avoid the endpoint of the path at address for new
// requests.
func (s *streamRun) avoidAddress(address, why string) {
	for _, p := range s.path {
		if p.Address == address {
			s.g.tracker.RecordStall(p.ID, why)
		}
	}
}
