package permit

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// fallShare is the part of a limit under which a lower one is told at once: the leader
	// lends by what it knows.
	fallShare = 0.8
	// rateTime is the time over which requests are counted.
	rateTime = 2 * time.Second
	// leastUse is how many requests must be expected while a permit is valid to have use
	// for one that isn't asked for by a request; one request alone makes half of one.
	leastUse = 0.6
	// idleFirst is for how long a host asks for no permit to an endpoint after it had no
	// use for one; each time in a row doubles it, up to idleMost times.
	idleFirst = 2 * time.Second
	idleMost  = 3
	// mostWanted bounds the endpoints of a service for which one call asks for permits, at
	// four bytes each; the next call asks for others.
	mostWanted = 32
)

// Holder is what a host knows of endpoints that have limits, and the permits that it holds.
// It is safe for use by several goroutines.
//
// Invariant: an endpoint that has a limit is called by a permit that wasn't used, and
// isn't over. A host alone never ends a limit: it tells what it heard, and the leader
// weighs that with what others heard.
type Holder struct {
	clock Clock

	// seed is this host's own, so that not all hosts tell the same at the same time.
	seed uint64

	mu      sync.Mutex
	rows    map[uint32]*row
	digest  uint64 // of their keys
	term    uint64 // of the leader whose limits are held, up to version
	version uint64
	words   map[uint32]LimitReport // to be told, the newest of each endpoint
	asked   map[string]*asked      // by service
	next    uint32                 // key from which on endpoints are asked for
	unused  Counts                 // permits of term that were over, to be told
}

// row is one endpoint that has a limit.
type row struct {
	word LimitReport // the last that named it
	told uint64      // term of the leader that knows; 0: none does
	held []held      // permits, the oldest first
	// noneAt is when it was last told that an answer names none.
	noneAt time.Time
	// retellAt is when the leader of the term retell is told, which doesn't know of it.
	retellAt time.Time
	retell   uint64
	// idle is how many permits in a row weren't used, and until is when to ask for others.
	idle  int
	until time.Time
}

// asked is requests for a service.
type asked struct {
	untold int
	rate   float64 // in rateTime, those that are older less and less
	at     time.Time
}

func (a *asked) fade(now time.Time) {
	a.rate *= math.Exp(-float64(now.Sub(a.at)) / float64(rateTime))
	a.at = now
}

// held is a permit.
type held struct {
	end  time.Time
	term uint64 // of the leader that lent it
}

// NewHolder returns a book without limits; seed should differ from host to host.
func NewHolder(clock Clock, seed uint64) *Holder {
	return &Holder{
		clock:  clock,
		seed:   seed,
		rows:   map[uint32]*row{},
		words:  map[uint32]LimitReport{},
		asked:  map[string]*asked{},
		unused: Counts{},
	}
}

// Observe takes what an answer to a call sent at a time says of an endpoint's limit. It
// reports whether that is news, which the leader must learn at once.
func (b *Holder) Observe(id, service string, l fleet.Limit, sent time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Status == fleet.LimitUnknown || l.Status == fleet.LimitNone && len(b.rows) == 0 {
		return false
	}
	w := LimitReport{
		Key:        EndpointKey(id),
		Service:    service,
		PerSecond:  -1,
		SentAt:     sent,
		ReceivedAt: b.clock.Now(),
	}
	r := b.rows[w.Key]
	if l.Status == fleet.LimitNone {
		return r != nil && b.hearNone(r, w)
	}
	w.PerSecond = l.PerSecond
	b.words[w.Key] = w
	if r == nil {
		b.add(&row{
			word: w,
		})
		return true
	}
	falls := w.PerSecond < fallShare*r.word.PerSecond
	r.word = w
	return falls
}

// hearNone takes an answer that names no limit, from an endpoint that has one. It may have
// begun before the limit was named.
func (b *Holder) hearNone(r *row, w LimitReport) bool {
	if w.SentAt.Before(r.word.ReceivedAt) {
		return false
	}
	old, waits := b.words[w.Key]
	if waits && !old.names() {
		return false // it will be told
	}
	if r.told == 0 {
		b.remove(w.Key) // it came and went, and nobody else was told
		return false
	}
	b.words[w.Key] = w
	news := w.ReceivedAt.Sub(r.noneAt) > overTime
	if news {
		r.noneAt = w.ReceivedAt
	}
	return news
}

