package gateway

import (
	"sync"
	"time"
)

const (
	// usualShare is the share of pauses between events that are at most usual.
	usualShare = 0.99
	// usualStep is by how much the estimate of the usual pause moves up and down, in sum:
	// up by usualShare of it, and down by the rest.
	usualStep = 2 * time.Millisecond
	// maxUsualPauses bounds the services with an estimate.
	maxUsualPauses = 64
)

// usualPause estimates the pause between two events that few pauses on this host exceed,
// one estimate for each service. It is safe for use by several goroutines.
type usualPause struct {
	mu       sync.Mutex
	services map[string]time.Duration
}

func newUsualPause() *usualPause {
	return &usualPause{
		services: map[string]time.Duration{},
	}
}

// record notes a pause, unless it is a stall: stalls would keep stages from being checked
// just after an endpoint was lost. The estimate rises by each longer pause and falls by each shorter
// one, so that it settles where usualShare of them are shorter.
func (u *usualPause) record(service string, pause time.Duration) {
	if pause >= stallWait {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	e, known := u.services[service]
	if !known && len(u.services) >= maxUsualPauses {
		return
	}
	if pause > e {
		e += time.Duration(usualShare * float64(usualStep))
	} else {
		e -= time.Duration((1 - usualShare) * float64(usualStep))
	}
	u.services[service] = max(0, e)
}

// of returns the estimate for a service; 0 before any pause.
func (u *usualPause) of(service string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.services[service]
}
