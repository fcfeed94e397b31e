package replica

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// Status is a replica's view of itself and of the cluster.
type Status struct {
	ID      uint64
	Role    raft.Role
	Term    uint64
	Leader  *rpc.Member
	Members *rpc.Members
	Commit  uint64
	Applied uint64
	// LeaseUntil is the time until which no other replica can be the leader; it
	// is zero if this replica is not the leader. It holds as long as no other
	// replica's clock runs more than maxClockDriftPercent faster than this
	// one's.
	LeaseUntil time.Time
	LogBytes   int64
	// Match is the last index that each member and learner is known to hold durably; it
	// is nil if this replica is not the leader.
	Match map[uint64]uint64
}

type guardedStatus struct {
	mu sync.Mutex
	s  Status
}

// Status returns the replica's current status.
func (n *Node) Status() Status {
	n.status.mu.Lock()
	defer n.status.mu.Unlock()
	return n.status.s
}

// HoldsLease reports whether no other replica can be the leader now. A process
// that was suspended and resumed finds its lease expired, since the clock
// continued to run.
func (n *Node) HoldsLease() bool {
	s := n.Status()
	return s.Role == raft.Leader && n.cfg.Timer.Now().Before(s.LeaseUntil)
}

func (n *Node) publishStatus() {
	s := Status{
		ID:       n.cfg.ID,
		Role:     n.core.Role(),
		Term:     n.core.Term(),
		Leader:   n.memberByID(n.core.Leader()),
		Members:  n.core.Members(),
		Commit:   n.core.Commit(),
		Applied:  n.applied,
		LogBytes: n.cfg.Store.LogBytes(),
	}
	if s.Role == raft.Leader {
		s.LeaseUntil = n.leaseUntil()
		s.Match = n.match()
	}
	n.status.mu.Lock()
	defer n.status.mu.Unlock()
	n.status.s = s
}

func (n *Node) match() map[uint64]uint64 {
	out := make(map[uint64]uint64, len(n.learners)+len(n.core.Members().GetList()))
	for _, list := range [][]*rpc.Member{n.core.Members().GetList(), n.learners} {
		for _, m := range list {
			out[m.GetId()] = n.core.Match(m.GetId())
		}
	}
	return out
}

// recordRoundStart records the start time of the current heartbeat round before
// its messages are sent.
func (n *Node) recordRoundStart() {
	r := n.core.Round()
	if _, known := n.roundSentAt[r]; !known {
		n.roundSentAt[r] = n.cfg.Timer.Now()
	}
}

// leaseUntil computes the lease from the time at which the last round that a
// majority answered was sent: each of these replicas refuses votes for an
// election timeout after receiving it. One tick is subtracted because a tick may
// fall right after the message.
func (n *Node) leaseUntil() time.Time {
	r := n.core.QuorumRound()
	for old := range n.roundSentAt {
		if old < r {
			delete(n.roundSentAt, old)
		}
	}
	sent, ok := n.roundSentAt[r]
	if !ok {
		return time.Time{}
	}
	promise := time.Duration(electionTicks-1) * n.cfg.Tick
	return sent.Add(promise * (100 - maxClockDriftPercent) / 100)
}

func (n *Node) answerReads(reads []raft.Read) {
	for _, r := range reads {
		reply, ok := n.reads[r.ID]
		if !ok {
			continue
		}
		delete(n.reads, r.ID)
		if r.OK {
			reply <- result{}
			continue
		}
		reply <- result{
			err: n.toNotLeaderError(raft.ErrNotLeader),
		}
	}
}
