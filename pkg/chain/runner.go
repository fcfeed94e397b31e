// Package chain runs a request over a chain of engines and carries it on when
// a stage is lost in mid-stream.
//
// The engines pass activations on along the route that this host gives them,
// and only tokens return. A step is named by request, attempt and position.
// Every repair raises the attempt and opens it on all stages first, so that
// whatever an earlier attempt still has on its way is refused; a stage that
// has run a position gives its saved result instead of running it again.
package chain

import (
	"context"
	"net/http"
	"time"

	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/directory"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/route"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Request is one generation.
type Request struct {
	ID        string
	Model     bundle.Model
	Prompt    string
	Seed      uint64
	MaxTokens int
	Priority  int
	// Once forbids to start the request anew. Repairs, which run no position
	// twice on a stage that holds it, are not a new start.
	Once bool
}

// Token is one generated token.
type Token struct {
	Index int
	Text  string
}

// Sink takes tokens, each once and in order. An error means that the caller
// is gone.
type Sink func(Token) error

// Result is how a request went.
type Result struct {
	// Path is the endpoints that it ended on.
	Path         []string
	PromptTokens int
	Tokens       int
	Repairs      int
	// RepairTimes is, for each repair, from when the fault was seen to the
	// next token.
	RepairTimes []time.Duration
	End         string
}

// Config is what a Runner is made of.
type Config struct {
	Client    *http.Client
	Directory *directory.Directory
	Router    *route.Router
	Timer     timer.Service
	Metrics   *metrics.Set
	// Group runs what outlives a request: the cancelling of its sessions.
	Group *group.Group
}

// Runner runs requests.
type Runner struct {
	cfg       Config
	watchdog  *watchdog
	stepTimes *stepTimeEstimator
}

// New returns a runner; its watchdog runs in cfg.Group.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:       cfg,
		watchdog:  newWatchdog(cfg.Timer),
		stepTimes: newStepTimeEstimator(),
	}
	cfg.Group.Go(r.watchdog.run)
	return r
}

const (
	// repairTimeout is for how long a repair waits for an endpoint that can
	// take the lost stage's place.
	repairTimeout       = 3 * time.Second
	repairRetryInterval = 50 * time.Millisecond
	maxRepairs          = 64
)

// Run generates, and gives each token to sink. The error is a *failure.Error
// that says whether the request ran.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) (Result, error) {
	x := newExecution(r, req, sink)
	err := x.run(ctx)
	x.closeAll()
	return x.result, err
}

func (x *execution) run(ctx context.Context) error {
	if err := x.openChain(ctx); err != nil {
		return err
	}
	for {
		lost, err := x.stream(ctx)
		if err != nil || lost == nil {
			return err
		}
		if x.result.Repairs >= maxRepairs {
			return x.failed("the request was repaired %d times", maxRepairs)
		}
		x.recordFault(lost)
		if x.req.Once && x.wouldRestart(lost) {
			return x.failed("the request must not be repeated, and no stage is left that holds it")
		}
		if err := x.repair(ctx, lost); err != nil {
			return err
		}
	}
}

// wouldRestart reports whether a repair would run the request again rather
// than carry it on: nothing was emitted and the stage that may have begun it
// is lost, or no stage that held it is left.
func (x *execution) wouldRestart(lost lostStages) bool {
	kept := 0
	for _, s := range x.stages {
		if _, isLost := lost[s.endpoint.Address()]; !isLost {
			kept++
		}
	}
	_, firstLost := lost[x.stages[0].endpoint.Address()]
	return kept == 0 || (firstLost && len(x.emitted) == 0)
}

// failed returns the failure of a request that can't be carried on.
func (x *execution) failed(format string, args ...any) error {
	return failure.New(failure.EndpointFailed, format, args...).WithRan(x.ran())
}

// ran says what is known of the request: whether an engine may have begun it.
func (x *execution) ran() failure.Ran {
	switch {
	case len(x.emitted) > 0:
		return failure.RanYes
	case x.generateSent:
		return failure.RanUnknown
	default:
		return failure.RanNo
	}
}
