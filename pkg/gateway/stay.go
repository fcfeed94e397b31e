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
func (e *durationEstimator) record(tokens float64, d time.Duration) {
	if tokens < 1 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ring := e.rings[sizeClass(tokens)]
	if ring == nil {
		ring = &sampleRing{}
		e.rings[sizeClass(tokens)] = ring
	}
	perToken := time.Duration(float64(d) / tokens)
	if len(ring.samples) < samplesPerClass {
		ring.samples = append(ring.samples, perToken)
		return
	}
	ring.samples[ring.next] = perToken
	ring.next = (ring.next + 1) % samplesPerClass
}

// estimate returns how long nearly every stream of so many tokens takes.
func (e *durationEstimator) estimate(tokens float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	samples := e.samplesNear(sizeClass(tokens))
	if len(samples) == 0 {
		return time.Duration(tokens * float64(initialTimePerToken))
	}
	slices.Sort(samples)
	return time.Duration(tokens * float64(samples[int(durationQuantile*float64(len(samples)))]))
}

// samplesNear returns a copy of the paces of a size, with those of the nearest sizes as far
// as it takes to have enough.
func (e *durationEstimator) samplesNear(class int) []time.Duration {
	var list []time.Duration
	for d := 0; d <= maxSizeClasses && len(list) < minSamples; d++ {
		for _, near := range []int{class - d, class + d} {
			if ring := e.rings[near]; ring != nil && (near != class || len(list) == 0) {
				list = append(list, ring.samples...)
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
