package raft

import (
	"sort"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// progress is the leader's view of one follower.
//
// Invariant: match < next. Entries up to match are durable on the follower; next
// is an estimate that is advanced as entries are sent and reset when the
// follower rejects an append.
type progress struct {
	match          uint64
	next           uint64
	ackedRound     uint64 // last heartbeat round it answered
	active         bool   // has answered since the last quorum check
	snapshotOffset uint64 // offset of the snapshot chunk being sent
	snapshotIndex  uint64 // index of the snapshot being sent; 0 if none
	// probing is true from a rejection until an append is accepted. While it is
	// set, only one append is sent per reply: appends pipelined on a wrong guess
	// would each be rejected and cause another append.
	probing bool
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.checkQuorum()
	}
	if c.role == Leader && c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.broadcastHeartbeat()
	}
}

// checkQuorum steps down if no majority has answered within an election timeout,
// so that a partitioned leader stops serving.
func (c *Core) checkQuorum() {
	c.electionElapsed = 0
	active := c.hasQuorum(func(id uint64) bool {
		return id == c.cfg.ID || c.peers[id].active
	})
	if !active {
		c.becomeFollower(c.term, 0)
		return
	}
	for _, p := range c.peers {
		p.active = false
	}
}

// appendAsLeader appends an entry in the current term and returns its index.
func (c *Core) appendAsLeader(e *rpc.LogEntry) uint64 {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.log.append(e)
	c.pendingReady.Entries = append(c.pendingReady.Entries, e)
	if e.GetMembers() != nil {
		c.updateMembers()
	}
	return e.GetIndex()
}

// broadcastHeartbeat starts a new heartbeat round with all followers.
func (c *Core) broadcastHeartbeat() {
	c.heartbeatElapsed = 0
	c.round++
	for _, id := range c.peerIDs() {
		c.sendAppend(id, true)
	}
	c.confirmReads()
}

// flushAppends sends each follower the entries that it has not been sent yet.
func (c *Core) flushAppends() {
	if c.role != Leader {
		return
	}
	for _, id := range c.peerIDs() {
		if p := c.peers[id]; p.next <= c.log.last() && !p.probing {
			c.sendAppend(id, false)
		}
	}
}

