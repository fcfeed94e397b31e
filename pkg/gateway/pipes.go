package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// linkShare is the part of a pipe between failure domains that requests
	// may fill on average: a prompt's tokens come in bursts, and a stream's
	// tokens must not wait behind them.
	linkShare = 0.6
	// linkBurst is how much of a second's share may be used at once.
	linkBurst = 0.5
)

// linkBuckets holds this host to its share of the pipes between failure domains,
// which all hosts' requests share. Without it, a domain that lost a part sends
// more across than the pipe carries, and every stream that crosses is late.
type linkBuckets struct {
	svc timer.Service

	mu      sync.Mutex
	buckets map[fleet.DomainPair]*linkBucket
}

// linkBucket is a bucket of bytes; its size is known with the engine's figures.
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

// tryTake takes what a path's crossings need of the pipes, all or nothing, and
// reports whether there was enough.
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

// refill adds what came since the last look. A bucket always holds enough for
// one request that crosses there and back.
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

// countDomainCrossings counts a path's changes of failure domain, by pair.
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
