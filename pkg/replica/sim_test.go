package replica

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/fake/fakedisk"
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/store"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"google.golang.org/protobuf/proto"
)

// The simulation runs the real Node, store and algorithm over a fake network,
// fake disks and manual clocks, in one goroutine. Its oracle is small: one
// history, nothing acknowledged is lost, at most one holder of the order
// lease, at most one leader a term.

const simTick = 20 * time.Millisecond

// history is the state machine: the values applied, in order.
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

// simHost is one replica with its machine's disk and clock.
type simHost struct {
	sim     *simulation
	id      uint64
	disk    *fakedisk.Disk
	clock   *timer.Manual
	rate    float64 // of its clock against true time
	node    *Node
	machine *history
	frozen  bool
	lives   uint64
}

func (h *simHost) Send(messages []*rpc.RaftMessage) {
	for _, m := range messages {
		h.sim.network = append(h.sim.network, proto.Clone(m).(*rpc.RaftMessage))
	}
}

func (h *simHost) SetMembers(*rpc.Members) {}

func (h *simHost) up() bool {
	return h.node != nil && !h.frozen
}

// write is one proposal of the oracle's.
type write struct {
	value uint64
	reply chan result
	acked bool
}

// read is one read of the oracle's: it must see what was acknowledged before.
type read struct {
	host  *simHost
	life  uint64
	must  int // writes acknowledged before it
	reply chan result
}

// replacement is a replica that lost its disk and the one that takes its
// place.
type replacement struct {
	gone  uint64
	fresh uint64
}

type simulation struct {
	rnd     *rand.Rand
	hosts   map[uint64]*simHost
	members *rpc.Members
	network []*rpc.RaftMessage
	cut     map[[2]uint64]bool
	writes  []*write
	reads   []*read
	acked   []uint64
	moving  *replacement
	retired map[uint64]bool   // removed, and still running
	longest []uint64          // the one history
	leaders map[uint64]uint64 // by term
	next    uint64
	err     error
}

