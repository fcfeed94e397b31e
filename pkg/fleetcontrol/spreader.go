package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// spreadGather is how long announcements gather before they are spread together:
// 3,000 endpoints that announce themselves in a second would make as many calls to
// each replica. An endpoint that leaves waits as long for its acknowledgement.
const spreadGather = 10 * time.Millisecond

// spreader spreads announcements to the other replicas, many with one call.
type spreader struct {
	mu      sync.Mutex
	pending []fleet.Endpoint
	// done is closed once the batch that pending is of was spread.
	done *spreading
}

// spreading is one batch on its way.
type spreading struct {
	over   chan struct{}
	others int   // replicas that there were to tell
	told   int64 // of them
}

// spreadSoon spreads an announcement with those that come shortly after, and
// returns how many other replicas there were and how many took it. Both are 0 if
// ctx ended before.
func (s *Server) spreadSoon(ctx context.Context, e fleet.Endpoint) (others int, told int64) {
	s.spreads.mu.Lock()
	s.spreads.pending = append(s.spreads.pending, e)
	batch := s.spreads.done
	if batch == nil {
		batch = &spreading{
			over: make(chan struct{}),
		}
		s.spreads.done = batch
		s.group.Go(s.spreadBatch)
	}
	s.spreads.mu.Unlock()
	select {
	case <-batch.over:
		return batch.others, batch.told
	case <-ctx.Done():
		return 0, 0
	}
}

// spreadBatch spreads what has gathered by the time it ends gathering.
func (s *Server) spreadBatch(ctx context.Context) {
	_ = timer.Sleep(ctx, s.cfg.Timer, spreadGather) // at the process's end it is spread at once
	s.spreads.mu.Lock()
	list, batch := s.spreads.pending, s.spreads.done
	s.spreads.pending, s.spreads.done = nil, nil
	s.spreads.mu.Unlock()
	others := s.others()
	batch.others = len(others)
	batch.told = s.spread(ctx, others, list)
	close(batch.over)
}
