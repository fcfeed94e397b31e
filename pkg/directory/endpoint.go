package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Endpoint is one endpoint with what this host's own requests observed of it. It
// is safe for concurrent use.
type Endpoint struct {
	svc     timer.Service
	changes *atomic.Uint64 // the directory's

	mu               sync.Mutex
	info             *rpc.Endpoint
	epoch            uint64 // of the leader that reported it last
	inflight         int
	reportedSessions int       // sessions of all hosts, by the newest load report
	sessionDelta     int       // sessions that this host opened since the report, less those it closed
	reportedAt       time.Time // zero if there was no report
	rtt              time.Duration
	failures         int
	avoidUntil       time.Time // until when this host prefers other endpoints
	joinedAt         time.Time
	leaving          bool // reported to this host by the present incarnation
}

// reportMaxAge is for how long a load report is used.
const reportMaxAge = 2 * time.Second

// An endpoint that failed is avoided for initialAvoidance, doubled with each
// further failure up to maxAvoidance.
const (
	initialAvoidance = 500 * time.Millisecond
	maxAvoidance     = 8 * time.Second
)

// rttWeight is the weight of a new round-trip time in the moving average.
const rttWeight = 0.2

func newEndpoint(svc timer.Service, info *rpc.Endpoint, changes *atomic.Uint64) *Endpoint {
	return &Endpoint{
		svc:      svc,
		changes:  changes,
		info:     info,
		joinedAt: svc.Now(),
	}
}

// update applies a control host's report. The state Joining of a new leader, which
// hasn't received yet whether the endpoint answers, doesn't replace one that takes
// work.
func (e *Endpoint) update(info *rpc.Endpoint, epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch = epoch
	if info.GetState() == rpc.EndpointState_ENDPOINT_JOINING && acceptsWork(e.info.GetState()) {
		return
	}
	if info.GetIncarnation() > e.info.GetIncarnation() {
		e.joinedAt = e.svc.Now()
		e.failures = 0
		e.avoidUntil = time.Time{}
		e.reportedAt = time.Time{}
		e.leaving = false
	}
	e.info = info
}

// notReportedIn reports whether the leader of an epoch hasn't reported the
// endpoint and this host has no session open on it.
func (e *Endpoint) notReportedIn(epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch != epoch && e.inflight == 0
}

// gone reports whether the endpoint is dead and this host has no session open on
// it.
func (e *Endpoint) gone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.info.GetState() == rpc.EndpointState_ENDPOINT_DEAD && e.inflight == 0
}

// Address returns the endpoint's IP address and port.
func (e *Endpoint) Address() string {
	return e.Info().GetAddress()
}

// Info returns what the control hosts report. The caller must not change it.
func (e *Endpoint) Info() *rpc.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.info
}

// Leaving reports whether the endpoint is leaving as planned, by the control hosts
// or by its own report to this host, and takes no new work.
func (e *Endpoint) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving || e.info.GetState() == rpc.EndpointState_ENDPOINT_LEAVING
}

// SetLeaving records that the endpoint reported to this host that it is leaving.
func (e *Endpoint) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.changes.Add(1)
}

// SessionOpened records that this host opened a session, the load that the answer
// reported and its round-trip time.
func (e *Endpoint) SessionOpened(sessions int, rtt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight++
	e.reportedSessions = sessions
	e.sessionDelta = 0
	e.reportedAt = e.svc.Now()
	e.failures = 0
	e.avoidUntil = time.Time{}
	if e.rtt == 0 {
		e.rtt = rtt
		return
	}
	e.rtt += time.Duration(rttWeight * float64(rtt-e.rtt))
}

// SessionClosed records that this host closed a session.
func (e *Endpoint) SessionClosed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight--
	e.sessionDelta--
}

// MarkFull records that the endpoint refused a session because every slot is taken.
// That isn't a failure: the endpoint answers, at its highest load.
func (e *Endpoint) MarkFull() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportedSessions = int(e.info.GetSlots())
	e.sessionDelta = 0
	e.reportedAt = e.svc.Now()
}

// MarkFailed records that the endpoint failed a request of this host.
func (e *Endpoint) MarkFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	avoidance := initialAvoidance << min(e.failures, 4)
	e.failures++
	e.avoidUntil = e.svc.Now().Add(min(avoidance, maxAvoidance))
}

// Avoided reports whether this host prefers other endpoints since this one failed
// recently.
func (e *Endpoint) Avoided() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.svc.Now().Before(e.avoidUntil)
}

// Inflight returns how many sessions this host has open.
func (e *Endpoint) Inflight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inflight
}

// RTT returns the average round-trip time of this host's calls; 0 if unknown.
func (e *Endpoint) RTT() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rtt
}

// Age returns for how long the endpoint's present incarnation has been known.
func (e *Endpoint) Age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.svc.Now().Sub(e.joinedAt)
}

// Sessions estimates how many sessions all hosts have open: the newest load
// report, corrected by the sessions that this host opened and closed since. Without
// a recent report it assumes that each of hosts has as many open as this one.
func (e *Endpoint) Sessions(hosts int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.svc.Now().Sub(e.reportedAt) < reportMaxAge {
		return max(e.inflight, e.reportedSessions+e.sessionDelta)
	}
	return e.inflight * max(1, hosts)
}
