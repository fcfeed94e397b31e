package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/twitchtv/twirp"
)

// maxHold bounds how long a call without news is held.
const maxHold = time.Second

// Sync implements rpc.Fleet. The leader holds the call until there is news;
// its answer is true of the moment at which it was given.
func (s *Server) Sync(ctx context.Context, q *rpc.SyncRequest) (*rpc.SyncReply, error) {
	if q.GetHost().GetName() == "" {
		return nil, twirp.RequiredArgumentError("host")
	}
	began := s.cfg.Timer.Now()
	machine, term, leader := s.replica.Leads(ctx)
	if machine == nil {
		return &rpc.SyncReply{
			Leader: leader,
		}, nil
	}
	s.hosts.hear(began, q)
	s.doubt(q.GetSuspects())
	end := s.cfg.Timer.After(min(maxHold, time.Duration(q.GetWaitMs())*time.Millisecond))
	for {
		endpoints := s.table.Changed()
		hosts, _ := s.hosts.changes()
		document := machine.Changed()
		reply := s.syncReply(q, term, machine)
		if news(q, reply) {
			return s.confirm(ctx, reply, term, began), nil
		}
		select {
		case <-endpoints:
		case <-hosts:
		case <-document:
		case <-end:
			s.hosts.touch(s.cfg.Timer.Now(), q.GetHost().GetName())
			return s.confirm(ctx, s.syncReply(q, term, machine), term, began), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// news reports whether a reply brings more than a confirmation.
func news(q *rpc.SyncRequest, reply *rpc.SyncReply) bool {
	return reply.GetDocument() != nil || len(reply.GetEndpoints()) > 0 || reply.GetWhole() ||
		reply.GetHostsVersion() != q.GetHostsVersion()
}

// confirm completes a reply if this replica still leads in the same term.
func (s *Server) confirm(ctx context.Context, reply *rpc.SyncReply, term uint64, began time.Time) *rpc.SyncReply {
	machine, now, leader := s.replica.Leads(ctx)
	if machine == nil || now != term {
		return &rpc.SyncReply{
			Leader: leader,
		}
	}
	reply.Confirmed = true
	reply.HeldMs = uint32(s.cfg.Timer.Now().Sub(began).Milliseconds())
	return reply
}

func (s *Server) syncReply(q *rpc.SyncRequest, term uint64, machine *state.Machine) *rpc.SyncReply {
	settled := s.settled(term)
	epoch := epochOf(term, settled)
	reply := &rpc.SyncReply{
		Epoch:    epoch,
		Whole:    q.GetEpoch() != epoch,
		Replicas: s.replica.Members(),
		Settled:  settled,
		Loads:    s.hosts.loadsBut(q.GetHost().GetName()),
	}
	since := q.GetEndpointsVersion()
	if reply.Whole {
		since = 0
	}
	list, version := s.table.Since(since)
	reply.Endpoints = fleet.EndpointsToWire(list, s.cfg.Timer.Now())
	reply.EndpointsVersion = version
	reply.Hosts, reply.HostsVersion = s.hosts.list(q.GetHostsVersion(), reply.Whole)
	doc := machine.Document()
	reply.Newest = doc.GetVersion()
	if doc.GetVersion() > q.GetDocumentVersion() && s.hosts.mayHaveDocument(s.cfg.Timer.Now(), q.GetHost().GetName()) {
		reply.Document = doc
	}
	return reply
}

// epochOf numbers the lists of endpoints that hosts are sent whole: one when a
// term begins, and one when every endpoint had time to announce itself, so that
// hosts forget those that did not.
func epochOf(term uint64, settled bool) uint64 {
	if settled {
		return 2*term + 1
	}
	return 2 * term
}
