package chain

import (
	"context"
	"encoding/json"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// repair puts others in the place of lost stages and brings every stage to the
// position at which the request stopped. What the other stages hold is kept.
// Stages that are lost during the repair are replaced as well.
func (x *execution) repair(ctx context.Context, lost lostStages) error {
	x.result.Repairs++
	x.r.cfg.Metrics.Counter("chain_repairs").Inc(1)
	deadline := x.r.cfg.Timer.Now().Add(repairPatience)
	banned := map[string]bool{}
	for {
		if err := ctx.Err(); err != nil {
			return contextFailure(err).WithRan(x.ran())
		}
		for address := range lost {
			banned[address] = true
		}
		x.attempt++
		moves, ok := x.replace(lost, banned)
		if !ok {
			if onlyLeaving(lost) {
				x.stay = true // no one can take its place: it ends where it is
				lost = lostStages{}
				continue
			}
			if x.r.cfg.Timer.Now().After(deadline) {
				return x.failed("no live endpoint can take the place of the stage that was lost")
			}
			banned = map[string]bool{} // one that was lost may be back
			_ = timer.Sleep(ctx, x.r.cfg.Timer, repairPause)
			continue
		}
		x.export(ctx, moves)
		lost = x.openAll(ctx)
		if len(lost) == 0 {
			x.load(ctx, moves)
			lost = x.rebuild(ctx)
		}
		if len(lost) == 0 {
			return nil
		}
	}
}

// replace puts endpoints that cover the same layers in the place of each lost
// stage. It changes nothing and reports false if one can't be replaced. It
// returns the moves of stages that are still there.
func (x *execution) replace(lost lostStages, banned map[string]bool) ([]*move, bool) {
	without := map[string]bool{}
	for address := range banned {
		without[address] = true
	}
	for _, s := range x.stages {
		without[s.endpoint.Address()] = true
	}
	all := x.candidates()
	var next, gone []*stage
	var moves []*move
	for _, s := range x.stages {
		reason, is := lost[s.endpoint.Address()]
		if !is {
			next = append(next, s)
			continue
		}
		c := x.r.cfg.Router.Choose(all, s.first, s.end, without)
		if c == nil {
			return nil, false
		}
		for _, e := range c {
			without[e.Address()] = true
		}
		fresh := stagesOf(c)
		if reason == reasonLeaving && len(fresh) == 1 {
			moves = append(moves, &move{
				from: s,
				to:   fresh[0],
			})
		}
		next = append(next, fresh...)
		gone = append(gone, s)
	}
	x.stages = next
	for _, s := range gone {
		x.abandon(s)
	}
	return moves, true
}

// rebuild fills the KV caches of stages that lack positions, from the first
// stage to the last: the first from the tokens, each other from the
// activations that the one before it saved. It returns what was lost meanwhile.
func (x *execution) rebuild(ctx context.Context) lostStages {
	need := x.need()
	for i, s := range x.stages {
		if s.have >= need {
			continue
		}
		x.r.cfg.Metrics.Counter("chain_rebuilt_positions").Inc(int64(need - s.have))
		var lost lostStages
		if i == 0 {
			lost = x.rebuildHead(ctx, s)
		} else {
			lost = x.replay(ctx, x.stages[i-1], s)
		}
		if len(lost) > 0 {
			return lost
		}
		s.have = need
	}
	return nil
}

func (x *execution) rebuildTimeout(s *stage) time.Duration {
	pass, position := x.r.cfg.Router.PassTime(s.endpoint)
	return x.r.timeout(pass, 1) + time.Duration(x.need())*positionSlack*position
}

func (x *execution) rebuildHead(ctx context.Context, s *stage) lostStages {
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
			address: reasonOf(err),
		}
	}
	defer closeBody(resp)
	ev := api.EngineEvent{}
	if err := json.NewDecoder(resp.Body).Decode(&ev); err != nil {
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

// replay has the stage before send what it saved. The faulty one of the two is
// told apart by who answers: the stage before answers the call itself.
func (x *execution) replay(ctx context.Context, from, to *stage) lostStages {
	reply := api.EngineReplayed{}
	err := x.r.call(ctx, x.rebuildTimeout(to), from.endpoint.Address(), api.EngineReplayPath, api.EngineReplay{
		Request: x.req.ID,
		Attempt: x.attempt,
		To:      to.endpoint.Address(),
		From:    to.have,
	}, &reply)
	if err != nil {
		return lostStages{
			x.silentOf(ctx, from, to): reasonOf(err),
		}
	}
	if reply.Fault != nil {
		return x.lostInReplay(reply.Fault)
	}
	x.r.cfg.Metrics.Histogram("chain_replayed_positions").Update(int64(reply.Sent))
	return nil
}

// lostInReplay returns the stage that a replay's fault means is lost; one that
// has dropped the session it just opened is no better than lost.
func (x *execution) lostInReplay(f *api.EngineFault) lostStages {
	if lost := x.lostBy(f); len(lost) > 0 {
		return lost
	}
	return lostStages{
		f.Address: f.Reason,
	}
}

// silentOf asks the stage before whether it is there, to tell which of the two
// kept a replay from ending.
func (x *execution) silentOf(ctx context.Context, from, to *stage) string {
	info := api.EngineInfo{}
	if err := x.r.get(ctx, probeTimeout, from.endpoint.Address(), api.EngineInfoPath, &info); err != nil {
		return from.endpoint.Address()
	}
	return to.endpoint.Address()
}