func (c *Core) peerIDs() []uint64 {
	ids := make([]uint64, 0, len(c.peers))
	for id := range c.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// sendAppend sends the follower the entries from next on, or a snapshot chunk if
// those were compacted. A heartbeat is sent even without entries, and sends the
// current snapshot chunk again.
func (c *Core) sendAppend(id uint64, heartbeat bool) {
	p := c.peers[id]
	prev := p.next - 1
	prevTerm, held := c.log.term(prev)
	if !held || p.snapshotIndex != 0 {
		if heartbeat || p.snapshotIndex == 0 {
			c.sendChunk(id)
		}
		return
	}
	entries := c.log.slice(prev, c.log.last(), c.cfg.MaxAppendBytes)
	if len(entries) == 0 && !heartbeat {
		return
	}
	p.next += uint64(len(entries))
	c.pendingReady.Early = append(c.pendingReady.Early, &rpc.RaftMessage{
		Kind:     rpc.RaftKind_RAFT_APPEND,
		From:     c.cfg.ID,
		To:       id,
		Term:     c.term,
		LogIndex: prev,
		LogTerm:  prevTerm,
		Entries:  entries,
		Commit:   c.commit,
		Round:    c.round,
	})
}

func (c *Core) stepAppend(m *rpc.RaftMessage) {
	c.followLeader(m.GetFrom())
	reply := &rpc.RaftMessage{
		Kind:  rpc.RaftKind_RAFT_APPEND_REPLY,
		To:    m.GetFrom(),
		Round: m.GetRound(),
	}
	prev := m.GetLogIndex()
	if prev < c.commit {
		reply.LogIndex = c.commit // committed entries are the same on every replica
		c.send(reply)
		return
	}
	if t, ok := c.log.term(prev); !ok || t != m.GetLogTerm() {
		reply.Reject = true
		reply.LogIndex = prev
		reply.Hint = c.matchHint(prev, m.GetLogTerm())
		c.send(reply)
		return
	}
	c.appendFromLeader(m.GetEntries())
	matched := prev + uint64(len(m.GetEntries()))
	c.commit = max(c.commit, min(m.GetCommit(), matched))
	reply.LogIndex = matched
	c.send(reply)
}

func (c *Core) followLeader(id uint64) {
	isNew := c.leader != id
	if c.role != Follower {
		c.becomeFollower(c.term, id)
	}
	c.leader = id
	if isNew {
		c.drawTimeout()
	}
	c.electionElapsed = 0
}

// matchHint returns the last index that could match a log whose entry at prev
// has the given term.
func (c *Core) matchHint(prev, term uint64) uint64 {
	i := min(prev, c.log.last())
	for i > c.commit {
		if t, _ := c.log.term(i); t <= term && i < prev {
			break
		}
		i--
	}
	return i
}

// appendFromLeader appends the entries that are missing from the log, after
// truncating any that conflict with them.
func (c *Core) appendFromLeader(entries []*rpc.LogEntry) {
	for i, e := range entries {
		if t, ok := c.log.term(e.GetIndex()); ok && t == e.GetTerm() {
			continue
		}
		if e.GetIndex() <= c.log.last() {
			c.log.truncate(e.GetIndex())
			c.durable = min(c.durable, e.GetIndex()-1)
			c.dropPendingEntries(e.GetIndex())
		}
		for _, added := range entries[i:] {
			c.log.append(added)
			c.pendingReady.Entries = append(c.pendingReady.Entries, added)
		}
		c.updateMembers()
		return
	}
}

// dropPendingEntries removes the entries from index on from the pending Ready.
func (c *Core) dropPendingEntries(index uint64) {
	for i, e := range c.pendingReady.Entries {
		if e.GetIndex() >= index {
			c.pendingReady.Entries = c.pendingReady.Entries[:i:i]
			return
		}
	}
}

func (c *Core) stepAppendReply(m *rpc.RaftMessage) {
	p := c.peers[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.active = true
	p.ackedRound = max(p.ackedRound, m.GetRound())
	c.confirmReads()
	if m.GetReject() {
		if m.GetLogIndex() > p.match {
			p.probing = true
			p.next = max(p.match+1, min(m.GetLogIndex(), m.GetHint()+1))
			c.sendAppend(m.GetFrom(), true)
		}
		return
	}
	p.probing = false
	if m.GetLogIndex() > p.match {
		p.match = m.GetLogIndex()
		p.next = max(p.next, p.match+1)
		p.snapshotIndex = 0
		c.advanceCommit()
	}
}

// advanceCommit commits the entries that are durable on a majority, if the last
// of them is of the current term: an entry of an earlier term can be on a
// majority and still be replaced.
func (c *Core) advanceCommit() {
	matches := make([]uint64, 0, len(c.members.GetList()))
	for _, m := range c.members.GetList() {
		matches = append(matches, c.matchOf(m.GetId()))
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	n := matches[len(matches)/2]
	if t, ok := c.log.term(n); !ok || t != c.term || n <= c.commit {
		return
	}
	c.commit = n
	if !c.isMember(c.cfg.ID) && c.membersIndex <= c.commit {
		c.becomeFollower(c.term, 0)
		return
	}
	c.broadcastCommit()
}

// broadcastCommit sends followers the commit index at once, so that they do not
// wait for the next heartbeat to apply entries.
func (c *Core) broadcastCommit() {
	for _, id := range c.peerIDs() {
		c.sendAppend(id, true)
	}
}

func (c *Core) matchOf(id uint64) uint64 {
	if id == c.cfg.ID {
		return c.durable
	}
	return c.peers[id].match
}

func (c *Core) committedInCurrentTerm() bool {
	t, ok := c.log.term(c.commit)
	return ok && t == c.term
}
