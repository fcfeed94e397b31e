// Package replica runs one replica of the replicated log: it connects the
// algorithm of package raft to a store, a state machine, a transport and the
// timer service.
package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/store"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// StateMachine is the replicated state. Apply and Restore are called by one goroutine
// only.
type StateMachine interface {
	Apply(data []byte) ([]byte, error)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Transport sends messages to other replicas. Send does not block and may lose
// messages. SetReplicas sets the replicas that it must know the addresses of.
type Transport interface {
	Send(messages []*rpc.RaftMessage)
	SetReplicas(replicas []*rpc.Member)
}

// Config configures a Node. Every field must be set except AppendBytes,
// ChunkBytes and Bootstrap.
type Config struct {
	ID           uint64
	Tick         time.Duration
	Store        *store.Store
	StateMachine StateMachine
	Transport    Transport
	Timer        timer.Service
	Seed         uint64
	// AppendBytes limits the size of the entries in one message, ChunkBytes the
	// size of a snapshot chunk; 0 selects the default.
	AppendBytes int
	ChunkBytes  int
	// Bootstrap is the membership of a new cluster. It is used only if the store
	// is empty, and must be nil for a replica that replaces another.
	Bootstrap *rpc.Members
}

const (
	electionTicks      = 10
	heartbeatTicks     = 2
	defaultAppendBytes = 1 << 20
	defaultChunkBytes  = 1 << 20
	maxBatch           = 1024
	inboxSize          = 4096
	// snapshotThreshold is the size of the log file at which a snapshot is
	// taken.
	snapshotThreshold = 8 << 20
	// retainedEntries is the number of entries kept in memory after a snapshot
	// for followers that are slightly behind.
	retainedEntries = 2000
	// maxClockDriftPercent is how much faster than this replica's clock the
	// clock of another replica may run; the lease is shortened by it.
	maxClockDriftPercent = 10
)

// NotLeaderError is returned by calls that only the leader can serve.
type NotLeaderError struct {
	// Leader is the current leader, or nil if it is not known.
	Leader *rpc.Member
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == nil {
		return "no leader is known"
	}
	return "not the leader; ask " + e.Leader.GetAddress()
}

// ErrLeadershipLost is returned for a request whose outcome is unknown, since this replica
// lost leadership or stopped before it completed. A proposal may still be
// committed.
var ErrLeadershipLost = errors.New("the lead was lost before the change was committed; it may still come into force")

// Node is a running replica.
//
// Invariant: only the goroutine of Run accesses core, proposals and reads; other
// goroutines communicate with it through the channels.
type Node struct {
	cfg      Config
	core     *raft.Core
	inbox    chan []*rpc.RaftMessage
	requests chan request
	status   guardedStatus

	learners    []*rpc.Member
	reachable   *rpc.Members        // members whose addresses the transport knows
	proposals   map[uint64]proposal // by log index
	reads       map[uint64]chan result
	nextID      uint64
	applied     uint64
	roundSentAt map[uint64]time.Time // by heartbeat round
}

type request struct {
	data        []byte
	members     *rpc.Members
	learners    []*rpc.Member
	setLearners bool
	read        bool
	reply       chan result // nil if setLearners is set
}

type result struct {
	data []byte
	err  error
}

type proposal struct {
	term  uint64
	reply chan result
}

// New returns a node that continues from the state in its store.
func New(cfg Config) (*Node, error) {
	d := raft.StoredState{
		HardState: cfg.Store.HardState(),
		Snapshot:  cfg.Store.Snapshot().GetMeta(),
		Entries:   cfg.Store.Entries(),
	}
	if cfg.Store.Empty() && cfg.Bootstrap != nil {
		d = raft.Bootstrap(cfg.Bootstrap)
		if err := cfg.Store.Save(d.HardState, d.Entries); err != nil {
			return nil, err
		}
	}
	if snap := cfg.Store.Snapshot(); snap != nil {
		if err := cfg.StateMachine.Restore(snap.GetState()); err != nil {
			return nil, err
		}
	}
	n := &Node{
		cfg:         cfg,
		inbox:       make(chan []*rpc.RaftMessage, inboxSize),
		requests:    make(chan request, inboxSize),
		proposals:   map[uint64]proposal{},
		reads:       map[uint64]chan result{},
		roundSentAt: map[uint64]time.Time{},
		applied:     d.Snapshot.GetIndex(),
	}
	n.core = raft.New(raft.Config{
		ID:             cfg.ID,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: orDefault(cfg.AppendBytes, defaultAppendBytes),
		ChunkBytes:     orDefault(cfg.ChunkBytes, defaultChunkBytes),
		Rand:           rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		Snapshots:      cfg.Store,
	}, d)
	n.updateTransport()
	n.publishStatus()
	return n, nil
}

func orDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

// Run runs the replica until ctx is done, or until the store or the state
// machine fails, and returns that error.
func (n *Node) Run(ctx context.Context) error {
	ticks := n.cfg.Timer.Every(n.cfg.Tick)
	defer ticks.Stop()
	defer n.failPending(ErrLeadershipLost)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
			n.core.Tick()
		case batch := <-n.inbox:
			n.step(batch)
		case r := <-n.requests:
			n.handleRequest(r)
		}
		n.drainQueues()
		if err := n.advance(); err != nil {
			return err
		}
	}
}

