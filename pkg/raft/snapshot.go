package raft

import (
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// incomingSnapshot gathers the chunks of one snapshot.
type incomingSnapshot struct {
	meta  *rpc.SnapshotMeta
	state []byte
}

// sendChunk sends the follower the chunk of the newest snapshot that it lacks.
func (c *Core) sendChunk(id uint64) {
	p := c.peers[id]
	meta, state := c.cfg.Snapshots.Latest()
	if meta == nil {
		return
	}
	if p.snap != meta.GetIndex() {
		p.snap = meta.GetIndex()
		p.offset = 0
	}
	start := min(p.offset, uint64(len(state)))
	end := min(start+uint64(c.cfg.ChunkBytes), uint64(len(state)))
	c.out.Early = append(c.out.Early, &rpc.RaftMessage{
		Kind:        rpc.RaftKind_RAFT_SNAPSHOT,
		From:        c.cfg.ID,
		To:          id,
		Term:        c.term,
		Round:       c.round,
		Snapshot:    meta,
		Chunk:       state[start:end],
		ChunkOffset: start,
		ChunkLast:   end == uint64(len(state)),
	})
}

func (c *Core) stepSnapshot(m *rpc.RaftMessage) {
	c.followLeader(m.GetFrom())
	meta := m.GetSnapshot()
	if meta.GetIndex() <= c.commit {
		c.incoming = nil
		c.send(&rpc.RaftMessage{
			Kind:     rpc.RaftKind_RAFT_APPEND_REPLY,
			To:       m.GetFrom(),
			LogIndex: c.commit,
			Round:    m.GetRound(),
		})
		return
	}
	c.takeChunk(m)
	c.send(&rpc.RaftMessage{
		Kind:        rpc.RaftKind_RAFT_SNAPSHOT_REPLY,
		To:          m.GetFrom(),
		Round:       m.GetRound(),
		Snapshot:    meta,
		ChunkOffset: uint64(len(c.incoming.state)),
	})
	if m.GetChunkLast() && m.GetChunkOffset()+uint64(len(m.GetChunk())) == uint64(len(c.incoming.state)) {
		c.install(m.GetFrom())
	}
}

func (c *Core) takeChunk(m *rpc.RaftMessage) {
	meta := m.GetSnapshot()
	in := c.incoming
	if in == nil || in.meta.GetIndex() != meta.GetIndex() || in.meta.GetTerm() != meta.GetTerm() {
		in = &incomingSnapshot{
			meta: meta,
		}
		c.incoming = in
	}
	if m.GetChunkOffset() == uint64(len(in.state)) {
		in.state = append(in.state, m.GetChunk()...)
	}
}

func (c *Core) install(leader uint64) {
	meta := c.incoming.meta
	c.out.Snapshot = &rpc.SnapshotFile{
		Meta:  meta,
		State: c.incoming.state,
	}
	c.out.Entries = nil
	c.incoming = nil
	c.log.reset(meta.GetIndex(), meta.GetTerm())
	c.durable = meta.GetIndex()
	c.commit = meta.GetIndex()
	c.applied = meta.GetIndex()
	c.baseMembers = meta.GetMembers()
	c.findMembers()
	c.send(&rpc.RaftMessage{
		Kind:     rpc.RaftKind_RAFT_APPEND_REPLY,
		To:       leader,
		LogIndex: meta.GetIndex(),
	})
}

func (c *Core) stepSnapshotReply(m *rpc.RaftMessage) {
	p := c.peers[m.GetFrom()]
	if c.role != Leader || p == nil {
		return
	}
	p.active = true
	p.round = max(p.round, m.GetRound())
	c.confirmReads()
	if p.snap == 0 || m.GetSnapshot().GetIndex() != p.snap || m.GetChunkOffset() <= p.offset {
		return
	}
	p.offset = m.GetChunkOffset()
	if _, state := c.cfg.Snapshots.Latest(); p.offset < uint64(len(state)) {
		c.sendChunk(m.GetFrom())
	}
}
