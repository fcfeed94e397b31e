package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
)

const (
	// initialTimePerToken is the time of a token before any stream has ended: twice that of most.
	initialTimePerToken = 32 * time.Millisecond
	// durationQuantile is the share of streams of a size that end within what is expected: a
	// stream that is cut costs its caller more than one that is sent away.
	durationQuantile = 0.95
	// samplesPerClass is how many streams of a size are remembered: those of about a minute.
	samplesPerClass = 32
	// minSamples is how many must have ended before they count for their size alone.
	minSamples = 8
	// drainingRetryAfter is when a caller should come back whose stream would not
	// end here in time, to another host.
	drainingRetryAfter = 100 * time.Millisecond
)

// durationEstimator is how long streams took lately for each token that their callers expected,
// by the size expected: short answers often turn out longer, and long ones shorter.
// It is safe for use by several goroutines.
type durationEstimator struct {
	mu    sync.Mutex
	rings map[int]*sampleRing
}

// sampleRing is the paces of the last streams of a size, in a ring.
type sampleRing struct {
	samples []time.Duration // for a token
	next    int
}

func newDurationEstimator() *durationEstimator {
	return &durationEstimator{
		rings: map[int]*sampleRing{},
	}
}

// sizeClass returns the class of an answer of so many tokens; each is twice the one before.
func sizeClass(tokens float64) int {
	return max(0, int(math.Log2(max(1, tokens))))
}

// record notes a stream that took d for so many expected tokens.
func (p *durationEstimator) record(tokens float64, d time.Duration) {
	if tokens < 1 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rings[sizeClass(tokens)]
	if r == nil {
		r = &sampleRing{}
		p.rings[sizeClass(tokens)] = r
	}
	pace := time.Duration(float64(d) / tokens)
	if len(r.samples) < samplesPerClass {
		r.samples = append(r.samples, pace)
		return
	}
	r.samples[r.next] = pace
	r.next = (r.next + 1) % samplesPerClass
}

// estimate returns how long nearly every stream of so many tokens takes.
func (p *durationEstimator) estimate(tokens float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.samplesNear(sizeClass(tokens))
	if len(kept) == 0 {
		return time.Duration(tokens * float64(initialTimePerToken))
	}
	slices.Sort(kept)
	return time.Duration(tokens * float64(kept[int(durationQuantile*float64(len(kept)))]))
}

// samplesNear returns a copy of the paces of a size, with those of the nearest sizes as far
// as it takes to have enough.
func (p *durationEstimator) samplesNear(size int) []time.Duration {
	var list []time.Duration
	for d := 0; d <= maxSizeClasses && len(list) < minSamples; d++ {
		for _, one := range []int{size - d, size + d} {
			if r := p.rings[one]; r != nil && (one != size || len(list) == 0) {
				list = append(list, r.samples...)
			}
		}
	}
	return list
}

// maxSizeClasses is how many classes of sizes there may be: answers of a million tokens.
const maxSizeClasses = 20

// refuseIfTooLong refuses a stream that would likely be cut off by the end of this host,
// which was told to stop: nothing was sent, and others have the time.
func (s *streamRun) refuseIfTooLong() *failure.Error {
	left, stops := s.g.source.ShutdownIn()
	if !stops || s.j.service.Engine == nil || s.g.durations.estimate(s.demand().Answer) <= left {
		return nil
	}
	return failure.New(failure.Draining, "this host stops in %v", left).WithRetryAfter(drainingRetryAfter)
}
