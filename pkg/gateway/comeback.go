package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// maxRetryAfter bounds when a refused caller is told to return: callers heed a
	// third of the time that they have left, and must be answered after that.
	maxRetryAfter = 4 * time.Second
	// refusalWeight is the newest stream's weight in the share that is refused: a
	// host begins a few streams a second.
	refusalWeight = 0.25
	// shortageStart and troubleEnds are the shares of streams refused at which a
	// service counts as short of layers, and as served again.
	shortageStart = 0.4
	shortageEnd   = 0.1
	// shortageRetryJitter spreads returns by this part of the time either way: callers
	// that were refused together must not return together.
	shortageRetryJitter = 0.25
)

// retryAfterEstimator tells when a caller should return that is refused for want of layers, by
// service. What has lasted some time is expected to last as long again: nothing tells
// a host when layers are loaded, and a caller that returns too soon is refused once
// more and has no try left.
type retryAfterEstimator struct {
	svc timer.Service

	mu        sync.Mutex
	shortages map[string]*shortage
}

type shortage struct {
	refusedShare float64   // of streams that were refused lately
	since        time.Time // when that became much; zero: it isn't
}

func newRetryAfterEstimator(svc timer.Service) *retryAfterEstimator {
	return &retryAfterEstimator{
		svc:       svc,
		shortages: map[string]*shortage{},
	}
}

// record takes how a stream of a service began.
func (c *retryAfterEstimator) record(service string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.shortages[service]
	if r == nil {
		r = &shortage{}
		c.shortages[service] = r
	}
	r.refusedShare *= 1 - refusalWeight
	if refused {
		r.refusedShare += refusalWeight
	}
	switch {
	case r.refusedShare < shortageEnd:
		r.since = time.Time{}
	case r.refusedShare >= shortageStart && r.since.IsZero():
		r.since = c.svc.Now()
	}
}

// estimate returns when a caller of a service should come back, least at least.
func (c *retryAfterEstimator) estimate(service string, least time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := least
	if r := c.shortages[service]; r != nil && !r.since.IsZero() {
		d = max(d, c.svc.Now().Sub(r.since))
	}
	d = time.Duration(float64(d) * (1 - shortageRetryJitter + 2*shortageRetryJitter*rand.Float64()))
	return min(max(d, baseRetryAfter), maxRetryAfter)
}
