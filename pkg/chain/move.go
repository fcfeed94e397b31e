package chain

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
)

// reasonLeaving is the reason of a stage that leaves on plan. It is still
// there, so its KV cache is moved instead of being computed anew.
const reasonLeaving = "leaving"

const (
	// minMoveTokens is how many tokens a request must still need for its stage to
	// be moved off an endpoint that leaves; a shorter one ends where it is.
	minMoveTokens = 16
	// leavingCheckTokens is after how many tokens it is looked whether one leaves.
	leavingCheckTokens = 4
	kvTimeout          = 5 * time.Second
)

// move is one stage's move from an endpoint that leaves.
type move struct {
	from *stage
	to   *stage
	kv   *api.EngineKV // nil if it could not be exported
}

// leavingStages returns the stages whose endpoints leave, if the request is
// long enough to be moved.
func (x *execution) leavingStages() lostStages {
	if x.movesDisabled || len(x.emitted)%leavingCheckTokens != 0 || x.req.MaxTokens-len(x.emitted) < minMoveTokens {
		return nil
	}
	var leaving lostStages
	for _, s := range x.stages {
		if !s.endpoint.Leaving() {
			continue
		}
		if leaving == nil {
			leaving = lostStages{}
		}
		leaving[s.endpoint.Address()] = reasonLeaving
	}
	return leaving
}

func onlyLeaving(lost lostStages) bool {
	for _, reason := range lost {
		if reason != reasonLeaving {
			return false
		}
	}
	return len(lost) > 0
}

// exportKV fences the sessions that move and takes their KV caches. The fence
// comes first: a step that is still on its way ends before it or is refused
// after it, and so the cache holds every position that was run.
func (x *execution) exportKV(ctx context.Context, moves []*move) {
	for _, m := range moves {
		address := m.from.endpoint.Address()
		opened := api.EngineOpened{}
		if x.r.call(ctx, x.openTimeout(m.from), address, api.EngineOpenPath, x.openMessage(stepTimeout{}), &opened) != nil {
			continue // it is rebuilt like a lost one
		}
		kv := &api.EngineKV{}
		if x.r.get(ctx, kvTimeout, address, api.EngineKVPath+"?request="+x.req.ID, kv) == nil {
			m.kv = kv
		}
	}
}

// importKV gives the exported KV caches to the new stages.
func (x *execution) importKV(ctx context.Context, moves []*move) {
	for _, m := range moves {
		if m.kv == nil {
			continue
		}
		if x.r.call(ctx, kvTimeout, m.to.endpoint.Address(), api.EngineKVPath, m.kv, nil) == nil {
			m.to.cachedPositions = len(m.kv.Inputs)
			x.r.cfg.Metrics.Counter("chain_moves").Inc(1)
		}
	}
}
