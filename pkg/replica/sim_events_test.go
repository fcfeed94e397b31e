package replica

import (
	"fmt"
	"time"
)

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
