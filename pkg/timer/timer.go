// Package timer is the one source of time. Parts subscribe to it for
// periodic or single calls and ask it for the present time, so that tests can
// put a Manual service in place of the System one.
package timer

import (
	"context"
	"time"
)

// Service tells the time and wakes subscribers.
type Service interface {
	// Now returns the present time. It never steps, and counts what the machine was
	// suspended; as a time of day it may be off.
	Now() time.Time
	// Wall returns the time of day, which may step.
	Wall() time.Time
	// After returns a channel that receives one time once d has passed.
	After(d time.Duration) <-chan time.Time
	// Every returns a subscription whose channel receives a time each d.
	Every(d time.Duration) *Subscription
}

// Subscription is one part's periodic wake-up. Stop ends it.
type Subscription struct {
	c    <-chan time.Time
	stop func()
}

// C returns the channel on which wake-ups arrive; a slow reader loses some.
func (s *Subscription) C() <-chan time.Time {
	return s.c
}

// Stop ends the subscription. The channel is not closed.
func (s *Subscription) Stop() {
	s.stop()
}

// Sleep waits for d on svc, or until ctx ends, whose error it then returns.
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

// Loop calls f at each period of d until ctx ends.
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
