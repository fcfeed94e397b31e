package chain

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
)

// reasonLeaving is the reason of a stage whose endpoint is leaving. The endpoint
// still answers, so its KV cache is moved instead of being computed again.
const reasonLeaving = "leaving"

const (
	// minMoveTokens is the least number of tokens that a request must still
	// generate for its stage to be moved off a leaving endpoint; a shorter
	// request completes where it is.
	minMoveTokens = 16
	// leavingCheckTokens is the number of tokens between checks for leaving
	// endpoints.
	leavingCheckTokens = 4
	kvTimeout          = 5 * time.Second
)

// move is the move of one stage off a leaving endpoint.
type move struct {
	from *stage
	to   *stage
	kv   *api.EngineKV // nil if the export failed
}

// leavingStages returns the stages whose endpoints are leaving. It returns nil if
// there are none, if no check is due at this token, or if the request must not be
// moved or has too few tokens left for that.
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

// exportKV fences the sessions to be moved and exports their KV caches. The
// fence comes first: a step that is in flight completes before the fence or is
// rejected after it, so the exported cache holds every position that was run.
func (x *execution) exportKV(ctx context.Context, moves []*move) {
	for _, m := range moves {
		address := m.from.endpoint.Address()
		opened := api.EngineOpened{}
		if x.r.call(ctx, x.openTimeout(m.from), address, api.EngineOpenPath, x.openMessage(stepTimeout{}), &opened) != nil {
			continue // it is rebuilt like a lost stage
		}
		kv := &api.EngineKV{}
		if x.r.get(ctx, kvTimeout, address, api.EngineKVPath+"?request="+x.req.ID, kv) == nil {
			m.kv = kv
		}
	}
}

// importKV imports the exported KV caches into the new stages.
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
