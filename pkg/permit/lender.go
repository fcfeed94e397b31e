package permit

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// demandWindow is the time over which demand is counted.
	demandWindow = time.Second
	// maxChanges is how many changes are remembered; who is further behind gets all.
	maxChanges = 4096
	// minLimit is what a lower limit counts as: an endpoint that names 0 must be called
	// now and then, to hear when that is over.
	minLimit = 0.05
	// probeShare is the part of a limit that questions may take.
	probeShare = 0.25
)

// Granter is the leader's side: the endpoints that have limits, and what was lent. It is
// safe for use by several goroutines.
//
// Invariant: what is known is of one term. Who leads next begins with nothing, and what
// the one before lent is over soon.
type Granter struct {
	clock Clock

	mu           sync.Mutex
	term         uint64
	version      uint64
	limiters     map[uint32]*limiter
	digest       uint64                    // of their keys
	services     map[string]*serviceDemand // by service
	changes      []versionedChange         // the oldest first
	changed      chan struct{}
	lastSequence uint64 // of loans
}

// versionedChange is a change and the version that it made.
type versionedChange struct {
	LimitChange
	version uint64
}

// serviceDemand is a service some of whose endpoints have limits, and what all hosts are asked for.
type serviceDemand struct {
	limitCount int     // how many of its endpoints have one
	demand     float64 // requests in demandTime
	decayedAt  time.Time
}

// NewGranter returns a lender of no term.
func NewGranter(clock Clock) *Granter {
	return &Granter{
		clock:    clock,
		limiters: map[uint32]*limiter{},
		services: map[string]*serviceDemand{},
		changed:  make(chan struct{}),
	}
}

// BeginTerm begins a term, unless it has begun.
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

// Observe takes words, and returns which endpoints have a limit since, or none any more.
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

// removeLimit ends a limit.
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

// Expire ends the limits of which nothing is heard any more, and returns them.
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

// record numbers a change, and wakes who waits for one.
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

// Changed returns a channel that is closed with the next change.
func (g *Granter) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// UpToDate reports whether who holds the limits of a term up to a version has all.
func (g *Granter) UpToDate(term, version uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return term == g.term && version == g.version
}

// ChangesSince returns what changed since a version of a term, and the newest version; whole
// says that these are all limits that there are. Who holds the same ones, by their digest,
// needs none, whichever term they are of.
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

// ReturnUnused takes back permits of a term that were over before they were used.
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

// Demand is what a host was asked for of a service since its last call, and the endpoints
// for which it has use for permits.
type Demand struct {
	Service  string
	Requests int
	Wanted   []uint32
}

// Grant lends permits to a host by what it is asked for. Those who wait for one come first.
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

// add counts demand; what is older counts less and less.
func (s *serviceDemand) add(requests int, now time.Time) {
	s.decay(now)
	s.demand += float64(requests)
}

func (s *serviceDemand) decay(now time.Time) {
	s.demand *= math.Exp(-float64(now.Sub(s.decayedAt)) / float64(demandWindow))
	s.decayedAt = now
}

// ChargeProbe counts a call of the leader itself, which takes what the others then lack.
func (g *Granter) ChargeProbe(key uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.limiters[key]; l != nil {
		l.refill(g.clock.Now())
		l.grant(1)
	}
}

// ProbeInterval returns how long an endpoint must be left alone between two questions; 0 if it
// has no limit.
func (g *Granter) ProbeInterval(key uint32) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limiters[key]
	if l == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / (probeShare * l.limit))
}

// BelowDemand reports whether an endpoint takes less than its service is asked for: it can't
// carry that alone.
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

// Size returns how many endpoints have a limit.
func (g *Granter) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.limiters)
}
