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
func (e *retryAfterEstimator) record(service string, refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.shortages[service]
	if s == nil {
		s = &shortage{}
		e.shortages[service] = s
	}
	s.refusedShare *= 1 - refusalWeight
	if refused {
		s.refusedShare += refusalWeight
	}
	switch {
	case s.refusedShare < shortageEnd:
		s.since = time.Time{}
	case s.refusedShare >= shortageStart && s.since.IsZero():
		s.since = e.svc.Now()
	}
}

// estimate returns when a caller of a service should come back, least at least.
func (e *retryAfterEstimator) estimate(service string, minimum time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := minimum
	if s := e.shortages[service]; s != nil && !s.since.IsZero() {
		d = max(d, e.svc.Now().Sub(s.since))
	}
	d = time.Duration(float64(d) * (1 - shortageRetryJitter + 2*shortageRetryJitter*rand.Float64()))
	return min(max(d, baseRetryAfter), maxRetryAfter)
}
