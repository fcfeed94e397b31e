package engine

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// work is what one sequence contributes to a pass: one position to decode, or
// several to prefill.
type work struct {
	positions int
	priority  int
	arrived   uint64
	done      chan struct{}
}

// batcher implements continuous batching: passes run one after the other, and
// work that arrives during a pass joins the next one.
type batcher struct {
	cfg    Config
	curve  Curve
	faults *Faults
	wake   chan struct{}

	mu      sync.Mutex
	waiting []*work
	running int
	arrival uint64
	passes  uint64
	busy    time.Duration
}

func newBatcher(cfg Config, curve Curve, faults *Faults) *batcher {
	return &batcher{
		cfg:    cfg,
		curve:  curve,
		faults: faults,
		wake:   make(chan struct{}, 1),
	}
}

// pass enqueues the positions and waits until they have gone through a pass. If
// ctx ends before their pass begins, they are withdrawn.
func (b *batcher) pass(ctx context.Context, positions, priority int) error {
	w := &work{
		positions: positions,
		priority:  priority,
		done:      make(chan struct{}),
	}
	b.add(w)
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
	}
	if b.remove(w) {
		return ctx.Err()
	}
	<-w.done // its pass has begun and can't be cancelled
	return nil
}

func (b *batcher) add(w *work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrival++
	w.arrived = b.arrival
	b.waiting = append(b.waiting, w)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// remove withdraws waiting work. It returns false if a pass has begun with it.
func (b *batcher) remove(gone *work) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, w := range b.waiting {
		if w == gone {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (b *batcher) load(sessions int) api.EngineLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return api.EngineLoad{
		Running:  b.running,
		Waiting:  len(b.waiting),
		Sessions: sessions,
	}
}

func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for batch := b.next(); len(batch) > 0; batch = b.next() {
			if !b.runPass(ctx, batch) {
				return
			}
		}
	}
}

// next dequeues the work for the next pass, at most cfg.Batch sequences, by
// descending priority and then by arrival.
func (b *batcher) next() []*work {
	b.mu.Lock()
	defer b.mu.Unlock()
	sort.SliceStable(b.waiting, func(i, j int) bool {
		if b.waiting[i].priority != b.waiting[j].priority {
			return b.waiting[i].priority > b.waiting[j].priority
		}
		return b.waiting[i].arrived < b.waiting[j].arrived
	})
	n := min(len(b.waiting), b.cfg.Batch)
	batch := append([]*work(nil), b.waiting[:n]...)
	b.waiting = append(b.waiting[:0], b.waiting[n:]...)
	b.running = n
	return batch
}

func (b *batcher) runPass(ctx context.Context, batch []*work) bool {
	tokens := 0
	for _, w := range batch {
		tokens += w.positions - 1
	}
	d := b.curve.Pass(b.cfg.EndLayer-b.cfg.FirstLayer, len(batch), tokens)
	defer func() {
		for _, w := range batch {
			close(w.done)
		}
	}()
	if err := timer.Sleep(ctx, b.cfg.Timer, b.faults.slowDown(d)); err != nil {
		return false
	}
	if err := b.faults.applyPassFaults(ctx); err != nil {
		return false
	}
	b.mu.Lock()
	b.running = 0
	b.passes++
	b.busy += d
	b.mu.Unlock()
	return true
}
