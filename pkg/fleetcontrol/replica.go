package fleetcontrol

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/quorum"
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/replica"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/larchwinch/larchwinch/pkg/store"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// raftTick gives an election timeout of 0.3 to 0.6 s: well above a disk sync of
	// 5 ms and the pauses of the hosts, and short, since no entry host accepts requests
	// with account keys until a leader has confirmed its configuration.
	raftTick = 30 * time.Millisecond
	// reopenDelay is how long a replica whose storage failed waits before it opens the
	// folder again.
	reopenDelay = 500 * time.Millisecond
	// joinSilence is how long a replica knows no leader before it asks to join again:
	// longer than an election takes.
	joinSilence  = time.Second
	joinInterval = 500 * time.Millisecond
	// claimWindow is required by the state machine, but deployments with full
	// configurations don't use it.
	claimWindow = 10 * time.Minute
	callTimeout = time.Second
)

// Bootstrap says how a replica with an empty disk starts.
type Bootstrap struct {
	// FirstStart is set at the very first start of the cluster.
	FirstStart bool
	// IPs are the addresses of the initial members.
	IPs []string
}

// Replica is one replica of the log. It recovers from storage failures: it opens the
// folder again, and if the disk was replaced it joins under a new id.
type Replica struct {
	folder        string
	ip            string
	port          string
	bootstrap     Bootstrap
	seedAddresses func() []string
	client        *http.Client
	svc           timer.Service
	log           *eventlog.Log
	metrics       *metrics.Set
	tracker       *quorum.Tracker
	// joined is called when this replica, a learner before, has become a member.
	joined func()

	mu      sync.Mutex
	node    *replica.Node
	machine *state.Machine
	// transport belongs to node.
	transport    *replica.TwirpTransport
	id           uint64
	caughtUpTerm uint64 // term in which a read barrier has passed
	// lastObserved is what a host without a disk last learned about the replicas.
	lastObserved *rpc.JoinReply
}

// Run runs the replica until ctx ends, and restarts it after storage failures. On a
// host without a disk it only keeps track of the replicas.
func (r *Replica) Run(ctx context.Context) {
	if r.folder == "" {
		r.observe(ctx)
		return
	}
	failing := false
	for ctx.Err() == nil {
		err := r.runOnce(ctx, func() {
			if failing {
				r.log.Event(eventlog.StorageRecovered)
			}
			failing = false
		})
		if ctx.Err() != nil {
			return
		}
		if !failing {
			r.log.Event(eventlog.StorageFailed, eventlog.Err(err))
		}
		failing = true
		if timer.Sleep(ctx, r.svc, reopenDelay) != nil {
			return
		}
	}
}

// loadIdentity returns the replica's id, created if the disk holds none, and the
// initial members if this replica is one of them and this is the first start.
func (r *Replica) loadIdentity() (uint64, *rpc.Members, error) {
	id, err := readIdentity(r.folder)
	if err != nil {
		return 0, nil, err
	}
	isInitial := r.bootstrap.FirstStart && r.isInitialMember()
	if id == 0 {
		if isInitial {
			id = initialMemberID(r.ip)
		} else if id, err = newID(); err != nil {
			return 0, nil, err
		}
		if err := writeIdentity(r.folder, id); err != nil {
			return 0, nil, err
		}
	}
	if isInitial && id == initialMemberID(r.ip) {
		return id, initialMembers(r.bootstrap.IPs, r.port), nil
	}
	return id, nil, nil
}

func (r *Replica) isInitialMember() bool {
	for _, ip := range r.bootstrap.IPs {
		if ip == r.ip {
			return true
		}
	}
	return false
}

