package raft

import "github.com/larchwinch/larchwinch/pkg/rpc"

// updateMembers makes the last membership in the log the current one. For
// safety, Raft uses a membership from the time it is appended, not from its
// commit.
func (c *Core) updateMembers() {
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

// updatePeers adds and removes entries of peers to match the current membership.
func (c *Core) updatePeers() {
	for id := range c.peers {
		if !c.isMember(id) {
			delete(c.peers, id)
		}
	}
	for _, m := range c.members.GetList() {
		id := m.GetId()
		if id == c.cfg.ID || c.peers[id] != nil {
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
