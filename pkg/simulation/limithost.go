package simulation

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/permit"
)

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