func (r *Replica) runOnce(ctx context.Context, opened func()) error {
	id, members, err := r.loadIdentity()
	if err != nil {
		return err
	}
	disk, err := store.OpenFolder(filepath.Join(r.folder, logFolder))
	if err != nil {
		return err
	}
	defer func() { _ = disk.Close() }() // only releases the lock
	st, err := store.Open(disk)
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }() // everything acknowledged is synced already
	g := group.New(ctx)
	defer g.Stop()
	machine := state.New(claimWindow.Milliseconds())
	transport := replica.NewTwirpTransport(id, r.address(), r.client, g)
	node, err := replica.New(replica.Config{
		ID:           id,
		Tick:         raftTick,
		Store:        st,
		StateMachine: machine,
		Transport:    transport,
		Timer:        r.svc,
		Seed:         id ^ uint64(r.svc.Now().UnixNano()),
		Bootstrap:    members,
	})
	if err != nil {
		return err
	}
	opened()
	r.install(node, machine, transport, id)
	defer r.install(nil, nil, nil, 0)
	g.Go(r.maintainMembers)
	g.Go(r.maintainPeers)
	return node.Run(ctx)
}

func (r *Replica) install(node *replica.Node, machine *state.Machine, transport *replica.TwirpTransport, id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node = node
	r.machine = machine
	r.transport = transport
	r.id = id
	r.caughtUpTerm = 0
	r.tracker.Restart()
}

// current returns the running node and its state machine; nil while storage fails.
func (r *Replica) current() (*replica.Node, *state.Machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node, r.machine
}

// Deliver passes on the messages that are addressed to this replica's id. Others may be
// for an earlier replica at the same address that is still a member.
func (r *Replica) Deliver(batch *rpc.RaftBatch) {
	r.mu.Lock()
	node := r.node
	addressed := make([]*rpc.RaftMessage, 0, len(batch.GetMessages()))
	for _, m := range batch.GetMessages() {
		if m.GetTo() == r.id {
			r.tracker.Heard(m.GetFrom())
			addressed = append(addressed, m)
		}
	}
	if node != nil && len(addressed) > 0 {
		r.transport.Learn(addressed[0].GetFrom(), batch.GetAddress())
	}
	r.mu.Unlock()
	if node != nil && len(addressed) > 0 {
		node.Deliver(addressed)
	}
}

// Leads returns the state and the term if this replica leads, holds everything that
// was acknowledged (a read barrier has passed in the term), and holds the lease, so
// that no other replica can lead now. Otherwise it returns the address of the probable
// leader, or "".
func (r *Replica) Leads(ctx context.Context) (*state.Machine, uint64, string) {
	node, machine := r.current()
	if node == nil {
		return nil, 0, r.observed().GetLeader()
	}
	st := node.Status()
	if st.Role != raft.Leader {
		return nil, 0, st.Leader.GetAddress()
	}
	if !r.isCaughtUp(st.Term) {
		if err := node.ReadBarrier(ctx); err != nil {
			return nil, 0, ""
		}
		r.setCaughtUp(st.Term)
	}
	if !node.HoldsLease() || node.Status().Term != st.Term {
		return nil, 0, ""
	}
	return machine, st.Term, ""
}

func (r *Replica) isCaughtUp(term uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.caughtUpTerm == term
}

func (r *Replica) setCaughtUp(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caughtUpTerm = term
}

// Propose implements leadership.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	node, _ := r.current()
	if node == nil {
		return nil, errNotOpen
	}
	return node.Propose(ctx, data)
}

// Members returns the addresses of the members of the log and of the learners.
func (r *Replica) Members() []string {
	list := r.Voters()
	node, _ := r.current()
	if node == nil {
		return list
	}
	for _, m := range r.tracker.Learners(memberState(node.Status())) {
		if !slices.Contains(list, m.GetAddress()) {
			list = append(list, m.GetAddress())
		}
	}
	return list
}

// Voters returns the addresses of the members of the log.
func (r *Replica) Voters() []string {
	members := r.observed().GetMembers()
	if node, _ := r.current(); node != nil {
		members = node.Status().Members
	}
	return addresses(members)
}

func (r *Replica) address() string {
	return net.JoinHostPort(r.ip, r.port)
}

// errNotOpen is returned while the replica's storage is not open.
var errNotOpen = errors.New("the replica's storage is being opened again")
