package reachability

import (
	"context"
	"slices"
	"time"
)

// maxWaiting bounds the broken connections that wait for a check.
const maxWaiting = 512

// waiter is told whether this host reaches a service.
type waiter struct {
	service string
	since   time.Time
	then    func(reached bool)
}

// Doubt records that an endpoint's connection broke. Many do at once when a host is cut off
// by resets, also those that seem to open. It calls then with whether this host reaches the
// endpoint's service: at once if no other endpoint of it failed, and otherwise after a check.
func (m *Monitor) Doubt(address string, then func(reached bool)) {
	name, addresses := m.serviceOf(address)
	if !m.wait(name, addresses, address, then) {
		then(!m.Unreachable(name))
	}
}

// serviceOf returns the service of an address, and the addresses of all its endpoints.
func (m *Monitor) serviceOf(address string) (string, []string) {
	for name, addresses := range m.endpoints.EndpointAddresses() {
		if slices.Contains(addresses, address) {
			return name, addresses
		}
	}
	return "", nil
}

// wait records the doubt, and reports whether then is called after a check.
func (m *Monitor) wait(name string, addresses []string, address string, then func(reached bool)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.svc.Now()
	m.doubted[address] = now
	m.wake()
	s := m.services[name]
	if s != nil && s.unreachable || m.countFailed(addresses, nil) < suspectEndpoints || len(m.waiting) >= maxWaiting {
		return false
	}
	m.waiting = append(m.waiting, waiter{
		service: name,
		since:   now,
		then:    then,
	})
	return true
}

// expireWaiters releases the waiters of services that are gone, and those for which there was
// no result in time. The caller holds mu.
func (m *Monitor) expireWaiters(all map[string][]string, now time.Time) {
	m.release(func(w waiter) bool { return len(all[w.service]) == 0 || now.Sub(w.since) > doubtLifetime }, true)
}

// release tells the waiters that fit whether their service is reached. The caller holds mu,
// so they are called in a goroutine of their own.
func (m *Monitor) release(fits func(w waiter) bool, reached bool) {
	var kept, released []waiter
	for _, w := range m.waiting {
		if fits(w) {
			released = append(released, w)
			continue
		}
		kept = append(kept, w)
	}
	m.waiting = kept
	if len(released) == 0 {
		return
	}
	m.group.Go(func(context.Context) {
		for _, w := range released {
			w.then(reached)
		}
	})
}
