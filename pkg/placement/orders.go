package placement

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// sendAsync sends an order without waiting for its answer.
func (c *Controller) sendAsync(o Order, e *fleet.Endpoint, load time.Duration, lead Lead) {
	c.mu.Lock()
	s := c.orders[o.ID]
	if s == nil {
		s = &orderState{
			accepted: e.Orders,
			applied:  true,
		}
		c.orders[o.ID] = s
	}
	s.layers = o.Layers
	s.accepted = max(s.accepted, e.Orders)
	s.calling = true
	unconfirmed := s.unconfirmed
	c.mu.Unlock()
	c.group.Go(func(ctx context.Context) {
		select {
		case c.inFlight <- struct{}{}:
			defer func() { <-c.inFlight }()
		case <-ctx.Done():
			return
		}
		if unconfirmed && c.checkReport(ctx, s, o.Layers, e) {
			return
		}
		if !c.awaitLead(ctx, lead) {
			c.abandon(s)
			return
		}
		c.send(ctx, s, o, e, load)
	})
}

// abandon records that an order was not sent.
func (c *Controller) abandon(s *orderState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.calling = false
}

// checkReport queries what an endpoint holds, and reports whether no order need be sent
// now.
func (c *Controller) checkReport(ctx context.Context, s *orderState, wanted fleet.Range, e *fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.client.Report(ctx, e.ID, e.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		s.calling = false
		s.pendingUntil = c.svc.Now().Add(recheckDelay)
		c.log.Event(eventlog.OrderFailed, eventlog.Str("endpoint", e.ID), eventlog.Str("what", "report"), eventlog.Err(err))
		return true
	}
	s.accepted = report.Orders
	c.table.UpdateStatus(e.ID, report)
	if report.Busy || report.Layers == wanted {
		s.calling = false
		s.pendingUntil = c.svc.Now().Add(recheckDelay)
		return true
	}
	s.unconfirmed = false
	return false
}

// streamsField returns the value of the log field that tells what an order does with
// streams.
func streamsField(o Order) string {
	if o.InterruptStreams {
		return "cut"
	}
	return "waited for"
}

// send sends an order and records its outcome.
func (c *Controller) send(ctx context.Context, s *orderState, o Order, e *fleet.Endpoint, load time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	c.mu.Lock()
	accepted := s.accepted
	c.mu.Unlock()
	outcome, err := c.client.Place(ctx, o, e.Address, accepted)
	fields := []eventlog.Field{
		eventlog.Str("endpoint", o.ID), eventlog.Str("address", e.Address),
		eventlog.Int("from", int64(o.Layers.From)), eventlog.Int("to", int64(o.Layers.To)),
		eventlog.Str("streams", streamsField(o)),
		eventlog.Int("expected_orders", int64(accepted)), eventlog.Str("outcome", outcome.String()),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.calling = false
	switch outcome {
	case Accepted:
		s.accepted = accepted + 1
		s.applied = false
		s.unconfirmed = true // queried if no heartbeat has confirmed it by then
		s.pendingUntil = c.svc.Now().Add(load + recheckDelay)
		c.table.MarkReassigned(o.ID, s.accepted)
	case Conflict:
		s.unconfirmed = true
		s.pendingUntil = c.svc.Now()
	default:
		s.unconfirmed = true
		s.pendingUntil = c.svc.Now().Add(recheckDelay)
	}
	if err != nil {
		c.log.Event(eventlog.OrderFailed, append(fields, eventlog.Err(err))...)
		return
	}
	c.log.Event(eventlog.OrderSent, fields...)
}
