package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
)

const (
	// initialTimePerToken is the assumed time for each token before any stream has
	// ended: twice that of most streams.
	initialTimePerToken = 32 * time.Millisecond
	// durationQuantile is the share of streams of a size class that end within the
	// estimated time. Interrupting a stream costs its caller more than refusing one.
	durationQuantile = 0.95
	// samplesPerClass is how many streams of a size class are remembered: those of
	// about a minute.
	samplesPerClass = 32
	// minSamples is how many samples an estimate needs before it uses no other size
	// classes.
	minSamples = 8
	// drainingRetryAfter is the retry-after time of a stream that would not end here
	// before this host stops. Its caller should try another host.
	drainingRetryAfter = 100 * time.Millisecond
)

// durationEstimator estimates how long streams take, from the time for each expected
// token of recent streams. It does so for each size class, because short answers often
// turn out longer than expected, and long ones shorter. It is safe for use by several
// goroutines.
type durationEstimator struct {
	mu    sync.Mutex
	rings map[int]*sampleRing
}

// sampleRing holds the samples of the latest streams of a size class.
type sampleRing struct {
	samples []time.Duration // time for each expected token
	next    int
}

func newDurationEstimator() *durationEstimator {
	return &durationEstimator{
		rings: map[int]*sampleRing{},
	}
}

// sizeClass returns the size class of an answer of so many tokens. Each class is twice
// as large as the one before.
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

// estimate returns the time within which nearly all streams of so many expected tokens
// end.
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

// samplesNear returns a copy of the samples of a size class, with those of the nearest
// other classes until there are enough.
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

// maxSizeClasses is the number of size classes, enough for answers of a million tokens.
const maxSizeClasses = 20

// refuseIfTooLong refuses a stream that would likely be interrupted by the end of this
// host, which was told to stop. Nothing was sent yet, and other hosts can still run it.
func (s *streamRun) refuseIfTooLong() *failure.Error {
	left, stops := s.g.source.ShutdownIn()
	if !stops || s.j.service.Engine == nil || s.g.durations.estimate(s.demand().Answer) <= left {
		return nil
	}
	return failure.New(failure.Draining, "this host stops in %v", left).WithRetryAfter(drainingRetryAfter)
}
