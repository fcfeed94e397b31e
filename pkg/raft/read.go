package raft

// Read is a read that may be answered, or that failed.
type Read struct {
	// ID is what the owner gave to ReadIndex.
	ID uint64
	// OK is false if this replica lost the lead before it could be sure.
	OK bool
}

type pendingRead struct {
	id    uint64
	round uint64
	index uint64
}

// ReadIndex asks for a Read once this replica is sure that it still led after
// the call: an answer from the state applied by then is linearizable.
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

// Beat starts a heartbeat round at once if a read waits for one.
func (c *Core) Beat() {
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

// Round returns the newest heartbeat round that was started.
func (c *Core) Round() uint64 {
	return c.round
}

// QuorumRound returns the newest round that a majority has answered.
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

// previousAnsweredRound returns the newest round below r that some follower answered.
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

// confirmReads moves reads whose round a majority answered to the next Ready.
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
