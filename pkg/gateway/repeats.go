package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// budgetShare is the part of the deployment's budget that its hosts use:
	// the rest covers hosts that come and the unevenness of their shares.
	budgetShare = 0.85
	// burstShare is the part of a host's share that may be spent at once, as
	// when an endpoint is lost under many streams; the rest comes back over a
	// window.
	burstShare = 0.8
)

// repeats is this host's share of the budget of repeats: a token bucket whose
// size and refill together stay under the budget in every window.
type repeats struct {
	budget RetryBudget
	svc    timer.Service

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

func newRepeats(budget RetryBudget, svc timer.Service) *repeats {
	return &repeats{
		budget: budget,
		svc:    svc,
		tokens: 1, // a host that was restarted doesn't know what it spent
		at:     svc.Now(),
	}
}

// earn adds what one request allows.
func (r *repeats) earn(hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(hosts)
	r.tokens = min(r.size(hosts), r.tokens+r.budget.Ratio*budgetShare)
}

// spend takes one repeat, if there is one.
func (r *repeats) spend(hosts int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(hosts)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// size is the most that may be spent at once.
func (r *repeats) size(hosts int) float64 {
	return max(1, burstShare*r.share(hosts))
}

// share is this host's part of the budget's extra repeats in a window.
func (r *repeats) share(hosts int) float64 {
	return budgetShare * r.budget.Extra / float64(max(1, hosts))
}

func (r *repeats) refill(hosts int) {
	now := r.svc.Now()
	if r.budget.Window > 0 {
		r.tokens += (1 - burstShare) * r.share(hosts) * float64(now.Sub(r.at)) / float64(r.budget.Window)
	}
	r.tokens = min(r.size(hosts), r.tokens)
	r.at = now
}