func (b *Holder) add(r *row) {
	b.rows[r.word.Key] = r
	b.digest += digestOf(r.word.Key)
}

func (b *Holder) remove(key uint32) {
	if b.rows[key] != nil {
		b.digest -= digestOf(key)
	}
	delete(b.rows, key)
	delete(b.words, key)
	delete(b.unused, key)
}

// HasLimit reports whether an endpoint has a limit.
func (b *Holder) HasLimit(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rows) > 0 && b.rows[EndpointKey(id)] != nil
}

// HasLimits reports whether any endpoint has a limit.
func (b *Holder) HasLimits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rows) > 0
}

// MayCall reports whether an endpoint may be called now.
func (b *Holder) MayCall(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.may(id)
}

func (b *Holder) may(id string) bool {
	if len(b.rows) == 0 {
		return true
	}
	key := EndpointKey(id)
	r := b.rows[key]
	return r == nil || b.drop(key, r, b.clock.Now()) > 0
}

// TryAcquire takes what calls to endpoints need, all or nothing, and reports whether it was
// there: the calls may be made then, and must follow at once.
func (b *Holder) TryAcquire(ids ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.rows) == 0 {
		return true
	}
	now := b.clock.Now()
	needed := Counts{}
	for _, id := range ids {
		key := EndpointKey(id)
		r := b.rows[key]
		if r == nil {
			continue
		}
		needed[key]++
		if b.drop(key, r, now) < needed[key] {
			return false
		}
	}
	for key, n := range needed {
		r := b.rows[key]
		r.held = r.held[n:]
		r.idle = 0
	}
	return true
}

// drop takes the permits of an endpoint out that are over, and returns how many are left.
func (b *Holder) drop(key uint32, r *row, now time.Time) int {
	for len(r.held) > 0 && !now.Before(r.held[0].end) {
		if r.held[0].term == b.term {
			b.unused[key]++
		}
		r.held = r.held[1:]
		r.until = now.Add(idleFirst << min(r.idle, idleMost))
		r.idle++
	}
	return len(r.held)
}

// CountRequest counts a request for a service, whose endpoints may have limits.
func (b *Holder) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.rows) == 0 {
		return
	}
	now := b.clock.Now()
	a := b.asked[service]
	if a == nil {
		a = &asked{
			at: now,
		}
		b.asked[service] = a
	}
	a.fade(now)
	a.rate++
	a.untold++
}

// HostReport is what a host tells the leader.
type HostReport struct {
	Term         uint64
	Version      uint64
	Digest       uint64
	LimitReports []LimitReport
	Demands      []Demand
	Unused       Counts
}

// TakeReport returns what the leader must be told. What is unused is told once: were it told
// again, since an answer was lost, it would be lent twice.
func (b *Holder) TakeReport() HostReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	rep := HostReport{
		Term:         b.term,
		Version:      b.version,
		Digest:       b.digest,
		LimitReports: b.pending(),
	}
	if len(b.rows) > 0 {
		rep.Demands = b.demands(b.clock.Now())
	}
	rep.Unused = b.unused
	b.unused = Counts{}
	return rep
}

// demands returns the requests that weren't told, and forgets services without any.
func (b *Holder) demands(now time.Time) []Demand {
	wanted := b.wanted(now)
	var list []Demand
	for service, a := range b.asked {
		a.fade(now)
		if a.untold == 0 && a.rate < leastUse {
			delete(b.asked, service)
			continue
		}
		d := Demand{
			Service:  service,
			Requests: a.untold,
		}
		if a.rate*float64(Lifetime)/float64(rateTime) >= leastUse {
			d.Wanted = wanted[service]
		}
		a.untold = 0
		list = append(list, d)
	}
	return list
}

