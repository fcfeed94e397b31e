package permit

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// urgentDropRatio is the part of a limit under which a lower one is told at once: the leader
	// lends by what it knows.
	urgentDropRatio = 0.8
	// rateWindow is the time over which requests are counted.
	rateWindow = 2 * time.Second
	// minExpectedUse is how many requests must be expected while a permit is valid to have use
	// for one that isn't asked for by a request; one request alone makes half of one.
	minExpectedUse = 0.6
	// unusedPause is for how long a host asks for no permit to an endpoint after it had no
	// use for one; each time in a row doubles it, up to idleMost times.
	unusedPause       = 2 * time.Second
	maxPauseDoublings = 3
	// maxWanted bounds the endpoints of a service for which one call asks for permits, at
	// four bytes each; the next call asks for others.
	maxWanted = 32
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

	mu         sync.Mutex
	entries    map[uint32]*entry
	digest     uint64 // of their keys
	term       uint64 // of the leader whose limits are held, up to version
	version    uint64
	unreported map[uint32]LimitReport  // to be told, the newest of each endpoint
	requests   map[string]*requestRate // by service
	nextWanted uint32                  // key from which on endpoints are asked for
	unused     Counts                  // permits of term that were over, to be told
}

// entry is one endpoint that has a limit.
type entry struct {
	report    LimitReport  // the last that named it
	knownTerm uint64       // term of the leader that knows; 0: none does
	permits   []heldPermit // permits, the oldest first
	// noneReportedAt is when it was last told that an answer names none.
	noneReportedAt time.Time
	// reReportAt is when the leader of the term retell is told, which doesn't know of it.
	reReportAt   time.Time
	reReportTerm uint64
	// unusedInRow is how many permits in a row weren't used, and until is when to ask for others.
	unusedInRow int
	pausedUntil time.Time
}

// requestRate is requests for a service.
type requestRate struct {
	unreported int
	rate       float64 // in rateTime, those that are older less and less
	decayedAt  time.Time
}

func (rate *requestRate) decay(now time.Time) {
	rate.rate *= math.Exp(-float64(now.Sub(rate.decayedAt)) / float64(rateWindow))
	rate.decayedAt = now
}

// heldPermit is a permit.
type heldPermit struct {
	expiresAt time.Time
	term      uint64 // of the leader that lent it
}

// NewHolder returns a book without limits; seed should differ from host to host.
func NewHolder(clock Clock, seed uint64) *Holder {
	return &Holder{
		clock:      clock,
		seed:       seed,
		entries:    map[uint32]*entry{},
		unreported: map[uint32]LimitReport{},
		requests:   map[string]*requestRate{},
		unused:     Counts{},
	}
}

// Observe takes what an answer to a call sent at a time says of an endpoint's limit. It
// reports whether that is news, which the leader must learn at once.
func (h *Holder) Observe(id, service string, l fleet.Limit, sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Status == fleet.LimitUnknown || l.Status == fleet.LimitNone && len(h.entries) == 0 {
		return false
	}
	r := LimitReport{
		Key:        EndpointKey(id),
		Service:    service,
		PerSecond:  -1,
		SentAt:     sent,
		ReceivedAt: h.clock.Now(),
	}
	e := h.entries[r.Key]
	if l.Status == fleet.LimitNone {
		return e != nil && h.observeNone(e, r)
	}
	r.PerSecond = l.PerSecond
	h.unreported[r.Key] = r
	if e == nil {
		h.add(&entry{
			report: r,
		})
		return true
	}
	dropped := r.PerSecond < urgentDropRatio*e.report.PerSecond
	e.report = r
	return dropped
}

// observeNone takes an answer that names no limit, from an endpoint that has one. It may have
// begun before the limit was named.
func (h *Holder) observeNone(e *entry, r LimitReport) bool {
	if r.SentAt.Before(e.report.ReceivedAt) {
		return false
	}
	previous, isPending := h.unreported[r.Key]
	if isPending && !previous.hasLimit() {
		return false // it will be told
	}
	if e.knownTerm == 0 {
		h.remove(r.Key) // it came and went, and nobody else was told
		return false
	}
	h.unreported[r.Key] = r
	urgent := r.ReceivedAt.Sub(e.noneReportedAt) > removalDelay
	if urgent {
		e.noneReportedAt = r.ReceivedAt
	}
	return urgent
}

