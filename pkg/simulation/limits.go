package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

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
