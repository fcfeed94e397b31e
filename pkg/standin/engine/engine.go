// Package engine is a fake model engine: it holds a range of a model's layers,
// batches continuously on a published cost curve, keeps a KV cache for each
// request, and injects the faults that it is asked for.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Curve is what a batch costs. One pass through one layer takes
// Base + PerSequence*sequences + PerToken*prefilled tokens.
type Curve struct {
	Base        time.Duration
	PerSequence time.Duration
	PerToken    time.Duration
}

// Pass returns the time of one pass through layers.
func (c Curve) Pass(layers, sequences, tokens int) time.Duration {
	one := c.Base + time.Duration(sequences)*c.PerSequence + time.Duration(tokens)*c.PerToken
	return time.Duration(layers) * one
}

func (c Curve) scaled(x float64) Curve {
	scale := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * x)
	}
	return Curve{
		Base:        scale(c.Base),
		PerSequence: scale(c.PerSequence),
		PerToken:    scale(c.PerToken),
	}
}

// The curves of the three kinds of accelerator that the fake engine knows.
var curves = []namedCurve{
	{name: "large", curve: Curve{Base: 150 * time.Microsecond, PerSequence: 2 * time.Microsecond, PerToken: 600 * time.Nanosecond}},
	{name: "medium", curve: Curve{Base: 300 * time.Microsecond, PerSequence: 5 * time.Microsecond, PerToken: 1500 * time.Nanosecond}},
	{name: "small", curve: Curve{Base: 700 * time.Microsecond, PerSequence: 14 * time.Microsecond, PerToken: 5 * time.Microsecond}},
}

type namedCurve struct {
	name  string
	curve Curve
}

// CurveOf returns the curve of a kind of accelerator, and whether the kind is
// known.
func CurveOf(accelerator string) (Curve, bool) {
	for _, c := range curves {
		if c.name == accelerator {
			return c.curve, true
		}
	}
	return Curve{}, false
}

// Accelerators returns the kinds that CurveOf knows.
func Accelerators() []string {
	names := make([]string, 0, len(curves))
	for _, c := range curves {
		names = append(names, c.name)
	}
	return names
}

// Config configures an Engine.
type Config struct {
	Address      string
	Model        string
	ModelVersion string
	FirstLayer   int
	EndLayer     int
	Accelerator  string
	Incarnation  uint64
	Slots        int // sessions that may be open at once
	Batch        int // maximum number of sequences in one pass
	// Scale multiplies the cost curve, if above 0.
	Scale float64
	// ReportLag is how old a reported load may be before it is refreshed.
	ReportLag time.Duration
	// RejectStaleOrders is whether the engine rejects orders that are not newer than the
	// newest one accepted.
	RejectStaleOrders bool
	Timer             timer.Service
	// Client calls the next stage.
	Client *http.Client
	// Die ends the process; tests substitute a function of their own.
	Die func()
}

// Engine is a running fake engine.
type Engine struct {
	cfg     Config
	curve   Curve
	batcher *batcher
	faults  *Faults
	ledger  *Ledger
	orders  orderFence
	load    loadReport
	group   *group.Group

	mu       sync.Mutex
	sessions map[string]*session
	leaving  bool
}

const (
	defaultSlots = 4096
	defaultBatch = 256
	// orphanTimeout is how long a session may go unused before it is dropped.
	orphanTimeout = 60 * time.Second
	sweepInterval = 5 * time.Second
)

// New returns an engine and starts its goroutines in g.
func New(cfg Config, g *group.Group) *Engine {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Batch == 0 {
		cfg.Batch = defaultBatch
	}
	curve, _ := CurveOf(cfg.Accelerator)
	if cfg.Scale > 0 {
		curve = curve.scaled(cfg.Scale)
	}
	e := &Engine{
		cfg:      cfg,
		curve:    curve,
		faults:   newFaults(cfg.Timer, cfg.Die),
		ledger:   newLedger(),
		group:    g,
		sessions: map[string]*session{},
	}
	e.batcher = newBatcher(cfg, curve, e.faults)
	g.Go(e.batcher.run)
	g.Go(e.sweep)
	return e
}

// Ledger returns the record of what the engine ran.
func (e *Engine) Ledger() *Ledger {
	return e.ledger
}

// SetFault replaces the injected faults. Forget takes effect at once: it drops
// every session.
func (e *Engine) SetFault(f Fault) {
	e.faults.Set(f)
	if !f.Forget {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sessions = map[string]*session{}
	e.ledger.reset()
}

// SetLeaving sets whether the engine reports a planned departure.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Info returns the engine's description and its load.
func (e *Engine) Info() api.EngineInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	return api.EngineInfo{
		Model:        e.cfg.Model,
		ModelVersion: e.cfg.ModelVersion,
		FirstLayer:   e.cfg.FirstLayer,
		EndLayer:     e.cfg.EndLayer,
		Accelerator:  e.cfg.Accelerator,
		Incarnation:  e.cfg.Incarnation,
		Slots:        e.cfg.Slots,
		Batch:        e.cfg.Batch,
		LayerUS:      micros(e.curve.Base),
		SequenceUS:   micros(e.curve.PerSequence),
		TokenUS:      micros(e.curve.PerToken),
		Leaving:      e.leaving,
		Load:         e.load.get(e.cfg.Timer.Now(), e.cfg.ReportLag, e.batcher.load(len(e.sessions))),
	}
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

func (e *Engine) layers() int {
	return e.cfg.EndLayer - e.cfg.FirstLayer
}

func (e *Engine) session(request string) *session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sessions[request]
}

// sweep periodically drops sessions that have not been used for orphanTimeout.
func (e *Engine) sweep(ctx context.Context) {
	timer.Loop(ctx, e.cfg.Timer, sweepInterval, func(now time.Time) {
		e.dropOrphans(now.Add(-orphanTimeout))
	})
}

func (e *Engine) dropOrphans(before time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.sessions {
		if s.lastUsed().Before(before) {
			delete(e.sessions, id)
		}
	}
}

// loadReport caches a load and returns it until it is older than the lag.
type loadReport struct {
	mu    sync.Mutex
	at    time.Time
	shown api.EngineLoad
}

func (l *loadReport) get(now time.Time, lag time.Duration, current api.EngineLoad) api.EngineLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) >= lag {
		l.at = now
		l.shown = current
	}
	return l.shown
}
