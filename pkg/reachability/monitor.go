// Package reachability decides whether this host can open connections to the endpoints of a
// service. Failed connections alone don't tell a host that is cut off from endpoints that
// work: each looks like the failure of one endpoint.
package reachability

import (
	"context"
	"math/rand/v2"
	"slices"
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

// EndpointChecker checks one endpoint.
type EndpointChecker interface {
	Check(ctx context.Context, address string, roundTrip time.Duration) Result
}

// Monitor decides which services are unreachable from this host. It is safe for concurrent
// use.
//
// Invariant: a service becomes unreachable only by a check in which none of several
// endpoints was alive, and stays so until an endpoint accepts a connection.
type Monitor struct {
	checker EndpointChecker
	svc     timer.Service
	log     *eventlog.Log
	metrics *metrics.Set
	suspect chan struct{} // buffers one signal: an endpoint may have failed
	group   *group.Group  // runs what waits for checks

	// endpoints takes locks of its own, so mu must not be held while it is called.
	endpoints Endpoints

	mu       sync.Mutex
	rand     *rand.Rand
	doubted  map[string]time.Time // when a connection to the address broke, until one is checked
	failed   map[string]bool      // addresses that failed since an endpoint of their service was reached
	pending  map[*pendingConnect]bool
	services map[string]*serviceState
	waiting  []waiter
}

// pendingConnect is a connection that is being opened.
type pendingConnect struct {
	address string
	since   time.Time
	abort   context.CancelFunc
}

// serviceState is what is known of one service.
type serviceState struct {
	unreachable bool
	verify      bool      // it must be checked because another service became unreachable
	since       time.Time // when it became unreachable
	checkDue    time.Time // no check before then
}

// New returns a monitor for which every service is reachable. SetEndpoints must be called
// before anything else.
func New(checker EndpointChecker, svc timer.Service, r *rand.Rand, log *eventlog.Log, set *metrics.Set) *Monitor {
	return &Monitor{
		checker:  checker,
		svc:      svc,
		rand:     r,
		log:      log,
		metrics:  set,
		suspect:  make(chan struct{}, 1),
		group:    group.New(context.Background()),
		failed:   map[string]bool{},
		doubted:  map[string]time.Time{},
		pending:  map[*pendingConnect]bool{},
		services: map[string]*serviceState{},
	}
}

// SetEndpoints sets the source of the endpoints.
func (m *Monitor) SetEndpoints(e Endpoints) {
	m.endpoints = e
}

// Unreachable reports whether no endpoint of a service accepts this host's connections.
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

// begin records that a connection is being opened, which abort gives up.
func (m *Monitor) begin(address string, abort context.CancelFunc) *pendingConnect {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := &pendingConnect{
		address: address,
		since:   m.svc.Now(),
		abort:   abort,
	}
	m.pending[p] = true
	if len(m.pending) == 1 {
		m.wake() // Run waits until this connection is slow
	}
	return p
}

// end records how a connection attempt ended. One that its caller gave up says nothing
// about the endpoint, unless connecting had become slow by then.
func (m *Monitor) end(p *pendingConnect, err error, givenUp bool) {
	if err == nil {
		m.succeeded(p)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, p)
	if givenUp && m.svc.Now().Sub(p.since) < slowConnect {
		return
	}
	m.failed[p.address] = true
	m.wake()
}

// succeeded records that an address accepted a connection. That ends no time for which a
// service was unreachable, since the connection may still be reset: it is checked at once.
func (m *Monitor) succeeded(p *pendingConnect) {
	if !m.recordReached(p) {
		return
	}
	all := m.endpoints.EndpointAddresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, addresses := range all {
		if !slices.Contains(addresses, p.address) {
			continue
		}
		for _, a := range addresses {
			delete(m.failed, a)
		}
		if s := m.services[name]; s != nil && s.unreachable {
			s.checkDue = m.svc.Now()
			m.wake()
		}
	}
	delete(m.failed, p.address)
}

// recordReached records a connection that was opened, and reports whether any endpoint has
// failed.
func (m *Monitor) recordReached(p *pendingConnect) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, p)
	return len(m.failed) > 0 || m.anyUnreachable()
}

// ReachesOthers reports whether this host reaches an endpoint at another address, by
// connecting to some. If it reaches none, a failure to reach the one at this address may be
// its own. Where there is no other endpoint nothing speaks against that one's failure.
func (m *Monitor) ReachesOthers(ctx context.Context, address string) bool {
	var others []string
	for _, addresses := range m.endpoints.EndpointAddresses() {
		for _, a := range addresses {
			if a != address {
				others = append(others, a)
			}
		}
	}
	if len(others) == 0 {
		return true
	}
	list := m.draw(others)
	list = list[:min(len(list), confirmingEndpoints)]
	return m.checkAll(ctx, list).alive > 0
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

// Run checks services until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	defer m.group.Wait()
	for ctx.Err() == nil {
		wait := m.checkSuspected(ctx)
		var next <-chan time.Time
		if wait > 0 {
			next = m.svc.After(wait)
		}
		select {
		case <-m.suspect:
		case <-next:
		case <-ctx.Done():
		}
	}
}

// checkSuspected checks the services that are due for a check, and returns when to call it
// again; 0 if only once a connection is opened or fails.
func (m *Monitor) checkSuspected(ctx context.Context) time.Duration {
	names, lists, wait := m.due()
	if len(names) == 0 {
		return wait
	}
	grp := group.New(ctx)
	for i, name := range names {
		list := m.draw(lists[i])
		grp.Go(func(ctx context.Context) {
			m.checkService(ctx, name, list, len(lists[i]))
		})
	}
	grp.Wait()
	return time.Millisecond // the result may make other services due
}