func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		hosts:   map[uint64]*simHost{},
		members: &rpc.Members{},
		cut:     map[[2]uint64]bool{},
		leaders: map[uint64]uint64{},
		retired: map[uint64]bool{},
	}
	for id := uint64(1); id <= uint64(n); id++ {
		s.members.List = append(s.members.List, &rpc.Member{
			Id: id,
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
		sim:   s,
		id:    id,
		disk:  fakedisk.New(s.rnd),
		clock: timer.NewManual(time.Unix(1_000_000, 0)),
		rate:  0.96 + 0.08*s.rnd.Float64(),
	}
}

// start brings a replica up from its disk. One that never ran founds the
// cluster if it was among its first members.
func (s *simulation) start(id uint64) {
	h := s.hosts[id]
	h.disk.Restart()
	st, err := store.Open(h.disk)
	if err != nil {
		s.fail("host %d can't open its store: %v", id, err)
		return
	}
	h.lives++
	h.machine = &history{}
	cfg := Config{
		ID:        id,
		Tick:      simTick,
		Store:     st,
		Machine:   h.machine,
		Transport: h,
		Timer:     h.clock,
		Seed:      s.rnd.Uint64(),
		// One entry a message and snapshots in many chunks, so that faults
		// fall between them.
		AppendBytes: 1,
		ChunkBytes:  12,
	}
	if s.founder(id) {
		cfg.Bootstrap = s.members
	}
	h.node, err = New(cfg)
	if err != nil {
		h.node = nil
		if !h.disk.Crashed() {
			s.fail("host %d can't start: %v", id, err)
		}
	}
}

func (s *simulation) founder(id uint64) bool {
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

// advance lets a node do what its last event asks for, and notes a crash.
func (s *simulation) advance(h *simHost) {
	if err := h.node.advance(); err != nil {
		if !h.disk.Crashed() {
			s.fail("host %d: %v", h.id, err)
		}
		h.node.failAll(ErrLost)
		h.node = nil
	}
	s.check()
}

// tick moves true time on by one tick.
func (s *simulation) tick() {
	for _, id := range s.ids() {
		h := s.hosts[id]
		h.clock.Advance(time.Duration(float64(simTick) * h.rate))
		if h.up() {
			h.node.core.Tick()
			s.advance(h)
		}
	}
}

// deliver hands over the message at place i of the network, or loses it if it
// can't get through.
func (s *simulation) deliver(i int) {
	m := s.network[i]
	s.network = append(s.network[:i], s.network[i+1:]...)
	h := s.hosts[m.GetTo()]
	if h == nil || s.cut[[2]uint64{m.GetFrom(), m.GetTo()}] {
		return
	}
	if h.frozen {
		s.network = append(s.network, m) // it waits in the socket
		return
	}
	if h.node == nil {
		return
	}
	h.node.core.Step(m)
	s.advance(h)
}

// deliverSome delivers about as many messages as there are, in an order that
// is mostly the right one, losing and doubling a few.
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
	s.next++
	w := &write{
		value: s.next,
		reply: make(chan result, 1),
	}
	s.writes = append(s.writes, w)
	h.node.take(request{
		data:  binary.LittleEndian.AppendUint64(nil, w.value),
		reply: w.reply,
	})
	s.advance(h)
}

// read asks a host for a read barrier.
func (s *simulation) read(id uint64) {
	h := s.hosts[id]
	if h == nil || !h.up() {
		return
	}
	r := &read{
		host:  h,
		life:  h.lives,
		must:  len(s.acked),
		reply: make(chan result, 1),
	}
	s.reads = append(s.reads, r)
	h.node.take(request{
		read:  true,
		reply: r.reply,
	})
	s.advance(h)
}

// checkRead makes sure that a read that was let through sees every write that
// was acknowledged before it began.
func (s *simulation) checkRead(r *read, err error) {
	if err != nil || r.life != r.host.lives {
		return
	}
	seen := map[uint64]bool{}
	for _, v := range r.host.machine.values {
		seen[v] = true
	}
	for _, v := range s.acked[:r.must] {
		if !seen[v] {
			s.fail("host %d let a read through that doesn't see write %d", r.host.id, v)
			return
		}
	}
}

// isolate cuts a host off from all others, both ways.
func (s *simulation) isolate(id uint64) {
	for _, other := range s.ids() {
		if other != id {
			s.cut[[2]uint64{id, other}] = true
			s.cut[[2]uint64{other, id}] = true
		}
	}
}

// usurp cuts the leader off or freezes it until another leads, writes there,
// and then asks both to read and write before they have heard of each other.
func (s *simulation) usurp(freeze bool, ticks int) {
	old := s.leader()
	if old == nil {
		return
	}
	for range 2 {
		s.propose(old.id)
	}
	if freeze {
		old.frozen = true
	} else {
		s.isolate(old.id)
	}
	for range ticks {
		s.tick()
		s.deliverSome(true)
		s.read(old.id)
	}
	s.propose(old.id)
	for _, id := range s.ids() {
		s.propose(id)
	}
	for range 4 {
		s.deliverSome(false)
	}
	old.frozen = false
	for _, id := range s.ids() {
		s.read(id)
	}
}

// leader returns a host that leads and can be reached, or nil.
func (s *simulation) leader() *simHost {
	for _, id := range s.ids() {
		if h := s.hosts[id]; h.up() && h.node.core.Role() == raft.Leader {
			return h
		}
	}
	return nil
}

// loseDisk takes a host away for good, to be replaced by a new one.
func (s *simulation) loseDisk(id uint64) {
	if s.moving != nil || s.hosts[id] == nil || s.retired[id] {
		return
	}
	s.crash(id)
	delete(s.hosts, id)
	s.beginReplacement(id)
}

// retire replaces a host that is well and goes on running.
func (s *simulation) retire(id uint64) {
	if s.moving != nil || s.hosts[id] == nil || s.retired[id] {
		return
	}
	s.retired[id] = true
	s.beginReplacement(id)
}

func (s *simulation) beginReplacement(id uint64) {
	fresh := uint64(100 + s.rnd.Uint64N(1<<32))
	s.addHost(fresh)
	s.start(fresh)
	s.moving = &replacement{
		gone:  id,
		fresh: fresh,
	}
}

// replace goes on with the replacement that is under way.
func (s *simulation) replace() {
	if s.moving == nil {
		return
	}
	if h := s.leader(); h != nil {
		s.replaceAt(h)
	}
}

func (s *simulation) replaceAt(h *simHost) {
	next := &rpc.Members{}
	gone, fresh := false, false
	for _, m := range h.node.core.Members().GetList() {
		gone = gone || m.GetId() == s.moving.gone
		fresh = fresh || m.GetId() == s.moving.fresh
		if m.GetId() != s.moving.gone {
			next.List = append(next.List, m)
		}
	}
	switch {
	case gone:
	case !fresh:
		next.List = append(next.List, &rpc.Member{
			Id: s.moving.fresh,
		})
	case !has(h.node.core.MembersAt(h.node.core.Commit()), s.moving.fresh):
		return // not committed: it may still be lost with this leader
	case s.hosts[s.moving.fresh].up() && s.hosts[s.moving.fresh].node.core.Commit() >= h.node.core.Commit():
		s.moving = nil
		return
	default:
		return
	}
	h.node.take(request{
		members: next,
		reply:   make(chan result, 1),
	})
	s.advance(h)
}

func has(m *rpc.Members, id uint64) bool {
	for _, one := range m.GetList() {
		if one.GetId() == id {
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
		h.node.failAll(ErrLost)
	}
	h.node = nil
	h.frozen = false
}

// snapshot makes a host take a snapshot now, whatever its log's size.
func (s *simulation) snapshot(id uint64) {
	h := s.hosts[id]
	if h == nil || !h.up() || h.node.applied <= h.node.cfg.Store.Snapshot().GetMeta().GetIndex() {
		return
	}
	if err := h.node.snapshotNow(); err != nil {
		if !h.disk.Crashed() {
			s.fail("host %d: snapshot: %v", id, err)
		}
		h.node = nil
	}
}

// check holds what is seen against the oracle.
func (s *simulation) check() {
	holders := 0
	for _, id := range s.ids() {
		h := s.hosts[id]
		if h.node == nil {
			continue
		}
		if h.node.HoldsLease() {
			holders++
		}
		s.checkLeader(h)
		s.checkHistory(h)
	}
	if holders > 1 {
		s.fail("%d hosts hold the order lease", holders)
	}
	s.collect()
}

func (s *simulation) checkLeader(h *simHost) {
	if h.node.core.Role() != raft.Leader {
		return
	}
	term := h.node.core.Term()
	if was, ok := s.leaders[term]; ok && was != h.id {
		s.fail("hosts %d and %d both lead term %d", was, h.id, term)
	}
	s.leaders[term] = h.id
}

func (s *simulation) checkHistory(h *simHost) {
	mine := h.machine.values
	for i := range min(len(mine), len(s.longest)) {
		if mine[i] != s.longest[i] {
			s.fail("host %d applied %d at place %d, and another host %d", h.id, mine[i], i, s.longest[i])
			return
		}
	}
	if len(mine) > len(s.longest) {
		s.longest = append([]uint64(nil), mine...)
	}
}

// collect notes which writes were acknowledged.
func (s *simulation) collect() {
	for _, r := range s.reads {
		select {
		case res := <-r.reply:
			s.checkRead(r, res.err)
		default:
		}
	}
	for _, w := range s.writes {
		select {
		case r := <-w.reply:
			w.acked = r.err == nil
			if w.acked {
				s.acked = append(s.acked, w.value)
			}
			if w.acked && binary.LittleEndian.Uint64(r.data) != w.value {
				s.fail("write %d got the answer of another", w.value)
			}
		default:
		}
	}
}

// settle ends every fault, and checks that the system comes back, with every
// acknowledged write in its history once.
func (s *simulation) settle() error {
	s.cut = map[[2]uint64]bool{}
	for _, id := range s.ids() {
		h := s.hosts[id]
		h.frozen = false
		h.disk.CrashIn(0)
		if h.node == nil {
			s.start(id)
		}
	}
	for range 400 {
		s.tick()
		s.deliverSome(false)
		s.replace()
	}
	if s.moving != nil {
		s.fail("the replacement of host %d never ended", s.moving.gone)
	}
	for _, id := range s.ids() {
		s.propose(id)
	}
	for range 40 {
		s.tick()
		s.deliverSome(false)
	}
	if s.err != nil {
		return s.err
	}
	return s.checkSettled()
}

func (s *simulation) checkSettled() error {
	seen := map[uint64]int{}
	for _, v := range s.longest {
		seen[v]++
	}
	acked := 0
	for _, w := range s.writes {
		if w.acked {
			acked++
		}
		if w.acked && seen[w.value] != 1 {
			return errors.Errorf("write %d was acknowledged and is %d times in the history", w.value, seen[w.value])
		}
	}
	if acked == 0 || !s.writes[len(s.writes)-1].acked && !s.anyAcked(len(s.hosts)) {
		return errors.New("no write is accepted after every fault has ended")
	}
	for _, id := range s.ids() {
		if s.retired[id] {
			continue
		}
		if got := len(s.hosts[id].machine.values); got != len(s.longest) {
			return errors.Errorf("host %d applied %d of %d values", id, got, len(s.longest))
		}
	}
	return nil
}

// anyAcked reports whether one of the last n writes was acknowledged.
func (s *simulation) anyAcked(n int) bool {
	for _, w := range s.writes[len(s.writes)-n:] {
		if w.acked {
			return true
		}
	}
	return false
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
