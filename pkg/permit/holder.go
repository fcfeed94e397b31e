package permit

import (
	"math"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// A new limit below urgentDropRatio of the previous one is reported to the leader at once,
	// since the leader grants by the limit that it knows.
	urgentDropRatio = 0.8
	// rateWindow is the time constant with which counted requests decay.
	rateWindow = 2 * time.Second
	// minExpectedUse is how many requests must be expected within a permit's lifetime for the
	// host to ask for permits in advance. A single request makes for an expectation of 0.5.
	minExpectedUse = 0.6
	// After a permit expired unused, a host asks for no permit to that endpoint for
	// unusedPause. Each further one in a row doubles the pause, maxPauseDoublings times at most.
	unusedPause       = 2 * time.Second
	maxPauseDoublings = 3
	// maxWanted bounds the endpoints of a service for which one call asks for permits, at
	// four bytes each; the next call asks for others.
	maxWanted = 32
)

// Holder is a host's side: the endpoints that it knows to have limits, and the permits that
// it holds. It is safe for use by several goroutines.
//
// Invariant: an endpoint that has a limit is called only with a permit that is neither used
// nor expired. A host doesn't remove a limit by itself once a leader knows of it: it reports
// what it received, and the leader weighs that against the reports of other hosts.
type Holder struct {
	clock Clock

	// seed differs from host to host, so that not all hosts report the same at the same time.
	seed uint64

	mu         sync.Mutex
	entries    map[uint32]*entry
	digest     uint64 // of the keys of entries
	term       uint64 // of the leader whose limits are held, up to version
	version    uint64
	unreported map[uint32]LimitReport  // not acknowledged by the leader; the newest of each endpoint
	requests   map[string]*requestRate // by service
	nextWanted uint32                  // key at which the next round of wanted endpoints starts
	unused     Counts                  // permits of term that expired unused, not reported yet
}

// entry is one endpoint that has a limit.
type entry struct {
	report    LimitReport  // the last one with a limit
	knownTerm uint64       // term of the last leader that knows of the limit; 0 if none does
	permits   []heldPermit // the oldest first
	// noneReportedAt is when an answer without a limit was last reported at once.
	noneReportedAt time.Time
	// reReportAt is when to report the limit to the leader of reReportTerm, which lacks it.
	reReportAt   time.Time
	reReportTerm uint64
	// unusedInRow counts the permits in a row that expired unused; no permits are asked for
	// until pausedUntil.
	unusedInRow int
	pausedUntil time.Time
}

// requestRate counts the requests for a service.
type requestRate struct {
	unreported int
	rate       float64 // decays with rateWindow
	decayedAt  time.Time
}

func (r *requestRate) decay(now time.Time) {
	r.rate *= math.Exp(-float64(now.Sub(r.decayedAt)) / float64(rateWindow))
	r.decayedAt = now
}

// heldPermit is one permit that the host holds.
type heldPermit struct {
	expiresAt time.Time
	term      uint64 // of the leader that granted it
}

// NewHolder returns a holder without limits; seed should differ from host to host.
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

// Observe applies what the answer to a call sent at the given time says about an endpoint's
// limit. It reports whether the leader must learn of it at once.
func (h *Holder) Observe(id, service string, l fleet.RateLimit, sent time.Time) bool {
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

// observeNone applies an answer without a limit from an endpoint that has one. The call may
// have been sent before the limit was reported; then the answer is ignored.
func (h *Holder) observeNone(e *entry, r LimitReport) bool {
	if r.SentAt.Before(e.report.ReceivedAt) {
		return false
	}
	previous, isPending := h.unreported[r.Key]
	if isPending && !previous.hasLimit() {
		return false // one is pending already
	}
	if e.knownTerm == 0 {
		h.remove(r.Key) // the limit came and went before any leader learned of it
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

// MayCall reports whether an endpoint may be called now: it has no limit, or a permit is held.
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

// TryAcquire uses up the permits that calls to these endpoints need, all or none, and reports
// whether they were there. If so, the calls must be made at once.
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

// dropExpired drops the expired permits of an endpoint, and returns how many are left.
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

// CountRequest counts a request for a service, as demand for permits to its endpoints.
func (h *Holder) CountRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) == 0 {
		return
	}
	now := h.clock.Now()
	r := h.requests[service]
	if r == nil {
		r = &requestRate{
			decayedAt: now,
		}
		h.requests[service] = r
	}
	r.decay(now)
	r.rate++
	r.unreported++
}

// reReportSpread is the time over which the hosts report to a new leader the limits that it
// lacks: once the first has done so, the others needn't.
const reReportSpread = time.Second

// ApplyChanges applies what the leader of a term answered: the limits that changed since the
// reported version, all limits if full, or nothing if the host's limits are the same as the
// leader's. A limit that the leader doesn't know of is kept, and reported to it.
func (h *Holder) ApplyChanges(term, version uint64, full bool, list []LimitChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := term != h.term && !full && len(list) == 0
	if term != h.term {
		h.unused = Counts{} // granted by another leader, which grants no more
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
		case same && !isPending: // nothing newer than what the leader compared
			e.knownTerm = term
		case e.knownTerm < term && e.reReportTerm < term:
			e.reReportTerm = term
			e.reReportAt = now.Add(h.jitter(key, reReportSpread))
		case e.knownTerm == term && full && !listed[key]:
			h.removeUnlessRenewed(key)
		}
	}
}

// jitter returns a fraction of d that differs from host to host.
func (h *Holder) jitter(key uint32, d time.Duration) time.Duration {
	hash := keyDigest(key ^ uint32(h.seed))
	return time.Duration(float64(d) * float64(hash>>32) / (1 << 32))
}

// learnLimit returns the entry of an endpoint that has a limit according to the leader.
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

// removeUnlessRenewed removes a limit, unless it was reported again meanwhile.
func (h *Holder) removeUnlessRenewed(key uint32) {
	if r, isPending := h.unreported[key]; isPending && r.hasLimit() {
		return
	}
	h.remove(key)
}

// AddPermits adds permits that the leader of a term granted, and that expire at expiresAt.
func (h *Holder) AddPermits(term uint64, list Counts, expiresAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, n := range list {
		e := h.entries[key]
		if e == nil {
			continue // the endpoint has no limit according to this host
		}
		for range n {
			e.permits = append(e.permits, heldPermit{
				expiresAt: expiresAt,
				term:      term,
			})
		}
	}
}

// Size returns the number of limits and of permits held.
func (h *Holder) Size() (limits, permits int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.entries {
		permits += len(e.permits)
	}
	return len(h.entries), permits
}
