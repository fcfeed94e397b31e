package replica

import (
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// isolate blocks all messages between a host and the others.
func (s *simulation) isolate(id uint64) {
	for _, other := range s.ids() {
		if other != id {
			s.blockedLinks[[2]uint64{id, other}] = true
			s.blockedLinks[[2]uint64{other, id}] = true
		}
	}
}

// forceLeaderChange isolates or freezes the leader for a number of ticks, in
// which another may be elected. It then writes to and reads from all hosts, so
// that an old and a new leader serve requests before they learn of each other.
func (s *simulation) forceLeaderChange(freeze bool, ticks int) {
	old := s.leader()
	if old == nil {
		return
	}
	for range 2 {
		s.propose(old.id)
	}
	if freeze {
		old.frozen = true
	} else {
		s.isolate(old.id)
	}
	for range ticks {
		s.tick()
		s.deliverSome(true)
		s.read(old.id)
	}
	s.propose(old.id)
	for _, id := range s.ids() {
		s.propose(id)
	}
	for range 4 {
		s.deliverSome(false)
	}
	old.frozen = false
	for _, id := range s.ids() {
		s.read(id)
	}
}

// leader returns a running host that is a leader, or nil.
func (s *simulation) leader() *simHost {
	for _, id := range s.ids() {
		if h := s.hosts[id]; h.up() && h.node.core.Role() == raft.Leader {
			return h
		}
	}
	return nil
}

// loseDisk removes a host permanently and starts its replacement by a new one.
func (s *simulation) loseDisk(id uint64) {
	if s.replacing != nil || s.hosts[id] == nil || s.removed[id] {
		return
	}
	s.crash(id)
	delete(s.hosts, id)
	s.beginReplacement(id)
}

// loseDiskDuringPowerLoss removes a host permanently while all others crash, and
// restarts the others.
func (s *simulation) loseDiskDuringPowerLoss(id uint64) {
	s.loseDisk(id)
	for _, other := range s.ids() {
		s.crash(other)
	}
	for _, other := range s.ids() {
		if s.hosts[other].node == nil {
			s.start(other)
		}
	}
}

// replaceRunning starts the replacement of a host that keeps running.
func (s *simulation) replaceRunning(id uint64) {
	if s.replacing != nil || s.hosts[id] == nil || s.removed[id] {
		return
	}
	s.removed[id] = true
	s.beginReplacement(id)
}

func (s *simulation) beginReplacement(id uint64) {
	added := uint64(100 + s.rnd.Uint64N(1<<32))
	s.addHost(added)
	s.start(added)
	s.replacing = &replacement{
		removedID: id,
		addedID:   added,
	}
}

// continueReplacement proposes the next membership change of the replacement in
// progress, if there is one.
func (s *simulation) continueReplacement() {
	if s.replacing == nil {
		return
	}
	if h := s.leader(); h != nil {
		s.continueReplacementAt(h)
	}
}

func (s *simulation) continueReplacementAt(h *simHost) {
	next := &rpc.Members{}
	hasRemoved, hasAdded := false, false
	for _, m := range h.node.core.Members().GetList() {
		hasRemoved = hasRemoved || m.GetId() == s.replacing.removedID
		hasAdded = hasAdded || m.GetId() == s.replacing.addedID
		if m.GetId() != s.replacing.removedID {
			next.List = append(next.List, m)
		}
	}
	switch {
	case hasRemoved:
	case !hasAdded:
		next.List = append(next.List, &rpc.Member{
			Id:      s.replacing.addedID,
			Address: s.hosts[s.replacing.addedID].address,
		})
	case !containsMember(h.node.core.MembersAt(h.node.core.Commit()), s.replacing.addedID):
		return // not committed: the change may still be lost with this leader
	case s.hosts[s.replacing.addedID].up() && s.hosts[s.replacing.addedID].node.core.Commit() >= h.node.core.Commit():
		s.replacing = nil
		return
	default:
		return
	}
	h.node.handleRequest(request{
		members: next,
		reply:   make(chan result, 1),
	})
	s.advance(h)
}
