package raft

import (
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	meta  *rpc.SnapshotMeta
	state []byte
}

// sendChunk sends the follower the next chunk of the newest snapshot.
func (c *Core) sendChunk(id uint64) {
	p := c.peers[id]
	meta, state := c.cfg.Snapshots.LatestSnapshot()
	if meta == nil {
		return
	}
	if p.snapshotIndex != meta.GetIndex() {
		p.snapshotIndex = meta.GetIndex()
		p.snapshotOffset = 0
	}
	start := min(p.snapshotOffset, uint64(len(state)))
	end := min(start+uint64(c.cfg.ChunkBytes), uint64(len(state)))
	c.pendingReady.Early = append(c.pendingReady.Early, &rpc.RaftMessage{
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
	c.addChunk(m)
	c.send(&rpc.RaftMessage{
		Kind:        rpc.RaftKind_RAFT_SNAPSHOT_REPLY,
		To:          m.GetFrom(),
		Round:       m.GetRound(),
		Snapshot:    meta,
		ChunkOffset: uint64(len(c.incoming.state)),
	})
	if m.GetChunkLast() && m.GetChunkOffset()+uint64(len(m.GetChunk())) == uint64(len(c.incoming.state)) {
		c.installSnapshot(m.GetFrom())
	}
}

func (c *Core) addChunk(m *rpc.RaftMessage) {
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

func (c *Core) installSnapshot(leader uint64) {
	meta := c.incoming.meta
	c.pendingReady.Snapshot = &rpc.SnapshotFile{
		Meta:  meta,
		State: c.incoming.state,
	}
	c.pendingReady.Entries = nil
	c.incoming = nil
	c.log.reset(meta.GetIndex(), meta.GetTerm())
	c.durable = meta.GetIndex()
	c.commit = meta.GetIndex()
	c.applied = meta.GetIndex()
	c.baseMembers = meta.GetMembers()
	c.updateMembers()
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
	p.ackedRound = max(p.ackedRound, m.GetRound())
	c.confirmReads()
	if p.snapshotIndex == 0 || m.GetSnapshot().GetIndex() != p.snapshotIndex || m.GetChunkOffset() <= p.snapshotOffset {
		return
	}
	p.snapshotOffset = m.GetChunkOffset()
	if _, state := c.cfg.Snapshots.LatestSnapshot(); p.snapshotOffset < uint64(len(state)) {
		c.sendChunk(m.GetFrom())
	}
}
