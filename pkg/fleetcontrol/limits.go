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

// mostBorrowHold bounds how long a call for permits is held.
const mostBorrowHold = 300 * time.Millisecond

// hearLimits takes what a host tells of limits, and the permits that it didn't use.
func (s *Server) hearLimits(q *rpc.SyncRequest, term uint64) {
	s.lender.BeginTerm(term)
	s.noteLimits(s.lender.Observe(permit.LimitReportsFromWire(q.GetLimitWords(), s.cfg.Timer.Now())))
	s.lender.ReturnUnused(q.GetLimitsTerm(), permit.CountsFromWire(q.GetUnused()))
}

// noteLimits logs limits that are new, or over.
func (s *Server) noteLimits(news []permit.LimitChange) {
	for _, c := range news {
		says := "named"
		if c.Removed {
			says = "over"
		}
		s.cfg.Log.Event(eventlog.EndpointLimit, eventlog.Str("endpoint", s.nameOf(c.Key)), eventlog.Str("says", says),
			eventlog.Str("per_second", strconv.FormatFloat(c.PerSecond, 'g', 4, 64)), eventlog.Str("by", "control"))
	}
}

// nameOf returns the endpoint that has a key, or the key if it isn't known.
func (s *Server) nameOf(key uint32) string {
	if id := s.table.Find(func(id string) bool { return permit.EndpointKey(id) == key }); id != "" {
		return id
	}
	return strconv.FormatUint(uint64(key), 16)
}

// tellLimits adds the limits that a host lacks, and lends it permits by what it was asked
// for.
func (s *Server) tellLimits(q *rpc.SyncRequest, reply *rpc.SyncReply, term uint64) {
	list, version, whole := s.lender.ChangesSince(q.GetLimitsTerm(), q.GetLimitsVersion(), q.GetLimitsDigest())
	reply.LimitsTerm = term
	reply.LimitsVersion = version
	reply.LimitsWhole = whole
	reply.Limits = permit.LimitChangesToWire(list)
	lent := permit.Counts{}
	for _, d := range permit.DemandsFromWire(q.GetDemands()) {
		for key, n := range s.lender.Grant(d) {
			lent[key] += n
		}
	}
	reply.Permits = lent.ToWire()
	s.cfg.Metrics.Counter("permits_lent").Inc(int64(lent.Total()))
}

// Borrow implements rpc.Fleet. It waits for permits as long as the caller may, if they
// come in that time.
func (s *Server) Borrow(ctx context.Context, q *rpc.BorrowRequest) (*rpc.BorrowReply, error) {
	began := s.cfg.Timer.Now()
	machine, term, leader := s.leadership.Leads(ctx)
	if machine == nil {
		return &rpc.BorrowReply{
			Leader: leader,
		}, nil
	}
	s.lender.BeginTerm(term)
	s.noteLimits(s.lender.Observe(permit.LimitReportsFromWire(q.GetWords(), began)))
	reply := &rpc.BorrowReply{
		Term: term,
	}
	if len(q.GetEndpoints()) > 0 {
		if err := s.lend(ctx, q, reply, began); err != nil {
			return nil, err
		}
	}
	machine, now, leader := s.leadership.Leads(ctx)
	if machine == nil || now != term {
		return &rpc.BorrowReply{
			Leader: leader,
		}, nil
	}
	reply.Confirmed = true
	reply.HeldMs = uint32(s.cfg.Timer.Now().Sub(began).Milliseconds())
	return reply, nil
}

// lend lends what a call asks for, or tells when that is due.
func (s *Server) lend(ctx context.Context, q *rpc.BorrowRequest, reply *rpc.BorrowReply, began time.Time) error {
	loan := s.lender.Enqueue(q.GetEndpoints(), q.GetEach(), int(q.GetPriority()))
	defer s.lender.Dequeue(loan)
	end := began.Add(min(mostBorrowHold, time.Duration(q.GetWaitMs())*time.Millisecond))
	for {
		lent, due := s.lender.TryGrant(loan)
		if due == 0 {
			reply.Permits = lent.ToWire()
			s.cfg.Metrics.Counter("permits_lent").Inc(int64(lent.Total()))
			return nil
		}
		if s.cfg.Timer.Now().Add(due).After(end) {
			reply.DueMs = uint32(due.Milliseconds()) + 1
			reply.GapMs = uint32((time.Duration(s.hosts.count()) * s.lender.GrantInterval(loan)).Milliseconds())
			s.cfg.Metrics.Counter("permits_denied").Inc(1)
			return nil
		}
		if err := timer.Sleep(ctx, s.cfg.Timer, due); err != nil {
			return err
		}
	}
}

// hearLimit takes what an endpoint's answer to this leader says of its limit.
func (c *considerate) hearLimit(id string, l fleet.Limit, sent time.Time) {
	w := permit.LimitReport{
		Key:        permit.EndpointKey(id),
		PerSecond:  -1,
		SentAt:     sent,
		ReceivedAt: c.svc.Now(),
	}
	switch l.Status {
	case fleet.LimitUnknown:
		return
	case fleet.LimitSet:
		w.PerSecond = l.PerSecond
	}
	if e, ok := c.table.Get(id); ok {
		w.Service = e.Service
	}
	for _, change := range c.lender.Observe([]permit.LimitReport{w}) {
		c.log.Event(eventlog.EndpointLimit, eventlog.Str("endpoint", id), eventlog.Str("says", "named"),
			eventlog.Str("per_second", strconv.FormatFloat(change.PerSecond, 'g', 4, 64)), eventlog.Str("by", "control"))
	}
}

// short reports whether an endpoint has a limit under what its service is asked for.
func (s *Server) short(id string) bool {
	return s.lender.BelowDemand(permit.EndpointKey(id))
}
