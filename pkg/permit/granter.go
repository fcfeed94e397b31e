package permit

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// demandWindow is the time constant with which demand decays.
	demandWindow = time.Second
	// maxChanges bounds the changes kept; a host that is further behind gets all limits.
	maxChanges = 4096
	// Lower limits count as minLimit: an endpoint that reports 0 must be called now and then
	// to learn when it takes calls again.
	minLimit = 0.05
	// probeShare is the part of a limit that the leader's own probes may use.
	probeShare = 0.25
)

// Granter is the leader's side: the endpoints that have limits, and the permits granted. It
// is safe for use by several goroutines.
//
// Invariant: its state is of one term only. The next leader begins with none, and what the
// previous one granted expires soon.
type Granter struct {
	clock Clock

	mu           sync.Mutex
	term         uint64
	version      uint64
	limiters     map[uint32]*limiter
	digest       uint64                    // of the keys of limiters
	services     map[string]*serviceDemand // those with limited endpoints
	changes      []versionedChange         // the oldest first
	changed      chan struct{}
	lastSequence uint64 // of the waiters
}

// versionedChange is a change and the version that it led to.
type versionedChange struct {
	LimitChange
	version uint64
}

// serviceDemand is the demand, over all hosts, for a service that has limited endpoints.
type serviceDemand struct {
	limitCount int     // number of limited endpoints
	demand     float64 // requests; decays with demandWindow
	decayedAt  time.Time
}

// NewGranter returns a granter that is in no term yet.
func NewGranter(clock Clock) *Granter {
	return &Granter{
		clock:    clock,
		limiters: map[uint32]*limiter{},
		services: map[string]*serviceDemand{},
		changed:  make(chan struct{}),
	}
}

// BeginTerm discards all state and begins a term, unless that or a later one has begun.
func (g *Granter) BeginTerm(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term <= g.term {
		return
	}
	g.term = term
	g.version = 0
	g.limiters = map[uint32]*limiter{}
	g.digest = 0
	g.services = map[string]*serviceDemand{}
	g.changes = nil
	g.notify()
}

// Observe applies limit reports, and returns the limits that were added or removed.
func (g *Granter) Observe(reports []LimitReport) []LimitChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var changes []LimitChange
	for _, r := range reports {
		if r.hasLimit() {
			r.PerSecond = math.Max(minLimit, r.PerSecond)
		}
		l := g.limiters[r.Key]
		switch {
		case l != nil:
			l.observe(r, now)
			if l.expired(now) {
				changes = append(changes, g.removeLimit(l))
			}
		case r.hasLimit():
			changes = append(changes, g.addLimit(r, now))
		}
	}
	return changes
}

func (g *Granter) addLimit(r LimitReport, now time.Time) LimitChange {
	l := newLimiter(r, now)
	g.limiters[r.Key] = l
	g.digest += keyDigest(r.Key)
	s := g.services[r.Service]
	if s == nil {
		s = &serviceDemand{
			decayedAt: now,
		}
		g.services[r.Service] = s
	}
	s.limitCount++
	g.record(l.change())
	return l.change()
}

func (g *Granter) removeLimit(l *limiter) LimitChange {
	delete(g.limiters, l.key)
	g.digest -= keyDigest(l.key)
	s := g.services[l.service]
	if s.limitCount--; s.limitCount == 0 {
		delete(g.services, l.service)
	}
	c := l.change()
	c.Removed = true
	g.record(c)
	return c
}

// Expire removes the limits without reports for too long, and returns the changes.
func (g *Granter) Expire() []LimitChange {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var changes []LimitChange
	for _, l := range g.limiters {
		if l.expired(now) {
			changes = append(changes, g.removeLimit(l))
		}
	}
	return changes
}

// record gives a change the next version, and wakes those who wait for one.
func (g *Granter) record(c LimitChange) {
	g.version++
	g.changes = append(g.changes, versionedChange{
		LimitChange: c,
		version:     g.version,
	})
	if len(g.changes) > maxChanges {
		g.changes = append([]versionedChange(nil), g.changes[maxChanges/2:]...)
	}
	g.notify()
}

func (g *Granter) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (g *Granter) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// UpToDate reports whether a host with the limits of a term up to a version has all changes.
func (g *Granter) UpToDate(term, version uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return term == g.term && version == g.version
}

// ChangesSince returns the changes since a version of a term, and the newest version; if full,
// the list holds all limits instead. A host whose limits are the same, by their digest, gets
// none, whichever term they are of.
func (g *Granter) ChangesSince(term, known, digest uint64) (list []LimitChange, version uint64, full bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if digest == g.digest {
		return nil, g.version, false
	}
	if term == g.term && known <= g.version && (known == g.version || len(g.changes) > 0 && g.changes[0].version <= known+1) {
		for i := len(g.changes) - 1; i >= 0 && g.changes[i].version > known; i-- {
			list = append(list, g.changes[i].LimitChange)
		}
		slices.Reverse(list)
		return list, g.version, false
	}
	for _, l := range g.limiters {
		list = append(list, l.change())
	}
	return list, g.version, true
}

// ReturnUnused takes back permits of a term that expired unused.
func (g *Granter) ReturnUnused(term uint64, list Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term != g.term {
		return
	}
	now := g.clock.Now()
	for key, n := range list {
		if l := g.limiters[key]; l != nil {
			l.refill(now)
			l.returnUnused(n)
		}
	}
}

// Demand is the number of requests that a host received for a service since its last call to
// the leader, and the endpoints to which it wants permits.
type Demand struct {
	Service  string
	Requests int
	Wanted   []uint32
}

// Grant grants permits to a host in proportion to its demand. Waiters come first.
func (g *Granter) Grant(d Demand) Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[d.Service]
	if s == nil || d.Requests <= 0 {
		return nil
	}
	now := g.clock.Now()
	s.add(d.Requests, now)
	granted := Counts{}
	hostShare := float64(d.Requests) / math.Max(1, s.demand)
	for _, key := range d.Wanted {
		l := g.limiters[key]
		if l == nil {
			continue
		}
		l.refill(now)
		share := int(math.Ceil(l.limit * Lifetime.Seconds() * hostShare))
		if n := min(d.Requests, share, l.available(len(l.waiters))); n > 0 {
			l.grant(n)
			granted[key] = n
		}
	}
	return granted
}

// add counts requests; older ones decay.
func (s *serviceDemand) add(requests int, now time.Time) {
	s.decay(now)
	s.demand += float64(requests)
}

func (s *serviceDemand) decay(now time.Time) {
	s.demand *= math.Exp(-float64(now.Sub(s.decayedAt)) / float64(demandWindow))
	s.decayedAt = now
}

// ChargeProbe counts a call that the leader makes itself, at the expense of the hosts' permits.
func (g *Granter) ChargeProbe(key uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.limiters[key]; l != nil {
		l.refill(g.clock.Now())
		l.grant(1)
	}
}

// ProbeInterval returns the least time between two probes of an endpoint; 0 if it has no limit.
func (g *Granter) ProbeInterval(key uint32) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limiters[key]
	if l == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / (probeShare * l.limit))
}

// BelowDemand reports whether an endpoint's limit is lower than the demand for its service, so
// that it can't serve that alone.
func (g *Granter) BelowDemand(key uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limiters[key]
	if l == nil {
		return false
	}
	s := g.services[l.service]
	s.decay(g.clock.Now())
	return l.limit*demandWindow.Seconds() < s.demand
}

// Size returns the number of endpoints that have a limit.
func (g *Granter) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.limiters)
}
