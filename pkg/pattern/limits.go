package pattern

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/permit"
)

// LimitStrategy is how hosts keep the sum of what they send to an endpoint that has a limit.
type LimitStrategy int

// The ways.
const (
	// GrantedPermits: the leader lends permits, each for one call.
	GrantedPermits LimitStrategy = iota
	// EqualShares: each host sends the limit's part for the number of hosts.
	EqualShares
	// HostSubset: some hosts, by hash, share the limit, and the others send nothing.
	HostSubset
)

// String returns the way's name.
func (w LimitStrategy) String() string {
	return [...]string{"lent", "equal parts", "few hosts"}[w]
}

const (
	// limitCall is how long a host's call to the leader is held, and limitGather the time
	// for each host that it is held at least: what the control hosts do.
	limitCall   = 400 * time.Millisecond
	limitGather = time.Millisecond
	// limitAnswer is how long an endpoint takes to answer, limitHop a message.
	limitAnswer = 40 * time.Millisecond
	limitHop    = time.Millisecond
	// limitSweep is how often the leader ends limits that are over.
	limitSweep = 300 * time.Millisecond
	// limitBorrow is how long a request waits for a permit.
	limitBorrow = 250 * time.Millisecond
	// limitService is the service that all endpoints of a play are of.
	limitService = "s"
)

// LimitScenario is a play of endpoints that name limits.
type LimitScenario struct {
	Strategy  LimitStrategy
	Hosts     int
	Endpoints int
	// PerSecond is the requests of all hosts together.
	PerSecond float64
	// Limit returns the limit that an endpoint names at a time; below 0: none.
	Limit func(endpoint int, now time.Duration) float64
}

// LimitModel is one play of endpoints that name limits: the permits are the product's own code,
// the hosts, the leader's calls and the endpoints are a model.
type LimitModel struct {
	shape     LimitScenario
	clock     *clock
	rand      *rand.Rand
	hosts     []*limitHost
	endpoints []*limitEndpoint
	lender    *permit.Granter
	term      uint64
	leads     bool // a leader is there
	// Refused is when requests were refused, and Calls counts what the leader was called.
	Refused []time.Duration
	Calls   int
}

// limitEndpoint is an endpoint, and when it was reached.
type limitEndpoint struct {
	id      string
	n       int
	reached []time.Duration
}

// limitHost is an entry host.
type limitHost struct {
	m     *LimitModel
	n     int
	book  *permit.Holder
	cut   bool // it hears nothing of the leader, nor the leader of it
	epoch int  // counts starts: what belongs to an older one is void
	held  *limitHeld
	parts map[string]*limitPart // by endpoint
}

// limitHeld is a call to the leader that wasn't answered yet.
type limitHeld struct {
	report permit.HostReport
	sent   time.Duration
	term   uint64 // of the leader that heard it; 0: none did
}

// limitPart is a host's own part of a limit, as the other ways have it.
type limitPart struct {
	tokens float64
	at     time.Duration
}

// NewLimitModel returns a play whose hosts know nothing yet.
func NewLimitModel(shape LimitScenario, seed uint64) *LimitModel {
	m := &LimitModel{
		shape: shape,
		clock: &clock{},
		rand:  rand.New(rand.NewPCG(seed, seed)),
		term:  1,
		leads: true,
	}
	m.lender = permit.NewGranter(m)
	m.lender.BeginTerm(m.term)
	for n := range shape.Endpoints {
		m.endpoints = append(m.endpoints, &limitEndpoint{
			id: fmt.Sprintf("e%d", n),
			n:  n,
		})
	}
	for n := range shape.Hosts {
		h := &limitHost{
			m:     m,
			n:     n,
			book:  permit.NewHolder(m, uint64(n)),
			parts: map[string]*limitPart{},
		}
		m.hosts = append(m.hosts, h)
		m.clock.after(limitCall*time.Duration(n)/time.Duration(shape.Hosts), h.start)
	}
	m.clock.after(limitSweep, m.sweep)
	m.clock.after(m.gap(), m.ask)
	return m
}

// Now implements permit.Clock.
func (m *LimitModel) Now() time.Time {
	return time.Unix(1000, int64(m.clock.now))
}

// Run plays on until a time.
func (m *LimitModel) Run(until time.Duration) {
	m.clock.runUntil(until)
}

// StopLeader takes the leader away; another leads after a while, and knows nothing.
func (m *LimitModel) StopLeader(d time.Duration) {
	m.leads = false
	m.clock.after(d, func() {
		m.leads = true
		m.term++
		m.lender.BeginTerm(m.term)
	})
}

// SetPartitioned cuts a host off from the leader, or takes that back.
func (m *LimitModel) SetPartitioned(host int, cut bool) {
	m.hosts[host].cut = cut
}

