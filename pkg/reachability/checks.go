package reachability

import (
	"context"
	"slices"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
)

// Run checks services until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	defer m.group.Wait()
	for ctx.Err() == nil {
		m.askIdle()
		wait := m.checkSuspected()
		if m.asksIdle {
			wait = sooner(wait, silenceInterval)
		}
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

// checkSuspected starts checks of the services that are due for one, and returns when to call
// it again; 0 if only once a connection is opened or fails, or a check ends. It doesn't wait for
// the checks: connections to services that are unreachable are given up meanwhile.
func (m *Monitor) checkSuspected() time.Duration {
	names, lists, wait := m.due()
	for i, name := range names {
		list := m.draw(lists[i])
		m.group.Go(func(ctx context.Context) {
			m.checkService(ctx, name, list, len(lists[i]))
		})
	}
	return wait
}

// due returns the services that must be checked now, with their endpoints, and the time
// until one may have to be. The caller must check them.
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
		s := m.service(name)
		if !s.unreachable && m.silent(addresses, now) {
			s.byAnswer = true
			s.verify = true
		}
		if !s.unreachable && !s.verify && m.countFailed(addresses, slow) < min(suspectEndpoints, len(addresses)) {
			// Other failures may have been forgotten since a waiter began to wait for a check.
			m.release(func(w waiter) bool { return w.service == name }, true)
			continue
		}
		if s.unreachable {
			m.abortPending(addresses, now.Add(-slowConnect))
		}
		if s.checking {
			continue
		}
		if left := s.checkDue.Sub(now); left > 0 {
			wait = sooner(wait, left)
			continue
		}
		s.checking = true
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
	now := m.svc.Now()
	slow, next = m.slowConnects(now)
	overdue := false
	if len(m.activities) > 0 {
		overdue = m.lookAtActivities(now)
		next = sooner(next, silenceInterval)
	}
	return slow, next, overdue || len(m.failed) > 0 || len(m.doubted) > 0 || len(slow) > 0 || m.anySuspected()
}

// anySuspected reports whether a service is unreachable or to be checked. The caller holds mu.
func (m *Monitor) anySuspected() bool {
	for _, s := range m.services {
		if s.unreachable || s.verify {
			return true
		}
	}
	return false
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
	check := m.connects
	byAnswer, unreachable := m.checksAnswers(name)
	if byAnswer {
		check = m.checker.CheckAnswer
	}
	if byAnswer && unreachable {
		list = list[:min(len(list), minLostEndpoints)] // queries cost endpoints more than connections
	}
	m.record(name, m.checkAll(ctx, list, check), total, began)
	m.wake() // the result may make other services due
}

// checksAnswers reports whether the endpoints of a service must answer to be alive, and
// whether it is unreachable.
func (m *Monitor) checksAnswers(name string) (byAnswer, unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(name)
	return s.byAnswer, s.unreachable
}

// check is one way to check an endpoint.
type check func(ctx context.Context, address string) Result

func (m *Monitor) connects(ctx context.Context, address string) Result {
	return m.checker.Check(ctx, address, 0)
}

// startChecks begins a check of each endpoint in grp, and returns where the results come.
func (m *Monitor) startChecks(grp *group.Group, list []string, c check) <-chan Result {
	results := make(chan Result, len(list))
	for _, address := range list {
		grp.Go(func(ctx context.Context) {
			results <- c(ctx, address)
		})
	}
	return results
}

// checkAll checks endpoints at the same time.
func (m *Monitor) checkAll(ctx context.Context, list []string, c check) tally {
	grp := group.New(ctx)
	defer grp.Stop()
	results := m.startChecks(grp, list, c)
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
	s.checking = false
	now := m.svc.Now()
	switch {
	case t.alive > 0:
		for _, a := range addresses {
			delete(m.failed, a)
			delete(m.doubted, a)
		}
		s.verify = false
		s.checkDue = now.Add(reachableCheckInterval)
		if s.byAnswer {
			s.byAnswer = false
			m.markHeard(addresses, now)
		}
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

// ReachesOthers reports whether an endpoint at another address answers this host, by
// asking some. If none does, a failure to reach the one at this address may be this host's
// own. Where there is no other endpoint nothing speaks against that one's failure.
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
	return m.anyAlive(ctx, list[:min(len(list), confirmingEndpoints)])
}

// Lost reports whether the endpoint at an address accepts no connection from this host.
func (m *Monitor) Lost(ctx context.Context, address string) bool {
	return m.checker.Check(ctx, address, 0).Lost()
}

// anyAlive checks endpoints at the same time until one is found alive.
func (m *Monitor) anyAlive(ctx context.Context, list []string) bool {
	grp := group.New(ctx)
	defer grp.Stop()
	results := m.startChecks(grp, list, m.checker.CheckAnswer)
	for range list {
		if <-results == Alive {
			return true
		}
	}
	return false
}
