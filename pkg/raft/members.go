package raft

import "github.com/larchwinch/larchwinch/pkg/rpc"

// updateMembers makes the last membership in the log the current one. For
// safety, Raft uses a membership from the time it is appended, not from its
// commit.
func (c *Core) updateMembers() {
	before := c.members
	c.members = c.baseMembers
	c.membersIndex = c.log.base
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if m := c.log.entries[i].GetMembers(); m != nil {
			c.members = m
			c.membersIndex = c.log.entries[i].GetIndex()
			break
		}
	}
	if c.role == Leader {
		c.updatePeers()
	}
	if c.members != before {
		c.drawTimeout() // its range depends on the members
	}
}

// membersAt returns the membership at index.
func (c *Core) membersAt(index uint64) *rpc.Members {
	for _, e := range reverse(c.log.slice(c.log.base, index, 1<<30)) {
		if m := e.GetMembers(); m != nil {
			return m
		}
	}
	return c.baseMembers
}

func reverse(entries []*rpc.LogEntry) []*rpc.LogEntry {
	out := make([]*rpc.LogEntry, 0, len(entries))
	for i := len(entries) - 1; i >= 0; i-- {
		out = append(out, entries[i])
	}
	return out
}

func (c *Core) isMember(id uint64) bool {
	for _, m := range c.members.GetList() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

// hasQuorum reports whether pred returns true for a majority of the members.
func (c *Core) hasQuorum(pred func(id uint64) bool) bool {
	n := 0
	for _, m := range c.members.GetList() {
		if pred(m.GetId()) {
			n++
		}
	}
	return n > len(c.members.GetList())/2
}

// SetLearners sets the replicas that receive the log whenever this replica leads. A
// learner that is a member, too, counts as a member only.
func (c *Core) SetLearners(ids []uint64) {
	c.learners = ids
	if c.role == Leader {
		c.updatePeers()
	}
}

// Match returns the last index that a replica is known to hold durably; 0 if this
// replica isn't the leader, or the other one is neither a member nor a learner.
func (c *Core) Match(id uint64) uint64 {
	if c.role != Leader || id != c.cfg.ID && c.peers[id] == nil {
		return 0
	}
	return c.matchOf(id)
}

// updatePeers adds and removes entries of peers to match the current membership and
// the learners.
func (c *Core) updatePeers() {
	wanted := map[uint64]bool{}
	for _, m := range c.members.GetList() {
		wanted[m.GetId()] = true
	}
	for _, id := range c.learners {
		wanted[id] = true
	}
	delete(wanted, c.cfg.ID)
	for id := range c.peers {
		if !wanted[id] {
			delete(c.peers, id)
		}
	}
	for id := range wanted {
		if c.peers[id] != nil {
			continue
		}
		c.peers[id] = &progress{
			next:   c.log.last() + 1,
			active: true,
		}
	}
}

// countMemberChanges returns how many replicas are in only one of the two lists.
func countMemberChanges(a, b *rpc.Members) int {
	in := map[uint64]int{}
	for _, m := range a.GetList() {
		in[m.GetId()]++
	}
	for _, m := range b.GetList() {
		in[m.GetId()]--
	}
	n := 0
	for _, d := range in {
		if d != 0 {
			n++
		}
	}
	return n
}