func (h *Holder) add(e *entry) {
	h.entries[e.report.Key] = e
	h.digest += keyDigest(e.report.Key)
}

func (h *Holder) remove(key uint32) {
	if h.entries[key] != nil {
		h.digest -= keyDigest(key)
	}
	delete(h.entries, key)
	delete(h.unreported, key)
	delete(h.unused, key)
}

// HasLimit reports whether an endpoint has a limit.
func (h *Holder) HasLimit(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.entries) > 0 && h.entries[EndpointKey(id)] != nil
}

// HasLimits reports whether any endpoint has a limit.
func (h *Holder) HasLimits() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.entries) > 0
}

// MayCall reports whether an endpoint may be called now.
func (h *Holder) MayCall(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mayCall(id)
}

func (h *Holder) mayCall(id string) bool {
	if len(h.entries) == 0 {
		return true
	}
	key := EndpointKey(id)
	e := h.entries[key]
	return e == nil || h.dropExpired(key, e, h.clock.Now()) > 0
}

// TryAcquire takes what calls to endpoints need, all or nothing, and reports whether it was
// there: the calls may be made then, and must follow at once.
func (h *Holder) TryAcquire(ids ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) == 0 {
		return true
	}
	now := h.clock.Now()
	needed := Counts{}
	for _, id := range ids {
		key := EndpointKey(id)
		e := h.entries[key]
		if e == nil {
			continue
		}
		needed[key]++
		if h.dropExpired(key, e, now) < needed[key] {
			return false
		}
	}
	for key, n := range needed {
		e := h.entries[key]
		e.permits = e.permits[n:]
		e.unusedInRow = 0
	}
	return true
}

// dropExpired takes the permits of an endpoint out that are over, and returns how many are left.
func (h *Holder) dropExpired(key uint32, e *entry, now time.Time) int {
	for len(e.permits) > 0 && !now.Before(e.permits[0].expiresAt) {
		if e.permits[0].term == h.term {
			h.unused[key]++
		}
		e.permits = e.permits[1:]
		e.pausedUntil = now.Add(unusedPause << min(e.unusedInRow, maxPauseDoublings))
		e.unusedInRow++
	}
	return len(e.permits)
}

// CountRequest counts a request for a service, whose endpoints may have limits.
func (h *Holder) CountRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) == 0 {
		return
	}
	now := h.clock.Now()
	rate := h.requests[service]
	if rate == nil {
		rate = &requestRate{
			decayedAt: now,
		}
		h.requests[service] = rate
	}
	rate.decay(now)
	rate.rate++
	rate.unreported++
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
func (h *Holder) TakeReport() HostReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	report := HostReport{
		Term:         h.term,
		Version:      h.version,
		Digest:       h.digest,
		LimitReports: h.pendingReports(),
	}
	if len(h.entries) > 0 {
		report.Demands = h.demands(h.clock.Now())
	}
	report.Unused = h.unused
	h.unused = Counts{}
	return report
}

// demands returns the requests that weren't told, and forgets services without any.
func (h *Holder) demands(now time.Time) []Demand {
	wanted := h.wanted(now)
	var list []Demand
	for service, rate := range h.requests {
		rate.decay(now)
		if rate.unreported == 0 && rate.rate < minExpectedUse {
			delete(h.requests, service)
			continue
		}
		d := Demand{
			Service:  service,
			Requests: rate.unreported,
		}
		if rate.rate*float64(Lifetime)/float64(rateWindow) >= minExpectedUse {
			d.Wanted = wanted[service]
		}
		rate.unreported = 0
		list = append(list, d)
	}
	return list
}

// wanted returns the endpoints for which this host holds no permit, in turn, but those
// whose permits it had no use for.
func (h *Holder) wanted(now time.Time) map[string][]uint32 {
	keys := make([]uint32, 0, len(h.entries))
	for key := range h.entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	first, _ := slices.BinarySearch(keys, h.nextWanted)
	list := map[string][]uint32{}
	for i := range keys {
		key := keys[(first+i)%len(keys)]
		e := h.entries[key]
		if h.dropExpired(key, e, now) > 0 || now.Before(e.pausedUntil) || len(list[e.report.Service]) >= maxWanted {
			continue
		}
		list[e.report.Service] = append(list[e.report.Service], key)
		h.nextWanted = key + 1
	}
	return list
}

