package gateway

import (
	"context"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
)

const (
	// leaveGrace is how long a stream stays on a part that leaves: it serves on
	// for 2 s after its leave was acknowledged, and most streams end before.
	// Moving all at once would have every prompt read again at the same time.
	leaveGrace = 1200 * time.Millisecond
	// leaveRetryInterval is how often a stream looks again for another part in the same
	// failure domain: the endpoint that replaces the leaving one may be loading.
	leaveRetryInterval = 300 * time.Millisecond
	// releaseSpread is the time over which the streams of all hosts leave a part
	// that gave up its layers. It loads others only once the last has left; but
	// 60 prompts of 900 tokens, read again for 8 layers by a slow accelerator,
	// take 0.25 s by the engines' figures, and a stream's pause must stay under 0.2 s.
	releaseSpread = 700 * time.Millisecond
)

// leaveWatch takes a stream off the parts of its path that leave, give up their
// layers or turn slow, where that needs no new send. The first part can't be left
// without one: a stream stays there until it ends or the endpoint breaks it
// off, and is continued then. To give it up sooner would cut streams that still
// had time to end.
type leaveWatch struct {
	s         *streamRun
	changed   <-chan struct{}
	moveTimer <-chan time.Time // when to move off
}

func newLeaveWatch(s *streamRun) *leaveWatch {
	l := &leaveWatch{
		s: s,
	}
	if s.j.service.Engine != nil {
		l.changed = s.g.source.Changed()
	}
	return l
}

// check starts the clock for parts that should be left.
func (l *leaveWatch) check() {
	s := l.s
	l.changed = s.g.source.Changed()
	if l.moveTimer != nil {
		return
	}
	for _, p := range s.path[1:] {
		switch {
		case s.g.source.HasReleased(p.ID, p.Layers), l.slow(p):
			l.moveTimer = s.g.svc.After(time.Duration(fraction(s.j.req.ID) * float64(releaseSpread)))
			return
		case s.g.source.EndpointLeaving(p.ID):
			l.moveTimer = s.g.svc.After(leaveGrace)
			return
		}
	}
}

// fraction returns a number from 0 to 1 that differs from request to request.
func fraction(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return float64(h.Sum32()) / math.MaxUint32
}

// slowStageFactor is how many times as slow as its kind a part must be for streams to
// leave it; the plan covers its layers again from there on (pkg/placement).
const slowStageFactor = 4

func (l *leaveWatch) slow(p fleet.Stage) bool {
	return l.s.g.source.EndpointSlowdown(p.ID) >= slowStageFactor
}

// mustLeave reports whether a stream should leave a part of its path.
func (l *leaveWatch) mustLeave(p fleet.Stage) bool {
	return l.s.g.source.EndpointLeaving(p.ID) || l.s.g.source.HasReleased(p.ID, p.Layers) || l.slow(p)
}

// shouldReplace reports whether a part isn't to be kept if that can be helped; worse,
// whether it isn't to be kept though one that leaves is: that one still serves,
// while an order waits for the streams on a part that gave up its layers.
func (l *leaveWatch) shouldReplace(p fleet.Stage) bool {
	return l.s.isExcluded(p) || l.mustLeave(p)
}

func (l *leaveWatch) mustReplace(p fleet.Stage) bool {
	return l.shouldReplace(p) && !l.s.g.source.EndpointLeaving(p.ID)
}

// replaceStages puts other endpoints in the place of all parts that must be left, or else
// of those that don't merely leave, or else chooses the path behind the first
// part anew, if that takes no crossing: an endpoint that could take over may
// stand on the path already. A stream that would have to cross stays as long as
// it is served.
func (l *leaveWatch) replaceStages(ctx context.Context) {
	s := l.s
	l.moveTimer = nil
	address := ""
	for _, p := range s.path[1:] {
		if l.mustLeave(p) {
			s.failedIDs[p.ID] = true
			address = p.Address
		}
	}
	if address == "" {
		return
	}
	for _, path := range [][]fleet.Stage{s.pathAround(l.shouldReplace), s.pathAround(l.mustReplace), s.pathFrom(&s.path[0])} {
		if path != nil && pathing.DomainCrossings(path) <= pathing.DomainCrossings(s.path) && s.offerPath(ctx, path, address) {
			break
		}
	}
	if slices.ContainsFunc(s.path[1:], l.mustLeave) {
		l.moveTimer = s.g.svc.After(leaveRetryInterval)
	}
}
