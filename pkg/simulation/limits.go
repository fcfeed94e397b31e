package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/permit"
)

// LimitStrategy is how hosts keep the sum of their requests within the rate limit of an
// endpoint.
type LimitStrategy int

// The strategies.
const (
	// GrantedPermits: the leader grants permits, each for one call.
	GrantedPermits LimitStrategy = iota
	// EqualShares: each host sends its equal share of the limit.
	EqualShares
	// HostSubset: some hosts, chosen by hash, share the limit, and the others send
	// nothing.
	HostSubset
)

func (s LimitStrategy) String() string {
	return [...]string{"granted permits", "equal shares", "host subset"}[s]
}

const (
	// limitPollTime is how long the leader holds a host's long poll open if nothing
	// changes. The least time that it is held is limitBatchDelay times the number of
	// hosts, as on the control hosts.
	limitPollTime   = 400 * time.Millisecond
	limitBatchDelay = time.Millisecond
	// limitResponseTime is how long an endpoint takes to answer, limitLatency how long
	// a message takes.
	limitResponseTime = 40 * time.Millisecond
	limitLatency      = time.Millisecond
	// limitExpireInterval is how often the leader removes limits that have expired.
	limitExpireInterval = 300 * time.Millisecond
	// limitPermitWait bounds how long a request waits for a permit.
	limitPermitWait = 250 * time.Millisecond
	// limitService is the service of all simulated endpoints.
	limitService = "s"
)

// LimitScenario describes endpoints with rate limits and their load.
type LimitScenario struct {
	Strategy  LimitStrategy
	Hosts     int
	Endpoints int
	// PerSecond is the request rate of all hosts together.
	PerSecond float64
	// Limit returns the rate limit that an endpoint reports at a time; negative: none.
	Limit func(endpoint int, now time.Duration) float64
}

// LimitModel simulates endpoints with rate limits. Permits are granted and held by the
// product's own code; the hosts, their calls to the leader and the endpoints are
// simulated.
type LimitModel struct {
	scenario  LimitScenario
	clock     *clock
	rand      *rand.Rand
	hosts     []*limitHost
	endpoints []*limitEndpoint
	granter   *permit.Granter
	term      uint64
	hasLeader bool
	// Refused holds the times at which requests were refused, and Calls counts the
	// calls to the leader.
	Refused []time.Duration
	Calls   int
}

// limitEndpoint is an endpoint, with the times at which requests reached it.
type limitEndpoint struct {
	id      string
	index   int
	reached []time.Duration
}

// limitHost is an entry host.
type limitHost struct {
	model       *LimitModel
	index       int
	holder      *permit.Holder
	partitioned bool // it can't reach the leader, nor the leader it
	epoch       int  // counts starts: what belongs to an earlier one is stale
	poll        *limitPoll
	buckets     map[string]*limitBucket // by endpoint
}

// limitPoll is a long poll that the leader hasn't answered yet.
type limitPoll struct {
	report permit.HostReport
	sentAt time.Duration
	term   uint64 // of the leader that received it; 0: none did
}

// limitBucket is a host's token bucket for its share of a limit, for the strategies
// without permits.
type limitBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// NewLimitModel returns a model whose hosts know of no limits yet.
func NewLimitModel(scenario LimitScenario, seed uint64) *LimitModel {
	m := &LimitModel{
		scenario:  scenario,
		clock:     &clock{},
		rand:      rand.New(rand.NewPCG(seed, seed)),
		term:      1,
		hasLeader: true,
	}
	m.granter = permit.NewGranter(m)
	m.granter.BeginTerm(m.term)
	for n := range scenario.Endpoints {
		m.endpoints = append(m.endpoints, &limitEndpoint{
			id:    fmt.Sprintf("e%d", n),
			index: n,
		})
	}
	for n := range scenario.Hosts {
		h := &limitHost{
			model:   m,
			index:   n,
			holder:  permit.NewHolder(m, uint64(n)),
			buckets: map[string]*limitBucket{},
		}
		m.hosts = append(m.hosts, h)
		m.clock.after(limitPollTime*time.Duration(n)/time.Duration(scenario.Hosts), h.restart)
	}
	m.clock.after(limitExpireInterval, m.expire)
	m.clock.after(m.interarrival(), m.newRequest)
	return m
}

// Now implements permit.Clock.
func (m *LimitModel) Now() time.Time {
	return time.Unix(1000, int64(m.clock.now))
}

// Run runs the simulation until a time.
func (m *LimitModel) Run(until time.Duration) {
	m.clock.runUntil(until)
}

// StopLeader stops the leader. Another one leads after d, and knows of no limits yet.
func (m *LimitModel) StopLeader(d time.Duration) {
	m.hasLeader = false
	m.clock.after(d, func() {
		m.hasLeader = true
		m.term++
		m.granter.BeginTerm(m.term)
	})
}

