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
	// borrowTimeout is how much longer than it may be held a call for permits takes at
	// most.
	borrowTimeout = 300 * time.Millisecond
	// leaderDue is when a caller should be back whose request lacks a permit and a leader
	// that lends it: after an election and a second for what follows it.
	leaderDue = 1600 * time.Millisecond
	// askAgain is when to ask for a permit that a leader didn't answer for.
	askAgain = 300 * time.Millisecond
)

// Permits is what this host knows of endpoints that have limits, and the permits that it
// holds.
type Permits interface {
	TakeReport() permit.HostReport
	PendingReports() []permit.LimitReport
	Acknowledge(term uint64, words []permit.LimitReport)
	ApplyChanges(term, version uint64, whole bool, list []permit.LimitChange)
	AddPermits(term uint64, list permit.Counts, end time.Time)
}

// tellLimits adds to a call what the leader must know to lend permits.
func (f *ControlClient) tellLimits(q *rpc.SyncRequest) {
	rep := f.permits.TakeReport()
	q.LimitsTerm = rep.Term
	q.LimitsVersion = rep.Version
	q.LimitsDigest = rep.Digest
	q.LimitWords = permit.LimitReportsToWire(rep.LimitReports, f.cfg.Timer.Now())
	q.Unused = rep.Unused.ToWire()
	q.Demands = permit.DemandsToWire(rep.Demands)
	f.telling.words = rep.LimitReports
}

// takeLimits installs limits and permits of a reply to a call that was sent at a time. A
// permit is valid from when it was lent: after the call had been held.
func (f *ControlClient) takeLimits(reply *rpc.SyncReply, sent time.Time) {
	term := reply.GetLimitsTerm()
	f.permits.Acknowledge(term, f.telling.words)
	f.permits.ApplyChanges(term, reply.GetLimitsVersion(), reply.GetLimitsWhole(), permit.LimitChangesFromWire(reply.GetLimits()))
	lent := sent.Add(time.Duration(reply.GetHeldMs()) * time.Millisecond)
	f.permits.AddPermits(term, permit.CountsFromWire(reply.GetPermits()), lent.Add(permit.Lifetime))
}

// ReportLimits implements gateway.Source.
func (f *ControlClient) ReportLimits() {
	select {
	case f.heardLimit <- struct{}{}:
	default: // what was heard goes with the call that is due
	}
}

// tellHeard tells the leader at once of limits that this host heard: until all hosts know,
// they go on sending. What can't be told goes with the next held call.
func (f *ControlClient) tellHeard(ctx context.Context) {
	for {
		select {
		case <-f.heardLimit:
		case <-ctx.Done():
			return
		}
		words := f.permits.PendingReports()
		if len(words) == 0 {
			continue
		}
		reply, err := f.borrow(ctx, &rpc.BorrowRequest{
			Words: permit.LimitReportsToWire(words, f.cfg.Timer.Now()),
		}, 0)
		if err != nil || !reply.GetConfirmed() {
			f.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "limits couldn't be told at once; they go with the next call"), eventlog.Err(err))
			if timer.Sleep(ctx, f.cfg.Timer, askAgain) != nil {
				return
			}
			continue
		}
		f.permits.Acknowledge(reply.GetTerm(), words)
	}
}

// RequestPermits implements gateway.Source.
func (f *ControlClient) RequestPermits(ctx context.Context, ids []string, each bool, priority int, wait time.Duration) gateway.PermitReply {
	if f.leader() == "" {
		return gateway.PermitReply{
			AvailableIn: leaderDue,
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
	sent := f.cfg.Timer.Now()
	reply, err := f.borrow(ctx, q, wait)
	if err != nil || !reply.GetConfirmed() {
		return gateway.PermitReply{
			AvailableIn: askAgain,
		}
	}
	if reply.GetDueMs() == 0 {
		lent := sent.Add(time.Duration(reply.GetHeldMs()) * time.Millisecond)
		f.permits.AddPermits(reply.GetTerm(), permit.CountsFromWire(reply.GetPermits()), lent.Add(permit.Lifetime))
	}
	return gateway.PermitReply{
		AvailableIn: time.Duration(reply.GetDueMs()) * time.Millisecond,
		Interval:    time.Duration(reply.GetGapMs()) * time.Millisecond,
	}
}

// borrow calls the leader, which may hold the call for wait.
func (f *ControlClient) borrow(ctx context.Context, q *rpc.BorrowRequest, wait time.Duration) (*rpc.BorrowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+borrowTimeout)
	defer cancel()
	q.Host = f.cfg.Name
	return rpc.NewFleetProtobufClient("http://"+f.leader(), f.cfg.Client).Borrow(ctx, q)
}

// leader returns the address of the leader that this host follows; empty if it has none.
func (f *ControlClient) leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return ""
	}
	return f.hint
}
