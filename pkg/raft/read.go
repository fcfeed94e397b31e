package raft

// Read is the result of a ReadIndex call.
type Read struct {
	// ID is the ID that the owner passed to ReadIndex.
	ID uint64
	// OK is false if this replica lost leadership before the read was confirmed.
	OK bool
}

// pendingRead is a read that is confirmed once a majority answers heartbeat
// round round.
type pendingRead struct {
	id    uint64
	round uint64
	index uint64
}

// ReadIndex requests a Read, which a later Ready returns once it is confirmed
// that this replica was still the leader after the call. A read of the state
// applied by then is linearizable.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.reads = append(c.reads, pendingRead{
		id:    id,
		round: c.round + 1,
		index: c.commit,
	})
	return nil
}

// HeartbeatForReads starts a heartbeat round at once if a pending read needs a new one.
func (c *Core) HeartbeatForReads() {
	if c.role != Leader {
		return
	}
	for _, r := range c.reads {
		if r.round > c.round {
			c.broadcastHeartbeat()
			return
		}
	}
}

// Round returns the last heartbeat round that was started.
func (c *Core) Round() uint64 {
	return c.round
}

// QuorumRound returns the last heartbeat round that a majority has answered, or
// 0 if this replica is not the leader.
func (c *Core) QuorumRound() uint64 {
	if c.role != Leader {
		return 0
	}
	round := c.round
	for round > 0 && !c.roundConfirmed(round) {
		round = c.previousAnsweredRound(round)
	}
	return round
}

// previousAnsweredRound returns the last round below r that some follower
// answered.
func (c *Core) previousAnsweredRound(r uint64) uint64 {
	best := uint64(0)
	for _, p := range c.peers {
		if p.ackedRound < r {
			best = max(best, p.ackedRound)
		}
	}
	return best
}

func (c *Core) roundConfirmed(r uint64) bool {
	return c.hasQuorum(func(id uint64) bool {
		return id == c.cfg.ID || c.peers[id].ackedRound >= r
	})
}

// confirmReads moves the reads whose round a majority has answered to the next
// Ready.
func (c *Core) confirmReads() {
	if c.role != Leader || !c.committedInCurrentTerm() {
		return
	}
	unconfirmed := c.reads[:0]
	for _, r := range c.reads {
		if r.round > c.round || !c.roundConfirmed(r.round) {
			unconfirmed = append(unconfirmed, r)
			continue
		}
		c.pendingReady.Reads = append(c.pendingReady.Reads, Read{
			ID: r.id,
			OK: true,
		})
	}
	c.reads = unconfirmed
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.pendingReady.Reads = append(c.pendingReady.Reads, Read{
			ID: r.id,
		})
	}
	c.reads = nil
}
