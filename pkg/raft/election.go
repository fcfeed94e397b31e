package raft

import "github.com/larchwinch/larchwinch/pkg/rpc"

// Step handles a message from another replica.
func (c *Core) Step(m *rpc.RaftMessage) {
	if m.GetTerm() > c.term && !c.stepHigherTerm(m) {
		return
	}
	if m.GetTerm() < c.term {
		c.stepLowerTerm(m)
		return
	}
	switch m.GetKind() {
	case rpc.RaftKind_RAFT_PRE_VOTE:
		c.stepPreVote(m)
	case rpc.RaftKind_RAFT_VOTE:
		c.stepVote(m)
	case rpc.RaftKind_RAFT_PRE_VOTE_REPLY:
		c.stepVoteReply(m, PreCandidate)
	case rpc.RaftKind_RAFT_VOTE_REPLY:
		c.stepVoteReply(m, Candidate)
	case rpc.RaftKind_RAFT_APPEND:
		c.stepAppend(m)
	case rpc.RaftKind_RAFT_APPEND_REPLY:
		c.stepAppendReply(m)
	case rpc.RaftKind_RAFT_SNAPSHOT:
		c.stepSnapshot(m)
	case rpc.RaftKind_RAFT_SNAPSHOT_REPLY:
		c.stepSnapshotReply(m)
	default:
	}
}

// stepHigherTerm handles a message of a higher term. It reports whether the
// caller must still handle the message as one of the current term.
func (c *Core) stepHigherTerm(m *rpc.RaftMessage) bool {
	switch m.GetKind() {
	case rpc.RaftKind_RAFT_PRE_VOTE:
		c.stepPreVote(m)
		return false
	case rpc.RaftKind_RAFT_PRE_VOTE_REPLY:
		if !m.GetReject() {
			c.stepVoteReply(m, PreCandidate)
			return false
		}
	case rpc.RaftKind_RAFT_VOTE:
		if c.leaseMayBeHeld() {
			return false // the leader's lease relies on votes being refused
		}
	default:
	}
	c.becomeFollower(m.GetTerm(), 0)
	return true
}

// stepLowerTerm rejects a message of a lower term, so that its sender learns the
// current term.
func (c *Core) stepLowerTerm(m *rpc.RaftMessage) {
	reply := &rpc.RaftMessage{
		To:     m.GetFrom(),
		Reject: true,
	}
	switch m.GetKind() {
	case rpc.RaftKind_RAFT_PRE_VOTE:
		reply.Kind = rpc.RaftKind_RAFT_PRE_VOTE_REPLY
	case rpc.RaftKind_RAFT_VOTE:
		reply.Kind = rpc.RaftKind_RAFT_VOTE_REPLY
	case rpc.RaftKind_RAFT_APPEND, rpc.RaftKind_RAFT_SNAPSHOT:
		reply.Kind = rpc.RaftKind_RAFT_APPEND_REPLY
		reply.LogIndex = m.GetLogIndex()
		reply.Hint = c.log.last()
	default:
		return
	}
	c.send(reply)
}

// leaseMayBeHeld reports whether a leader may hold a lease that relies on this
// replica refusing votes. A replica that has just started cannot know, and so
// assumes that one does.
func (c *Core) leaseMayBeHeld() bool {
	return c.electionElapsed < c.cfg.ElectionTicks && (c.leader != 0 || c.role == Follower)
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.term {
		c.term = term
		c.vote = 0
	}
	if c.role == Leader {
		c.failReads()
		c.resetTimeout()
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.incoming = nil
}

// campaign requests votes. A PreCandidate changes no durable state, so a replica
// that was partitioned does not disrupt the others when it reconnects.
func (c *Core) campaign(as Role) {
	c.role = as
	c.leader = 0
	c.votes = map[uint64]bool{
		c.cfg.ID: true,
	}
	c.resetTimeout()
	kind := rpc.RaftKind_RAFT_PRE_VOTE
	term := c.term + 1
	if as == Candidate {
		c.term++
		c.vote = c.cfg.ID
		kind = rpc.RaftKind_RAFT_VOTE
		term = c.term
	}
	if c.countVotes() {
		return
	}
	for _, p := range c.members.GetList() {
		if p.GetId() == c.cfg.ID {
			continue
		}
		c.send(&rpc.RaftMessage{
			Kind:     kind,
			To:       p.GetId(),
			Term:     term,
			LogIndex: c.log.last(),
			LogTerm:  c.log.lastTerm(),
		})
	}
}

func (c *Core) stepPreVote(m *rpc.RaftMessage) {
	grant := m.GetTerm() > c.term && !c.leaseMayBeHeld() && c.role != Leader &&
		c.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	reply := &rpc.RaftMessage{
		Kind:   rpc.RaftKind_RAFT_PRE_VOTE_REPLY,
		To:     m.GetFrom(),
		Reject: !grant,
	}
	if grant {
		reply.Term = m.GetTerm()
	}
	c.send(reply)
}

func (c *Core) stepVote(m *rpc.RaftMessage) {
	canVote := c.vote == 0 || c.vote == m.GetFrom()
	grant := canVote && c.role == Follower && c.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	if grant {
		c.vote = m.GetFrom()
		c.leader = 0
		c.resetTimeout()
	}
	c.send(&rpc.RaftMessage{
		Kind:   rpc.RaftKind_RAFT_VOTE_REPLY,
		To:     m.GetFrom(),
		Reject: !grant,
	})
}

func (c *Core) stepVoteReply(m *rpc.RaftMessage, as Role) {
	if c.role != as || m.GetReject() {
		return
	}
	if as == PreCandidate && m.GetTerm() != c.term+1 {
		return
	}
	c.votes[m.GetFrom()] = true
	c.countVotes()
}

// countVotes advances to the next role if a majority granted its vote, and
// reports whether it did.
func (c *Core) countVotes() bool {
	if !c.hasQuorum(func(id uint64) bool { return c.votes[id] }) {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(Candidate)
		return true
	}
	c.becomeLeader()
	return true
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.electionElapsed = 0
	c.heartbeatElapsed = 0
	c.peers = map[uint64]*progress{}
	c.updatePeers()
	c.appendAsLeader(&rpc.LogEntry{}) // committing it commits the entries of earlier terms
	c.broadcastHeartbeat()
}
