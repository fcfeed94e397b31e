package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// linkShare is the part of the bandwidth of an inter-domain link that requests may
	// use on average. The tokens of a prompt come in bursts, and the tokens of running
	// streams must not wait behind them.
	linkShare = 0.6
	// linkBurst is the burst size: the part of the bandwidth of one second that may be
	// used at once.
	linkBurst = 0.5
)

// linkBuckets limits this host to its share of the links between failure domains, which
// the requests of all hosts share. Without it, a failure domain that lost an endpoint
// would send more to other domains than the link carries, and every stream that crosses
// domains would be late.
type linkBuckets struct {
	svc timer.Service

	mu      sync.Mutex
	buckets map[fleet.DomainPair]*linkBucket
}

// linkBucket is a token bucket of bytes. Its size depends on the engine and the
// request.
type linkBucket struct {
	bytes      float64
	refilledAt time.Time
}

func newLinkBuckets(svc timer.Service) *linkBuckets {
	return &linkBuckets{
		svc:     svc,
		buckets: map[fleet.DomainPair]*linkBucket{},
	}
}

// tryTake takes the bytes that all domain crossings of a path need, all or nothing, and
// reports whether there were enough.
func (l *linkBuckets) tryTake(e *fleet.Engine, path []fleet.Stage, tokens float64, hosts int) bool {
	if e.PipeMbps <= 0 || e.ActivationB <= 0 {
		return true
	}
	crossings := countDomainCrossings(path)
	if len(crossings) == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := e.PipeMbps * 1e6 / 8 * linkShare / float64(max(1, hosts))
	cost := tokens * e.ActivationB
	for pair, n := range crossings {
		if l.refill(pair, rate, cost).bytes < cost*float64(n) {
			return false
		}
	}
	for pair, n := range crossings {
		l.buckets[pair].bytes -= cost * float64(n)
	}
	return true
}

// refill adds what accumulated since the last call. A full bucket always holds enough
// for one request that crosses there and back.
func (l *linkBuckets) refill(pair fleet.DomainPair, rate, cost float64) *linkBucket {
	now := l.svc.Now()
	b := l.buckets[pair]
	size := max(rate*linkBurst, 2*cost)
	if b == nil {
		b = &linkBucket{
			bytes:      size,
			refilledAt: now,
		}
		l.buckets[pair] = b
	}
	b.bytes = min(size, b.bytes+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	return b
}

// countDomainCrossings counts the domain crossings of a path for each pair of failure
// domains.
func countDomainCrossings(path []fleet.Stage) map[fleet.DomainPair]int {
	list := map[fleet.DomainPair]int{}
	for i := 1; i < len(path); i++ {
		a, b := path[i-1].Domain, path[i].Domain
		if a == b {
			continue
		}
		if a > b {
			a, b = b, a
		}
		list[fleet.DomainPair{A: a, B: b}]++
	}
	return list
}
