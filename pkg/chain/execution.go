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

// stage is one endpoint's part in an execution.
type stage struct {
	endpoint        *directory.Endpoint
	first           int
	end             int
	open            bool
	cachedPositions int // positions it held when it was opened last
}

// execution is one request on its way.
//
// Invariants: emitted is exactly what the sink was given; stages cover the
// model's layers in order; attempt rises before any stage is opened anew.
type execution struct {
	r    *Runner
	req  Request
	sink Sink

	attempt       int
	stages        []*stage
	abandoned     []*stage // opened in earlier attempts, to be cancelled
	emitted       []int
	promptLen     int
	generateSent  bool // an engine may have begun the request
	movesDisabled bool // stages that leave can't be replaced
	result        Result

	reporter   string // the stage that last said it can't reach the next
	reportedAt int    // how many tokens were emitted then

	lastEvent time.Time
	faultAt   time.Time // zero if no repair is under way
}

func newExecution(r *Runner, req Request, sink Sink) *execution {
	return &execution{
		r:    r,
		req:  req,
		sink: sink,
	}
}

// lostStages are the stages that a stream ended for, by address, with the
// reasons. An empty one means that the chain is whole and only has to be
// opened anew.
type lostStages map[string]string

func (x *execution) candidates() []*directory.Endpoint {
	return x.r.cfg.Directory.Stages(x.req.Model.Name, x.req.Model.Version)
}

// maxOpenTries is how many times stages that don't open are replaced when engines
// are full: looking further costs more than coming back later.
const maxOpenTries = 10

// openChain chooses a chain and opens it, replacing the stages that don't open and
// keeping those that do. Nothing was run if it fails.
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

// noChainError says that no chain could be opened: since engines are full, or since
// there are none.
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

// abandonStages gives up the present stages, to be cancelled in the end.
func (x *execution) abandonStages() {
	for _, s := range x.stages {
		x.abandon(s)
	}
	x.stages = nil
}

func (x *execution) abandon(s *stage) {
	if s.open {
		s.open = false
		s.endpoint.Closed()
	}
	x.abandoned = append(x.abandoned, s)
}

// requiredPositions is how many positions every stage must hold before the request can be
// carried on: all before the last emitted token.
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
			e.Failed()
		}
	}
}

// recordRepair notes the first token after a repair.
func (x *execution) recordRepair(now time.Time) {
	if x.faultAt.IsZero() {
		return
	}
	d := now.Sub(x.faultAt)
	x.faultAt = time.Time{}
	x.result.RepairTimes = append(x.result.RepairTimes, d)
	metrics.Observe(x.r.cfg.Metrics.Histogram("chain_repair_us"), d)
}

// closeAll cancels the request's sessions, without waiting for it.
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