// SetPartitioned cuts a host off from the leader, or reconnects it.
func (m *LimitModel) SetPartitioned(host int, partitioned bool) {
	m.hosts[host].partitioned = partitioned
}

// Restart restarts a host, which loses its state.
func (m *LimitModel) Restart(host int) {
	m.hosts[host].restart()
}

func (m *LimitModel) expire() {
	if m.hasLeader && len(m.granter.Expire()) > 0 {
		m.answerPolls()
	}
	m.clock.after(limitExpireInterval, m.expire)
}

func (m *LimitModel) interarrival() time.Duration {
	return time.Duration(m.rand.ExpFloat64() / m.scenario.PerSecond * float64(time.Second))
}

// newRequest simulates a caller's request to a random host, and schedules the next one.
func (m *LimitModel) newRequest() {
	m.clock.after(m.interarrival(), m.newRequest)
	h := m.hosts[m.rand.IntN(len(m.hosts))]
	h.holder.CountRequest(limitService)
	h.handle(m.clock.now + limitPermitWait)
}

// restart starts the host without any state.
func (h *limitHost) restart() {
	h.epoch++
	h.holder = permit.NewHolder(h.model, uint64(h.index))
	h.buckets = map[string]*limitBucket{}
	h.poll = nil
	h.sendPoll()
}

// sendPoll sends a long poll to the leader.
func (h *limitHost) sendPoll() {
	epoch := h.epoch
	poll := &limitPoll{
		report: h.holder.TakeReport(),
		sentAt: h.model.clock.now,
	}
	h.poll = poll
	h.model.Calls++
	h.model.clock.after(limitLatency, func() { h.model.receiveReport(h, poll) })
	h.model.clock.after(limitPollTime, func() {
		if h.epoch == epoch && h.poll == poll {
			h.answerPoll()
		}
	})
}

// receiveReport has the leader take the report in a long poll.
func (m *LimitModel) receiveReport(h *limitHost, poll *limitPoll) {
	if !m.hasLeader || h.partitioned {
		return
	}
	poll.term = m.term
	report := poll.report
	changes := m.granter.Observe(report.LimitReports)
	m.granter.ReturnUnused(report.Term, report.Unused)
	if len(changes) > 0 {
		m.answerPolls()
	}
}

// answerPolls answers each open poll once it has been held for the least time.
func (m *LimitModel) answerPolls() {
	delay := limitBatchDelay * time.Duration(len(m.hosts))
	for _, h := range m.hosts {
		poll, epoch := h.poll, h.epoch
		if poll == nil || poll.term != m.term {
			continue
		}
		m.clock.after(max(limitLatency, poll.sentAt+delay-m.clock.now), func() {
			if h.epoch == epoch && h.poll == poll {
				h.answerPoll()
			}
		})
	}
}

// answerPoll has the leader answer the poll of a host, which then polls again.
func (h *limitHost) answerPoll() {
	m, report, pollTerm := h.model, h.poll.report, h.poll.term
	epoch := h.epoch
	h.poll = nil
	if !m.hasLeader || h.partitioned || pollTerm != m.term { // a leader acknowledges only what it received itself
		m.clock.after(limitPollTime, func() { h.pollAgain(epoch) })
		return
	}
	list, version, full := m.granter.ChangesSince(report.Term, report.Version, report.Digest)
	granted := permit.Counts{}
	for _, d := range report.Demands {
		granted = m.granter.Grant(d)
	}
	end := m.Now().Add(permit.Lifetime)
	term := m.term
	m.clock.after(limitLatency, func() {
		if h.epoch != epoch || h.partitioned { // the answer is lost
			h.pollAgain(epoch)
			return
		}
		h.holder.Acknowledge(term, report.LimitReports)
		h.holder.ApplyChanges(term, version, full, list)
		h.holder.AddPermits(term, granted, end)
		h.pollAgain(epoch)
	})
}

func (h *limitHost) pollAgain(epoch int) {
	if h.epoch == epoch && h.poll == nil {
		h.sendPoll()
	}
}

// handle sends a request to one of the endpoints that may be called, preferring those
// that have a limit. If there is none, the request waits for a permit until end.
func (h *limitHost) handle(end time.Duration) {
	var best *limitEndpoint
	var limited []*limitEndpoint
	for _, i := range h.model.rand.Perm(len(h.model.endpoints)) {
		e := h.model.endpoints[i]
		switch {
		case !h.mayCall(e):
			limited = append(limited, e)
		case best == nil || h.holder.HasLimit(e.id):
			best = e
		}
	}
	if best != nil {
		h.send(best)
		return
	}
	h.requestPermit(limited, end)
}

// anyCallable reports whether any endpoint may be called.
func (h *limitHost) anyCallable() bool {
	return slices.ContainsFunc(h.model.endpoints, h.mayCall)
}

