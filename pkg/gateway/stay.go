package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
)

const (
	// startPace is the time of a token before any stream has ended: twice that of most.
	startPace = 32 * time.Millisecond
	// paceQuantile is the share of streams of a size that end within what is expected: a
	// stream that is cut costs its caller more than one that is sent away.
	paceQuantile = 0.95
	// paceKept is how many streams of a size are remembered: those of about a minute.
	paceKept = 32
	// paceLeast is how many must have ended before they count for their size alone.
	paceLeast = 8
	// stayElsewhere is when a caller should come back whose stream would not
	// end here in time, to another host.
	stayElsewhere = 100 * time.Millisecond
)

// paces is how long streams took lately for each token that their callers expected,
// by the size expected: short answers often turn out longer, and long ones shorter.
// It is safe for use by several goroutines.
type paces struct {
	mu    sync.Mutex
	sizes map[int]*paceRow
}

// paceRow is the paces of the last streams of a size, in a ring.
type paceRow struct {
	kept []time.Duration // for a token
	next int
}

func newPaces() *paces {
	return &paces{
		sizes: map[int]*paceRow{},
	}
}

// sizeOf returns the class of an answer of so many tokens; each is twice the one before.
func sizeOf(tokens float64) int {
	return max(0, int(math.Log2(max(1, tokens))))
}

// ended notes a stream that took d for so many expected tokens.
func (p *paces) ended(tokens float64, d time.Duration) {
	if tokens < 1 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.sizes[sizeOf(tokens)]
	if r == nil {
		r = &paceRow{}
		p.sizes[sizeOf(tokens)] = r
	}
	pace := time.Duration(float64(d) / tokens)
	if len(r.kept) < paceKept {
		r.kept = append(r.kept, pace)
		return
	}
	r.kept[r.next] = pace
	r.next = (r.next + 1) % paceKept
}

// expect returns how long nearly every stream of so many tokens takes.
func (p *paces) expect(tokens float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.near(sizeOf(tokens))
	if len(kept) == 0 {
		return time.Duration(tokens * float64(startPace))
	}
	slices.Sort(kept)
	return time.Duration(tokens * float64(kept[int(paceQuantile*float64(len(kept)))]))
}

// near returns a copy of the paces of a size, with those of the nearest sizes as far
// as it takes to have enough.
func (p *paces) near(size int) []time.Duration {
	var list []time.Duration
	for d := 0; d <= mostSizes && len(list) < paceLeast; d++ {
		for _, one := range []int{size - d, size + d} {
			if r := p.sizes[one]; r != nil && (one != size || len(list) == 0) {
				list = append(list, r.kept...)
			}
		}
	}
	return list
}

// mostSizes is how many classes of sizes there may be: answers of a million tokens.
const mostSizes = 20

// mayStay refuses a stream that would likely be cut off by the end of this host,
// which was told to stop: nothing was sent, and others have the time.
func (s *streamRun) mayStay() *failure.Error {
	left, stops := s.g.source.ShutdownIn()
	if !stops || s.j.service.Engine == nil || s.g.paces.expect(s.demand().Answer) <= left {
		return nil
	}
	return failure.New(failure.Draining, "this host stops in %v", left).WithRetryAfter(stayElsewhere)
}
