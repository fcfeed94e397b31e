package fleetcontrol

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/rest"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// errRests says that an endpoint wasn't called, since it asked this machine for rest.
var errRests = errors.New("the endpoint asked this machine for rest")

// considerate calls endpoints as orders does, but none that rests, counts calls to those
// that have limits, and takes what they say of themselves. A rest is for the machine: requests of its entry process, questions
// and orders count together, and the leader asks each engine every second.
type considerate struct {
	orders placement.EndpointClient
	table  *registry.Table
	log    *eventlog.Log
	asked  *rest.Tracker // of this process
	told   *rest.Tracker // by the entry process of this machine, of what it was asked for
	lender *permit.Granter
	svc    timer.Service
}

func newConsiderate(orders placement.EndpointClient, table *registry.Table, lender *permit.Granter, svc timer.Service, log *eventlog.Log) *considerate {
	return &considerate{
		orders: orders,
		table:  table,
		log:    log,
		asked:  rest.New(svc),
		told:   rest.New(svc),
		lender: lender,
		svc:    svc,
	}
}

// rests reports whether an endpoint wants nothing from this machine.
func (c *considerate) rests(id string) bool {
	return c.asked.Remaining(id) > 0 || c.told.Remaining(id) > 0
}

// hear takes what an endpoint says of itself.
func (c *considerate) hear(id string, w fleet.Notice) {
	if w.Leaving {
		c.table.MarkLeaving(id)
	}
	if w.Backoff > 0 {
		c.asked.Record(id, w.Backoff)
		c.log.Event(eventlog.EndpointResting, eventlog.Str("endpoint", id), eventlog.Ms("for_ms", w.Backoff))
	}
}

// Report implements placement.Orderer.
func (c *considerate) Report(ctx context.Context, id, address string) (placement.Report, error) {
	if c.rests(id) {
		return placement.Report{}, errRests
	}
	c.lender.ChargeProbe(permit.EndpointKey(id))
	sent := c.svc.Now()
	report, err := c.orders.Report(ctx, id, address)
	c.hear(id, report.Notice)
	c.hearLimit(id, report.Notice.Limit, sent)
	return report, err
}

// Place implements placement.Orderer.
func (c *considerate) Place(ctx context.Context, o placement.Order, address string, orders uint64) (placement.Outcome, error) {
	if c.rests(o.ID) {
		return placement.Rejected, errRests
	}
	c.lender.ChargeProbe(permit.EndpointKey(o.ID))
	sent := c.svc.Now()
	outcome, err := c.orders.Place(ctx, o, address, orders)
	var away *fleet.RejectedError
	if errors.As(err, &away) {
		c.hear(o.ID, away.Notice)
		c.hearLimit(o.ID, away.Notice.Limit, sent)
	}
	return outcome, err
}

// hearWords takes what a host tells of endpoints' words to it.
func (s *Server) hearWords(q *rpc.SyncRequest) {
	for _, id := range q.GetLeaving() {
		s.table.MarkLeaving(id)
	}
	if !s.sameMachine(q) {
		return
	}
	for _, r := range q.GetResting() {
		s.orders.told.Merge(r.GetEndpoint(), rest.FromWire(r))
	}
}

// sameMachine reports whether a call is of the entry process of this machine.
func (s *Server) sameMachine(q *rpc.SyncRequest) bool {
	ip, _, err := net.SplitHostPort(q.GetHost().GetCallerAddress())
	return err == nil && ip == s.cfg.IP
}

// tellRests tells the entry process of this machine what this process was asked for.
func (s *Server) tellRests(q *rpc.SyncRequest, reply *rpc.SyncReply) {
	if !s.sameMachine(q) {
		return
	}
	reply.Resting = rest.ToWire(s.orders.asked.Active())
}
