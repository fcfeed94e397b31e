// Package chain runs a request on a chain of engines and resumes it when a stage
// is lost in mid-stream.
//
// The engines pass activations along the route that this host gives them, and
// only tokens return. A step is identified by request, attempt and position.
// Every repair first increases the attempt and opens it on all stages, so that
// steps of earlier attempts that are still in flight are rejected; a stage that
// has already run a position returns its saved result instead of running it
// again.
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

// Request is a request to generate tokens.
type Request struct {
	ID        string
	Model     bundle.Model
	Prompt    string
	Seed      uint64
	MaxTokens int
	Priority  int
	// Once forbids restarting the request. A repair is not a restart, since a
	// stage does not run a position again that it holds.
	Once bool
}

// Token is one generated token.
type Token struct {
	Index int
	Text  string
}

// Sink receives tokens, each once and in order. An error means that the caller
// has gone away.
type Sink func(Token) error

// Result is the outcome of a request.
type Result struct {
	// Path is the addresses of the endpoints that the request ended on.
	Path         []string
	PromptTokens int
	Tokens       int
	Repairs      int
	// RepairTimes is, for each repair, the time from the last event before the
	// fault to the next token.
	RepairTimes  []time.Duration
	FinishReason string
}

// Config configures a Runner.
type Config struct {
	Client    *http.Client
	Directory *directory.Directory
	Router    *route.Router
	Timer     timer.Service
	Metrics   *metrics.Set
	// Group runs what outlives a request: the cancellation of its sessions.
	Group *group.Group
}

// Runner runs requests.
type Runner struct {
	cfg       Config
	watchdog  *watchdog
	stepTimes *stepTimeEstimator
}

// New returns a runner. Its watchdog runs in cfg.Group.
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
	// repairTimeout is how long a repair waits for an endpoint that can replace
	// the lost stage.
	repairTimeout       = 3 * time.Second
	repairRetryInterval = 50 * time.Millisecond
	maxRepairs          = 64
)

// Run runs the request and passes each token to sink. A returned error is a
// *failure.Error that tells whether the request ran.
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

// wouldRestart reports whether a repair would restart the request rather than
// resume it: because nothing was emitted and the stage that may have started it
// is lost, or because no stage that held it is left.
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

// failed returns the failure of a request that cannot be resumed.
func (x *execution) failed(format string, args ...any) error {
	return failure.New(failure.EndpointFailed, format, args...).WithRan(x.ran())
}

// ran reports whether an engine may have started the request.
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
