package chain

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/netutil"
)

// stream requests generation from the first stage and passes tokens to the sink.
// It returns the stages that were lost, or nil if the request is done.
func (x *execution) stream(ctx context.Context) (lostStages, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := x.r.watchdog.add(x.tokenDeadline(x.estimatePositions()), cancel)
	defer x.r.watchdog.remove(w)
	firstAddress := x.stages[0].endpoint.Address()
	x.generateSent = true
	x.lastEvent = x.r.cfg.Timer.Now()
	resp, err := x.r.post(streamCtx, firstAddress, api.EngineGeneratePath, api.EngineGenerate{
		Request:   x.req.ID,
		Attempt:   x.attempt,
		Prompt:    x.req.Prompt,
		Emitted:   x.emitted,
		MaxTokens: x.req.MaxTokens,
	})
	if err != nil {
		return x.firstStageLost(ctx, firstAddress, faultReason(err))
	}
	defer func() { _ = resp.Body.Close() }()
	return x.readEvents(ctx, firstAddress, netutil.NewDecoder(resp.Body), w)
}

// estimatePositions estimates how many positions the next step passes on.
func (x *execution) estimatePositions() int {
	if len(x.emitted) > 0 {
		return x.requiredPositions()
	}
	return len(x.req.Prompt)/2 + 1
}

func (x *execution) tokenDeadline(positions int) time.Time {
	return x.r.cfg.Timer.Now().Add(x.tokenTimeout(positions))
}

// firstStageLost reports the first stage as lost, unless ctx is done.
func (x *execution) firstStageLost(ctx context.Context, firstAddress, reason string) (lostStages, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextFailure(err).WithRan(x.ran())
	}
	return lostStages{
		firstAddress: reason,
	}, nil
}

// maxBufferedEvents limits the events that are buffered because earlier ones are
// missing.
const maxBufferedEvents = 16

func (x *execution) readEvents(ctx context.Context, firstAddress string, dec *netutil.Decoder, w *watchedStream) (lostStages, error) {
	buffered := map[int]api.EngineEvent{}
	modelled, _ := x.modelledStepTime()
	for {
		ev := api.EngineEvent{}
		if err := dec.Decode(&ev); err != nil {
			reason := api.FaultLost
			if w.hasExpired() {
				reason = "silent"
			}
			return x.firstStageLost(ctx, firstAddress, reason)
		}
		if ev.Fault != nil {
			return x.lostStagesOf(ev.Fault), nil
		}
		if ev.Index > len(x.emitted) {
			if len(buffered) >= maxBufferedEvents {
				return x.firstStageLost(ctx, firstAddress, "garbled")
			}
			buffered[ev.Index] = ev
			continue
		}
		for ok := true; ok; ev, ok = buffered[len(x.emitted)] {
			delete(buffered, ev.Index)
			if ev.Index < len(x.emitted) {
				break // duplicate
			}
			if done, err := x.handleEvent(ev); done || err != nil {
				return nil, err
			}
			x.recordToken(modelled, w)
			if leaving := x.leavingStages(); leaving != nil {
				return leaving, nil
			}
		}
	}
}

// recordToken updates the step time estimate and extends the deadline for the
// next token.
func (x *execution) recordToken(modelled time.Duration, w *watchedStream) {
	now := x.r.cfg.Timer.Now()
	if len(x.emitted) > 1 && x.faultAt.IsZero() {
		x.r.stepTimes.observe(now.Sub(x.lastEvent), modelled)
	}
	x.recordRepair(now)
	x.lastEvent = now
	w.extend(now.Add(x.tokenTimeout(1)))
}

// handleEvent handles the next event in order.
func (x *execution) handleEvent(ev api.EngineEvent) (done bool, err error) {
	if ev.PromptLen > 0 {
		x.promptLen = ev.PromptLen
	}
	if ev.End != "" {
		x.result.FinishReason = ev.End
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

// lostStagesOf returns the stages that a fault means are lost. A stage that
// answers but lacks the session or earlier positions is rebuilt in place.
func (x *execution) lostStagesOf(f *api.EngineFault) lostStages {
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
		return x.attributeFault(f)
	}
}

// attributeFault decides which stage is lost: one that is reported as
// unreachable, or the stage before it, which reports that. On the first report
// it is the later one. If the earlier one then cannot reach the replacement
// either, it is itself partitioned.
func (x *execution) attributeFault(f *api.EngineFault) lostStages {
	reporter := x.previousStage(f.Address)
	if reporter != "" && reporter == x.reporter && x.reportedAt == len(x.emitted) {
		return lostStages{
			reporter: "cut off",
		}
	}
	x.reporter = reporter
	x.reportedAt = len(x.emitted)
	return lostStages{
		f.Address: f.Reason,
	}
}

// previousStage returns the address of the stage before the one at address, or
// "" if there is none.
func (x *execution) previousStage(address string) string {
	for i, s := range x.stages {
		if s.endpoint.Address() == address && i > 0 {
			return x.stages[i-1].endpoint.Address()
		}
	}
	return ""
}
