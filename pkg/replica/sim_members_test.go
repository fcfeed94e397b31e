package replica

import (
	"fmt"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/quorum"
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// The simulation of members lets package quorum choose the members of the log while hosts
// crash, lose their disks, are suspended, cut off and replaced, never more of them at once
// than the log must bear. It checks that no change is appended that its voters can't commit,
// and that the voters bear the losses that are still allowed, settleTime after each event.

const (
	roundTicks = 2  // between two rounds of a host's tracker, 40 ms
	joinTicks  = 25 // between two requests to join
	writeTicks = 20 // between two writes
	// settleTime is how soon after a replica is gone one more may be lost.
	settleTime = time.Second
	// catchUpTime is for how long a host that returned, or is new, still counts as lost.
	catchUpTime = 4 * time.Second
	joinSilence = time.Second
)

// memberSim is a simulation in which hosts come and go within the tolerated losses.
type memberSim struct {
	*simulation
	now       time.Duration
	due       []dueEvent
	lostUntil map[string]time.Duration // by address: while the host counts as lost
	cutOff    map[uint64]bool
	half      map[uint64]bool // hosts that are split from the others; nil without a split
	settled   time.Duration   // when the voters must bear the losses that are allowed
	events    []string
	nextID    uint64
	nextHost  int
}

// dueEvent is an action at a later time.
type dueEvent struct {
	at time.Duration
	do func()
}

const forever = 1000 * time.Hour

// newMemberSim returns a simulation of n first replicas and some more hosts that join.
func newMemberSim(seed uint64, n, more int) *memberSim {
	s := &memberSim{
		simulation: newSimulation(seed, n),
		lostUntil:  map[string]time.Duration{},
		cutOff:     map[uint64]bool{},
		settled:    catchUpTime,
		nextID:     100,
		nextHost:   n,
	}
	for range more {
		s.nextHost++
		s.addNew(fmt.Sprint("host-", s.nextHost))
	}
	return s
}

func (s *memberSim) note(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%7.2f s  ", s.now.Seconds())+fmt.Sprintf(format, args...))
	s.settled = max(s.settled, s.now+settleTime)
}

func (s *memberSim) after(d time.Duration, do func()) {
	s.due = append(s.due, dueEvent{
		at: s.now + d,
		do: do,
	})
}

// random returns a duration in [from, to).
func (s *memberSim) random(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rnd.Int64N(int64(to-from)))
}

// step advances the simulation by one tick.
func (s *memberSim) step() {
	s.now += simTick
	pending := s.due
	s.due = nil
	for _, e := range pending {
		if e.at <= s.now {
			e.do()
			continue
		}
		s.due = append(s.due, e)
	}
	s.blockLinks()
	s.tick()
	s.deliverSome(false)
	ticks := int(s.now / simTick)
	for _, id := range s.ids() {
		if h := s.hosts[id]; h.up() {
			if ticks%joinTicks == int(id)%joinTicks {
				s.join(h)
			}
			if ticks%roundTicks == 0 {
				s.round(h)
			}
		}
	}
	if leader := s.leader(); leader != nil && ticks%writeTicks == 0 {
		s.propose(leader.id)
	}
	s.deliverSome(false)
	s.checkSpareLosses()
}

func stateOf(h *simHost) quorum.State {
	st := h.node.Status()
	return quorum.State{
		Self:    st.ID,
		Leads:   st.Role == raft.Leader,
		Leader:  st.Leader.GetId(),
		Members: st.Members,
		Commit:  st.Commit,
		Match:   st.Match,
	}
}

// round is what a host does several times per second about the members.
func (s *memberSim) round(h *simHost) {
	st := stateOf(h)
	h.tracker.BeginRound(st)
	defer h.tracker.EndRound()
	h.node.handleLearners(h.tracker.Learners(st))
	if !st.Leads || !h.node.HoldsLease() {
		return
	}
	change, ok := h.tracker.View(st, s.refuses).Next()
	if !ok {
		return
	}
	next := &rpc.Members{}
	for _, m := range st.Members.GetList() {
		if m.GetId() != change.Replica.ID {
			next.List = append(next.List, m)
		}
	}
	if !change.Remove {
		next.List = append(next.List, &rpc.Member{
			Id:      change.Replica.ID,
			Address: change.Replica.Address,
		})
	}
	before := h.node.core.Members()
	h.node.handleRequest(request{
		members: next,
		reply:   make(chan result, 1),
	})
	if h.node.core.Members() == before {
		return // an earlier change isn't committed yet
	}
	s.note("host %d changes the members: %s", h.id, describeMembers(next))
	s.checkCommittable(h, next)
	s.advance(h)
}

