package chain

import (
	"context"
	"encoding/json"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/failure"
)

// stream asks the first stage to generate and passes tokens to the sink. It
// returns the stages that were lost, or nil if the request is done.
func (x *execution) stream(ctx context.Context) (lostStages, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := x.r.watchdog.add(x.due(x.promptEstimate()), cancel)
	defer x.r.watchdog.remove(w)
	head := x.stages[0].endpoint.Address()
	x.sent = true
	x.lastEvent = x.r.cfg.Timer.Now()
	resp, err := x.r.post(streamCtx, head, api.EngineGeneratePath, api.EngineGenerate{
		Request:   x.req.ID,
		Attempt:   x.attempt,
		Prompt:    x.req.Prompt,
		Emitted:   x.emitted,
		MaxTokens: x.req.MaxTokens,
	})
	if err != nil {
		return x.headLost(ctx, head, reasonOf(err))
	}
	defer func() { _ = resp.Body.Close() }()
	return x.read(ctx, head, json.NewDecoder(resp.Body), w)
}

// promptEstimate is about how many positions the next step passes on.
func (x *execution) promptEstimate() int {
	if len(x.emitted) > 0 {
		return x.need()
	}
	return len(x.req.Prompt)/2 + 1
}

func (x *execution) due(positions int) time.Time {
	return x.r.cfg.Timer.Now().Add(x.wholeTimeout(positions))
}

// headLost blames the first stage, unless the request itself is at its end.
func (x *execution) headLost(ctx context.Context, head, reason string) (lostStages, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextFailure(err).WithRan(x.ran())
	}
	return lostStages{
		head: reason,
	}, nil
}

// maxHeld bounds the events that are held because earlier ones are missing.
const maxHeld = 16

func (x *execution) read(ctx context.Context, head string, dec *json.Decoder, w *watch) (lostStages, error) {
	held := map[int]api.EngineEvent{}
	curve, _ := x.curve()
	for {
		ev := api.EngineEvent{}
		if err := dec.Decode(&ev); err != nil {
			reason := api.FaultLost
			if w.hasExpired() {
				reason = "silent"
			}
			return x.headLost(ctx, head, reason)
		}
		if ev.Fault != nil {
			return x.lostBy(ev.Fault), nil
		}
		if ev.Index > len(x.emitted) {
			if len(held) >= maxHeld {
				return x.headLost(ctx, head, "garbled")
			}
			held[ev.Index] = ev
			continue
		}
		for ok := true; ok; ev, ok = held[len(x.emitted)] {
			delete(held, ev.Index)
			if ev.Index < len(x.emitted) {
				break // a second copy
			}
			if done, err := x.take(ev); done || err != nil {
				return nil, err
			}
			x.noteToken(curve, w)
			if moved := x.leavingStages(); moved != nil {
				return moved, nil
			}
		}
	}
}

// noteToken learns from the time that a token took, and waits for the next.
func (x *execution) noteToken(curve time.Duration, w *watch) {
	now := x.r.cfg.Timer.Now()
	if len(x.emitted) > 1 && x.faultAt.IsZero() {
		x.r.pace.observe(now.Sub(x.lastEvent), curve)
	}
	x.resumed(now)
	x.lastEvent = now
	w.extend(now.Add(x.wholeTimeout(1)))
}

// take handles the event that comes next.
func (x *execution) take(ev api.EngineEvent) (done bool, err error) {
	if ev.PromptLen > 0 {
		x.promptLen = ev.PromptLen
	}
	if ev.End != "" {
		x.result.End = ev.End
		return true, nil
	}
	err = x.sink(Token{
		Index: ev.Index,
		Text:  ev.Text,
	})
	if err != nil {
		return false, failure.Wrap(err, failure.DeadlineExceeded, "the caller went away").WithRan(failure.RanYes)
	}
	x.emitted = append(x.emitted, ev.Token)
	return false, nil
}

// lostBy returns the stages that a fault means are lost. A stage that is there
// but lacks the session or earlier positions is rebuilt where it is.
func (x *execution) lostBy(f *api.EngineFault) lostStages {
	switch f.Reason {
	case api.FaultGone, api.FaultGap:
		return lostStages{}
	case api.FaultDiverged:
		all := lostStages{}
		for _, s := range x.stages {
			all[s.endpoint.Address()] = f.Reason
		}
		return all
	default:
		return x.blame(f)
	}
}

// blame decides between a stage that can't be reached and the one before it,
// which says so. The first time it is the later one that is replaced; if the
// earlier one then can't reach the replacement either, it is itself cut off.
func (x *execution) blame(f *api.EngineFault) lostStages {
	accuser := x.before(f.Address)
	if accuser != "" && accuser == x.accuser && x.accusedAt == len(x.emitted) {
		return lostStages{
			accuser: "cut off",
		}
	}
	x.accuser = accuser
	x.accusedAt = len(x.emitted)
	return lostStages{
		f.Address: f.Reason,
	}
}

// before returns the address of the stage before the one at an address.
func (x *execution) before(address string) string {
	for i, s := range x.stages {
		if s.endpoint.Address() == address && i > 0 {
			return x.stages[i-1].endpoint.Address()
		}
	}
	return ""
}
