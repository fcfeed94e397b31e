package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// budgetShare is the part of the retry budget of the deployment that its hosts use.
	// The rest covers hosts that join, and hosts with different shares.
	budgetShare = 0.85
	// burstShare is the part of a host's share that may be spent at once, for instance
	// when an endpoint with many streams is lost. The rest is refilled over a window.
	burstShare = 0.8
)

// retryBucket is this host's share of the retry budget: a token bucket whose size and
// refill rate together stay within the budget in every window.
type retryBucket struct {
	budget RetryBudget
	svc    timer.Service

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

func newRetryBucket(budget RetryBudget, svc timer.Service) *retryBucket {
	return &retryBucket{
		budget:     budget,
		svc:        svc,
		tokens:     1, // a restarted host does not know what it has spent
		refilledAt: svc.Now(),
	}
}

// deposit adds what one request allows.
func (r *retryBucket) deposit(hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(hosts)
	r.tokens = min(r.size(hosts), r.tokens+r.budget.Ratio*budgetShare)
}

// withdraw takes one retry, and reports whether there was one.
func (r *retryBucket) withdraw(hosts int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(hosts)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// refund gives back a retry that was taken and not used.
func (r *retryBucket) refund() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++ // the next refill limits them
}

// size returns the most retries that may be spent at once.
func (r *retryBucket) size(hosts int) float64 {
	return max(1, burstShare*r.share(hosts))
}

// share returns this host's part of the extra retries of the budget in a window.
func (r *retryBucket) share(hosts int) float64 {
	return budgetShare * r.budget.Extra / float64(max(1, hosts))
}

func (r *retryBucket) refill(hosts int) {
	now := r.svc.Now()
	if r.budget.Window > 0 {
		r.tokens += (1 - burstShare) * r.share(hosts) * float64(now.Sub(r.refilledAt)) / float64(r.budget.Window)
	}
	r.tokens = min(r.size(hosts), r.tokens)
	r.refilledAt = now
}
