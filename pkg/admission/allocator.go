package admission

import (
	"sync"
	"time"
)

const (
	// hostExpiry is how long after its last report a host's tokens count as in flight: three
	// calls, which are 0.4 s apart.
	hostExpiry = 1200 * time.Millisecond
	// minReportedHosts is the part of the hosts from which the allocator must have reports. A
	// new leader that knew of fewer would take the others' demand for none.
	minReportedHosts = 0.9

	// urgentTarget and otherTarget are the occupancies up to which the most urgent rank and
	// the others are admitted. Capacity is a lower bound, because streams use only some layers
	// of an endpoint; in simulation, waits began at an occupancy of 1.0 to 1.4.
	urgentTarget = 1.2
	otherTarget  = 1.0
	// lateTarget is lower, because late requests that fill the capacity make those wait that
	// can still be on time.
	lateTarget = 0.85
	// correctionTime is the time in which a difference from the target is to be made up. It
	// is twice the delay of reports, sums and allocations: with 1 s occupancy oscillates.
	correctionTime = 2 * time.Second
	// At least minOfFinished of the finished tokens, and minOfCapacity of the capacity a
	// second, are admitted, so that never everyone is refused.
	minOfFinished = 0.5
	minOfCapacity = 0.05
	// The most urgent rank may always fill urgentOccupancy of the capacity by itself. Without
	// that, up to 8% of it is refused when a load begins: the others hold the capacity, and
	// what finishes is as little as was admitted before. It is to be on time up to 0.8 of the
	// capacity; after endpoints were lost, the time in flight is estimated up to a fifth too
	// long.
	urgentOccupancy = 1.0
	// maxOfFinished bounds what is expected to finish, as a multiple of what has finished in the
	// last second: when endpoints stop working, that shows it at once.
	maxOfFinished = 2
	// unexpectedPart is the part of what has finished beyond the average that may be admitted.
	// After a burst most streams in flight are old: more of them finish than the average says,
	// and without this the occupancy falls below 0.9. With 0.5, occupancy swings. While streams
	// wait, what finishes is to make place for them.
	unexpectedPart = 0.3

	// shortageOccupancy is the occupancy from which on a shortage may begin. It is that which
	// is expected after reactionTime, half of the time between two calls of a host and the time
	// between two allocations. Without that, a load of 3 times the capacity fills the reserve of
	// the most urgent rank before it is limited.
	shortageOccupancy = 0.9
	reactionTime      = 400 * time.Millisecond
	// accountsOccupancy is the occupancy from which on hosts report demand by account, so
	// that it is known when a shortage begins.
	accountsOccupancy = 0.6
	// shortageEnd is how long no class must have been limited for a shortage to end.
	shortageEnd = time.Second
	// firstShortage is what a shortage is said to have lasted when it begins: 0 means none.
	firstShortage = time.Millisecond
)

// Allocator is the leader's side: it sums up the reports of all hosts and allocates the
// admitted shares. It is safe for use by several goroutines.
//
// Invariant: its state is from reports to this replica since it began to lead. It allocates
// nothing before 0.9 of the hosts have reported twice, because rates need two reports.
type Allocator struct {
	clock Clock

	mu       sync.Mutex
	hosts    map[string]*hostReports
	coverage coverage
	services map[string]*serviceState
}

// hostReports is the state of one host, by its latest reports.
type hostReports struct {
	calls    int
	at       time.Time
	services map[string]hostService
}

type hostService struct {
	inFlight float64
	finished float64
}

// serviceState is the demand for a service, and its shortage.
//
// Invariant: shortageSince is zero if and only if there is no shortage.
type serviceState struct {
	demand        *recentDemand
	residence     residence
	shortageSince time.Time
	limitedAt     time.Time // when a class was last limited
	allocations   uint32    // made so far
}

// NewAllocator returns an allocator that has no reports yet.
func NewAllocator(clock Clock) *Allocator {
	a := &Allocator{
		clock: clock,
	}
	a.Reset()
	return a
}

// Reset drops all state; it is called when the replica doesn't lead.
func (a *Allocator) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hosts = map[string]*hostReports{}
	a.coverage = coverage{}
	a.services = map[string]*serviceState{}
}

// Forget drops the tokens of a host that is gone. What it reported of demand stays for the
// rest of the window, since its callers turn to other hosts.
func (a *Allocator) Forget(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.hosts, host)
}