// PendingReports returns what was heard and not told yet.
func (h *Holder) PendingReports() []LimitReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pendingReports()
}

func (h *Holder) pendingReports() []LimitReport {
	now := h.clock.Now()
	for key, e := range h.entries {
		if _, isPending := h.unreported[key]; !isPending && e.knownTerm < h.term && !now.Before(e.reReportAt) {
			h.unreported[key] = e.report
		}
	}
	list := make([]LimitReport, 0, len(h.unreported))
	for _, r := range h.unreported {
		list = append(list, r)
	}
	return list
}

// Acknowledge notes that the leader of a term took words.
func (h *Holder) Acknowledge(term uint64, reports []LimitReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range reports {
		if h.unreported[r.Key] == r {
			delete(h.unreported, r.Key)
		}
		if e := h.entries[r.Key]; e != nil && r.hasLimit() {
			e.knownTerm = term
		}
	}
}

// reReportSpread is the time over which hosts tell a new leader what it doesn't know: who
// is first spares the others.
const reReportSpread = time.Second

// ApplyChanges takes the limits that changed since what was reported, or all of them, or
// nothing where the host holds the same ones. A limit that the leader doesn't know of
// stays, and it is told.
func (h *Holder) ApplyChanges(term, version uint64, full bool, list []LimitChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := term != h.term && !full && len(list) == 0
	if term != h.term {
		h.unused = Counts{} // lent by another, who doesn't lend any more
	}
	h.term = term
	h.version = version
	listed := map[uint32]bool{}
	for _, c := range list {
		if c.Removed {
			h.removeUnlessRenewed(c.Key)
			continue
		}
		listed[c.Key] = true
		h.learnLimit(c).knownTerm = term
	}
	now := h.clock.Now()
	for key, e := range h.entries {
		_, isPending := h.unreported[key]
		switch {
		case same && !isPending: // it isn't newer than what was reported
			e.knownTerm = term
		case e.knownTerm < term && e.reReportTerm < term:
			e.reReportTerm = term
			e.reReportAt = now.Add(h.jitter(key, reReportSpread))
		case e.knownTerm == term && full && !listed[key]:
			h.removeUnlessRenewed(key)
		}
	}
}

// jitter returns a part of d that differs from host to host.
func (h *Holder) jitter(key uint32, d time.Duration) time.Duration {
	hash := keyDigest(key ^ uint32(h.seed))
	return time.Duration(float64(d) * float64(hash>>32) / (1 << 32))
}

// learnLimit returns the row of an endpoint of which the leader tells that it has a limit.
func (h *Holder) learnLimit(c LimitChange) *entry {
	e := h.entries[c.Key]
	if e == nil {
		now := h.clock.Now()
		e = &entry{
			report: LimitReport{
				Key:        c.Key,
				Service:    c.Service,
				PerSecond:  c.PerSecond,
				SentAt:     now,
				ReceivedAt: now,
			},
		}
		h.add(e)
	}
	return e
}

// removeUnlessRenewed ends a limit, unless it was named anew meanwhile.
func (h *Holder) removeUnlessRenewed(key uint32) {
	if r, isPending := h.unreported[key]; isPending && r.hasLimit() {
		return
	}
	h.remove(key)
}

// AddPermits notes permits that the leader of a term lent, which may be used until an end.
func (h *Holder) AddPermits(term uint64, list Counts, expiresAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, n := range list {
		e := h.entries[key]
		if e == nil {
			continue // it has no limit here
		}
		for range n {
			e.permits = append(e.permits, heldPermit{
				expiresAt: expiresAt,
				term:      term,
			})
		}
	}
}

// Size returns how many limits and permits are held.
func (h *Holder) Size() (limits, permits int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.entries {
		permits += len(e.permits)
	}
	return len(h.entries), permits
}
