package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
)

const (
	// paceWeight is the newest stream's weight in the mean pace.
	paceWeight = 0.1
	// mostPace is the longest time of a token that counts, and stands for it
	// before any stream has ended. It was chosen above the 15 ms of a median
	// stream in the logs; without a bound, hosts that stop in turn while all is
	// slow would send nearly every stream away.
	mostPace = 20 * time.Millisecond
	// stayFactor is how much longer than expected a stream may take on a host
	// that stops: a caller's estimate of its answer is often too low.
	stayFactor = 1.6
	// stayElsewhere is when a caller should come back whose stream would not
	// end here in time, to another host.
	stayElsewhere = 100 * time.Millisecond
)

// paces is how long streams took lately for each token that was expected. It is
// safe for use by several goroutines.
type paces struct {
	mu   sync.Mutex
	mean time.Duration
}

func newPaces() *paces {
	return &paces{
		mean: mostPace,
	}
}

// ended notes a stream that took d for so many expected tokens.
func (p *paces) ended(tokens float64, d time.Duration) {
	if tokens < 1 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mean += time.Duration(paceWeight * (float64(d)/tokens - float64(p.mean)))
}

// expect returns how long a stream of so many tokens may take.
func (p *paces) expect(tokens float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(stayFactor * tokens * float64(min(p.mean, mostPace)))
}

// mayStay refuses a stream that would likely be cut off by the end of this host,
// which was told to stop: nothing was sent, and others have the time.
func (s *streamRun) mayStay() *failure.Error {
	left, stops := s.g.source.StopsIn()
	if !stops || s.j.service.Engine == nil || s.g.paces.expect(s.demand().Answer) <= left {
		return nil
	}
	return failure.New(failure.Draining, "this host stops in %v", left).WithRetryAfter(stayElsewhere)
}
