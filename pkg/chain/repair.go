package chain

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// repair replaces lost stages and brings every stage to the position at which
// the request stopped. The KV caches of the other stages are kept. Stages that
// are lost during the repair are replaced as well.
func (x *execution) repair(ctx context.Context, lost lostStages) error {
	x.result.Repairs++
	x.r.cfg.Metrics.Counter("chain_repairs").Inc(1)
	deadline := x.r.cfg.Timer.Now().Add(repairTimeout)
	excluded := map[string]bool{}
	for {
		if err := ctx.Err(); err != nil {
			return contextFailure(err).WithRan(x.ran())
		}
		for address := range lost {
			excluded[address] = true
		}
		x.attempt++
		moves, ok := x.replaceStages(lost, excluded)
		if !ok {
			if onlyLeaving(lost) {
				x.movesDisabled = true // no replacement: the request completes where it is
				lost = lostStages{}
				continue
			}
			if x.r.cfg.Timer.Now().After(deadline) {
				return x.failed("no live endpoint can take the place of the stage that was lost")
			}
			excluded = map[string]bool{} // a lost endpoint may be live again
			_ = timer.Sleep(ctx, x.r.cfg.Timer, repairRetryInterval)
			continue
		}
		x.exportKV(ctx, moves)
		lost = x.openAll(ctx)
		if len(lost) == 0 {
			x.importKV(ctx, moves)
			lost = x.rebuildCaches(ctx)
		}
		if len(lost) == 0 {
			return nil
		}
	}
}

// replaceStages replaces each lost stage by endpoints that cover the same
// layers. It returns the moves of leaving stages that a single endpoint
// replaces. If a stage cannot be replaced, it changes nothing and returns false.
func (x *execution) replaceStages(lost lostStages, excluded map[string]bool) ([]*move, bool) {
	unavailable := map[string]bool{}
	for address := range excluded {
		unavailable[address] = true
	}
	for _, s := range x.stages {
		unavailable[s.endpoint.Address()] = true
	}
	all := x.candidates()
	var next, replaced []*stage
	var moves []*move
	for _, s := range x.stages {
		reason, isLost := lost[s.endpoint.Address()]
		if !isLost {
			next = append(next, s)
			continue
		}
		c := x.r.cfg.Router.Choose(all, s.first, s.end, unavailable)
		if c == nil {
			return nil, false
		}
		for _, e := range c {
			unavailable[e.Address()] = true
		}
		replacements := stagesOf(c)
		if reason == reasonLeaving && len(replacements) == 1 {
			moves = append(moves, &move{
				from: s,
				to:   replacements[0],
			})
		}
		next = append(next, replacements...)
		replaced = append(replaced, s)
	}
	x.stages = next
	for _, s := range replaced {
		x.abandon(s)
	}
	return moves, true
}

// rebuildCaches fills the KV caches of stages that lack positions, from the
// first stage to the last: the first from the tokens, each other one from the
// activations that the stage before it saved. It returns the stages that were
// lost meanwhile.
func (x *execution) rebuildCaches(ctx context.Context) lostStages {
	need := x.requiredPositions()
	for i, s := range x.stages {
		if s.cachedPositions >= need {
			continue
		}
		x.r.cfg.Metrics.Counter("chain_rebuilt_positions").Inc(int64(need - s.cachedPositions))
		var lost lostStages
		if i == 0 {
			lost = x.rebuildFirstStage(ctx, s)
		} else {
			lost = x.replayActivations(ctx, x.stages[i-1], s)
		}
		if len(lost) > 0 {
			return lost
		}
		s.cachedPositions = need
	}
	return nil
}

func (x *execution) rebuildTimeout(s *stage) time.Duration {
	pass, position := x.r.cfg.Router.PassTime(s.endpoint)
	return x.r.timeout(pass, 1) + time.Duration(x.requiredPositions())*positionSlack*position
}

func (x *execution) rebuildFirstStage(ctx context.Context, s *stage) lostStages {
	ctx, cancel := context.WithTimeout(ctx, x.rebuildTimeout(s))
	defer cancel()
	address := s.endpoint.Address()
	resp, err := x.r.post(ctx, address, api.EngineGeneratePath, api.EngineGenerate{
		Request:     x.req.ID,
		Attempt:     x.attempt,
		Prompt:      x.req.Prompt,
		Emitted:     x.emitted,
		MaxTokens:   x.req.MaxTokens,
		RebuildOnly: true,
	})
	if err != nil {
		return lostStages{
			address: faultReason(err),
		}
	}
	defer drainAndClose(resp)
	ev := api.EngineEvent{}
	if err := netutil.NewDecoder(resp.Body).Decode(&ev); err != nil {
		return lostStages{
			address: api.FaultLost,
		}
	}
	if ev.Fault != nil {
		return lostStages{
			address: ev.Fault.Reason,
		}
	}
	return nil
}

// replayActivations has the stage before send its saved activations. If the call
// fails, the stage before is probed to find out which of the two is lost.
func (x *execution) replayActivations(ctx context.Context, from, to *stage) lostStages {
	reply := api.EngineReplayed{}
	err := x.r.call(ctx, x.rebuildTimeout(to), from.endpoint.Address(), api.EngineReplayPath, api.EngineReplay{
		Request: x.req.ID,
		Attempt: x.attempt,
		To:      to.endpoint.Address(),
		From:    to.cachedPositions,
	}, &reply)
	if err != nil {
		return lostStages{
			x.unresponsiveStage(ctx, from, to): faultReason(err),
		}
	}
	if reply.Fault != nil {
		return x.lostStagesInReplay(reply.Fault)
	}
	x.r.cfg.Metrics.Histogram("chain_replayed_positions").Update(int64(reply.Sent))
	return nil
}

// lostStagesInReplay returns the stages that a fault in a replay means are lost.
// A stage that no longer has the session it just opened counts as lost.
func (x *execution) lostStagesInReplay(f *api.EngineFault) lostStages {
	if lost := x.lostStagesOf(f); len(lost) > 0 {
		return lost
	}
	return lostStages{
		f.Address: f.Reason,
	}
}

// unresponsiveStage probes the stage before, and returns its address if it does
// not answer, and that of the next stage otherwise.
func (x *execution) unresponsiveStage(ctx context.Context, from, to *stage) string {
	info := api.EngineInfo{}
	if err := x.r.get(ctx, probeTimeout, from.endpoint.Address(), api.EngineInfoPath, &info); err != nil {
		return from.endpoint.Address()
	}
	return to.endpoint.Address()
}
