// Package raft implements the Raft consensus algorithm (Ongaro and Ousterhout,
// 2014) with pre-vote, check-quorum, read index, pipelined appends, chunked
// snapshots and single-step membership changes.
//
// It uses no goroutines, clocks, files or sockets. Its owner passes in ticks and
// messages, then takes a Ready, makes it durable, and only then sends the
// messages in it, so that tests can run it deterministically.
package raft

import (
	"math/rand/v2"
	"slices"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// Role is the role of a replica in the current term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name.
func (r Role) String() string {
	return roleNames[r]
}

// SnapshotSource returns the newest durable snapshot, which the leader sends to a
// follower that needs entries which were compacted away.
type SnapshotSource interface {
	LatestSnapshot() (*rpc.SnapshotMeta, []byte)
}

// Config configures a Core. Every field must be set.
type Config struct {
	// ID identifies this replica. The ID of a replica that lost its disk must
	// never be used again.
	ID uint64
	// ElectionTicks is the minimum number of ticks without a leader before an
	// election starts; the timeout is drawn from [ElectionTicks,
	// 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes limits the size of the entries in one append message.
	MaxAppendBytes int
	// ChunkBytes limits the size of a snapshot chunk.
	ChunkBytes int
	// Rand draws election timeouts.
	Rand *rand.Rand
	// Snapshots returns the snapshot to send.
	Snapshots SnapshotSource
}

// StoredState is what the store held when the replica started.
type StoredState struct {
	HardState *rpc.HardState
	Snapshot  *rpc.SnapshotMeta
	Entries   []*rpc.LogEntry
}

// Core is the state of one replica.
//
// Invariants: term and commit never decrease; a replica votes at most once per
// term; an entry at or below commit is never truncated; a leader advances commit
// only to an entry of its own term that a majority holds, and counts itself only
// for entries that are durable. Only members count for a majority.
type Core struct {
	cfg Config

	term   uint64
	vote   uint64
	commit uint64
	log    entryLog

	role   Role
	leader uint64
	// electionElapsed is the number of ticks since the last message from the
	// leader, the last vote granted or the last campaign; on the leader, since
	// the last quorum check.
	electionElapsed  int
	heartbeatElapsed int // ticks since the last heartbeat was sent
	electionTimeout  int
	votes            map[uint64]bool

	members      *rpc.Members // current membership: the last one in the log, committed or not
	membersIndex uint64       // log index of members
	baseMembers  *rpc.Members // membership at log.base

	// learners receive the log while this replica leads, but are no members.
	learners []uint64
	peers    map[uint64]*progress // of the other members and the learners
	durable  uint64               // last entry that the owner reported as durable

	round uint64 // last heartbeat round started; reads and the lease depend on it
	reads []pendingRead

	incoming     *incomingSnapshot
	pendingReady Ready
	saved        *rpc.HardState // hard state of the last Ready that had one
	applied      uint64         // last entry returned as committed in a Ready
}

// Ready is the work that the owner must do, in this order: send Early, install
// Snapshot, make HardState and Entries durable with one sync, call Persisted,
// send Messages, apply Committed, answer Reads.
type Ready struct {
	// HardState is nil if it did not change.
	HardState *rpc.HardState
	// Entries replace the stored entries from the index of the first one on.
	Entries []*rpc.LogEntry
	// Snapshot, if not nil, replaces the state and the log.
	Snapshot *rpc.SnapshotFile
	// Early may be sent before anything is durable.
	Early []*rpc.RaftMessage
	// Messages must not be sent before HardState and Entries are durable.
	Messages []*rpc.RaftMessage
	// Committed are the entries to apply, in order.
	Committed []*rpc.LogEntry
	// Reads may be answered once Committed is applied.
	Reads []Read
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil && len(r.Early) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// New returns a replica that continues from d. If neither the log nor the
// snapshot holds a membership, the replica waits for a leader to add it.
func New(cfg Config, d StoredState) *Core {
	c := &Core{
		cfg:         cfg,
		term:        d.HardState.GetTerm(),
		vote:        d.HardState.GetVote(),
		members:     &rpc.Members{},
		baseMembers: &rpc.Members{},
		peers:       map[uint64]*progress{},
		saved:       proto.Clone(d.HardState).(*rpc.HardState),
	}
	if d.Snapshot != nil {
		c.log.reset(d.Snapshot.GetIndex(), d.Snapshot.GetTerm())
		c.baseMembers = d.Snapshot.GetMembers()
	}
	c.log.entries = append(c.log.entries, d.Entries...)
	c.durable = c.log.last()
	c.commit = max(c.log.base, min(d.HardState.GetCommit(), c.log.last()))
	c.applied = c.log.base
	c.updateMembers()
	c.resetTimeout()
	return c
}

// Bootstrap returns the stored state of a new cluster: a log whose only entry
// holds the members.
func Bootstrap(members *rpc.Members) StoredState {
	return StoredState{
		HardState: &rpc.HardState{
			Term:   1,
			Commit: 1,
		},
		Entries: []*rpc.LogEntry{{
			Index:   1,
			Term:    1,
			Members: members,
		}},
	}
}

// Tick advances the replica's logical clock by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout && c.isMember(c.cfg.ID) {
		c.campaign(PreCandidate)
	}
}

