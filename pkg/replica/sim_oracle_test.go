package replica

import (
	"encoding/binary"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/raft"
)

// checkRead makes sure that a read that was let through sees every write that
// was acknowledged before it began.
func (s *simulation) checkRead(r *read, err error) {
	if err != nil || r.life != r.host.lives {
		return
	}
	seen := map[uint64]bool{}
	for _, v := range r.host.machine.values {
		seen[v] = true
	}
	for _, v := range s.acked[:r.must] {
		if !seen[v] {
			s.fail("host %d let a read through that doesn't see write %d", r.host.id, v)
			return
		}
	}
}

// check holds what is seen against the oracle.
func (s *simulation) check() {
	holders := 0
	for _, id := range s.ids() {
		h := s.hosts[id]
		if h.node == nil {
			continue
		}
		if h.node.HoldsLease() {
			holders++
		}
		s.checkLeader(h)
		s.checkHistory(h)
	}
	if holders > 1 {
		s.fail("%d hosts hold the order lease", holders)
	}
	s.collect()
}

func (s *simulation) checkLeader(h *simHost) {
	if h.node.core.Role() != raft.Leader {
		return
	}
	term := h.node.core.Term()
	if was, ok := s.leaders[term]; ok && was != h.id {
		s.fail("hosts %d and %d both lead term %d", was, h.id, term)
	}
	s.leaders[term] = h.id
}

func (s *simulation) checkHistory(h *simHost) {
	mine := h.machine.values
	for i := range min(len(mine), len(s.longest)) {
		if mine[i] != s.longest[i] {
			s.fail("host %d applied %d at place %d, and another host %d", h.id, mine[i], i, s.longest[i])
			return
		}
	}
	if len(mine) > len(s.longest) {
		s.longest = append([]uint64(nil), mine...)
	}
}

// collect notes which writes were acknowledged.
func (s *simulation) collect() {
	for _, r := range s.reads {
		select {
		case res := <-r.reply:
			s.checkRead(r, res.err)
		default:
		}
	}
	for _, w := range s.writes {
		select {
		case r := <-w.reply:
			w.acked = r.err == nil
			if w.acked {
				s.acked = append(s.acked, w.value)
			}
			if w.acked && binary.LittleEndian.Uint64(r.data) != w.value {
				s.fail("write %d got the answer of another", w.value)
			}
		default:
		}
	}
}

// settle ends every fault, and checks that the system comes back, with every
// acknowledged write in its history once.
func (s *simulation) settle() error {
	s.cut = map[[2]uint64]bool{}
	for _, id := range s.ids() {
		h := s.hosts[id]
		h.frozen = false
		h.disk.CrashIn(0)
		if h.node == nil {
			s.start(id)
		}
	}
	for range 400 {
		s.tick()
		s.deliverSome(false)
		s.replace()
	}
	if s.moving != nil {
		s.fail("the replacement of host %d never ended", s.moving.gone)
	}
	for _, id := range s.ids() {
		s.propose(id)
	}
	for range 40 {
		s.tick()
		s.deliverSome(false)
	}
	if s.err != nil {
		return s.err
	}
	return s.checkSettled()
}

func (s *simulation) checkSettled() error {
	seen := map[uint64]int{}
	for _, v := range s.longest {
		seen[v]++
	}
	acked := 0
	for _, w := range s.writes {
		if w.acked {
			acked++
		}
		if w.acked && seen[w.value] != 1 {
			return errors.Errorf("write %d was acknowledged and is %d times in the history", w.value, seen[w.value])
		}
	}
	if acked == 0 || !s.writes[len(s.writes)-1].acked && !s.anyAcked(len(s.hosts)) {
		return errors.New("no write is accepted after every fault has ended")
	}
	for _, id := range s.ids() {
		if s.retired[id] {
			continue
		}
		if got := len(s.hosts[id].machine.values); got != len(s.longest) {
			return errors.Errorf("host %d applied %d of %d values", id, got, len(s.longest))
		}
	}
	return nil
}

// anyAcked reports whether one of the last n writes was acknowledged.
func (s *simulation) anyAcked(n int) bool {
	for _, w := range s.writes[len(s.writes)-n:] {
		if w.acked {
			return true
		}
	}
	return false
}
