package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// propagationDelay is the batching delay for announcements: without it, 3,000
// endpoints that announce themselves within a second would cause as many calls to each
// replica, and as many entries of the log when they leave. It also delays the acknowledgement of a leave announcement.
const propagationDelay = 10 * time.Millisecond

// propagator batches announcements to the other replicas.
type propagator struct {
	mu      sync.Mutex
	pending []fleet.Endpoint
	// batch is the batch that pending belongs to; nil if none is open.
	batch *propagationBatch
}

// propagationBatch is the result of sending one batch. It is valid once done is closed.
type propagationBatch struct {
	done         chan struct{}
	others       int   // other replicas that elect leaders
	acknowledged int64 // how many of them acknowledged it
	recorded     bool  // the log has its departures
}

// hasMajority reports whether a majority of the replicas that elect leaders has the batch.
func (b *propagationBatch) hasMajority() bool {
	return 2*(int(b.acknowledged)+1) > b.others+1
}

// propagateBatched sends an announcement with the next batch, and returns the result; nil if ctx
// ended before.
func (s *Server) propagateBatched(ctx context.Context, e fleet.Endpoint) *propagationBatch {
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
		return batch
	case <-ctx.Done():
		return nil
	}
}

// sendBatch waits for the batching delay and sends what is pending by then.
func (s *Server) sendBatch(ctx context.Context) {
	_ = timer.Sleep(ctx, s.cfg.Timer, propagationDelay) // fails only at shutdown; the batch is then sent at once
	s.propagator.mu.Lock()
	list, batch := s.propagator.pending, s.propagator.batch
	s.propagator.pending, s.propagator.batch = nil, nil
	s.propagator.mu.Unlock()
	g := group.New(ctx)
	g.Go(func(ctx context.Context) { batch.recorded = s.recordDepartures(ctx, list) })
	voters := s.otherVoters()
	batch.others = len(voters)
	batch.acknowledged = s.sendAnnouncements(ctx, s.otherReplicas(), voters, list)
	g.Wait()
	close(batch.done)
}