// Observe applies a report of a host. Services that it doesn't name have no streams there. Of
// the first report only the tokens in flight count, since the time that it covers isn't known.
func (a *Allocator) Observe(host string, reports []Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	h := a.hosts[host]
	first := h == nil
	if first {
		h = &hostReports{
			services: map[string]hostService{},
		}
		a.hosts[host] = h
	}
	pause := now.Sub(h.at)
	h.at = now
	h.calls++
	for name, s := range h.services {
		s.inFlight = 0
		h.services[name] = s
	}
	a.coverage.expire(now)
	if !first {
		a.coverage.add(span{
			at:       now,
			duration: min(sumWindow, pause),
		})
	}
	for _, r := range reports {
		finished := h.update(r)
		if first {
			continue
		}
		if pause > sumWindow {
			finished *= sumWindow.Seconds() / pause.Seconds()
		}
		s := a.service(r.Service)
		s.demand.expire(now)
		s.demand.add(recentReport{
			at:       now,
			finished: finished,
			demand:   r.Demand,
		})
	}
}

// update stores a report's figures, and returns the tokens that finished since the previous
// one. The count of a service begins from 0 when the host restarts, and after a pause without
// streams.
func (h *hostReports) update(r Report) float64 {
	previous := h.services[r.Service].finished
	h.services[r.Service] = hostService{
		inFlight: r.InFlight,
		finished: r.Finished,
	}
	if r.Finished < previous {
		return r.Finished
	}
	return r.Finished - previous
}

func (a *Allocator) service(name string) *serviceState {
	s := a.services[name]
	if s == nil {
		s = &serviceState{
			demand: newRecentDemand(),
		}
		a.services[name] = s
	}
	return s
}

// Allocate allocates the capacity of a service, in tokens, among its classes and client
// accounts. The result is false while too few of the hosts that are present have reported. A
// service without capacity isn't limited: its requests find no path.
func (a *Allocator) Allocate(service string, capacity float64, hosts int) (Allocation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.coverage.expire(now)
	reported, active, inFlight := a.sumHosts(service, now)
	if hosts <= 0 || float64(reported) < minReportedHosts*float64(hosts) {
		return Allocation{}, false
	}
	s := a.service(service)
	s.demand.expire(now)
	al := Allocation{
		Service:   service,
		Capacity:  capacity,
		InFlight:  inFlight,
		ByAccount: inFlight >= accountsOccupancy*capacity,
	}
	if capacity <= 0 {
		s.shortageSince = time.Time{}
		return al, true
	}
	// Hosts that are present but can't reach the leader hold their shares, and so take as much
	// as the others. Otherwise their part would be given to the others as well.
	inFlight *= float64(hosts) / float64(max(1, min(active, hosts)))
	perSecond := a.coverage.perSecond(max(active, hosts))
	classes := s.demand.classes(perSecond, now)
	finished := s.demand.finished * perSecond
	served := min(inFlight, urgentTarget*capacity) // the others wait
	s.residence.update(now, served, finished)
	expected := s.residence.rate(served)
	if inFlight < urgentTarget*capacity {
		expected += unexpectedPart * max(0, finished-expected)
	}
	finishing := min(expected, maxOfFinished*finished)
	s.allocations++
	shares, limited := divide(classes, s.allocations, func(c Class) float64 {
		switch {
		case c.Late:
			return admissibleRate(finishing, inFlight, lateTarget, capacity)
		case c.Rank == classes[0].class.Rank:
			rate := admissibleRate(finishing, inFlight, urgentTarget, capacity)
			return max(rate, s.residence.rate(urgentOccupancy*capacity))
		default:
			return admissibleRate(finishing, inFlight, otherTarget, capacity)
		}
	})
	wanted := 0.0
	for i := range classes {
		wanted += classes[i].tokens()
	}
	inFlightSoon := inFlight + max(0, wanted-finished)*reactionTime.Seconds()
	if s.update(now, limited, inFlightSoon/capacity) {
		al.Shortage = max(firstShortage, now.Sub(s.shortageSince))
		al.Classes = shares
	}
	return al, true
}

// sumHosts returns how many hosts have reported often enough, how many have done so lately,
// and the tokens that the latter have in flight.
func (a *Allocator) sumHosts(service string, now time.Time) (reported, active int, inFlight float64) {
	for _, h := range a.hosts {
		if h.calls > 1 {
			reported++
		}
		if now.Sub(h.at) < hostExpiry {
			active++
			inFlight += h.services[service].inFlight
		}
	}
	return reported, active, inFlight
}

// admissibleRate returns how many tokens a second may be admitted: as many as finish, and the
// difference from the target within correctionTime.
func admissibleRate(finishing, inFlight, target, capacity float64) float64 {
	rate := finishing + (target*capacity-inFlight)/correctionTime.Seconds()
	return max(rate, minOfFinished*finishing, minOfCapacity*capacity)
}

// update begins or ends the shortage, and reports whether there is one.
func (s *serviceState) update(now time.Time, limited bool, occupancy float64) bool {
	if limited {
		s.limitedAt = now
	}
	switch {
	case s.shortageSince.IsZero() && limited && occupancy >= shortageOccupancy:
		s.shortageSince = now
	case !s.shortageSince.IsZero() && now.Sub(s.limitedAt) >= shortageEnd:
		s.shortageSince = time.Time{}
	}
	return !s.shortageSince.IsZero()
}
