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
	// refuseAfter is how long a stopping host still accepts new requests: callers cache
	// its address for seconds, and may have requests in flight there.
	refuseAfter = 2500 * time.Millisecond
	// minListenTime is how long a stopping host listens at least.
	minListenTime = 3 * time.Second
	// drainMargin is subtracted from the grace period, or drainMarginShare of the period
	// where that is less, so that draining ends before the process is killed. It is small
	// because every stream in progress when the process ends is cut off.
	drainMargin      = 200 * time.Millisecond
	drainMarginShare = 0.05
	// drainRetryAfter is when a caller that was refused should retry at another host.
	drainRetryAfter  = 100 * time.Millisecond
	idlePollInterval = 50 * time.Millisecond
	// answerPollInterval is the same for the requests that are left when draining ends.
	answerPollInterval = 5 * time.Millisecond
)

// Host is an entry host. It counts requests in flight and drains them before a stop.
type Host struct {
	*ControlClient
	svc   timer.Service
	log   *eventlog.Log
	grace time.Duration
	// ending is done when draining has ended with requests in flight.
	ending context.Context
	end    context.CancelCauseFunc

	mu            sync.Mutex
	active        int
	stoppingSince time.Time // when draining began; zero before that
}

// NewHost returns a host with the given grace period for stopping.
func NewHost(c *ControlClient, grace time.Duration, svc timer.Service, log *eventlog.Log) *Host {
	ending, end := context.WithCancelCause(context.Background())
	return &Host{
		ControlClient: c,
		svc:           svc,
		log:           log,
		grace:         grace,
		ending:        ending,
		end:           end,
	}
}

// Begin counts a request in flight until the returned function is called.
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

// WithEnd returns a context for a request. It ends with ctx, with the returned function, or when
// draining ends; its cause is then the failure with which the request must be answered.
func (h *Host) WithEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(h.ending, func() {
		cancel(context.Cause(h.ending))
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Active returns the number of requests in flight.
func (h *Host) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active
}

// Refusal returns the reason for which a new request must be refused, or nil.
func (h *Host) Refusal() *failure.Error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stoppingSince.IsZero() || h.svc.Now().Sub(h.stoppingSince) < refuseAfter {
		return nil
	}
	return drainingError()
}

func drainingError() *failure.Error {
	return failure.New(failure.Draining, "this host is stopping").WithRetryAfter(drainRetryAfter)
}

// Limits returns the size limits of callers' requests. They are zero before the first
// configuration.
func (h *Host) Limits() fleet.RequestLimits {
	v := h.View()
	if v.Index == nil {
		return fleet.RequestLimits{}
	}
	return v.Index.Limits()
}

// Drain makes the host unready and waits until no request is in flight, but for
// minListenTime at least and for the grace period less its margin at most. It then ends the
// requests that are left, and gives them half of the margin to write their answers. It returns
// earlier if ctx ends.
func (h *Host) Drain(ctx context.Context) {
	now := h.svc.Now()
	margin := min(drainMargin, time.Duration(drainMarginShare*float64(h.grace)))
	end := now.Add(h.grace - margin)
	h.Leave(end)
	h.mu.Lock()
	h.stoppingSince = now
	h.mu.Unlock()
	h.log.Event(eventlog.Stopping, eventlog.Int("active", int64(h.Active())))
	h.awaitIdle(ctx, now.Add(minListenTime), end, idlePollInterval)
	h.end(drainingError())
	h.awaitIdle(ctx, now, h.svc.Now().Add(margin/2), answerPollInterval)
}

// awaitIdle waits until no request is in flight, but until least at least and until most at most.
func (h *Host) awaitIdle(ctx context.Context, least, most time.Time, interval time.Duration) {
	for {
		now := h.svc.Now()
		left := most.Sub(now)
		if left <= 0 || h.Active() == 0 && !now.Before(least) {
			return
		}
		if timer.Sleep(ctx, h.svc, min(left, interval)) != nil {
			return
		}
	}
}