// ErrNotLeader is returned by calls that only the leader can serve.
var ErrNotLeader = errors.New("not the leader")

// ErrMembersPending is returned while an earlier membership change is not
// committed, and until the leader has committed an entry of its own term.
var ErrMembersPending = errors.New("a membership change is under way")

// Propose appends data to the log if this replica is the leader, and returns the
// index and term of the entry.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return c.appendAsLeader(&rpc.LogEntry{
		Data: data,
	}), c.term, nil
}

// ProposeMembers appends a membership change, which may add or remove one
// replica.
func (c *Core) ProposeMembers(members *rpc.Members) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.membersIndex > c.commit || !c.committedInCurrentTerm() {
		return 0, 0, ErrMembersPending
	}
	if countMemberChanges(c.members, members) > 1 {
		return 0, 0, errors.New("a change may add or remove one replica")
	}
	return c.appendAsLeader(&rpc.LogEntry{
		Members: members,
	}), c.term, nil
}

// Ready returns the pending work and clears it.
func (c *Core) Ready() Ready {
	c.flushAppends()
	c.confirmReads()
	rd := c.pendingReady
	c.pendingReady = Ready{}
	hs := &rpc.HardState{
		Term:   c.term,
		Vote:   c.vote,
		Commit: c.commit,
	}
	if !proto.Equal(hs, c.saved) {
		rd.HardState = hs
		c.saved = hs
	}
	if c.commit > c.applied && rd.Snapshot == nil {
		rd.Committed = c.log.slice(c.applied, c.commit, 1<<30)
		c.applied += uint64(len(rd.Committed))
	}
	return rd
}

// Persisted reports that the entry of the given index and term, and all entries
// before it, are durable.
func (c *Core) Persisted(index, term uint64) {
	if t, ok := c.log.term(index); !ok || t != term {
		return
	}
	c.durable = max(c.durable, index)
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact drops the entries up to index, which a durable snapshot must cover.
func (c *Core) Compact(index uint64) {
	if index > c.applied {
		return
	}
	c.baseMembers = c.membersAt(index)
	c.log.compact(index)
}

// MembersAt returns the membership at index, which must have been applied.
func (c *Core) MembersAt(index uint64) *rpc.Members {
	return c.membersAt(index)
}

// Term returns the current term.
func (c *Core) Term() uint64 {
	return c.term
}

// Role returns the replica's current role.
func (c *Core) Role() Role {
	return c.role
}

// Leader returns the ID of the current leader, or 0 if it is not known.
func (c *Core) Leader() uint64 {
	return c.leader
}

// Commit returns the last committed index.
func (c *Core) Commit() uint64 {
	return c.commit
}

// LastIndex returns the last index in the log.
func (c *Core) LastIndex() uint64 {
	return c.log.last()
}

// TermAt returns the term of the entry at index, and false if the log does not
// hold that entry.
func (c *Core) TermAt(index uint64) (uint64, bool) {
	return c.log.term(index)
}

// Members returns the current membership: the last one in the log, committed or
// not.
func (c *Core) Members() *rpc.Members {
	return c.members
}

func (c *Core) resetTimeout() {
	c.electionElapsed = 0
	c.drawTimeout()
}

// drawTimeout draws the election timeout. While a leader is known, each follower of it
// draws from a range of its own, which begins a tick after the others' promises to the
// leader have ended, so that two seldom campaign at once: a majority that needs all of
// them would be split.
func (c *Core) drawTimeout() {
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand.IntN(c.cfg.ElectionTicks)
	rank, followers := c.rank()
	width := c.cfg.ElectionTicks / max(followers, 1)
	if rank < 0 || width < 2 {
		return
	}
	c.electionTimeout = c.cfg.ElectionTicks + 1 + rank*width + c.cfg.Rand.IntN(width-1)
}

// rank returns this replica's position among the leader's followers, in the order of the
// members' ids after the leader's, and their number; rank is negative if no leader is known
// or this replica doesn't follow one.
func (c *Core) rank() (rank, followers int) {
	rank = -1
	if c.leader == 0 || c.leader == c.cfg.ID {
		return rank, 0
	}
	ids := make([]uint64, 0, len(c.members.GetList()))
	for _, m := range c.members.GetList() {
		if m.GetId() != c.leader {
			ids = append(ids, m.GetId()-c.leader) // wraps around, so that ids above the leader's come first
		}
	}
	slices.Sort(ids)
	return slices.Index(ids, c.cfg.ID-c.leader), len(ids)
}

func (c *Core) send(m *rpc.RaftMessage) {
	m.From = c.cfg.ID
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	c.pendingReady.Messages = append(c.pendingReady.Messages, m)
}
