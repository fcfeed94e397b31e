package fleetcontrol

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/backoff"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// errInBackoff is returned for a call that was not made because the endpoint had asked
// this host for backoff.
var errInBackoff = errors.New("endpoint is in backoff at its own request")

// endpointClient wraps the client for the leader's calls to endpoints. It makes no call
// to an endpoint in backoff, charges calls against the endpoint's rate limit, and
// applies the notices in answers to probes and in rejected orders. Backoff covers the
// whole host: the requests of its entry process, the leader's probes and its orders.
type endpointClient struct {
	client        placement.EndpointClient
	table         *registry.Table
	log           *eventlog.Log
	ownBackoffs   *backoff.Tracker // requested from this process
	entryBackoffs *backoff.Tracker // requested from the entry process of this host
	granter       *permit.Granter
	svc           timer.Service
}

func newEndpointClient(client placement.EndpointClient, table *registry.Table, granter *permit.Granter, svc timer.Service, log *eventlog.Log) *endpointClient {
	return &endpointClient{
		client:        client,
		table:         table,
		log:           log,
		ownBackoffs:   backoff.New(svc),
		entryBackoffs: backoff.New(svc),
		granter:       granter,
		svc:           svc,
	}
}

// inBackoff reports whether this host must not call the endpoint now.
func (c *endpointClient) inBackoff(id string) bool {
	return c.ownBackoffs.Remaining(id) > 0 || c.entryBackoffs.Remaining(id) > 0
}

// observe applies an endpoint's notice, except for its rate limit.
func (c *endpointClient) observe(id string, notice fleet.Notice) {
	if notice.Leaving {
		c.table.MarkLeaving(id)
	}
	if notice.Backoff > 0 {
		c.ownBackoffs.Record(id, notice.Backoff)
		c.log.Event(eventlog.EndpointResting, eventlog.Str("endpoint", id), eventlog.Ms("for_ms", notice.Backoff))
	}
}

// Report implements placement.EndpointClient.
func (c *endpointClient) Report(ctx context.Context, id, address string) (placement.Report, error) {
	if c.inBackoff(id) {
		return placement.Report{}, errInBackoff
	}
	c.granter.ChargeProbe(permit.EndpointKey(id))
	sentAt := c.svc.Now()
	report, err := c.client.Report(ctx, id, address)
	var other *fleet.OtherIncarnationError
	if errors.As(err, &other) {
		c.observe(other.ID, other.Notice)
		c.observeLimit(other.ID, other.Notice.Limit, sentAt)
		return report, err
	}
	c.observe(id, report.Notice)
	c.observeLimit(id, report.Notice.Limit, sentAt)
	return report, err
}

// Place implements placement.EndpointClient.
func (c *endpointClient) Place(ctx context.Context, order placement.Order, address string, orders uint64) (placement.Outcome, error) {
	if c.inBackoff(order.ID) {
		return placement.Rejected, errInBackoff
	}
	c.granter.ChargeProbe(permit.EndpointKey(order.ID))
	sentAt := c.svc.Now()
	outcome, err := c.client.Place(ctx, order, address, orders)
	var rejected *fleet.RejectedError
	if errors.As(err, &rejected) {
		c.observe(order.ID, rejected.Notice)
		c.observeLimit(order.ID, rejected.Notice.Limit, sentAt)
	}
	return outcome, err
}

// observeNotices applies the leave notices that an entry host received from endpoints,
// and the backoffs if it is the entry process of this host.
func (s *Server) observeNotices(q *rpc.SyncRequest) {
	for _, id := range q.GetLeaving() {
		s.table.MarkLeaving(id)
	}
	if !s.fromSameHost(q) {
		return
	}
	for _, r := range q.GetResting() {
		s.endpointClient.entryBackoffs.Merge(r.GetEndpoint(), backoff.FromWire(r))
	}
}

// fromSameHost reports whether the call comes from the entry process of this host.
func (s *Server) fromSameHost(q *rpc.SyncRequest) bool {
	ip, _, err := net.SplitHostPort(q.GetHost().GetCallerAddress())
	return err == nil && ip == s.cfg.IP
}

// addBackoffs adds the backoffs that endpoints requested from this process, if the
// call comes from the entry process of this host.
func (s *Server) addBackoffs(q *rpc.SyncRequest, reply *rpc.SyncReply) {
	if !s.fromSameHost(q) {
		return
	}
	reply.Resting = backoff.ToWire(s.endpointClient.ownBackoffs.Active())
}
