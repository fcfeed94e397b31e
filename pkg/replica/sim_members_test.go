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

// addNew starts an empty host at an address under a new id.
func (s *memberSim) addNew(address string) *simHost {
	s.nextID++
	s.addHost(s.nextID)
	h := s.hosts[s.nextID]
	h.address = address
	s.start(h.id)
	s.note("host %d starts empty at %s", h.id, address)
	return h
}

// remove ends a host for good.
func (s *memberSim) remove(h *simHost) {
	s.crash(h.id)
	delete(s.hosts, h.id)
}

// blockLinks blocks the links of the hosts that are cut off, and those between two halves,
// of hosts added since included.
func (s *memberSim) blockLinks() {
	s.blockedLinks = map[[2]uint64]bool{}
	for id := range s.cutOff {
		s.isolate(id)
	}
	if s.half == nil {
		return
	}
	for _, a := range s.ids() {
		for _, b := range s.ids() {
			if s.half[a] != s.half[b] {
				s.blockedLinks[[2]uint64{a, b}] = true
			}
		}
	}
}

// split cuts half of the hosts off from the others for a time, in which no other event
// happens. It loses nothing.
func (s *memberSim) split() {
	if s.lost() > 0 {
		return
	}
	s.half = map[uint64]bool{}
	ids := s.ids()
	for _, i := range s.rnd.Perm(len(ids))[:len(ids)/2] {
		s.half[ids[i]] = true
	}
	s.note("hosts are split from the others: %v", s.half)
	d := s.random(200*time.Millisecond, 4*time.Second)
	s.after(d, func() {
		s.half = nil
		s.note("all hosts are reached again")
	})
	for i := range s.tolerated {
		s.lostUntil[fmt.Sprint("split-", i)] = s.now + d + catchUpTime
	}
	s.settled = s.now + d + catchUpTime
}

// victim returns a host that runs and doesn't count as lost; the leader more often.
func (s *memberSim) victim() *simHost {
	if leader := s.leader(); leader != nil && s.lostUntil[leader.address] <= s.now && s.rnd.IntN(3) == 0 {
		return leader
	}
	var list []*simHost
	for _, id := range s.ids() {
		if h := s.hosts[id]; h.up() && s.lostUntil[h.address] <= s.now {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[s.rnd.IntN(len(list))]
}

// returned counts a host as lost until it has had its time to catch up.
func (s *memberSim) returned(address string) {
	s.lostUntil[address] = s.now + catchUpTime
	s.settled = max(s.settled, s.now+catchUpTime)
}

// fault makes one random event begin.
func (s *memberSim) fault() {
	h := s.victim()
	if h == nil || s.lost() >= s.tolerated {
		return
	}
	id, address := h.id, h.address
	s.lostUntil[address] = forever
	outage := s.random(20*time.Millisecond, 4*time.Second)
	switch s.rnd.IntN(6) {
	case 0:
		s.note("host %d ends", id)
		s.crash(id)
		s.after(outage, func() {
			s.start(id)
			s.note("host %d starts again", id)
			s.returned(address)
		})
	case 1:
		s.note("host %d ends, and its disk is lost", id)
		s.remove(h)
		s.after(outage, func() {
			s.addNew(address)
			s.returned(address)
		})
	case 2:
		s.suspend(h, outage)
	case 3:
		s.note("host %d is cut off", id)
		s.cutOff[id] = true
		s.after(outage, func() {
			delete(s.cutOff, id)
			s.note("host %d is reached again", id)
			s.returned(address)
		})
	case 4:
		s.nextHost++
		s.replaceAfter(id, s.random(20*time.Millisecond, 2*time.Second), fmt.Sprint("host-", s.nextHost))
	case 5:
		delete(s.lostUntil, address)
		s.replacePlanned(id, address, s.rnd.IntN(2) == 0)
	}
}

// replacePlanned starts a new host and, once that has had its time to catch up, ends the
// old one for good. The old one counts as lost for settleTime only.
func (s *memberSim) replacePlanned(id uint64, address string, announced bool) {
	s.nextHost++
	successor := fmt.Sprint("host-", s.nextHost)
	s.note("host %d is to be replaced, announced: %v", id, announced)
	s.addNew(successor)
	s.returned(successor)
	s.after(catchUpTime+s.random(0, 2*time.Second), func() {
		h := s.hosts[id]
		if h == nil || !h.up() || s.lost() >= s.tolerated {
			return
		}
		if announced {
			s.announceStop(h)
		}
		s.after(s.random(0, 300*time.Millisecond), func() {
			if s.hosts[id] == h {
				s.gone(id)
			}
		})
		s.lostUntil[address] = s.now + time.Second + settleTime
	})
}

// announceStop tells all hosts that one is about to stop.
func (s *memberSim) announceStop(h *simHost) {
	s.note("host %d announces its stop", h.id)
	for _, other := range s.hosts {
		if other.up() {
			other.tracker.Stopping(h.id)
		}
	}
}

// stopAll ends all hosts at once, and starts them again within a second.
func (s *memberSim) stopAll() {
	if s.lost() > 0 {
		return
	}
	s.note("all hosts end")
	for _, id := range s.ids() {
		s.crash(id)
		address := s.hosts[id].address
		s.after(s.random(20*time.Millisecond, time.Second), func() {
			if s.hosts[id] != nil { // its disk isn't lost meanwhile
				s.start(id)
				s.returned(address)
			}
		})
	}
}

// run lets time pass.
func (s *memberSim) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.err == nil; {
		s.step()
	}
}

// loseDiskOf ends a host, which starts again empty half a second later.
func (s *memberSim) loseDiskOf(h *simHost) {
	s.note("host %d ends, and its disk is lost", h.id)
	s.remove(h)
	s.lostUntil[h.address] = forever
	s.run(500 * time.Millisecond)
	s.addNew(h.address)
	s.returned(h.address)
}

// gone ends a host for good whose successor has had its time. It counts as lost for
// settleTime only.
func (s *memberSim) gone(id uint64) {
	h := s.hosts[id]
	s.note("host %d is gone for good, as planned", id)
	s.remove(h)
	s.lostUntil[h.address] = s.now + settleTime
}

// replaceAfter ends a host for good, and starts an empty one at another address later.
func (s *memberSim) replaceAfter(id uint64, d time.Duration, successor string) {
	address := s.hosts[id].address
	s.note("host %d is gone for good, another comes after it", id)
	s.remove(s.hosts[id])
	s.lostUntil[address] = forever
	s.after(d, func() {
		s.addNew(successor)
		s.returned(successor)
		s.after(catchUpTime, func() { delete(s.lostUntil, address) })
	})
	s.run(d)
}

// suspend stops a host's process for a time.
func (s *memberSim) suspend(h *simHost, d time.Duration) {
	s.note("host %d is suspended", h.id)
	h.frozen = true
	s.lostUntil[h.address] = forever
	s.after(d, func() {
		h.frozen = false
		s.note("host %d goes on", h.id)
		s.returned(h.address)
	})
}

// oldFrom returns the first three hosts, from one of them on.
func (s *memberSim) oldFrom(first uint64) []uint64 {
	var list []uint64
	for i := range uint64(3) {
		list = append(list, (first-1+i)%3+1)
	}
	return list
}

// replaceAll starts three new hosts, and ends the old ones a time apart.
func (s *memberSim) replaceAll(first uint64, end func(s *memberSim, id uint64), apart time.Duration) {
	for i := range 3 {
		s.addNew(fmt.Sprint("host-", 4+i))
	}
	s.run(catchUpTime)
	for _, id := range s.oldFrom(first) {
		end(s, id)
		s.run(apart)
	}
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
