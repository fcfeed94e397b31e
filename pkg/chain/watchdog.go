package chain

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// watchdog cancels streams that exceed their deadline without an event. One
// ticker serves all streams, since setting and stopping a timer for each token
// would cost more than the token itself.
type watchdog struct {
	svc timer.Service

	mu      sync.Mutex
	streams map[*watchedStream]struct{}
}

// watchedStream is a stream that is monitored by the watchdog.
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

// add monitors a stream until remove is called.
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

// extend sets a later deadline.
func (w *watchedStream) extend(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = until
}

// hasExpired reports whether the watchdog has cancelled the stream.
func (w *watchedStream) hasExpired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}