func (h *limitHost) mayCall(e *limitEndpoint) bool {
	if !h.holder.HasLimit(e.id) {
		return true
	}
	if h.model.scenario.Strategy == GrantedPermits {
		return h.holder.MayCall(e.id)
	}
	return h.bucket(e).tokens >= 1
}

// bucket returns the host's refilled token bucket for an endpoint's limit. It starts
// empty.
func (h *limitHost) bucket(e *limitEndpoint) *limitBucket {
	now := h.model.clock.now
	p := h.buckets[e.id]
	if p == nil {
		p = &limitBucket{
			updatedAt: now,
		}
		h.buckets[e.id] = p
	}
	rate := math.Max(0, h.model.scenario.Limit(e.index, now)) * h.limitShare(e)
	p.tokens = math.Min(1, p.tokens+rate*(now-p.updatedAt).Seconds())
	p.updatedAt = now
	return p
}

// limitShare returns the host's share of an endpoint's limit, between 0 and 1.
func (h *limitHost) limitShare(e *limitEndpoint) float64 {
	hosts := float64(len(h.model.hosts))
	if h.model.scenario.Strategy == EqualShares {
		return 1 / hosts
	}
	subset := math.Min(hosts, math.Max(1, math.Floor(h.model.scenario.Limit(e.index, h.model.clock.now))))
	if float64(fleet.LoadKey(fmt.Sprintf("%s %d", e.id, h.index)))/math.MaxUint32 >= subset/hosts {
		return 0
	}
	return 1 / subset
}

// send sends a request, and takes the limit that the endpoint reports with the answer.
func (h *limitHost) send(e *limitEndpoint) {
	if h.holder.HasLimit(e.id) {
		if h.model.scenario.Strategy == GrantedPermits && !h.holder.TryAcquire(e.id) {
			return
		}
		if h.model.scenario.Strategy != GrantedPermits {
			h.bucket(e).tokens--
		}
	}
	m, epoch, sent := h.model, h.epoch, h.model.Now()
	e.reached = append(e.reached, m.clock.now)
	m.clock.after(limitResponseTime, func() {
		if h.epoch != epoch {
			return
		}
		l := fleet.RateLimit{
			Status: fleet.LimitNone,
		}
		if n := m.scenario.Limit(e.index, m.clock.now); n >= 0 {
			l = fleet.RateLimit{
				Status:    fleet.LimitSet,
				PerSecond: n,
			}
		}
		if h.holder.Observe(e.id, limitService, l, sent) {
			reports := h.holder.PendingReports()
			m.clock.after(limitLatency, func() { m.reportLimits(h, reports) })
		}
	})
}

// reportLimits sends the leader the limits that a host has observed, without waiting
// for its next poll.
func (m *LimitModel) reportLimits(h *limitHost, reports []permit.LimitReport) {
	m.Calls++
	if !m.hasLeader || h.partitioned {
		return
	}
	if len(m.granter.Observe(reports)) > 0 {
		m.answerPolls()
	}
	h.holder.Acknowledge(m.term, reports)
}

// requestPermit requests a permit for any of some endpoints from the leader.
func (h *limitHost) requestPermit(list []*limitEndpoint, end time.Duration) {
	m := h.model
	if m.scenario.Strategy != GrantedPermits || !m.hasLeader || h.partitioned {
		m.Refused = append(m.Refused, m.clock.now)
		return
	}
	keys := make([]uint32, 0, len(list))
	for _, e := range list {
		keys = append(keys, permit.EndpointKey(e.id))
	}
	m.Calls++
	waiter := m.granter.Enqueue(keys, false, 0)
	m.clock.after(limitLatency, func() { h.tryGrant(waiter, end) })
}

// tryGrant has the leader grant the permit that a waiter requests, and tries again
// until end.
func (h *limitHost) tryGrant(waiter *permit.Waiter, end time.Duration) {
	m, epoch := h.model, h.epoch
	granted, wait := m.granter.TryGrant(waiter)
	switch {
	case wait == 0:
		m.granter.Dequeue(waiter)
		term, until := m.term, m.Now().Add(permit.Lifetime)
		m.clock.after(limitLatency, func() {
			if h.epoch != epoch || h.partitioned {
				return
			}
			h.holder.AddPermits(term, granted, until)
			h.handle(end)
		})
	case m.clock.now+wait > end && h.anyCallable():
		m.granter.Dequeue(waiter)
		h.handle(end)
	case m.clock.now+wait > end:
		m.granter.Dequeue(waiter)
		m.Refused = append(m.Refused, m.clock.now)
	default:
		m.clock.after(wait, func() { h.tryGrant(waiter, end) })
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

// MaxInWindow returns the most requests that reached an endpoint in any window of
// length d within [from, to).
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
		if h.holder.HasLimit(m.endpoints[endpoint].id) {
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
