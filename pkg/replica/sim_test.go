package replica

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/fake/fakedisk"
	"github.com/larchwinch/larchwinch/pkg/quorum"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/store"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"google.golang.org/protobuf/proto"
)

// The simulation runs the real Node, store and Raft core in one goroutine, over
// a fake network, fake disks and manual clocks. It checks that all hosts apply
// one history, that no acknowledged write is lost, that at most one host holds
// the leader lease, and that each term has at most one leader.

const simTick = 20 * time.Millisecond

// history is a state machine that records the applied values in order.
type history struct {
	values []uint64
}

func (h *history) Apply(data []byte) ([]byte, error) {
	if len(data) > 0 {
		h.values = append(h.values, binary.LittleEndian.Uint64(data))
	}
	return data, nil
}

func (h *history) Snapshot() ([]byte, error) {
	out := make([]byte, 0, len(h.values)*8)
	for _, v := range h.values {
		out = binary.LittleEndian.AppendUint64(out, v)
	}
	return out, nil
}

func (h *history) Restore(data []byte) error {
	h.values = nil
	for ; len(data) >= 8; data = data[8:] {
		h.values = append(h.values, binary.LittleEndian.Uint64(data))
	}
	return nil
}

// simHost is a replica with the disk and clock of its host.
type simHost struct {
	sim     *simulation
	id      uint64
	address string
	disk    *fakedisk.Disk
	// reachable are the replicas whose addresses the host knows: those that the log or a
	// message named.
	reachable    map[uint64]bool
	tracker      *quorum.Tracker
	clock        *timer.Manual
	clockRate    float64 // of its clock relative to simulated time
	node         *Node
	stateMachine *history
	frozen       bool
	incarnation  uint64
}

func (h *simHost) Send(messages []*rpc.RaftMessage) {
	for _, m := range messages {
		if h.reachable[m.GetTo()] {
			h.sim.network = append(h.sim.network, proto.Clone(m).(*rpc.RaftMessage))
		}
	}
}

func (h *simHost) SetReplicas(list []*rpc.Member) {
	for _, m := range list {
		h.reachable[m.GetId()] = true
	}
}

func (h *simHost) up() bool {
	return h.node != nil && !h.frozen
}

// write is a proposal made by the simulation.
type write struct {
	value uint64
	reply chan result
	acked bool
}

// read is a read barrier requested by the simulation. Once it is confirmed, the
// host must have applied all writes acknowledged before it.
type read struct {
	host        *simHost
	incarnation uint64
	ackedBefore int // number of writes acknowledged before the read
	reply       chan result
}

// replacement is a membership change that replaces one replica by another.
type replacement struct {
	removedID uint64
	addedID   uint64
}

type simulation struct {
	rnd            *rand.Rand
	hosts          map[uint64]*simHost
	members        *rpc.Members
	network        []*rpc.RaftMessage
	blockedLinks   map[[2]uint64]bool
	writes         []*write
	reads          []*read
	ackedValues    []uint64
	replacing      *replacement
	removed        map[uint64]bool   // replaced, but still running
	longestHistory []uint64          // longest history that any host has applied
	leaderByTerm   map[uint64]uint64 // leader's host by term
	tolerated      int               // replicas that may be lost at once
	nextValue      uint64
	err            error
}

func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{
		rnd:          rand.New(rand.NewPCG(seed, 1)),
		hosts:        map[uint64]*simHost{},
		members:      &rpc.Members{},
		blockedLinks: map[[2]uint64]bool{},
		leaderByTerm: map[uint64]uint64{},
		tolerated:    (n - 1) / 2,
		removed:      map[uint64]bool{},
	}
	for id := uint64(1); id <= uint64(n); id++ {
		s.members.List = append(s.members.List, &rpc.Member{
			Id:      id,
			Address: fmt.Sprint("host-", id),
		})
	}
	for id := uint64(1); id <= uint64(n); id++ {
		s.addHost(id)
		s.start(id)
	}
	return s
}

func (s *simulation) addHost(id uint64) {
	s.hosts[id] = &simHost{
		sim:       s,
		id:        id,
		address:   fmt.Sprint("host-", id),
		disk:      fakedisk.New(s.rnd),
		clock:     timer.NewManual(time.Unix(1_000_000, 0)),
		clockRate: 0.96 + 0.08*s.rnd.Float64(),
	}
}

// start starts a replica from its disk. A replica with an empty store bootstraps
// the cluster if it is an initial member.
func (s *simulation) start(id uint64) {
	h := s.hosts[id]
	h.disk.Restart()
	st, err := store.Open(h.disk)
	if err != nil {
		s.fail("host %d: open store: %v", id, err)
		return
	}
	h.incarnation++
	h.reachable = map[uint64]bool{}
	h.tracker = quorum.NewTracker(h.clock, s.tolerated)
	h.stateMachine = &history{}
	cfg := Config{
		ID:           id,
		Tick:         simTick,
		Store:        st,
		StateMachine: h.stateMachine,
		Transport:    h,
		Timer:        h.clock,
		Seed:         s.rnd.Uint64(),
		// One entry per message and small snapshot chunks, so that faults also
		// hit between them.
		AppendBytes: 1,
		ChunkBytes:  12,
	}
	if s.isInitialMember(id) {
		cfg.Bootstrap = s.members
	}
	h.node, err = New(cfg)
	if err != nil {
		h.node = nil
		if !h.disk.Crashed() {
			s.fail("host %d: start: %v", id, err)
		}
	}
}

