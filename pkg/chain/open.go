package chain

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/group"
)

const (
	probeTimeout  = 400 * time.Millisecond
	cancelTimeout = 2 * time.Second
)

// openTimeout returns how long an engine may take to open a session: it may
// first have to complete the pass that the session is in.
func (x *execution) openTimeout(s *stage) time.Duration {
	pass, _ := x.r.cfg.Router.PassTime(s.endpoint)
	return x.r.timeout(pass, 0)
}

// openAll opens the current attempt on all stages in parallel. It returns the
// stages that failed to open.
func (x *execution) openAll(ctx context.Context) lostStages {
	timeouts := x.stepTimeouts()
	var mu sync.Mutex
	failed := lostStages{}
	g := group.New(ctx)
	defer g.Stop()
	for i := range x.stages {
		g.Go(func(ctx context.Context) {
			if reason := x.openOne(ctx, i, timeouts[i]); reason != "" {
				mu.Lock()
				failed[x.stages[i].endpoint.Address()] = reason
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return failed
}

func (x *execution) openOne(ctx context.Context, i int, t stepTimeout) string {
	s := x.stages[i]
	o := x.openMessage(t)
	if i+1 < len(x.stages) {
		o.Next = x.stages[i+1].endpoint.Address()
	}
	reply := api.EngineOpened{}
	start := x.r.cfg.Timer.Now()
	if err := x.r.call(ctx, x.openTimeout(s), s.endpoint.Address(), api.EngineOpenPath, o, &reply); err != nil {
		reason := faultReason(err)
		if reason == reasonFull {
			s.endpoint.MarkFull()
		} else {
			s.endpoint.MarkFailed()
		}
		return reason
	}
	s.cachedPositions = reply.Have
	if reply.Leaving {
		s.endpoint.SetLeaving()
	}
	if s.open {
		s.endpoint.SessionClosed() // reopened: count it once
	}
	s.open = true
	s.endpoint.SessionOpened(reply.Load.Sessions, x.r.cfg.Timer.Now().Sub(start))
	return ""
}

func (x *execution) openMessage(t stepTimeout) api.EngineOpen {
	return api.EngineOpen{
		Request:        x.req.ID,
		Attempt:        x.attempt,
		Model:          x.req.Model.Name,
		ModelVersion:   x.req.Model.Version,
		Priority:       x.req.Priority,
		Seed:           x.req.Seed,
		NextTimeoutMS:  int(t.base.Milliseconds()),
		NextPositionUS: int(t.position.Microseconds()),
	}
}

func (r *Runner) cancel(ctx context.Context, address string, c api.EngineCancel) {
	_ = r.call(ctx, cancelTimeout, address, api.EngineCancelPath, c, nil) // on failure, the engine drops orphaned sessions by itself
}
