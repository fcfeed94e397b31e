package gateway

import (
	"context"
	"time"

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
)

// leaveWatch takes a stream off the parts of its path that leave, where that
// needs no new send. The first part can't be left without one: a stream stays
// there until it ends or the endpoint breaks it off, and is continued then. To
// give it up sooner would cut streams that still had time to end.
type leaveWatch struct {
	s       *streamRun
	changed <-chan struct{}
	part    <-chan time.Time // when to move off parts that leave
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

// look starts the clock for parts that leave.
func (l *leaveWatch) look() {
	s := l.s
	l.changed = s.g.source.Changed()
	if l.part != nil {
		return
	}
	for _, p := range s.path[1:] {
		if s.g.source.EndpointLeaving(p.ID) {
			l.part = s.g.svc.After(partGrace)
			return
		}
	}
}

// move puts one path around all parts that leave, if that takes no crossing; a
// stream that would have to cross stays as long as it is served.
func (l *leaveWatch) move(ctx context.Context) {
	s := l.s
	l.part = nil
	leaving := ""
	for _, p := range s.path[1:] {
		if s.g.source.EndpointLeaving(p.ID) {
			s.avoid[p.ID] = true
			leaving = p.Address
		}
	}
	if leaving == "" {
		return
	}
	path := s.pathFrom(&s.path[0])
	if path != nil && pathing.Crossings(path) <= pathing.Crossings(s.path) {
		s.follow(ctx, path, leaving)
		return
	}
	l.part = s.g.svc.After(partAgain)
}
