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
	// leaveGrace is how long a stream stays on a stage that is leaving. The endpoint
	// goes on serving for 2 s after its leave was acknowledged, and most streams end
	// before that. If all streams moved at once, all their prompts would be processed
	// again at the same time.
	leaveGrace = 1200 * time.Millisecond
	// leaveRetryInterval is how often a stream looks again for another stage in the
	// same failure domain. The endpoint that replaces the leaving one may still be
	// loading.
	leaveRetryInterval = 300 * time.Millisecond
	// releaseSpread is the time over which the streams of all hosts move off a stage
	// that released its layers. The endpoint loads other layers only once the last
	// stream has left. But by the parameters of the engines, a slow accelerator needs
	// 0.25 s to process 60 prompts of 900 tokens again for 8 layers, and the pause of a
	// stream must stay below 0.2 s.
	releaseSpread = 700 * time.Millisecond
)

// leaveWatch moves a stream off the stages of its path that are leaving, have released
// their layers or have become slow, if that needs no new send. A new first stage would need
// one, so a stream stays there until it ends or until the endpoint breaks it off, and
// is then continued elsewhere. Giving it up earlier would interrupt streams that still
// had time to end.
type leaveWatch struct {
	s         *streamRun
	changed   <-chan struct{}
	moveTimer <-chan time.Time // fires when stages must be replaced
}

func newLeaveWatch(s *streamRun) *leaveWatch {
	l := &leaveWatch{
		s: s,
	}
	if s.j.service.Engine != nil {
		l.check() // a stage may have changed since the path was chosen
	}
	return l
}

// check starts the timer if there are stages to move off.
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

// fraction returns a number from 0 to 1 that depends on the request ID only, and is
// spread evenly over requests.
func fraction(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return float64(h.Sum32()) / math.MaxUint32
}

// slowStageFactor is the slowdown from which on streams move off a stage. From the same
// slowdown on, pkg/placement has the layers covered again by other endpoints.
const slowStageFactor = 4

func (l *leaveWatch) slow(p fleet.Stage) bool {
	return l.s.g.source.EndpointSlowdown(p.ID) >= slowStageFactor
}

// mustLeave reports whether the stream should move off a stage.
func (l *leaveWatch) mustLeave(p fleet.Stage) bool {
	return l.s.g.source.EndpointLeaving(p.ID) || l.s.g.source.HasReleased(p.ID, p.Layers) || l.slow(p)
}

// shouldReplace reports whether a stage should be replaced if possible.
func (l *leaveWatch) shouldReplace(p fleet.Stage) bool {
	return l.s.isExcluded(p) || l.mustLeave(p)
}

// mustReplace is shouldReplace without stages that are leaving. Those still serve,
// while an endpoint that released its layers cannot load others until the streams have
// left it.
func (l *leaveWatch) mustReplace(p fleet.Stage) bool {
	return l.shouldReplace(p) && !l.s.g.source.EndpointLeaving(p.ID)
}

// replaceStages replaces all stages to move off. If that is not possible, it replaces
// those that are not merely leaving, and if that is not possible either, it chooses all
// stages after the first one anew, because an endpoint that could take over may already
// be on the path. It takes no path with more domain crossings than the current one: a
// stream that would need one stays as long as it is served.
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
