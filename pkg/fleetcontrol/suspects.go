package fleetcontrol

import (
	"context"
	"sync"
	"time"
)

const (
	// probeTimeout is how long a suspect may take to answer.
	probeTimeout = 300 * time.Millisecond
	// probeAgain is how long a suspect that answered isn't asked again.
	probeAgain = 2 * time.Second
)

// suspects asks the endpoints that entry hosts name whether they still answer,
// so that a loss is known before heartbeats are missed. Only the leader does.
type suspects struct {
	mu    sync.Mutex
	asked map[string]time.Time
}

// due reports whether an endpoint should be asked now.
func (s *suspects) due(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.asked[id]; ok && now.Sub(at) < probeAgain {
		return false
	}
	for old, at := range s.asked {
		if now.Sub(at) > probeAgain {
			delete(s.asked, old)
		}
	}
	s.asked[id] = now
	return true
}

// doubt looks into what an entry host suspects.
func (s *Server) doubt(ids []string) {
	now := s.cfg.Timer.Now()
	for _, id := range ids {
		e, ok := s.table.Get(id)
		if !ok || e.Silent || e.Gone || e.Kind == "" || !s.suspects.due(id, now) {
			continue
		}
		s.group.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if _, err := s.cfg.Orders.Report(ctx, e.Address); err != nil {
				s.table.Lost(id)
			}
		})
	}
}
