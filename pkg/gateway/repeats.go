package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// budgetShare is the part of the deployment's budget that its hosts use: the
// rest covers hosts that come and the unevenness of their shares.
const budgetShare = 0.7

// repeats is this host's share of the budget of repeats: a token bucket whose
// size and refill together stay under the budget in every window.
type repeats struct {
	budget Budget
	svc    timer.Service

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

func newRepeats(budget Budget, svc timer.Service) *repeats {
	return &repeats{
		budget: budget,
		svc:    svc,
		tokens: 1,
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

// size is the most that may be spent at once: half of the share of Extra; the
// other half is refilled over a window.
func (r *repeats) size(hosts int) float64 {
	return max(1, budgetShare*float64(r.budget.Extra)/float64(max(1, hosts))/2)
}

func (r *repeats) refill(hosts int) {
	now := r.svc.Now()
	if r.budget.Window > 0 {
		r.tokens += r.size(hosts) * float64(now.Sub(r.at)) / float64(r.budget.Window)
	}
	r.tokens = min(r.size(hosts), r.tokens)
	r.at = now
}
