// Package reachability decides whether this host can open connections to the endpoints of a
// service, and whether these answer. Failed connections alone don't tell a host that is cut
// off from endpoints that work: each looks like the failure of one endpoint.
package reachability

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// slowConnect is how long a connection may take to open before it counts as failed
	// for the purpose of starting a check. Endpoints accept connections in a few ms.
	slowConnect = 60 * time.Millisecond
	// suspectEndpoints is how many endpoints of a service, without one that accepted a
	// connection in between, start a check; all of them if there are fewer.
	suspectEndpoints = 2
	// checkedEndpoints is how many endpoints of a service a check connects to at most.
	checkedEndpoints = 6
	// confirmingEndpoints is how many others are connected to before an endpoint that failed
	// is considered lost.
	confirmingEndpoints = 3
	// minLostEndpoints is how many endpoints must be lost, and none alive, for a service
	// to be unreachable; all of them if there are fewer.
	minLostEndpoints = 3
	// reachableCheckInterval is the least time between two checks of a service that is
	// reachable, and unreachableCheckInterval the time between those of one that isn't.
	reachableCheckInterval   = 300 * time.Millisecond
	unreachableCheckInterval = 200 * time.Millisecond
	// doubtLifetime is how long a connection that broke may cause a check: the endpoints that
	// are lost one by one should not add up.
	doubtLifetime = time.Second
	// inconclusiveCheckInterval is the time after a check without a result.
	inconclusiveCheckInterval = 50 * time.Millisecond
)

// Endpoints returns the addresses of the endpoints of each service that should accept
// connections.
type Endpoints interface {
	EndpointAddresses() map[string][]string
}

// EndpointChecker checks one endpoint: Check whether it accepts a connection, CheckAnswer
// whether it answers a query as well.
type EndpointChecker interface {
	Check(ctx context.Context, address string, roundTrip time.Duration) Result
	CheckAnswer(ctx context.Context, address string) Result
}

// Monitor decides which services are unreachable from this host. It is safe for concurrent
// use.
//
// Invariant: a service becomes unreachable only by a check in which none of several
// endpoints was alive, and stays so until an endpoint is alive by a check of the same kind: it
// accepts a connection, or answers a query if they had left requests unanswered.
type Monitor struct {
	checker EndpointChecker
	svc     timer.Service
	log     *eventlog.Log
	metrics *metrics.Set
	suspect chan struct{} // buffers one signal: an endpoint may have failed
	// asksIdle says that endpoints are asked when nothing comes from them.
	asksIdle     bool
	idleLookedAt time.Time    // when services were last looked at for that; by Run only
	group        *group.Group // runs what waits for checks

	// endpoints takes locks of its own, so mu must not be held while it is called.
	endpoints Endpoints

	mu       sync.Mutex
	rand     *rand.Rand
	doubted  map[string]time.Time // when a connection to the address broke, until one is checked
	failed   map[string]bool      // addresses that failed since an endpoint of their service was reached
	pending  map[*pendingConnect]bool
	services map[string]*serviceState
	waiting  []waiter
	// activities is by address.
	activities map[string]*activity
}

// serviceState is what is known of one service.
type serviceState struct {
	unreachable bool
	verify      bool      // it must be checked because another service became unreachable
	byAnswer    bool      // checks are of answers, since endpoints left requests unanswered
	checking    bool      // endpoints are being checked
	asking      bool      // an endpoint is being asked because nothing came from any
	heardAt     time.Time // when one that was asked answered last
	since       time.Time // when it became unreachable
	checkDue    time.Time // no check before then
}

// New returns a monitor for which every service is reachable. SetEndpoints must be called
// before anything else.
func New(checker EndpointChecker, svc timer.Service, r *rand.Rand, log *eventlog.Log, set *metrics.Set) *Monitor {
	return &Monitor{
		checker:    checker,
		svc:        svc,
		rand:       r,
		log:        log,
		metrics:    set,
		suspect:    make(chan struct{}, 1),
		group:      group.New(context.Background()),
		failed:     map[string]bool{},
		doubted:    map[string]time.Time{},
		pending:    map[*pendingConnect]bool{},
		services:   map[string]*serviceState{},
		activities: map[string]*activity{},
	}
}

// SetEndpoints sets the source of the endpoints.
func (m *Monitor) SetEndpoints(e Endpoints) {
	m.endpoints = e
}

// Unreachable reports whether no endpoint of a service accepts this host's connections, or none
// answers.
func (m *Monitor) Unreachable(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	return s != nil && s.unreachable
}

// Isolated reports whether every service that has endpoints is unreachable.
func (m *Monitor) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.services {
		if !s.unreachable {
			return false
		}
	}
	return len(m.services) > 0
}

func (m *Monitor) anyUnreachable() bool {
	for _, s := range m.services {
		if s.unreachable {
			return true
		}
	}
	return false
}

func (m *Monitor) wake() {
	select {
	case m.suspect <- struct{}{}:
	default: // Run has yet to handle an earlier signal
	}
}

// setReachable ends the time for which a service was unreachable. The caller holds mu.
func (m *Monitor) setReachable(name string) {
	s := m.services[name]
	if s == nil || !s.unreachable {
		return
	}
	s.unreachable = false
	m.log.Event(eventlog.ServiceReachable, eventlog.Str("service", name), eventlog.Ms("for_ms", m.svc.Now().Sub(s.since)))
	m.updateGauge()
}

// setUnreachable records the result of a check. The caller holds mu.
func (m *Monitor) setUnreachable(name string, t tally) {
	s := m.services[name]
	if s.unreachable {
		return
	}
	s.unreachable = true
	s.since = m.svc.Now()
	for _, other := range m.services {
		other.verify = other != s && !other.unreachable
		other.byAnswer = other.byAnswer || other.verify && s.byAnswer
	}
	m.log.Event(eventlog.ServiceUnreachable, eventlog.Str("service", name),
		eventlog.Int("refused", int64(t.refused)), eventlog.Int("silent", int64(t.silent)))
	m.updateGauge()
}

func (m *Monitor) updateGauge() {
	n := 0
	for _, s := range m.services {
		if s.unreachable {
			n++
		}
	}
	m.metrics.Gauge("services_unreachable").Update(int64(n))
}
