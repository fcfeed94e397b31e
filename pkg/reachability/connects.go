package reachability

import (
	"context"
	"slices"
	"time"
)

// pendingConnect is a connection that is being opened.
type pendingConnect struct {
	address string
	since   time.Time
	abort   context.CancelFunc
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

// abortPending gives up the connections to addresses that began to be opened by a time. The
// caller holds mu.
func (m *Monitor) abortPending(addresses []string, began time.Time) {
	for p := range m.pending {
		if !p.since.After(began) && slices.Contains(addresses, p.address) {
			p.abort()
		}
	}
}
