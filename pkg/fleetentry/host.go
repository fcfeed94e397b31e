package fleetentry

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// refuseAfter is how long after it was told to stop a host takes new
	// requests: callers keep an address for seconds, and may be busy there.
	refuseAfter = 2500 * time.Millisecond
	// minListenTime is how long it listens at least.
	minListenTime = 3 * time.Second
	// drainMargin is taken off the time that a stop may take, or stayShare of it where
	// that is less: every stream that still runs when the process ends is cut.
	drainMargin      = 200 * time.Millisecond
	drainMarginShare = 0.05
	// drainRetryAfter is when a caller that was sent away should come back, to
	// another host.
	drainRetryAfter  = 100 * time.Millisecond
	idlePollInterval = 50 * time.Millisecond
)

// Host is an entry host's own state: whether it is ready, and how it leaves.
type Host struct {
	*ControlClient
	svc   timer.Service
	log   *eventlog.Log
	grace time.Duration

	mu            sync.Mutex
	active        int
	stoppingSince time.Time // when it was told to stop
}

// NewHost returns a host that may take grace to stop.
func NewHost(c *ControlClient, grace time.Duration, svc timer.Service, log *eventlog.Log) *Host {
	return &Host{
		ControlClient: c,
		svc:           svc,
		log:           log,
		grace:         grace,
	}
}

// Begin counts a request; the function returned ends it.
func (h *Host) Begin() func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.active--
	}
}

// Active returns how many requests are under way.
func (h *Host) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

// Refusal returns why a new request isn't taken, or nil.
func (h *Host) Refusal() *failure.Error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stoppingSince.IsZero() || h.svc.Now().Sub(h.stoppingSince) < refuseAfter {
		return nil
	}
	return failure.New(failure.Draining, "this host is stopping").WithRetryAfter(drainRetryAfter)
}

// Limits returns what callers may send.
func (h *Host) Limits() fleet.Limits {
	v := h.View()
	if v.Index == nil {
		return fleet.Limits{}
	}
	return v.Index.Limits()
}

// Drain makes the host unready and waits until no request is under way, or
// the time for a stop is nearly over.
func (h *Host) Drain(ctx context.Context) {
	now := h.svc.Now()
	end := now.Add(h.grace - min(drainMargin, time.Duration(drainMarginShare*float64(h.grace))))
	h.Leave(end)
	h.mu.Lock()
	h.stoppingSince = now
	h.mu.Unlock()
	h.log.Event(eventlog.Stopping, eventlog.Int("active", int64(h.Active())))
	for ctx.Err() == nil {
		now := h.svc.Now()
		if now.After(end) || (h.Active() == 0 && now.Sub(h.stoppingSince) >= minListenTime) {
			return
		}
		if timer.Sleep(ctx, h.svc, idlePollInterval) != nil {
			return
		}
	}
}
