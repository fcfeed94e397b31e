package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// propagationDelay is how long announcements gather before they are spread together:
// 3,000 endpoints that announce themselves in a second would make as many calls to
// each replica. An endpoint that leaves waits as long for its acknowledgement.
const propagationDelay = 10 * time.Millisecond

// propagator spreads announcements to the other replicas, many with one call.
type propagator struct {
	mu      sync.Mutex
	pending []fleet.Endpoint
	// batch is closed once the batch that pending is of was spread.
	batch *propagationBatch
}

// propagationBatch is one batch on its way.
type propagationBatch struct {
	done         chan struct{}
	others       int   // replicas that there were to tell
	acknowledged int64 // of them
}

// propagateBatched spreads an announcement with those that come shortly after, and
// returns how many other replicas there were and how many took it. Both are 0 if
// ctx ended before.
func (s *Server) propagateBatched(ctx context.Context, e fleet.Endpoint) (others int, told int64) {
	s.propagator.mu.Lock()
	s.propagator.pending = append(s.propagator.pending, e)
	batch := s.propagator.batch
	if batch == nil {
		batch = &propagationBatch{
			done: make(chan struct{}),
		}
		s.propagator.batch = batch
		s.group.Go(s.sendBatch)
	}
	s.propagator.mu.Unlock()
	select {
	case <-batch.done:
		return batch.others, batch.acknowledged
	case <-ctx.Done():
		return 0, 0
	}
}

// sendBatch spreads what has gathered by the time it ends gathering.
func (s *Server) sendBatch(ctx context.Context) {
	_ = timer.Sleep(ctx, s.cfg.Timer, propagationDelay) // at the process's end it is spread at once
	s.propagator.mu.Lock()
	list, batch := s.propagator.pending, s.propagator.batch
	s.propagator.pending, s.propagator.batch = nil, nil
	s.propagator.mu.Unlock()
	others := s.otherReplicas()
	batch.others = len(others)
	batch.acknowledged = s.sendAnnouncements(ctx, others, list)
	close(batch.done)
}
