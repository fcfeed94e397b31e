// Package timer is the only source of time in larchwinch. All code reads the
// current time and schedules wake-ups through a Service, so that tests can use a
// Manual service instead of the System one.
package timer

import (
	"context"
	"time"
)

// Service reads the clock and schedules wake-ups.
type Service interface {
	// Now returns the current time of a clock that never steps and that includes
	// time during which the host was suspended. It may differ from the time of day.
	Now() time.Time
	// Wall returns the time of day, which may step.
	Wall() time.Time
	// After returns a channel that receives one time once d has passed.
	After(d time.Duration) <-chan time.Time
	// Every returns a subscription whose channel receives a time every d.
	Every(d time.Duration) *Subscription
}

// Subscription is a periodic wake-up, which lasts until Stop.
type Subscription struct {
	c    <-chan time.Time
	stop func()
}

// C returns the channel on which wake-ups arrive. Wake-ups that the reader is too
// slow to receive are dropped.
func (s *Subscription) C() <-chan time.Time {
	return s.c
}

// Stop ends the subscription. The channel is not closed.
func (s *Subscription) Stop() {
	s.stop()
}

// Sleep waits for d by svc's clock. If ctx ends before that, it returns ctx's error.
func Sleep(ctx context.Context, svc Service, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-svc.After(d):
		return nil
	}
}

// Loop calls f every d until ctx ends.
func Loop(ctx context.Context, svc Service, d time.Duration, f func(now time.Time)) {
	ticks := svc.Every(d)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C():
			f(now)
		}
	}
}
