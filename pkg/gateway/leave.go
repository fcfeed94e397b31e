package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/pathing"
)

const (
	// partGrace is how long a stream stays on a part that leaves: it serves on
	// for 2 s after its leave was acknowledged, and most streams end before.
	// Moving all at once would have every prompt read again at the same time.
	partGrace = 1200 * time.Millisecond
	// partAgain is how often a stream looks again for another part in the same
	// failure domain: the endpoint that replaces the leaving one may be loading.
	partAgain = 300 * time.Millisecond
	// firstGrace is the same for the first part: nothing but a new send can
	// take a stream away from it.
	firstGrace = 1500 * time.Millisecond
)

// leaveWatch takes a stream off the endpoints of its path that leave.
type leaveWatch struct {
	s       *streamRun
	changed <-chan struct{}
	part    <-chan time.Time // when to move off other parts
	first   <-chan time.Time // when to leave the first
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

// look starts the clocks for what leaves.
func (l *leaveWatch) look() {
	s := l.s
	l.changed = s.g.source.Changed()
	for i, p := range s.path {
		if !s.g.source.EndpointLeaving(p.ID) {
			continue
		}
		if i > 0 && l.part == nil {
			l.part = s.g.svc.After(partGrace)
		}
		if i == 0 && l.first == nil && s.j.route.Resumable {
			l.first = s.g.svc.After(firstGrace)
		}
	}
}

// errFirstLeaves says that a stream is continued elsewhere since its first
// endpoint leaves. It counts as an attempt: an endpoint may take many seconds to
// end after it said that it leaves.
var errFirstLeaves = errors.New("the first endpoint leaves; continued elsewhere")

// mayLeave reports whether a stream can be taken off its first endpoint now; if
// not, it stays until the endpoint ends it.
func (l *leaveWatch) mayLeave() bool {
	l.first = nil
	s := l.s
	s.avoid[s.path[0].ID] = true
	return s.ran+1 < s.j.route.MaxAttempts && s.pathFrom(nil) != nil && s.payAhead()
}

// move puts one path around all parts that leave. Its error says that the
// stream must be sent anew.
func (l *leaveWatch) move(ctx context.Context) error {
	l.part = nil
	for _, p := range l.s.path[1:] {
		if l.s.g.source.EndpointLeaving(p.ID) {
			l.part = l.s.g.svc.After(partAgain)
			return l.s.leavePart(ctx, p.Address)
		}
	}
	return nil
}

// leavePart moves off the part at address if that takes no crossing; a stream
// that would have to cross stays as long as it is served.
func (s *streamRun) leavePart(ctx context.Context, address string) error {
	for _, p := range s.path {
		if s.g.source.EndpointLeaving(p.ID) {
			s.avoid[p.ID] = true
		}
	}
	path := s.pathFrom(&s.path[0])
	if path != nil && pathing.Crossings(path) <= pathing.Crossings(s.path) {
		s.follow(ctx, path, address)
		return nil
	}
	if s.betterElsewhere(path) {
		return errElsewhere
	}
	return nil
}