// refuses reports whether the host of a replica runs without its process.
func (s *memberSim) refuses(id uint64) bool {
	h := s.hosts[id]
	return h != nil && h.node == nil && !s.cutOff[id] && s.half == nil
}

// join asks all hosts that are reached for a place, if the host's log doesn't name it or
// it hears nothing.
func (s *memberSim) join(h *simHost) {
	if containsMember(h.node.core.Members(), h.id) && h.clock.Now().Sub(h.tracker.LeaderKnownAt()) <= joinSilence {
		return
	}
	for _, id := range s.ids() {
		other := s.hosts[id]
		if id == h.id || !other.up() || s.blockedLinks[[2]uint64{h.id, id}] || s.blockedLinks[[2]uint64{id, h.id}] {
			continue
		}
		other.tracker.Joining(h.id, h.address)
		for _, m := range other.node.core.Members().GetList() {
			h.reachable[m.GetId()] = true
		}
	}
}

// checkCommittable checks that a majority of the new members run and are reached, but for
// those that were lost less than a moment ago.
func (s *memberSim) checkCommittable(leader *simHost, next *rpc.Members) {
	responding := 0
	for _, m := range next.GetList() {
		h := s.hosts[m.GetId()]
		if h != nil && (h.up() && !s.cutOff[h.id] || h.clock.Now().Sub(leader.tracker.HeardAt(h.id)) < 350*time.Millisecond) {
			responding++
		}
	}
	if 2*responding <= len(next.GetList()) {
		s.fail("host %d appended members of which only %d respond: %s", leader.id, responding, describeMembers(next))
	}
}

// checkSpareLosses checks that the voters bear as many more losses as are allowed now, once
// everything has settled.
func (s *memberSim) checkSpareLosses() {
	leader := s.leader()
	if s.now < s.settled || leader == nil || !leader.node.HoldsLease() {
		return
	}
	members := leader.node.core.Members().GetList()
	running := 0
	for _, m := range members {
		if h := s.hosts[m.GetId()]; h != nil && h.up() && !s.cutOff[h.id] {
			running++
		}
	}
	spare := running - (len(members)/2 + 1)
	if allowed := s.tolerated - s.lost(); spare < allowed {
		s.fail("the members bear %d losses, and %d are allowed: %s", spare, allowed, describeMembers(leader.node.core.Members()))
	}
}

// lost returns how many hosts count as lost now.
func (s *memberSim) lost() int {
	n := 0
	for _, until := range s.lostUntil {
		if s.now < until {
			n++
		}
	}
	return n
}

func describeMembers(members *rpc.Members) string {
	var list []string
	for _, m := range members.GetList() {
		list = append(list, fmt.Sprintf("%d@%s", m.GetId(), m.GetAddress()))
	}
	return strings.Join(list, " ")
}

// play lets random events happen for a time, ends all of them, and checks that the log
// serves again and lost nothing.
func (s *memberSim) play(d time.Duration) error {
	next := 2 * time.Second
	for s.now < d && s.err == nil {
		if s.now >= next {
			next = s.now + s.random(20*time.Millisecond, 3*time.Second)
			switch s.rnd.IntN(16) {
			case 0:
				s.stopAll()
			case 1:
				s.split()
			default:
				s.fault()
			}
		}
		s.step()
	}
	s.run(12 * time.Second)
	if s.err == nil && s.leader() == nil {
		s.fail("no host leads after all faults had ended")
	}
	return s.healAndCheck()
}

// trace returns the events, for the message of a failure.
func (s *memberSim) trace() string {
	return strings.Join(s.events, "\n") + fmt.Sprintf("\n%7.2f s  ", s.now.Seconds()) + s.String()
}