func (s *simulation) isInitialMember(id uint64) bool {
	for _, m := range s.members.GetList() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

func (s *simulation) fail(format string, args ...any) {
	if s.err == nil {
		s.err = errors.Errorf(format, args...)
	}
}

func (s *simulation) ids() []uint64 {
	ids := make([]uint64, 0, len(s.hosts))
	for id := range s.hosts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// advance processes a node's pending work, and stops the node if its disk has
// crashed.
func (s *simulation) advance(h *simHost) {
	if err := h.node.advance(); err != nil {
		if !h.disk.Crashed() {
			s.fail("host %d: %v", h.id, err)
		}
		h.node.failPending(ErrLeadershipLost)
		h.node = nil
	}
	s.checkInvariants()
}

// tick advances simulated time by one tick.
func (s *simulation) tick() {
	for _, id := range s.ids() {
		h := s.hosts[id]
		h.clock.Advance(time.Duration(float64(simTick) * h.clockRate))
		if h.up() {
			h.node.core.Tick()
			s.advance(h)
		}
	}
}

// deliver delivers the message at index i of the network, or drops it if the
// link is blocked or the receiver is down. A message to a frozen host stays
// queued.
func (s *simulation) deliver(i int) {
	m := s.network[i]
	s.network = append(s.network[:i], s.network[i+1:]...)
	h := s.hosts[m.GetTo()]
	if h == nil || s.blockedLinks[[2]uint64{m.GetFrom(), m.GetTo()}] {
		return
	}
	if h.frozen {
		s.network = append(s.network, m) // stays in the socket buffer
		return
	}
	if h.node == nil {
		return
	}
	h.reachable[m.GetFrom()] = true
	h.tracker.Heard(m.GetFrom())
	h.node.core.Step(m)
	s.advance(h)
}

// deliverSome delivers about as many messages as are queued. If faulty is set,
// it delivers them slightly out of order, and drops or duplicates some.
func (s *simulation) deliverSome(faulty bool) {
	for n := len(s.network); n > 0 && len(s.network) > 0; n-- {
		i := 0
		if faulty {
			i = s.rnd.IntN(min(len(s.network), 4))
			switch s.rnd.IntN(20) {
			case 0:
				s.network = append(s.network[:i], s.network[i+1:]...)
				continue
			case 1:
				s.network = append(s.network, proto.Clone(s.network[i]).(*rpc.RaftMessage))
			}
		}
		s.deliver(i)
	}
}

// propose sends a new value to a host.
func (s *simulation) propose(id uint64) {
	h := s.hosts[id]
	if h == nil || !h.up() {
		return
	}
	s.nextValue++
	w := &write{
		value: s.nextValue,
		reply: make(chan result, 1),
	}
	s.writes = append(s.writes, w)
	h.node.handleRequest(request{
		data:  binary.LittleEndian.AppendUint64(nil, w.value),
		reply: w.reply,
	})
	s.advance(h)
}

// read requests a read barrier from a host.
func (s *simulation) read(id uint64) {
	h := s.hosts[id]
	if h == nil || !h.up() {
		return
	}
	r := &read{
		host:        h,
		incarnation: h.incarnation,
		ackedBefore: len(s.ackedValues),
		reply:       make(chan result, 1),
	}
	s.reads = append(s.reads, r)
	h.node.handleRequest(request{
		read:  true,
		reply: r.reply,
	})
	s.advance(h)
}

func containsMember(m *rpc.Members, id uint64) bool {
	for _, member := range m.GetList() {
		if member.GetId() == id {
			return true
		}
	}
	return false
}

func (s *simulation) crash(id uint64) {
	h := s.hosts[id]
	if h == nil {
		return
	}
	h.disk.Crash()
	if h.node != nil {
		h.node.failPending(ErrLeadershipLost)
	}
	h.node = nil
	h.frozen = false
}

// snapshot makes a host take a snapshot regardless of its log size.
func (s *simulation) snapshot(id uint64) {
	h := s.hosts[id]
	if h == nil || !h.up() || h.node.applied <= h.node.cfg.Store.Snapshot().GetMeta().GetIndex() {
		return
	}
	if err := h.node.takeSnapshot(); err != nil {
		if !h.disk.Crashed() {
			s.fail("host %d: snapshot: %v", id, err)
		}
		h.node = nil
	}
}

func (s *simulation) String() string {
	out := ""
	for _, id := range s.ids() {
		h := s.hosts[id]
		if h.node == nil {
			out += fmt.Sprintf("%d down; ", id)
			continue
		}
		out += fmt.Sprintf("%d %s term %d commit %d of %d; ", id, h.node.core.Role(), h.node.core.Term(), h.node.core.Commit(), h.node.core.LastIndex())
	}
	return out
}
