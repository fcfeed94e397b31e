package fleetentry

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/gateway"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// permitTimeoutMargin is how much longer than it may be held a call for permits takes at
	// most.
	permitTimeoutMargin = 300 * time.Millisecond
	// noLeaderRetryAfter is when a caller should be back whose request lacks a permit and a leader
	// that lends it: after an election and a second for what follows it.
	noLeaderRetryAfter = 1600 * time.Millisecond
	// permitRetryDelay is when to ask for a permit that a leader didn't answer for.
	permitRetryDelay = 300 * time.Millisecond
)

// Permits is what this host knows of endpoints that have limits, and the permits that it
// holds.
type Permits interface {
	TakeReport() permit.HostReport
	PendingReports() []permit.LimitReport
	Acknowledge(term uint64, reports []permit.LimitReport)
	ApplyChanges(term, version uint64, full bool, list []permit.LimitChange)
	AddPermits(term uint64, list permit.Counts, expires time.Time)
}

// addLimitReport adds to a call what the leader must know to lend permits.
func (c *ControlClient) addLimitReport(q *rpc.SyncRequest) {
	report := c.permits.TakeReport()
	q.LimitsTerm = report.Term
	q.LimitsVersion = report.Version
	q.LimitsDigest = report.Digest
	q.LimitWords = permit.LimitReportsToWire(report.LimitReports, c.cfg.Timer.Now())
	q.Unused = report.Unused.ToWire()
	q.Demands = permit.DemandsToWire(report.Demands)
	c.inFlight.limits = report.LimitReports
}

// applyLimits installs limits and permits of a reply to a call that was sent at a time. A
// permit is valid from when it was lent: after the call had been held.
func (c *ControlClient) applyLimits(reply *rpc.SyncReply, sent time.Time) {
	term := reply.GetLimitsTerm()
	c.permits.Acknowledge(term, c.inFlight.limits)
	c.permits.ApplyChanges(term, reply.GetLimitsVersion(), reply.GetLimitsWhole(), permit.LimitChangesFromWire(reply.GetLimits()))
	grantedAt := sent.Add(time.Duration(reply.GetHeldMs()) * time.Millisecond)
	c.permits.AddPermits(term, permit.CountsFromWire(reply.GetPermits()), grantedAt.Add(permit.Lifetime))
}

// ReportLimits implements gateway.Source.
func (c *ControlClient) ReportLimits() {
	select {
	case c.limitObserved <- struct{}{}:
	default: // what was heard goes with the call that is due
	}
}

// reportObservedLimits tells the leader at once of limits that this host heard: until all hosts know,
// they go on sending. What can't be told goes with the next held call.
func (c *ControlClient) reportObservedLimits(ctx context.Context) {
	for {
		select {
		case <-c.limitObserved:
		case <-ctx.Done():
			return
		}
		reports := c.permits.PendingReports()
		if len(reports) == 0 {
			continue
		}
		reply, err := c.callLeader(ctx, &rpc.BorrowRequest{
			Words: permit.LimitReportsToWire(reports, c.cfg.Timer.Now()),
		}, 0)
		if err != nil || !reply.GetConfirmed() {
			c.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "limits couldn't be told at once; they go with the next call"), eventlog.Err(err))
			if timer.Sleep(ctx, c.cfg.Timer, permitRetryDelay) != nil {
				return
			}
			continue
		}
		c.permits.Acknowledge(reply.GetTerm(), reports)
	}
}

// RequestPermits implements gateway.Source.
func (c *ControlClient) RequestPermits(ctx context.Context, ids []string, each bool, priority int, wait time.Duration) gateway.PermitReply {
	if c.leaderAddress() == "" {
		return gateway.PermitReply{
			AvailableIn: noLeaderRetryAfter,
		}
	}
	q := &rpc.BorrowRequest{
		Each:     each,
		Priority: uint32(max(0, priority)),
		WaitMs:   uint32(max(0, wait.Milliseconds())),
	}
	for _, id := range ids {
		q.Endpoints = append(q.Endpoints, permit.EndpointKey(id))
	}
	sent := c.cfg.Timer.Now()
	reply, err := c.callLeader(ctx, q, wait)
	if err != nil || !reply.GetConfirmed() {
		return gateway.PermitReply{
			AvailableIn: permitRetryDelay,
		}
	}
	if reply.GetDueMs() == 0 {
		grantedAt := sent.Add(time.Duration(reply.GetHeldMs()) * time.Millisecond)
		c.permits.AddPermits(reply.GetTerm(), permit.CountsFromWire(reply.GetPermits()), grantedAt.Add(permit.Lifetime))
	}
	return gateway.PermitReply{
		AvailableIn: time.Duration(reply.GetDueMs()) * time.Millisecond,
		Interval:    time.Duration(reply.GetGapMs()) * time.Millisecond,
	}
}

// callLeader calls the leader, which may hold the call for wait.
func (c *ControlClient) callLeader(ctx context.Context, q *rpc.BorrowRequest, wait time.Duration) (*rpc.BorrowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+permitTimeoutMargin)
	defer cancel()
	q.Host = c.cfg.Name
	return rpc.NewFleetProtobufClient("http://"+c.leaderAddress(), c.cfg.Client).Borrow(ctx, q)
}

// leaderAddress returns the address of the leader that this host follows; empty if it has none.
func (c *ControlClient) leaderAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controlLost {
		return ""
	}
	return c.leaderHint
}