// Restart starts a host anew: it knows nothing.
func (m *LimitModel) Restart(host int) {
	m.hosts[host].start()
}

func (m *LimitModel) sweep() {
	if m.leads && len(m.lender.Expire()) > 0 {
		m.news()
	}
	m.clock.after(limitSweep, m.sweep)
}

func (m *LimitModel) gap() time.Duration {
	return time.Duration(m.rand.ExpFloat64() / m.shape.PerSecond * float64(time.Second))
}

// ask is one caller's request, at any host.
func (m *LimitModel) ask() {
	m.clock.after(m.gap(), m.ask)
	h := m.hosts[m.rand.IntN(len(m.hosts))]
	h.book.CountRequest(limitService)
	h.serve(m.clock.now + limitBorrow)
}

// start begins a host anew.
func (h *limitHost) start() {
	h.epoch++
	h.book = permit.NewHolder(h.m, uint64(h.n))
	h.parts = map[string]*limitPart{}
	h.held = nil
	h.call()
}

// call calls the leader, which holds the call.
func (h *limitHost) call() {
	epoch := h.epoch
	held := &limitHeld{
		report: h.book.TakeReport(),
		sent:   h.m.clock.now,
	}
	h.held = held
	h.m.Calls++
	h.m.clock.after(limitHop, func() { h.m.hear(h, held) })
	h.m.clock.after(limitCall, func() {
		if h.epoch == epoch && h.held == held {
			h.answer()
		}
	})
}

// hear takes what a host reports.
func (m *LimitModel) hear(h *limitHost, held *limitHeld) {
	if !m.leads || h.cut {
		return
	}
	held.term = m.term
	rep := held.report
	news := m.lender.Observe(rep.LimitReports)
	m.lender.ReturnUnused(rep.Term, rep.Unused)
	if len(news) > 0 {
		m.news()
	}
}

// news answers all calls that were held for long enough.
func (m *LimitModel) news() {
	gather := limitGather * time.Duration(len(m.hosts))
	for _, h := range m.hosts {
		held, epoch := h.held, h.epoch
		if held == nil || held.term != m.term {
			continue
		}
		m.clock.after(max(limitHop, held.sent+gather-m.clock.now), func() {
			if h.epoch == epoch && h.held == held {
				h.answer()
			}
		})
	}
}

// answer has the leader answer the call of a host, which calls again.
func (h *limitHost) answer() {
	m, rep, heardBy := h.m, h.held.report, h.held.term
	epoch := h.epoch
	h.held = nil
	if !m.leads || h.cut || heardBy != m.term { // a leader confirms what it heard itself
		m.clock.after(limitCall, func() { h.again(epoch) })
		return
	}
	list, version, whole := m.lender.ChangesSince(rep.Term, rep.Version, rep.Digest)
	lent := permit.Counts{}
	for _, d := range rep.Demands {
		lent = m.lender.Grant(d)
	}
	end := m.Now().Add(permit.Lifetime)
	term := m.term
	m.clock.after(limitHop, func() {
		if h.epoch != epoch || h.cut { // the answer is lost
			h.again(epoch)
			return
		}
		h.book.Acknowledge(term, rep.LimitReports)
		h.book.ApplyChanges(term, version, whole, list)
		h.book.AddPermits(term, lent, end)
		h.again(epoch)
	})
}

func (h *limitHost) again(epoch int) {
	if h.epoch == epoch && h.held == nil {
		h.call()
	}
}

// serve sends a request to one of the endpoints that may be called, and to one that has a
// limit first; where there is none it waits for a permit until end.
func (h *limitHost) serve(end time.Duration) {
	var best *limitEndpoint
	var scarce []*limitEndpoint
	for _, i := range h.m.rand.Perm(len(h.m.endpoints)) {
		e := h.m.endpoints[i]
		switch {
		case !h.may(e):
			scarce = append(scarce, e)
		case best == nil || h.book.HasLimit(e.id):
			best = e
		}
	}
	if best != nil {
		h.send(best)
		return
	}
	h.borrow(scarce, end)
}

// anyFree reports whether some endpoint may be called.
func (h *limitHost) anyFree() bool {
	return slices.ContainsFunc(h.m.endpoints, h.may)
}

// may reports whether an endpoint may be called.
func (h *limitHost) may(e *limitEndpoint) bool {
	if !h.book.HasLimit(e.id) {
		return true
	}
	if h.m.shape.Strategy == GrantedPermits {
		return h.book.MayCall(e.id)
	}
	return h.part(e).tokens >= 1
}

// part returns a host's own part of an endpoint's limit. It begins empty.
func (h *limitHost) part(e *limitEndpoint) *limitPart {
	now := h.m.clock.now
	p := h.parts[e.id]
	if p == nil {
		p = &limitPart{
			at: now,
		}
		h.parts[e.id] = p
	}
	rate := math.Max(0, h.m.shape.Limit(e.n, now)) * h.shareOf(e)
	p.tokens = math.Min(1, p.tokens+rate*(now-p.at).Seconds())
	p.at = now
	return p
}

