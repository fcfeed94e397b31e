package fleetcontrol

import (
	"context"
	"strconv"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// maxBorrowWait bounds how long a request for permits waits.
const maxBorrowWait = 300 * time.Millisecond

// observeLimits applies the limit reports of a host, and takes back the permits that
// it didn't use.
func (s *Server) observeLimits(q *rpc.SyncRequest, term uint64) {
	s.granter.BeginTerm(term)
	s.logLimitChanges(s.granter.Observe(permit.LimitReportsFromWire(q.GetLimitWords(), s.cfg.Timer.Now())))
	s.granter.ReturnUnused(q.GetLimitsTerm(), permit.CountsFromWire(q.GetUnused()))
}

// logLimitChanges logs limits that are new or were removed.
func (s *Server) logLimitChanges(changes []permit.LimitChange) {
	for _, c := range changes {
		status := "named"
		if c.Removed {
			status = "over"
		}
		s.cfg.Log.Event(eventlog.EndpointLimit, eventlog.Str("endpoint", s.endpointName(c.Key)), eventlog.Str("says", status),
			eventlog.Str("per_second", strconv.FormatFloat(c.PerSecond, 'g', 4, 64)), eventlog.Str("by", "control"))
	}
}

// endpointName returns the id of the endpoint with the key, or the key in hexadecimal
// if no such endpoint is known.
func (s *Server) endpointName(key uint32) string {
	if id := s.table.Find(func(id string) bool { return permit.EndpointKey(id) == key }); id != "" {
		return id
	}
	return strconv.FormatUint(uint64(key), 16)
}

// addLimits adds the limits that the host lacks, and grants it permits according to
// the demand that it reports.
func (s *Server) addLimits(q *rpc.SyncRequest, reply *rpc.SyncReply, term uint64) {
	list, version, full := s.granter.ChangesSince(q.GetLimitsTerm(), q.GetLimitsVersion(), q.GetLimitsDigest())
	reply.LimitsTerm = term
	reply.LimitsVersion = version
	reply.LimitsWhole = full
	reply.Limits = permit.LimitChangesToWire(list)
	granted := permit.Counts{}
	for _, demand := range permit.DemandsFromWire(q.GetDemands()) {
		for key, n := range s.granter.Grant(demand) {
			granted[key] += n
		}
	}
	reply.Permits = granted.ToWire()
	s.cfg.Metrics.Counter("permits_lent").Inc(int64(granted.Total()))
}

// Borrow implements rpc.Fleet. It grants permits at once, or waits for them if they
// become available within the caller's wait time.
func (s *Server) Borrow(ctx context.Context, q *rpc.BorrowRequest) (*rpc.BorrowReply, error) {
	began := s.cfg.Timer.Now()
	machine, term, leader := s.leadership.Leads(ctx)
	if machine == nil {
		return &rpc.BorrowReply{
			Leader: leader,
		}, nil
	}
	s.granter.BeginTerm(term)
	s.logLimitChanges(s.granter.Observe(permit.LimitReportsFromWire(q.GetWords(), began)))
	reply := &rpc.BorrowReply{
		Term: term,
	}
	if len(q.GetEndpoints()) > 0 {
		if err := s.grantPermits(ctx, q, reply, began); err != nil {
			return nil, err
		}
	}
	machine, currentTerm, leader := s.leadership.Leads(ctx)
	if machine == nil || currentTerm != term {
		return &rpc.BorrowReply{
			Leader: leader,
		}, nil
	}
	reply.Confirmed = true
	reply.HeldMs = uint32(s.cfg.Timer.Now().Sub(began).Milliseconds())
	return reply, nil
}

// grantPermits grants the permits that a call asks for, or reports when they become
// available.
func (s *Server) grantPermits(ctx context.Context, q *rpc.BorrowRequest, reply *rpc.BorrowReply, began time.Time) error {
	waiter := s.granter.Enqueue(q.GetEndpoints(), q.GetEach(), int(q.GetPriority()))
	defer s.granter.Dequeue(waiter)
	end := began.Add(min(maxBorrowWait, time.Duration(q.GetWaitMs())*time.Millisecond))
	for {
		granted, wait := s.granter.TryGrant(waiter)
		if wait == 0 {
			reply.Permits = granted.ToWire()
			s.cfg.Metrics.Counter("permits_lent").Inc(int64(granted.Total()))
			return nil
		}
		if s.cfg.Timer.Now().Add(wait).After(end) {
			reply.DueMs = uint32(wait.Milliseconds()) + 1
			reply.GapMs = uint32((time.Duration(s.hosts.count()) * s.granter.GrantInterval(waiter)).Milliseconds())
			s.cfg.Metrics.Counter("permits_denied").Inc(1)
			return nil
		}
		if err := timer.Sleep(ctx, s.cfg.Timer, wait); err != nil {
			return err
		}
	}
}

// observeLimit applies the rate limit in an endpoint's answer to this process.
func (c *endpointClient) observeLimit(id string, l fleet.RateLimit, sentAt time.Time) {
	report := permit.LimitReport{
		Key:        permit.EndpointKey(id),
		PerSecond:  -1,
		SentAt:     sentAt,
		ReceivedAt: c.svc.Now(),
	}
	switch l.Status {
	case fleet.LimitUnknown:
		return
	case fleet.LimitSet:
		report.PerSecond = l.PerSecond
	}
	if e, ok := c.table.Get(id); ok {
		report.Service = e.Service
	}
	for _, change := range c.granter.Observe([]permit.LimitReport{report}) {
		c.log.Event(eventlog.EndpointLimit, eventlog.Str("endpoint", id), eventlog.Str("says", "named"),
			eventlog.Str("per_second", strconv.FormatFloat(change.PerSecond, 'g', 4, 64)), eventlog.Str("by", "control"))
	}
}

// belowDemand reports whether an endpoint's rate limit is below the demand on its service.
func (s *Server) belowDemand(id string) bool {
	return s.granter.BelowDemand(permit.EndpointKey(id))
}
