package replica

import (
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// isolate cuts a host off from all others, both ways.
func (s *simulation) isolate(id uint64) {
	for _, other := range s.ids() {
		if other != id {
			s.cut[[2]uint64{id, other}] = true
			s.cut[[2]uint64{other, id}] = true
		}
	}
}

// usurp cuts the leader off or freezes it until another leads, writes there,
// and then asks both to read and write before they have heard of each other.
func (s *simulation) usurp(freeze bool, ticks int) {
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

// leader returns a host that leads and can be reached, or nil.
func (s *simulation) leader() *simHost {
	for _, id := range s.ids() {
		if h := s.hosts[id]; h.up() && h.node.core.Role() == raft.Leader {
			return h
		}
	}
	return nil
}

// loseDisk takes a host away for good, to be replaced by a new one.
func (s *simulation) loseDisk(id uint64) {
	if s.moving != nil || s.hosts[id] == nil || s.retired[id] {
		return
	}
	s.crash(id)
	delete(s.hosts, id)
	s.beginReplacement(id)
}

// darken takes a host's disk away while all other hosts lose power, and starts these
// again.
func (s *simulation) darken(id uint64) {
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

// retire replaces a host that is well and goes on running.
func (s *simulation) retire(id uint64) {
	if s.moving != nil || s.hosts[id] == nil || s.retired[id] {
		return
	}
	s.retired[id] = true
	s.beginReplacement(id)
}

func (s *simulation) beginReplacement(id uint64) {
	fresh := uint64(100 + s.rnd.Uint64N(1<<32))
	s.addHost(fresh)
	s.start(fresh)
	s.moving = &replacement{
		gone:  id,
		fresh: fresh,
	}
}

// replace goes on with the replacement that is under way.
func (s *simulation) replace() {
	if s.moving == nil {
		return
	}
	if h := s.leader(); h != nil {
		s.replaceAt(h)
	}
}

func (s *simulation) replaceAt(h *simHost) {
	next := &rpc.Members{}
	gone, fresh := false, false
	for _, m := range h.node.core.Members().GetList() {
		gone = gone || m.GetId() == s.moving.gone
		fresh = fresh || m.GetId() == s.moving.fresh
		if m.GetId() != s.moving.gone {
			next.List = append(next.List, m)
		}
	}
	switch {
	case gone:
	case !fresh:
		next.List = append(next.List, &rpc.Member{
			Id: s.moving.fresh,
		})
	case !has(h.node.core.MembersAt(h.node.core.Commit()), s.moving.fresh):
		return // not committed: it may still be lost with this leader
	case s.hosts[s.moving.fresh].up() && s.hosts[s.moving.fresh].node.core.Commit() >= h.node.core.Commit():
		s.moving = nil
		return
	default:
		return
	}
	h.node.take(request{
		members: next,
		reply:   make(chan result, 1),
	})
	s.advance(h)
}