// wanted returns the endpoints for which this host holds no permit, in turn, but those
// whose permits it had no use for.
func (b *Holder) wanted(now time.Time) map[string][]uint32 {
	keys := make([]uint32, 0, len(b.rows))
	for key := range b.rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	first, _ := slices.BinarySearch(keys, b.next)
	list := map[string][]uint32{}
	for i := range keys {
		key := keys[(first+i)%len(keys)]
		r := b.rows[key]
		if b.drop(key, r, now) > 0 || now.Before(r.until) || len(list[r.word.Service]) >= mostWanted {
			continue
		}
		list[r.word.Service] = append(list[r.word.Service], key)
		b.next = key + 1
	}
	return list
}

// PendingReports returns what was heard and not told yet.
func (b *Holder) PendingReports() []LimitReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending()
}

func (b *Holder) pending() []LimitReport {
	now := b.clock.Now()
	for key, r := range b.rows {
		if _, waits := b.words[key]; !waits && r.told < b.term && !now.Before(r.retellAt) {
			b.words[key] = r.word
		}
	}
	list := make([]LimitReport, 0, len(b.words))
	for _, w := range b.words {
		list = append(list, w)
	}
	return list
}

// Acknowledge notes that the leader of a term took words.
func (b *Holder) Acknowledge(term uint64, words []LimitReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range words {
		if b.words[w.Key] == w {
			delete(b.words, w.Key)
		}
		if r := b.rows[w.Key]; r != nil && w.names() {
			r.told = term
		}
	}
}

// retellTime is the time over which hosts tell a new leader what it doesn't know: who
// is first spares the others.
const retellTime = time.Second

// ApplyChanges takes the limits that changed since what was reported, or all of them, or
// nothing where the host holds the same ones. A limit that the leader doesn't know of
// stays, and it is told.
func (b *Holder) ApplyChanges(term, version uint64, whole bool, list []LimitChange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	same := term != b.term && !whole && len(list) == 0
	if term != b.term {
		b.unused = Counts{} // lent by another, who doesn't lend any more
	}
	b.term = term
	b.version = version
	listed := map[uint32]bool{}
	for _, c := range list {
		if c.Removed {
			b.end(c.Key)
			continue
		}
		listed[c.Key] = true
		b.learn(c).told = term
	}
	now := b.clock.Now()
	for key, r := range b.rows {
		_, waits := b.words[key]
		switch {
		case same && !waits: // it isn't newer than what was reported
			r.told = term
		case r.told < term && r.retell < term:
			r.retell = term
			r.retellAt = now.Add(b.part(key, retellTime))
		case r.told == term && whole && !listed[key]:
			b.end(key)
		}
	}
}

// part returns a part of d that differs from host to host.
func (b *Holder) part(key uint32, d time.Duration) time.Duration {
	mixed := digestOf(key ^ uint32(b.seed))
	return time.Duration(float64(d) * float64(mixed>>32) / (1 << 32))
}

// learn returns the row of an endpoint of which the leader tells that it has a limit.
func (b *Holder) learn(c LimitChange) *row {
	r := b.rows[c.Key]
	if r == nil {
		now := b.clock.Now()
		r = &row{
			word: LimitReport{
				Key:        c.Key,
				Service:    c.Service,
				PerSecond:  c.PerSecond,
				SentAt:     now,
				ReceivedAt: now,
			},
		}
		b.add(r)
	}
	return r
}

// end ends a limit, unless it was named anew meanwhile.
func (b *Holder) end(key uint32) {
	if w, waits := b.words[key]; waits && w.names() {
		return
	}
	b.remove(key)
}

// AddPermits notes permits that the leader of a term lent, which may be used until an end.
func (b *Holder) AddPermits(term uint64, list Counts, end time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, n := range list {
		r := b.rows[key]
		if r == nil {
			continue // it has no limit here
		}
		for range n {
			r.held = append(r.held, held{
				end:  end,
				term: term,
			})
		}
	}
}

// Size returns how many limits and permits are held.
func (b *Holder) Size() (limits, permits int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.rows {
		permits += len(r.held)
	}
	return len(b.rows), permits
}
