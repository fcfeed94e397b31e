package permit

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// demandTime is the time over which demand is counted.
	demandTime = time.Second
	// changesKept is how many changes are remembered; who is further behind gets all.
	changesKept = 4096
	// leastLimit is what a lower limit counts as: an endpoint that names 0 must be called
	// now and then, to hear when that is over.
	leastLimit = 0.05
	// askedShare is the part of a limit that questions may take.
	askedShare = 0.25
)

// Granter is the leader's side: the endpoints that have limits, and what was lent. It is
// safe for use by several goroutines.
//
// Invariant: what is known is of one term. Who leads next begins with nothing, and what
// the one before lent is over soon.
type Granter struct {
	clock Clock

	mu       sync.Mutex
	term     uint64
	version  uint64
	accounts map[uint32]*account
	digest   uint64           // of their keys
	pools    map[string]*pool // by service
	changes  []numbered       // the oldest first
	changed  chan struct{}
	orders   uint64 // of loans
}

// numbered is a change and the version that it made.
type numbered struct {
	LimitChange
	version uint64
}

// pool is a service some of whose endpoints have limits, and what all hosts are asked for.
type pool struct {
	limits int     // how many of its endpoints have one
	demand float64 // requests in demandTime
	at     time.Time
}

// NewGranter returns a lender of no term.
func NewGranter(clock Clock) *Granter {
	return &Granter{
		clock:    clock,
		accounts: map[uint32]*account{},
		pools:    map[string]*pool{},
		changed:  make(chan struct{}),
	}
}

// BeginTerm begins a term, unless it has begun.
func (l *Granter) BeginTerm(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term <= l.term {
		return
	}
	l.term = term
	l.version = 0
	l.accounts = map[uint32]*account{}
	l.digest = 0
	l.pools = map[string]*pool{}
	l.changes = nil
	l.wake()
}

// Observe takes words, and returns which endpoints have a limit since, or none any more.
func (l *Granter) Observe(words []LimitReport) []LimitChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var news []LimitChange
	for _, w := range words {
		if w.names() {
			w.PerSecond = math.Max(leastLimit, w.PerSecond)
		}
		a := l.accounts[w.Key]
		switch {
		case a != nil:
			a.hear(w, now)
			if a.over(now) {
				news = append(news, l.close(a))
			}
		case w.names():
			news = append(news, l.open(w, now))
		}
	}
	return news
}

func (l *Granter) open(w LimitReport, now time.Time) LimitChange {
	a := newAccount(w, now)
	l.accounts[w.Key] = a
	l.digest += digestOf(w.Key)
	p := l.pools[w.Service]
	if p == nil {
		p = &pool{
			at: now,
		}
		l.pools[w.Service] = p
	}
	p.limits++
	l.note(a.change())
	return a.change()
}

// close ends a limit.
func (l *Granter) close(a *account) LimitChange {
	delete(l.accounts, a.key)
	l.digest -= digestOf(a.key)
	p := l.pools[a.service]
	if p.limits--; p.limits == 0 {
		delete(l.pools, a.service)
	}
	c := a.change()
	c.Removed = true
	l.note(c)
	return c
}

// Expire ends the limits of which nothing is heard any more, and returns them.
func (l *Granter) Expire() []LimitChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var news []LimitChange
	for _, a := range l.accounts {
		if a.over(now) {
			news = append(news, l.close(a))
		}
	}
	return news
}

// note numbers a change, and wakes who waits for one.
func (l *Granter) note(c LimitChange) {
	l.version++
	l.changes = append(l.changes, numbered{
		LimitChange: c,
		version:     l.version,
	})
	if len(l.changes) > changesKept {
		l.changes = append([]numbered(nil), l.changes[changesKept/2:]...)
	}
	l.wake()
}

func (l *Granter) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed with the next change.
func (l *Granter) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// UpToDate reports whether who holds the limits of a term up to a version has all.
func (l *Granter) UpToDate(term, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return term == l.term && version == l.version
}

// ChangesSince returns what changed since a version of a term, and the newest version; whole
// says that these are all limits that there are. Who holds the same ones, by their digest,
// needs none, whichever term they are of.
func (l *Granter) ChangesSince(term, known, digest uint64) (list []LimitChange, version uint64, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if digest == l.digest {
		return nil, l.version, false
	}
	if term == l.term && known <= l.version && (known == l.version || len(l.changes) > 0 && l.changes[0].version <= known+1) {
		for i := len(l.changes) - 1; i >= 0 && l.changes[i].version > known; i-- {
			list = append(list, l.changes[i].LimitChange)
		}
		slices.Reverse(list)
		return list, l.version, false
	}
	for _, a := range l.accounts {
		list = append(list, a.change())
	}
	return list, l.version, true
}

// ReturnUnused takes back permits of a term that were over before they were used.
func (l *Granter) ReturnUnused(term uint64, list Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term {
		return
	}
	now := l.clock.Now()
	for key, n := range list {
		if a := l.accounts[key]; a != nil {
			a.refill(now)
			a.unused(n)
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
func (l *Granter) Grant(d Demand) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[d.Service]
	if p == nil || d.Requests <= 0 {
		return nil
	}
	now := l.clock.Now()
	p.ask(d.Requests, now)
	lent := Counts{}
	part := float64(d.Requests) / math.Max(1, p.demand)
	for _, key := range d.Wanted {
		a := l.accounts[key]
		if a == nil {
			continue
		}
		a.refill(now)
		share := int(math.Ceil(a.limit * Lifetime.Seconds() * part))
		if n := min(d.Requests, share, a.free(len(a.queue))); n > 0 {
			a.lend(n)
			lent[key] = n
		}
	}
	return lent
}

// ask counts demand; what is older counts less and less.
func (p *pool) ask(requests int, now time.Time) {
	p.fade(now)
	p.demand += float64(requests)
}

func (p *pool) fade(now time.Time) {
	p.demand *= math.Exp(-float64(now.Sub(p.at)) / float64(demandTime))
	p.at = now
}

// ChargeProbe counts a call of the leader itself, which takes what the others then lack.
func (l *Granter) ChargeProbe(key uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[key]; a != nil {
		a.refill(l.clock.Now())
		a.lend(1)
	}
}

// ProbeInterval returns how long an endpoint must be left alone between two questions; 0 if it
// has no limit.
func (l *Granter) ProbeInterval(key uint32) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[key]
	if a == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / (askedShare * a.limit))
}

// BelowDemand reports whether an endpoint takes less than its service is asked for: it can't
// carry that alone.
func (l *Granter) BelowDemand(key uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[key]
	if a == nil {
		return false
	}
	p := l.pools[a.service]
	p.fade(l.clock.Now())
	return a.limit*demandTime.Seconds() < p.demand
}

// Size returns how many endpoints have a limit.
func (l *Granter) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}
