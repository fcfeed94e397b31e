package chain

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// watchdog cancels streams that are silent for too long. One ticker serves
// all streams, since a timer set and unset for each token costs more than the
// token does.
type watchdog struct {
	svc timer.Service

	mu      sync.Mutex
	streams map[*watchedStream]struct{}
}

// watchedStream is one stream under the watchdog.
type watchedStream struct {
	mu       sync.Mutex
	deadline time.Time
	expired  bool
	cancel   context.CancelFunc
}

const watchdogTick = 10 * time.Millisecond

func newWatchdog(svc timer.Service) *watchdog {
	return &watchdog{
		svc:     svc,
		streams: map[*watchedStream]struct{}{},
	}
}

func (d *watchdog) run(ctx context.Context) {
	timer.Loop(ctx, d.svc, watchdogTick, d.check)
}

func (d *watchdog) check(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.streams {
		w.check(now)
	}
}

func (w *watchedStream) check(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.expired && now.After(w.deadline) {
		w.expired = true
		w.cancel()
	}
}

// add puts a stream under the watchdog until remove.
func (d *watchdog) add(until time.Time, cancel context.CancelFunc) *watchedStream {
	w := &watchedStream{
		deadline: until,
		cancel:   cancel,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[w] = struct{}{}
	return w
}

func (d *watchdog) remove(w *watchedStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.streams, w)
}

// extend gives the stream until a later time.
func (w *watchedStream) extend(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = until
}

// hasExpired reports whether the watchdog cancelled the stream.
func (w *watchedStream) hasExpired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}