// shareOf returns a host's share of an endpoint's limit.
func (h *limitHost) shareOf(e *limitEndpoint) float64 {
	hosts := float64(len(h.m.hosts))
	if h.m.shape.Strategy == EqualShares {
		return 1 / hosts
	}
	few := math.Min(hosts, math.Max(1, math.Floor(h.m.shape.Limit(e.n, h.m.clock.now))))
	if float64(fleet.LoadKey(fmt.Sprintf("%s %d", e.id, h.n)))/math.MaxUint32 >= few/hosts {
		return 0
	}
	return 1 / few
}

// send sends a request, and hears the answer.
func (h *limitHost) send(e *limitEndpoint) {
	if h.book.HasLimit(e.id) {
		if h.m.shape.Strategy == GrantedPermits && !h.book.TryAcquire(e.id) {
			return
		}
		if h.m.shape.Strategy != GrantedPermits {
			h.part(e).tokens--
		}
	}
	m, epoch, sent := h.m, h.epoch, h.m.Now()
	e.reached = append(e.reached, m.clock.now)
	m.clock.after(limitAnswer, func() {
		if h.epoch != epoch {
			return
		}
		l := fleet.Limit{
			Status: fleet.LimitNone,
		}
		if n := m.shape.Limit(e.n, m.clock.now); n >= 0 {
			l = fleet.Limit{
				Status:    fleet.LimitSet,
				PerSecond: n,
			}
		}
		if h.book.Observe(e.id, limitService, l, sent) {
			words := h.book.PendingReports()
			m.clock.after(limitHop, func() { m.tell(h, words) })
		}
	})
}

// tell tells the leader at once of limits that a host heard.
func (m *LimitModel) tell(h *limitHost, words []permit.LimitReport) {
	m.Calls++
	if !m.leads || h.cut {
		return
	}
	if len(m.lender.Observe(words)) > 0 {
		m.news()
	}
	h.book.Acknowledge(m.term, words)
}

// borrow asks the leader for a permit for any of the endpoints.
func (h *limitHost) borrow(list []*limitEndpoint, end time.Duration) {
	m := h.m
	if m.shape.Strategy != GrantedPermits || !m.leads || h.cut {
		m.Refused = append(m.Refused, m.clock.now)
		return
	}
	keys := make([]uint32, 0, len(list))
	for _, e := range list {
		keys = append(keys, permit.EndpointKey(e.id))
	}
	m.Calls++
	loan := m.lender.Enqueue(keys, false, 0)
	m.clock.after(limitHop, func() { h.try(loan, end) })
}

// try tries to lend what is asked for, until end.
func (h *limitHost) try(loan *permit.Waiter, end time.Duration) {
	m, epoch := h.m, h.epoch
	lent, due := m.lender.TryGrant(loan)
	switch {
	case due == 0:
		m.lender.Dequeue(loan)
		term, until := m.term, m.Now().Add(permit.Lifetime)
		m.clock.after(limitHop, func() {
			if h.epoch != epoch || h.cut {
				return
			}
			h.book.AddPermits(term, lent, until)
			h.serve(end)
		})
	case m.clock.now+due > end && h.anyFree():
		m.lender.Dequeue(loan)
		h.serve(end)
	case m.clock.now+due > end:
		m.lender.Dequeue(loan)
		m.Refused = append(m.Refused, m.clock.now)
	default:
		m.clock.after(due, func() { h.try(loan, end) })
	}
}

// ReachedIn returns how many requests reached an endpoint in [from, to).
func (m *LimitModel) ReachedIn(endpoint int, from, to time.Duration) int {
	n := 0
	for _, at := range m.endpoints[endpoint].reached {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// MaxInWindow returns the most requests that reached an endpoint in d within [from, to).
func (m *LimitModel) MaxInWindow(endpoint int, d, from, to time.Duration) int {
	most, first := 0, 0
	list := m.endpoints[endpoint].reached
	for last, at := range list {
		for first < last && (list[first] <= at-d || list[first] < from) {
			first++
		}
		if at >= from && at < to {
			most = max(most, last-first+1)
		}
	}
	return most
}

// HostsAware returns how many hosts know that an endpoint has a limit.
func (m *LimitModel) HostsAware(endpoint int) int {
	n := 0
	for _, h := range m.hosts {
		if h.book.HasLimit(m.endpoints[endpoint].id) {
			n++
		}
	}
	return n
}

// RefusedIn returns how many requests were refused in [from, to).
func (m *LimitModel) RefusedIn(from, to time.Duration) int {
	n := 0
	for _, at := range m.Refused {
		if at >= from && at < to {
			n++
		}
	}
	return n
}
