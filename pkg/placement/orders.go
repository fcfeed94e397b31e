package placement

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// order sends one order without waiting for its answer.
func (k *Controller) order(o Order, e *fleet.Endpoint, load time.Duration) {
	k.mu.Lock()
	s := k.known[o.ID]
	if s == nil {
		s = &standing{
			taken: e.Orders,
			shown: true,
		}
		k.known[o.ID] = s
	}
	s.layers = o.Layers
	s.taken = max(s.taken, e.Orders)
	s.asking = true
	doubt := s.doubt
	k.mu.Unlock()
	k.group.Go(func(ctx context.Context) {
		select {
		case k.slots <- struct{}{}:
			defer func() { <-k.slots }()
		case <-ctx.Done():
			return
		}
		if doubt && k.resolve(ctx, s, o.Layers, e) {
			return
		}
		k.send(ctx, s, o, e, load)
	})
}

// resolve asks an endpoint what it holds. It reports whether nothing need be
// ordered now.
func (k *Controller) resolve(ctx context.Context, s *standing, wanted fleet.Range, e *fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := k.orders.Report(ctx, e.ID, e.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		s.asking = false
		s.until = k.svc.Now().Add(askAgain)
		k.log.Event(eventlog.OrderFailed, eventlog.Str("endpoint", e.ID), eventlog.Str("what", "report"), eventlog.Err(err))
		return true
	}
	s.taken = report.Orders
	k.table.UpdateStatus(e.ID, report)
	if report.Busy || report.Layers == wanted {
		s.asking = false
		s.until = k.svc.Now().Add(askAgain)
		return true
	}
	s.doubt = false
	return false
}

// streamsOf says for the log what an order does with streams.
func streamsOf(o Order) string {
	if o.InterruptStreams {
		return "cut"
	}
	return "waited for"
}

// send gives an order, and notes what is known of it then.
func (k *Controller) send(ctx context.Context, s *standing, o Order, e *fleet.Endpoint, load time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	k.mu.Lock()
	taken := s.taken
	k.mu.Unlock()
	outcome, err := k.orders.Place(ctx, o, e.Address, taken)
	fields := []eventlog.Field{
		eventlog.Str("endpoint", o.ID), eventlog.Str("address", e.Address),
		eventlog.Int("from", int64(o.Layers.From)), eventlog.Int("to", int64(o.Layers.To)),
		eventlog.Str("streams", streamsOf(o)),
		eventlog.Int("expected_orders", int64(taken)), eventlog.Str("outcome", outcome.String()),
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.asking = false
	switch outcome {
	case Accepted:
		s.taken = taken + 1
		s.shown = false
		s.doubt = true // asked for if no heartbeat has told of it by then
		s.until = k.svc.Now().Add(load + askAgain)
		k.table.MarkReassigned(o.ID, s.taken)
	case Conflict:
		s.doubt = true
		s.until = k.svc.Now()
	default:
		s.doubt = true
		s.until = k.svc.Now().Add(askAgain)
	}
	if err != nil {
		k.log.Event(eventlog.OrderFailed, append(fields, eventlog.Err(err))...)
		return
	}
	k.log.Event(eventlog.OrderSent, fields...)
}
