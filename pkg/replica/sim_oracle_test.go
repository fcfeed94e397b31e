package replica

import (
	"encoding/binary"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/raft"
)

// checkRead checks that a confirmed read sees every write that was acknowledged
// before the read started.
func (s *simulation) checkRead(r *read, err error) {
	if err != nil || r.incarnation != r.host.incarnation {
		return
	}
	seen := map[uint64]bool{}
	for _, v := range r.host.stateMachine.values {
		seen[v] = true
	}
	for _, v := range s.ackedValues[:r.ackedBefore] {
		if !seen[v] {
			s.fail("host %d confirmed a read that does not see acknowledged write %d", r.host.id, v)
			return
		}
	}
}

// checkInvariants checks that at most one host holds the lease, that a term has
// at most one leader, and that all hosts apply the same history.
func (s *simulation) checkInvariants() {
	leaseHolders := 0
	for _, id := range s.ids() {
		h := s.hosts[id]
		if h.node == nil {
			continue
		}
		if h.node.HoldsLease() {
			leaseHolders++
		}
		s.checkLeader(h)
		s.checkHistory(h)
	}
	if leaseHolders > 1 {
		s.fail("%d hosts hold the leader lease", leaseHolders)
	}
	s.collectReplies()
}

func (s *simulation) checkLeader(h *simHost) {
	if h.node.core.Role() != raft.Leader {
		return
	}
	term := h.node.core.Term()
	if other, ok := s.leaderByTerm[term]; ok && other != h.id {
		s.fail("hosts %d and %d are both leader of term %d", other, h.id, term)
	}
	s.leaderByTerm[term] = h.id
}

func (s *simulation) checkHistory(h *simHost) {
	values := h.stateMachine.values
	for i := range min(len(values), len(s.longestHistory)) {
		if values[i] != s.longestHistory[i] {
			s.fail("host %d applied %d at position %d, another host applied %d", h.id, values[i], i, s.longestHistory[i])
			return
		}
	}
	if len(values) > len(s.longestHistory) {
		s.longestHistory = append([]uint64(nil), values...)
	}
}

// collectReplies checks the replies to reads, and records which writes were
// acknowledged.
func (s *simulation) collectReplies() {
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
				s.ackedValues = append(s.ackedValues, w.value)
			}
			if w.acked && binary.LittleEndian.Uint64(r.data) != w.value {
				s.fail("write %d received the reply to another write", w.value)
			}
		default:
		}
	}
}

// healAndCheck ends all faults, and checks that the cluster recovers and that
// its history contains every acknowledged write exactly once.
func (s *simulation) healAndCheck() error {
	s.blockedLinks = map[[2]uint64]bool{}
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
		s.continueReplacement()
	}
	if s.replacing != nil {
		s.fail("the replacement of host %d did not complete", s.replacing.removedID)
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
	return s.checkFinalState()
}

func (s *simulation) checkFinalState() error {
	seen := map[uint64]int{}
	for _, v := range s.longestHistory {
		seen[v]++
	}
	acked := 0
	for _, w := range s.writes {
		if w.acked {
			acked++
		}
		if w.acked && seen[w.value] != 1 {
			return errors.Errorf("acknowledged write %d is in the history %d times", w.value, seen[w.value])
		}
	}
	if acked == 0 || !s.writes[len(s.writes)-1].acked && !s.anyAcked(len(s.hosts)) {
		return errors.New("no write was accepted after all faults had ended")
	}
	for _, id := range s.ids() {
		if s.removed[id] {
			continue
		}
		if got := len(s.hosts[id].stateMachine.values); got != len(s.longestHistory) {
			return errors.Errorf("host %d applied %d of %d values", id, got, len(s.longestHistory))
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
