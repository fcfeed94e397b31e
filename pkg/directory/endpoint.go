package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Endpoint is one endpoint with what this host's own requests learnt of it.
type Endpoint struct {
	svc     timer.Service
	changes *atomic.Uint64 // the directory's

	mu               sync.Mutex
	info             *rpc.Endpoint
	epoch            uint64 // of the leader that named it last
	inflight         int
	reportedSessions int       // sessions, by the newest report
	sessionDelta     int       // sessions this host opened less those it closed since
	reportedAt       time.Time // zero if there was no report
	rtt              time.Duration
	failures         int
	avoidUntil       time.Time // until when this host would rather not use it
	joinedAt         time.Time
	leaving          bool // by its own word to this host, in this life
}

// reportMaxAge is for how long a load report says something.
const reportMaxAge = 2 * time.Second

// An endpoint that failed is avoided for avoidFirst, doubled with each further
// failure up to avoidMost.
const (
	initialAvoidance = 500 * time.Millisecond
	maxAvoidance     = 8 * time.Second
)

// rttWeight is the weight of a new round-trip time in the average.
const rttWeight = 0.2

func newEndpoint(svc timer.Service, info *rpc.Endpoint, changes *atomic.Uint64) *Endpoint {
	return &Endpoint{
		svc:      svc,
		changes:  changes,
		info:     info,
		joinedAt: svc.Now(),
	}
}

// update takes what a control host says. A new leader that hasn't learnt yet
// whether the endpoint answers doesn't make a live one unusable.
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

// notReportedIn reports whether the leader of an epoch never named the endpoint.
func (e *Endpoint) notReportedIn(epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch != epoch && e.inflight == 0
}

func (e *Endpoint) gone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.info.GetState() == rpc.EndpointState_ENDPOINT_DEAD && e.inflight == 0
}

// Address returns the endpoint's IP number and port.
func (e *Endpoint) Address() string {
	return e.Info().GetAddress()
}

// Info returns what the control hosts say. The caller must not change it.
func (e *Endpoint) Info() *rpc.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.info
}

// Leaving reports whether the endpoint leaves on plan and takes no new work.
func (e *Endpoint) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving || e.info.GetState() == rpc.EndpointState_ENDPOINT_LEAVING
}

// SetLeaving notes that the endpoint itself said so.
func (e *Endpoint) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.changes.Add(1)
}

// Opened notes that this host opened a session, what load the answer reported
// and how long the answer took.
func (e *Endpoint) Opened(sessions int, rtt time.Duration) {
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

// Closed notes that this host closed a session.
func (e *Endpoint) Closed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight--
	e.sessionDelta--
}

// Full notes that the endpoint refused a session since every slot is taken.
// That is no failure: it is as loaded as can be, and alive.
func (e *Endpoint) Full() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportedSessions = int(e.info.GetSlots())
	e.sessionDelta = 0
	e.reportedAt = e.svc.Now()
}

// Failed notes that the endpoint failed a request of this host.
func (e *Endpoint) Failed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	avoidance := initialAvoidance << min(e.failures, 4)
	e.failures++
	e.avoidUntil = e.svc.Now().Add(min(avoidance, maxAvoidance))
}

// Avoided reports whether this host saw the endpoint fail a short while ago.
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

// Age returns for how long the endpoint's present life has been known.
func (e *Endpoint) Age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.svc.Now().Sub(e.joinedAt)
}

// Sessions estimates how many sessions all hosts have open: the newest report,
// corrected by what this host did since. A report that is too old says
// nothing, and then the other hosts are taken to do as this one does.
func (e *Endpoint) Sessions(hosts int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.svc.Now().Sub(e.reportedAt) < reportMaxAge {
		return max(e.inflight, e.reportedSessions+e.sessionDelta)
	}
	return e.inflight * max(1, hosts)
}