// Deliver queues messages from other replicas. It does not block: messages are
// dropped if the queue is full, as on a network.
func (n *Node) Deliver(messages []*rpc.RaftMessage) {
	select {
	case n.inbox <- messages:
	default:
	}
}

// Propose replicates data and returns the state machine's reply.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	return n.submit(ctx, request{
		data: data,
	})
}

// ChangeMembers adds or removes one replica.
func (n *Node) ChangeMembers(ctx context.Context, members *rpc.Members) error {
	_, err := n.submit(ctx, request{
		members: members,
	})
	return err
}

// SetLearners sets the replicas that receive the log whenever this replica leads, and
// don't vote until they are members. It does not block, and returns false if the queue is
// full.
func (n *Node) SetLearners(learners []*rpc.Member) bool {
	select {
	case n.requests <- request{
		learners:    learners,
		setLearners: true,
	}:
		return true
	default:
		return false
	}
}

// ReadBarrier returns once the local state includes every write that was
// acknowledged before the call. It fails with a NotLeaderError if this replica
// is not the leader.
func (n *Node) ReadBarrier(ctx context.Context) error {
	_, err := n.submit(ctx, request{
		read: true,
	})
	return err
}

func (n *Node) submit(ctx context.Context, r request) ([]byte, error) {
	r.reply = make(chan result, 1)
	select {
	case n.requests <- r:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case res := <-r.reply:
		return res.data, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// drainQueues handles up to maxBatch more queued batches of messages and
// requests, so that one sync covers all of them.
func (n *Node) drainQueues() {
	for range maxBatch {
		select {
		case batch := <-n.inbox:
			n.step(batch)
		case r := <-n.requests:
			n.handleRequest(r)
		default:
			return
		}
	}
}

func (n *Node) step(batch []*rpc.RaftMessage) {
	for _, m := range batch {
		n.core.Step(m)
	}
}

func (n *Node) handleRequest(r request) {
	switch {
	case r.setLearners:
		n.handleLearners(r.learners)
	case r.read:
		n.handleRead(r)
	case r.members != nil:
		index, term, err := n.core.ProposeMembers(r.members)
		n.trackProposal(r, index, term, err)
	default:
		index, term, err := n.core.Propose(r.data)
		n.trackProposal(r, index, term, err)
	}
}

func (n *Node) handleLearners(learners []*rpc.Member) {
	n.learners = learners
	ids := make([]uint64, 0, len(learners))
	for _, m := range learners {
		ids = append(ids, m.GetId())
	}
	n.core.SetLearners(ids)
	n.reachable = nil
}

// updateTransport tells the transport the addresses of the members and the learners
// when they change. A change of members takes effect before it is committed, and may
// need the answers of a new member to be.
func (n *Node) updateTransport() {
	members := n.core.Members()
	if n.reachable == members {
		return
	}
	n.reachable = members
	replicas := append([]*rpc.Member(nil), members.GetList()...)
	n.cfg.Transport.SetReplicas(append(replicas, n.learners...))
}

func (n *Node) trackProposal(r request, index, term uint64, err error) {
	if err != nil {
		r.reply <- result{
			err: n.toNotLeaderError(err),
		}
		return
	}
	n.proposals[index] = proposal{
		term:  term,
		reply: r.reply,
	}
}

func (n *Node) handleRead(r request) {
	n.nextID++
	if err := n.core.ReadIndex(n.nextID); err != nil {
		r.reply <- result{
			err: n.toNotLeaderError(err),
		}
		return
	}
	n.reads[n.nextID] = r.reply
}

// toNotLeaderError converts raft.ErrNotLeader to a NotLeaderError, which names
// the leader; it returns other errors unchanged.
func (n *Node) toNotLeaderError(err error) error {
	if !errors.Is(err, raft.ErrNotLeader) {
		return err
	}
	return &NotLeaderError{
		Leader: n.memberByID(n.core.Leader()),
	}
}

func (n *Node) memberByID(id uint64) *rpc.Member {
	for _, m := range n.core.Members().GetList() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}