// due returns the services that must be checked now, with their endpoints, and the time
// until one may have to be.
func (m *Monitor) due() (names []string, lists [][]string, wait time.Duration) {
	slow, wait, needed := m.pendingWork()
	if !needed {
		return nil, nil, wait
	}
	all := m.endpoints.EndpointAddresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetOthers(all)
	now := m.svc.Now()
	m.expireWaiters(all, now)
	for name, addresses := range all {
		s := m.services[name]
		if s == nil {
			s = &serviceState{}
			m.services[name] = s
		}
		if !s.unreachable && !s.verify && m.countFailed(addresses, slow) < min(suspectEndpoints, len(addresses)) {
			continue
		}
		if left := s.checkDue.Sub(now); left > 0 {
			wait = sooner(wait, left)
			continue
		}
		names = append(names, name)
		lists = append(lists, addresses)
	}
	return names, lists, wait
}

// pendingWork returns the addresses to which connecting takes long, the time until the next
// connection that is being opened counts as slow, and whether any service may need a check.
func (m *Monitor) pendingWork() (slow map[string]bool, next time.Duration, needed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slow, next = m.slowConnects(m.svc.Now())
	return slow, next, len(m.failed) > 0 || len(m.doubted) > 0 || len(slow) > 0 || m.anyUnreachable()
}

// countFailed counts the addresses that failed, whose connections broke just now, or to
// which connecting takes long. The caller holds mu.
func (m *Monitor) countFailed(addresses []string, slow map[string]bool) int {
	n := 0
	for _, a := range addresses {
		if _, doubted := m.doubted[a]; doubted || m.failed[a] || slow[a] {
			n++
		}
	}
	return n
}

// slowConnects returns the addresses to which connecting takes long, and the time until the
// next connection that is being opened counts as slow; 0 if there is none. The caller holds
// mu.
func (m *Monitor) slowConnects(now time.Time) (slow map[string]bool, next time.Duration) {
	slow = map[string]bool{}
	for p := range m.pending {
		if left := slowConnect - now.Sub(p.since); left > 0 {
			next = sooner(next, left)
			continue
		}
		slow[p.address] = true
	}
	return slow, next
}

// sooner returns the shorter of two times, of which 0 means never.
func sooner(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}

// forgetOthers drops services and addresses that no longer exist. The caller holds mu.
func (m *Monitor) forgetOthers(all map[string][]string) {
	for name := range m.services {
		if len(all[name]) == 0 {
			delete(m.services, name)
		}
	}
	known := map[string]bool{}
	for _, addresses := range all {
		for _, a := range addresses {
			known[a] = true
		}
	}
	for a := range m.failed {
		if !known[a] {
			delete(m.failed, a)
		}
	}
	now := m.svc.Now()
	for a, at := range m.doubted {
		if !known[a] || now.Sub(at) > doubtLifetime {
			delete(m.doubted, a)
		}
	}
}

// draw returns checkedEndpoints of the addresses, chosen at random.
func (m *Monitor) draw(addresses []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := slices.Clone(addresses)
	m.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), checkedEndpoints)]
}

// tally counts the results of the checks of a service's endpoints.
type tally struct {
	alive, refused, silent, inconclusive int
}

func (t *tally) add(r Result) {
	switch {
	case r == Alive:
		t.alive++
	case r == Refused:
		t.refused++
	case r == Silent:
		t.silent++
	default:
		t.inconclusive++
	}
}

// unreachable reports whether a service with total endpoints is unreachable by these
// results. Without enough of them it isn't.
func (t *tally) unreachable(total int) bool {
	return t.alive == 0 && t.refused+t.silent >= min(minLostEndpoints, total)
}

// checkService checks endpoints of a service, which has total of them, and records the
// result.
func (m *Monitor) checkService(ctx context.Context, name string, list []string, total int) {
	began := m.svc.Now()
	t := m.checkAll(ctx, list)
	if ctx.Err() == nil {
		m.record(name, t, total, began)
	}
}

// checkAll checks endpoints at the same time.
func (m *Monitor) checkAll(ctx context.Context, list []string) tally {
	results := make(chan Result, len(list))
	grp := group.New(ctx)
	for _, address := range list {
		grp.Go(func(ctx context.Context) {
			results <- m.checker.Check(ctx, address, 0)
		})
	}
	grp.Wait()
	t := tally{}
	for range list {
		t.add(<-results)
	}
	return t
}

// record applies the results of a check that began at a time. Connections that were being
// opened then are given up if none of the endpoints is reachable.
func (m *Monitor) record(name string, t tally, total int, began time.Time) {
	addresses := m.endpoints.EndpointAddresses()[name]
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		return // the service was removed meanwhile
	}
	now := m.svc.Now()
	switch {
	case t.alive > 0:
		for _, a := range addresses {
			delete(m.failed, a)
			delete(m.doubted, a)
		}
		s.verify = false
		s.checkDue = now.Add(reachableCheckInterval)
		m.setReachable(name)
	case t.unreachable(total):
		s.verify = false
		s.checkDue = now.Add(unreachableCheckInterval)
		m.setUnreachable(name, t)
		m.abortPending(addresses, began)
	default:
		s.checkDue = now.Add(inconclusiveCheckInterval)
		return
	}
	m.release(func(w waiter) bool { return w.service == name }, t.alive > 0)
}

// abortPending gives up the connections to addresses that were being opened before a time.
// The caller holds mu.
func (m *Monitor) abortPending(addresses []string, before time.Time) {
	for p := range m.pending {
		if p.since.Before(before) && slices.Contains(addresses, p.address) {
			p.abort()
		}
	}
}
