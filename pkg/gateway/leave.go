package gateway

import (
	"context"
	"time"
)

// leaveGrace is how long a stream stays at a first endpoint that leaves: it
// serves on for 2 s after its leave was acknowledged, and most streams end
// before. Nothing but a new send can take a stream away from it.
const leaveGrace = 1400 * time.Millisecond

// leaveWatch takes a stream off the endpoints of its path that leave.
type leaveWatch struct {
	s       *streamRun
	changed <-chan struct{}
	overdue <-chan time.Time
}

func newLeaveWatch(s *streamRun) *leaveWatch {
	return &leaveWatch{
		s:       s,
		changed: s.g.source.Changed(),
	}
}

// look puts others in the place of what leaves.
func (l *leaveWatch) look(ctx context.Context) {
	s := l.s
	l.changed = s.g.source.Changed()
	if s.j.service.Engine == nil {
		return
	}
	for i, p := range s.path {
		if !s.g.source.EndpointLeaving(p.ID) {
			continue
		}
		if i > 0 {
			s.repath(ctx, p.Address)
			return // one path around all that leave
		}
		if l.overdue == nil && s.j.route.Resumable {
			l.overdue = s.g.svc.After(leaveGrace)
		}
	}
}
