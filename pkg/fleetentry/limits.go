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
	// permitTimeoutMargin is the time that a request for permits may take beyond the time
	// for which the leader may hold it open.
	permitTimeoutMargin = 300 * time.Millisecond
	// noLeaderRetryAfter is when a permit can be available if no leader is known: after an
	// election and one second for the new leader to start granting.
	noLeaderRetryAfter = 1600 * time.Millisecond
	// permitRetryDelay is the pause after a request that the leader didn't answer.
	permitRetryDelay = 300 * time.Millisecond
)

// Permits holds the rate limits of endpoints that this host knows, and its permits.
type Permits interface {
	TakeReport() permit.HostReport
	PendingReports() []permit.LimitReport
	Acknowledge(term uint64, reports []permit.LimitReport)
	ApplyChanges(term, version uint64, full bool, list []permit.LimitChange)
	AddPermits(term uint64, list permit.Counts, expires time.Time)
}

// addLimitReport adds what the leader needs in order to grant permits: observed limits,
// unused permits and demand.
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

// applyLimits applies the limits and permits of a reply to a call that was sent at the given
// time. A permit's lifetime begins when it was granted, which is when the leader stopped
// holding the call open.
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
	default: // a report is already due and will include this limit
	}
}

// reportObservedLimits reports limits to the leader as soon as this host observes them,
// because hosts that don't know a limit go on sending. A report that fails goes with the
// next long poll.
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

// callLeader makes a Borrow call to the leader, which may hold it open for wait.
func (c *ControlClient) callLeader(ctx context.Context, q *rpc.BorrowRequest, wait time.Duration) (*rpc.BorrowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+permitTimeoutMargin)
	defer cancel()
	q.Host = c.cfg.Name
	return rpc.NewFleetProtobufClient("http://"+c.leaderAddress(), c.cfg.Client).Borrow(ctx, q)
}

// leaderAddress returns the address of the leader that last confirmed, or an empty string
// if the connection to it is lost.
func (c *ControlClient) leaderAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controlLost {
		return ""
	}
	return c.leaderHint
}
