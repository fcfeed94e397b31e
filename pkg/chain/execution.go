package chain

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/directory"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/route"
)

// stage is one endpoint of the chain with the layers that it runs.
type stage struct {
	endpoint        *directory.Endpoint
	first           int
	end             int
	open            bool
	cachedPositions int // positions in its KV cache when it was last opened
}

// execution is the execution of one request.
//
// Invariants: emitted is exactly what the sink was given; stages cover the
// model's layers in order; attempt increases before any stage is reopened.
type execution struct {
	r    *Runner
	req  Request
	sink Sink

	attempt       int
	stages        []*stage
	abandoned     []*stage // stages that were replaced, to be cancelled at the end
	emitted       []int
	promptLen     int
	generateSent  bool // an engine may have started the request
	movesDisabled bool // leaving stages cannot be replaced
	result        Result

	reporter   string // the stage that last reported it cannot reach the next one
	reportedAt int    // number of tokens emitted at that report

	lastEvent time.Time
	faultAt   time.Time // last event before the fault; zero if no repair is in progress
}

func newExecution(r *Runner, req Request, sink Sink) *execution {
	return &execution{
		r:    r,
		req:  req,
		sink: sink,
	}
}

// lostStages maps the address of each lost stage to the reason. If it is empty
// but not nil, the chain is complete and only has to be reopened.
type lostStages map[string]string

func (x *execution) candidates() []*directory.Endpoint {
	return x.r.cfg.Directory.Engines(x.req.Model.Name, x.req.Model.Version)
}

// maxOpenTries limits how often stages that failed to open are replaced if
// engines are full: further tries cost more than a later retry by the caller.
const maxOpenTries = 10

// openChain chooses a chain and opens it. It keeps the stages that open and
// replaces the others. If it fails, nothing was run.
func (x *execution) openChain(ctx context.Context) error {
	c := x.r.cfg.Router.Choose(x.candidates(), 0, x.req.Model.Layers, nil)
	if c == nil {
		return x.noChainError(false)
	}
	x.setStages(c)
	excluded := map[string]bool{}
	full := false
	for tries := 0; ; tries++ {
		failed := x.openAll(ctx)
		if err := ctx.Err(); err != nil {
			return contextFailure(err).WithRan(failure.RanNo)
		}
		if len(failed) == 0 {
			return nil
		}
		for address, reason := range failed {
			excluded[address] = true
			full = full || reason == reasonFull
		}
		x.attempt++
		if _, ok := x.replaceStages(failed, excluded); !ok || (full && tries >= maxOpenTries) {
			return x.noChainError(full)
		}
	}
}

// noChainError returns the failure to open a chain, either because the engines
// are full or because no live ones cover the model.
func (x *execution) noChainError(full bool) error {
	if full {
		return failure.New(failure.Overloaded, "the engines of model %q are full", x.req.Model.Name)
	}
	return failure.New(failure.NoChain, "no set of live endpoints covers the %d layers of model %q", x.req.Model.Layers, x.req.Model.Name)
}

func (x *execution) setStages(c route.Chain) {
	x.stages = stagesOf(c)
}

func stagesOf(c route.Chain) []*stage {
	list := make([]*stage, 0, len(c))
	for _, e := range c {
		info := e.Info()
		list = append(list, &stage{
			endpoint: e,
			first:    int(info.GetFirstLayer()),
			end:      int(info.GetEndLayer()),
		})
	}
	return list
}

// abandonStages abandons all stages. Their sessions are cancelled at the end.
func (x *execution) abandonStages() {
	for _, s := range x.stages {
		x.abandon(s)
	}
	x.stages = nil
}

func (x *execution) abandon(s *stage) {
	if s.open {
		s.open = false
		s.endpoint.SessionClosed()
	}
	x.abandoned = append(x.abandoned, s)
}

// requiredPositions returns how many positions every stage must hold before the
// request can resume: all before the last emitted token.
func (x *execution) requiredPositions() int {
	if len(x.emitted) == 0 {
		return 0
	}
	return x.promptLen + len(x.emitted) - 1
}

func (x *execution) recordFault(lost lostStages) {
	if x.faultAt.IsZero() {
		x.faultAt = x.lastEvent
	}
	for address, reason := range lost {
		x.r.cfg.Metrics.Counter("chain_faults", metrics.Label{
			Name:  "reason",
			Value: reason,
		}).Inc(1)
		logflags.Info(logflags.Chain, "stage lost", "request", x.req.ID, "endpoint", address, "reason", reason, "emitted", len(x.emitted))
		if e := x.r.cfg.Directory.Endpoint(address); e != nil && reason != reasonLeaving {
			e.MarkFailed()
		}
	}
}

// recordRepair records the duration of a repair at the first token after it.
func (x *execution) recordRepair(now time.Time) {
	if x.faultAt.IsZero() {
		return
	}
	d := now.Sub(x.faultAt)
	x.faultAt = time.Time{}
	x.result.RepairTimes = append(x.result.RepairTimes, d)
	metrics.Observe(x.r.cfg.Metrics.Histogram("chain_repair_us"), d)
}

// closeAll completes the result and cancels the request's sessions in the
// background.
func (x *execution) closeAll() {
	x.result.Path = x.path()
	x.result.PromptTokens = x.promptLen
	x.result.Tokens = len(x.emitted)
	x.abandonStages()
	abandoned := x.abandoned
	cancel := api.EngineCancel{
		Request: x.req.ID,
		Attempt: x.attempt,
	}
	x.r.cfg.Group.Go(func(ctx context.Context) {
		for _, s := range abandoned {
			x.r.cancel(ctx, s.endpoint.Address(), cancel)
		}
	})
}

func (x *execution) path() []string {
	list := make([]string, 0, len(x.stages))
	for _, s := range x.stages {
		list = append(list, s.endpoint.Address())
	}
	return list
}

func contextFailure(err error) *failure.Error {
	return failure.Wrap(err, failure.DeadlineExceeded, "the request's time ran out, or the caller went away")
}
