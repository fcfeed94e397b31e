// Package raft is the replicated log's algorithm: Raft (Ongaro and
// Ousterhout, 2014) with pre-vote, check-quorum, read index, pipelined
// appends, snapshots in chunks and single-step membership change.
//
// It holds no goroutine, clock, file or socket. Its owner feeds it ticks and
// messages, then takes a Ready, makes it durable, and only then sends what it
// asks for. That is what lets the tests run it deterministically.
package raft

import (
	"math/rand/v2"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// Role is the part a replica plays in the present term.
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

// Snapshots gives the newest snapshot that is durable, to send to a replica
// that needs entries which were compacted away.
type Snapshots interface {
	Latest() (*rpc.SnapshotMeta, []byte)
}

// Config is what a Core needs to know. Every field must be set.
type Config struct {
	// ID is this replica's number; an id is never used again after its disk
	// was lost.
	ID uint64
	// ElectionTicks is how many ticks without a leader start an election; the
	// real timeout is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is how many ticks pass between two heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries in one append.
	MaxAppendBytes int
	// ChunkBytes bounds one chunk of a snapshot.
	ChunkBytes int
	// Rand draws election timeouts.
	Rand *rand.Rand
	// Snapshots gives snapshots to send.
	Snapshots Snapshots
}

// Durable is what the store held when the replica started.
type Durable struct {
	HardState *rpc.HardState
	Snapshot  *rpc.SnapshotMeta
	Entries   []*rpc.LogEntry
}

// Core is one replica's state of the algorithm.
//
// Invariants: term and commit never fall; a vote is given once a term; an
// entry below commit is never truncated; matched entries count towards a
// commit only if they are of the leader's own term and, for the leader itself,
// durable.
type Core struct {
	cfg Config

	term   uint64
	vote   uint64
	commit uint64
	log    entryLog

	role             Role
	leader           uint64
	electionElapsed  int // ticks since the leader was heard, or since the last quorum check
	heartbeatElapsed int // ticks since the last heartbeat
	electionTimeout  int
	votes            map[uint64]bool

	members      *rpc.Members // in force: the last in the log, committed or not
	membersIndex uint64       // where members stands in the log
	baseMembers  *rpc.Members // as of the snapshot

	peers   map[uint64]*progress
	durable uint64 // last entry the owner said is durable

	round uint64 // heartbeat round, for reads and the lease
	reads []pendingRead

	incoming     *incomingSnapshot
	pendingReady Ready
	saved        *rpc.HardState
	applied      uint64 // last entry handed out in a Ready
}

// Ready is what the owner must now do, in this order: install Snapshot, make
// HardState and Entries durable with one sync, call Persisted, send Messages,
// apply Committed, answer Reads.
type Ready struct {
	// HardState is nil if it didn't change.
	HardState *rpc.HardState
	// Entries replace whatever the store holds from the first one's index on.
	Entries []*rpc.LogEntry
	// Snapshot, if not nil, replaces the state and the log.
	Snapshot *rpc.SnapshotFile
	// Early may be sent before anything is durable.
	Early []*rpc.RaftMessage
	// Messages must not be sent before HardState and Entries are durable.
	Messages []*rpc.RaftMessage
	// Committed is to be applied, in order.
	Committed []*rpc.LogEntry
	// Reads may be answered once Committed is applied.
	Reads []Read
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil && len(r.Early) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// New returns a replica that continues from d. A replica whose log and
// snapshot hold no members is not one yet: it waits for a leader to add it.
func New(cfg Config, d Durable) *Core {
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

// Bootstrap returns the first log entry of a new cluster.
func Bootstrap(members *rpc.Members) Durable {
	return Durable{
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

// Tick tells the replica that one tick has passed.
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

// ErrNotLeader is returned by calls that only a leader can serve.
var ErrNotLeader = errors.New("not the leader")

// ErrMembersPending is returned while an earlier change isn't committed.
var ErrMembersPending = errors.New("a membership change is under way")

// Propose appends data to the log if this replica leads, and returns where.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return c.appendAsLeader(&rpc.LogEntry{
		Data: data,
	}), c.term, nil
}

// ProposeMembers appends a change of the replicas. It may add or remove one.
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

// Take returns what is to be done and forgets it.
func (c *Core) Take() Ready {
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

// Persisted tells the replica that all entries up to index are durable.
func (c *Core) Persisted(index, term uint64) {
	if t, ok := c.log.term(index); !ok || t != term {
		return
	}
	c.durable = max(c.durable, index)
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact forgets the entries up to index, for which a snapshot is durable.
func (c *Core) Compact(index uint64) {
	if index > c.applied {
		return
	}
	c.baseMembers = c.membersAt(index)
	c.log.compact(index)
}

// MembersAt returns the replicas as of index, which must have been applied.
func (c *Core) MembersAt(index uint64) *rpc.Members {
	return c.membersAt(index)
}

// Term returns the present term.
func (c *Core) Term() uint64 {
	return c.term
}

// Role returns the part this replica plays.
func (c *Core) Role() Role {
	return c.role
}

// Leader returns who leads, or 0 if that isn't known.
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

// TermAt returns the term of the entry at index, and whether it is held.
func (c *Core) TermAt(index uint64) (uint64, bool) {
	return c.log.term(index)
}

// Members returns the replicas in force.
func (c *Core) Members() *rpc.Members {
	return c.members
}

func (c *Core) resetTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand.IntN(c.cfg.ElectionTicks)
}

func (c *Core) send(m *rpc.RaftMessage) {
	m.From = c.cfg.ID
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	c.pendingReady.Messages = append(c.pendingReady.Messages, m)
}
