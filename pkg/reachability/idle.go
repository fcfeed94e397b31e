package reachability

import (
	"context"
	"time"
)

// idleTimeout is how long nothing must have come from any endpoint of a service for one to be
// asked. A host that is sent few requests would find out that it is cut off only by those that
// it can't serve.
const idleTimeout = 1200 * time.Millisecond

// idleInterval is the least time between two such queries of a host, whatever the number of
// services: one that is silent causes a check of all others.
const idleInterval = 600 * time.Millisecond

// EnableIdleQueries makes the monitor ask endpoints of services from which nothing comes. It
// must be called before Run.
func (m *Monitor) EnableIdleQueries() {
	m.asksIdle = true
}

// askIdle asks an endpoint of the service from which nothing came for longest, and for
// idleTimeout at least. Only Run calls it.
func (m *Monitor) askIdle() {
	now := m.svc.Now()
	if !m.asksIdle || now.Sub(m.idleLookedAt) < idleInterval {
		return
	}
	m.idleLookedAt = now
	all := m.endpoints.EndpointAddresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	idle, idleSince := "", now.Add(-idleTimeout)
	for name, addresses := range all {
		s := m.service(name)
		if s.unreachable || s.byAnswer || s.asking || len(addresses) == 0 {
			continue
		}
		if heard := m.lastHeard(s, addresses); !heard.After(idleSince) {
			idle, idleSince = name, heard
		}
	}
	if idle == "" {
		return
	}
	m.service(idle).asking = true
	address := all[idle][m.rand.IntN(len(all[idle]))]
	m.group.Go(func(ctx context.Context) { m.ask(ctx, idle, address) })
}

// lastHeard returns when something last came from an endpoint of the service. The caller holds
// mu.
func (m *Monitor) lastHeard(s *serviceState, addresses []string) time.Time {
	newest := s.heardAt
	for _, address := range addresses {
		if a := m.activities[address]; a != nil && a.heardAt.After(newest) {
			newest = a.heardAt
		}
	}
	return newest
}

// ask asks one endpoint of a service. If it doesn't answer, others are checked.
func (m *Monitor) ask(ctx context.Context, name, address string) {
	r := m.checker.CheckAnswer(ctx, address)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	s.asking = false
	switch r {
	case Alive:
		s.heardAt = m.svc.Now()
	case Silent:
		s.byAnswer = true
		s.verify = true
		s.checkDue = m.svc.Now()
		m.wake()
	case Refused:
		m.failed[address] = true
		m.wake()
	}
}

// service returns what is known of a service. The caller holds mu.
func (m *Monitor) service(name string) *serviceState {
	s := m.services[name]
	if s == nil {
		s = &serviceState{}
		m.services[name] = s
	}
	return s
}
