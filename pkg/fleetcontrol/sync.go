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

// maxLongPoll bounds how long a long poll without changes is held open.
const maxLongPoll = time.Second

// leadership tells whether this replica leads, and which replicas there are.
type leadership interface {
	// Leads returns the state and the term if this replica leads, and otherwise the
	// address of the probable leader, if one is known.
	Leads(ctx context.Context) (machine *state.Machine, term uint64, leader string)
	// Members returns the addresses of the replicas.
	Members() []string
	// Propose proposes a command to the log, and returns what the state answered.
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Sync implements rpc.Fleet. The leader holds the long poll open until there are
// changes. A confirmed reply reflects the state at the time of the answer.
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
	s.applyDepartures(machine)
	first := s.hosts.observe(began, q)
	s.observeNotices(q)
	s.probeSuspected(q.GetSuspects())
	s.observeCrashes(q, machine, term)
	s.observeLimits(q, term)
	s.admission.observe(q, term)
	s.full.observe(began, q)
	wait := min(maxLongPoll, time.Duration(q.GetWaitMs())*time.Millisecond)
	if first && q.GetEpoch() == 0 {
		wait = 0 // the host has just started and serves no requests yet
	}
	if s.awaitChanges(ctx, q, term, machine, wait) != nil {
		return nil, ctx.Err()
	}
	now := s.cfg.Timer.Now()
	s.hosts.touch(now, q.GetHost().GetName())
	return s.confirm(ctx, s.syncReply(q, term, machine, now), term, began), nil
}

// awaitChanges returns once there are changes that the host lacks and the batching
// delay has passed, or once wait has passed; it fails if ctx ends before. For a host
// that has no state yet it only waits for the batching delay.
func (s *Server) awaitChanges(ctx context.Context, q *rpc.SyncRequest, term uint64, machine *state.Machine, wait time.Duration) error {
	delay := s.hosts.batchDelay()
	if q.GetEpoch() == 0 || q.GetDocumentVersion() == 0 && machine.Document() != nil {
		return timer.Sleep(ctx, s.cfg.Timer, min(delay, wait))
	}
	end := s.cfg.Timer.After(wait)
	if delay >= wait {
		return waitUntil(ctx, end)
	}
	if err := timer.Sleep(ctx, s.cfg.Timer, delay); err != nil {
		return err
	}
	for {
		endpoints := s.table.Changed()
		document := machine.Changed()
		limits := s.granter.Changed()
		shortages := s.admission.Changed()
		if s.hasChanges(q, term, machine) {
			return nil
		}
		select {
		case <-endpoints:
		case <-document:
		case <-limits:
		case <-shortages:
		case <-end:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitUntil returns nil at end, or an error once ctx has ended.
func waitUntil(ctx context.Context, end <-chan time.Time) error {
	select {
	case <-end:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hasChanges reports whether the host lacks changes that end its long poll early.
func (s *Server) hasChanges(q *rpc.SyncRequest, term uint64, machine *state.Machine) bool {
	return s.table.Version() != q.GetEndpointsVersion() ||
		epochOf(term, s.settled(term)) != q.GetEpoch() ||
		s.coordinator.current(machine).digest != q.GetSuspectsDigest() ||
		!s.granter.UpToDate(q.GetLimitsTerm(), q.GetLimitsVersion()) ||
		s.admission.hasChanges(q, term, s.cfg.Timer.Now()) ||
		machine.Document().GetVersion() > q.GetDocumentVersion() &&
			s.hosts.documentDue(s.cfg.Timer.Now(), q.GetHost().GetName())
}

// confirm marks the reply as confirmed if this replica still leads in the same term;
// otherwise it returns one that only names the leader.
func (s *Server) confirm(ctx context.Context, reply *rpc.SyncReply, term uint64, began time.Time) *rpc.SyncReply {
	machine, currentTerm, leader := s.leadership.Leads(ctx)
	if machine == nil || currentTerm != term {
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
	s.addEndpoints(q, reply, now)
	s.addAddresses(q, reply, term, now)
	s.addDecisions(q, reply, machine)
	s.addGrants(q, reply, machine)
	s.addBackoffs(q, reply)
	s.addLimits(q, reply, term)
	s.admission.addTo(reply, q, term, now)
	s.addFull(q, reply, now)
	doc := machine.Document()
	reply.Newest = doc.GetVersion()
	if doc.GetVersion() > q.GetDocumentVersion() && s.hosts.allowDocument(now, name) {
		s.addDocument(q, reply, doc)
	}
	return reply
}

// leaveReportPeriod is for how long leave announcements are sent ahead of the full
// list. The full list reaches every host sooner than that.
const leaveReportPeriod = 10 * time.Second

// addEndpoints adds the endpoints that the host lacks: those that changed since its
// last call, or the full list if many changed, or if the host followed another epoch
// and holds a different set. A host that holds the same set gets only the version. If
// the bandwidth allowance doesn't permit the full list now, the host gets the recent
// leave announcements only, and the rest with a later call: it must stop sending to
// leaving endpoints within seconds, and sending lists of 3,000 endpoints to 300 hosts
// takes three.
func (s *Server) addEndpoints(q *rpc.SyncRequest, reply *rpc.SyncReply, now time.Time) {
	minVersion := uint64(0)
	if q.GetEpoch() == reply.GetEpoch() {
		list, version, few := s.table.ChangesUpTo(q.GetEndpointsVersion(), maxChangedEntries)
		if few {
			reply.Endpoints = fleet.EndpointsToWire(list, now)
			reply.EndpointsVersion = version
			return
		}
		minVersion = q.GetEndpointsVersion()
	}
	all := s.endpointList.get(s.table, now, minVersion)
	if all.digest == q.GetEndpointsDigest() {
		reply.EndpointsVersion = all.version
		return
	}
	if !s.endpointList.allow(now, all) {
		reply.Epoch = q.GetEpoch()
		reply.EndpointsVersion = q.GetEndpointsVersion()
		reply.Endpoints = fleet.EndpointsToWire(s.table.LeavingSince(now.Add(-leaveReportPeriod)), now)
		return
	}
	reply.EndpointsVersion = all.version
	reply.Whole = true
	reply.PackedEndpoints = all.packed
}

// addAddresses adds the entry hosts that callers may be told of, once every entry
// host has had time to call this leader. Until then a host that holds addresses keeps
// them.
func (s *Server) addAddresses(q *rpc.SyncRequest, reply *rpc.SyncReply, term uint64, now time.Time) {
	reply.AddressesDigest = q.GetAddressesDigest()
	if q.GetAddressesDigest() != 0 && !s.hostsKnown(term, now) {
		return
	}
	list, digest, ready := s.hosts.addresses(now, q.GetHost().GetName(), q.GetAddressesDigest())
	reply.Addresses = list
	reply.AddressesDigest = digest
	reply.Hosts = uint32(ready)
}

// hostsKnown reports whether every entry host has had time to call this leader.
func (s *Server) hostsKnown(term uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading.term == term && now.Sub(s.leading.since) > hostTimeout
}

// epochOf returns the epoch of the endpoint lists. It changes when a term begins, and
// when every endpoint has had time to announce itself. A host that followed another
// epoch gets the full list, unless it holds the same set already, and so drops endpoints
// that have not announced themselves.
func epochOf(term uint64, settled bool) uint64 {
	if settled {
		return 2*term + 1
	}
	return 2 * term
}
