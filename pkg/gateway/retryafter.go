package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// maxRetryAfter limits the retry-after time. Callers wait for at most a third of
	// the time that they have left, and must be answered after that.
	maxRetryAfter = 4 * time.Second
	// refusalWeight is the weight of the newest stream in the share of refused streams.
	// A host starts a few streams each second.
	refusalWeight = 0.25
	// shortageStart is the share of refused streams at which a service is considered
	// short of layers, and shortageEnd the share below which it is not any longer.
	shortageStart = 0.4
	shortageEnd   = 0.1
	// shortageRetryJitter is the part by which retry-after times vary in either
	// direction, so that callers that were refused together do not retry together.
	shortageRetryJitter = 0.25
)

// retryAfterEstimator estimates, for each service, when a caller should retry that is
// refused because layers are missing. A shortage that has lasted some time is expected
// to last as long again: nothing tells a host when layers are loaded, and a caller that
// retries too early is refused once more and has no attempt left.
type retryAfterEstimator struct {
	svc timer.Service

	mu        sync.Mutex
	shortages map[string]*shortage
}

type shortage struct {
	refusedShare float64   // moving average of streams that were refused
	since        time.Time // start of the shortage; zero if there is none
}

func newRetryAfterEstimator(svc timer.Service) *retryAfterEstimator {
	return &retryAfterEstimator{
		svc:       svc,
		shortages: map[string]*shortage{},
	}
}

// record notes whether a stream of a service was refused or started.
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

// estimate returns when a caller of a service should retry, minimum or later.
func (e *retryAfterEstimator) estimate(service string, minimum time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := minimum
	if s := e.shortages[service]; s != nil && !s.since.IsZero() {
		d = max(d, e.svc.Now().Sub(s.since))
	}
	shortest := max(minimum, time.Duration((1-shortageRetryJitter)*float64(d)))
	longest := time.Duration((1 + shortageRetryJitter) * float64(d))
	d = shortest + time.Duration(rand.Float64()*float64(longest-shortest))
	return min(max(d, baseRetryAfter), maxRetryAfter)
}
