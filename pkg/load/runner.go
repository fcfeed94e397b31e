package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Runner runs one experiment.
type Runner struct {
	exp    *Experiment
	svc    timer.Service
	client *http.Client
	report *Report

	mu    sync.Mutex
	rnd   *rand.Rand
	total float64
	sent  int
}

// New returns a runner.
func New(exp *Experiment, svc timer.Service) *Runner {
	total := 0.0
	for _, c := range exp.Classes {
		total += c.Share
	}
	return &Runner{
		exp: exp,
		svc: svc,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxRequests,
			},
		},
		report: newReport(exp),
		rnd:    rand.New(rand.NewPCG(exp.Seed, 1)),
		total:  total,
	}
}

// Run runs the experiment and returns its report. Requests that end during the
// warm-up or after the duration are not counted.
func (r *Runner) Run(ctx context.Context) *Report {
	warmUp := time.Duration(r.exp.WarmUp)
	length := warmUp + time.Duration(r.exp.Duration)
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	r.report.from = r.svc.Now().Add(warmUp)
	g := group.New(ctx)
	if r.exp.Mode == ModeClosed {
		for range r.exp.Clients {
			g.Go(r.closedLoopClient)
		}
	} else {
		g.Go(func(ctx context.Context) {
			r.openLoop(ctx, g)
		})
	}
	g.Wait()
	r.report.to = r.svc.Now()
	return r.report
}

// closedLoopClient is one client of closed mode: it sends a request, waits for the
// answer, and sends the next one.
func (r *Runner) closedLoopClient(ctx context.Context) {
	for ctx.Err() == nil {
		r.sendWithRetries(ctx, r.next())
	}
}

func (r *Runner) openLoop(ctx context.Context, g *group.Group) {
	for ctx.Err() == nil {
		r.mu.Lock()
		gap := time.Duration(r.rnd.ExpFloat64() / r.exp.Rate * float64(time.Second))
		r.mu.Unlock()
		if timer.Sleep(ctx, r.svc, gap) != nil {
			return
		}
		g.Go(func(ctx context.Context) {
			r.sendWithRetries(ctx, r.next())
		})
	}
}

// sendWithRetries sends a request and retries it as often as the experiment says,
// each time after the failure's retry-after time. It waits that time after the
// last failure too.
func (r *Runner) sendWithRetries(ctx context.Context, a request) {
	for try := 0; ; try++ {
		out := r.send(ctx, a)
		if ctx.Err() != nil {
			return // interrupted by the end of the experiment
		}
		r.report.add(r.svc.Now(), out)
		if out.failed == nil || try >= r.exp.Retries {
			if out.failed != nil {
				_ = timer.Sleep(ctx, r.svc, out.failed.RetryAfter())
			}
			return
		}
		if timer.Sleep(ctx, r.svc, out.failed.RetryAfter()) != nil {
			return
		}
	}
}

// next draws a random request from the mix. Entry hosts are used in rotation.
func (r *Runner) next() request {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := r.exp.Classes[len(r.exp.Classes)-1]
	x := r.rnd.Float64() * r.total
	for _, c := range r.exp.Classes {
		if x -= c.Share; x < 0 {
			class = c
			break
		}
	}
	r.sent++
	return request{
		class:  class,
		entry:  r.exp.Entries[r.sent%len(r.exp.Entries)],
		seed:   r.rnd.Int64(),
		prompt: r.prompt(class),
	}
}

func (r *Runner) prompt(c Class) string {
	start := r.sent
	if r.rnd.Float64() < c.Repeated {
		start = 0
	}
	text := fmt.Sprintf("teade %d", start)
	for i := 2; i < c.PromptWords; i++ {
		text += fmt.Sprintf(" sona%d", (start+i)%97)
	}
	return text
}
