package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/twitchtv/twirp"
)

// maxHold bounds how long a call without news is held.
const maxHold = time.Second

// leadership tells whether this replica leads, and who the replicas are.
type leadership interface {
	// Leads returns the state and the term if this replica leads, and else the
	// address of who may.
	Leads(ctx context.Context) (machine *state.Machine, term uint64, leader string)
	// Members returns the addresses of the replicas.
	Members() []string
}

// Sync implements rpc.Fleet. The leader holds the call until there is news;
// its answer is true of the moment at which it was given.
func (s *Server) Sync(ctx context.Context, q *rpc.SyncRequest) (*rpc.SyncReply, error) {
	if q.GetHost().GetName() == "" {
		return nil, twirp.RequiredArgumentError("host")
	}
	began := s.cfg.Timer.Now()
	machine, term, leader := s.leadership.Leads(ctx)
	if machine == nil {
		return &rpc.SyncReply{
			Leader: leader,
		}, nil
	}
	first := s.hosts.hear(began, q)
	s.hearWords(q)
	s.doubt(q.GetSuspects())
	s.hearEnds(q, machine, term)
	s.hearLimits(q, term)
	wait := min(maxHold, time.Duration(q.GetWaitMs())*time.Millisecond)
	if first && q.GetEpoch() == 0 {
		wait = 0 // it serves nobody yet
	}
	if s.awaitNews(ctx, q, term, machine, wait) != nil {
		return nil, ctx.Err()
	}
	now := s.cfg.Timer.Now()
	s.hosts.touch(now, q.GetHost().GetName())
	return s.confirm(ctx, s.syncReply(q, term, machine, now), term, began), nil
}

// awaitNews returns once there is news for a host and it has had time to gather,
// or wait is over; an error if ctx ended before. A host that knows nothing yet
// doesn't wait for news.
func (s *Server) awaitNews(ctx context.Context, q *rpc.SyncRequest, term uint64, machine *state.Machine, wait time.Duration) error {
	gather := s.hosts.gather()
	if q.GetEpoch() == 0 || q.GetDocumentVersion() == 0 && machine.Document() != nil {
		return timer.Sleep(ctx, s.cfg.Timer, min(gather, wait))
	}
	end := s.cfg.Timer.After(wait)
	if gather >= wait {
		return await(ctx, end)
	}
	if err := timer.Sleep(ctx, s.cfg.Timer, gather); err != nil {
		return err
	}
	for {
		endpoints := s.table.Changed()
		document := machine.Changed()
		limits := s.lender.Changed()
		if s.news(q, term, machine) {
			return nil
		}
		select {
		case <-endpoints:
		case <-document:
		case <-limits:
		case <-end:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// await returns at end, or with an error once ctx has ended.
func await(ctx context.Context, end <-chan time.Time) error {
	select {
	case <-end:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// news reports whether a host lacks anything that can't wait until its call ends.
func (s *Server) news(q *rpc.SyncRequest, term uint64, machine *state.Machine) bool {
	return s.table.Version() != q.GetEndpointsVersion() ||
		epochOf(term, s.settled(term)) != q.GetEpoch() ||
		s.court.current(machine).digest != q.GetSuspectsDigest() ||
		!s.lender.UpToDate(q.GetLimitsTerm(), q.GetLimitsVersion()) ||
		machine.Document().GetVersion() > q.GetDocumentVersion() &&
			s.hosts.documentDue(s.cfg.Timer.Now(), q.GetHost().GetName())
}

// confirm completes a reply if this replica still leads in the same term.
func (s *Server) confirm(ctx context.Context, reply *rpc.SyncReply, term uint64, began time.Time) *rpc.SyncReply {
	machine, now, leader := s.leadership.Leads(ctx)
	if machine == nil || now != term {
		return &rpc.SyncReply{
			Leader: leader,
		}
	}
	reply.Confirmed = true
	reply.HeldMs = uint32(s.cfg.Timer.Now().Sub(began).Milliseconds())
	return reply
}

func (s *Server) syncReply(q *rpc.SyncRequest, term uint64, machine *state.Machine, now time.Time) *rpc.SyncReply {
	name := q.GetHost().GetName()
	settled := s.settled(term)
	reply := &rpc.SyncReply{
		Epoch:    epochOf(term, settled),
		Replicas: s.leadership.Members(),
		Settled:  settled,
		Loads:    s.hosts.loads(now, name),
	}
	s.tellEndpoints(q, reply, now)
	s.tellAddresses(q, reply, term, now)
	s.tellSuspects(q, reply, machine)
	s.tellRests(q, reply)
	s.tellLimits(q, reply, term)
	doc := machine.Document()
	reply.Newest = doc.GetVersion()
	if doc.GetVersion() > q.GetDocumentVersion() && s.hosts.mayHaveDocument(now, name) {
		s.tellDocument(q, reply, doc)
	}
	return reply
}

// leaveKeep is how long ago an endpoint may have said that it leaves of which hosts
// are told ahead of the list: these come to every host in less.
const leaveKeep = 10 * time.Second

// tellEndpoints adds the endpoints that a host lacks: those that changed since
// its last call, or all of them if it holds another set and followed another
// epoch until now. Of the same set it is only told the version. Where there is no room
// for all of them it is told of those that leave: to send nothing there is due within
// seconds, and lists of 3,000 endpoints to 300 hosts take three.
func (s *Server) tellEndpoints(q *rpc.SyncRequest, reply *rpc.SyncReply, now time.Time) {
	least := uint64(0)
	if q.GetEpoch() == reply.GetEpoch() {
		list, version, few := s.table.ChangesUpTo(q.GetEndpointsVersion(), manyRows)
		if few {
			reply.Endpoints = fleet.EndpointsToWire(list, now)
			reply.EndpointsVersion = version
			return
		}
		least = q.GetEndpointsVersion()
	}
	all := s.listing.of(s.table, now, least)
	if all.digest == q.GetEndpointsDigest() {
		reply.EndpointsVersion = all.version
		return
	}
	if !s.listing.room(now, all) {
		reply.Epoch = q.GetEpoch()
		reply.EndpointsVersion = q.GetEndpointsVersion()
		reply.Endpoints = fleet.EndpointsToWire(s.table.LeavingSince(now.Add(-leaveKeep)), now)
		return
	}
	reply.EndpointsVersion = all.version
	reply.Whole = true
	reply.PackedEndpoints = all.packed
}

// tellAddresses adds the hosts that callers may be told of, once this leader has
// heard of all that there are; until then a host names those that it holds.
func (s *Server) tellAddresses(q *rpc.SyncRequest, reply *rpc.SyncReply, term uint64, now time.Time) {
	reply.AddressesDigest = q.GetAddressesDigest()
	if q.GetAddressesDigest() != 0 && !s.heardAll(term, now) {
		return
	}
	list, digest, ready := s.hosts.addresses(now, q.GetHost().GetName(), q.GetAddressesDigest())
	reply.Addresses = list
	reply.AddressesDigest = digest
	reply.Hosts = uint32(ready)
}

// heardAll reports whether every entry host had time to call this leader.
func (s *Server) heardAll(term uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading.term == term && now.Sub(s.leading.since) > hostGone
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
