package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scriptedDialer answers each connection with the next error or nil from results; a
// connection without a result stays unanswered until it is given up.
type scriptedDialer struct {
	dials   atomic.Int64
	open    atomic.Int64
	results chan error
}

func (d *scriptedDialer) Dial(ctx context.Context, _ string) error {
	d.dials.Add(1)
	d.open.Add(1)
	defer d.open.Add(-1)
	select {
	case err := <-d.results:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// anyEndpoint is a checkPolicy that allows every check and records lost endpoints.
type anyEndpoint struct {
	lost atomic.Int64
}

func (*anyEndpoint) mayCheck(string) bool { return true }

func (p *anyEndpoint) recordLost(string, checkResult) { p.lost.Add(1) }

type checkerFixture struct {
	checker *livenessChecker
	dialer  *scriptedDialer
	policy  *anyEndpoint
	clock   *timer.Manual
}

// withChecker runs f on a checker with a scripted dialer and a manual clock, and ends
// its checks afterwards.
func withChecker(f func(b *checkerFixture)) {
	b := &checkerFixture{
		dialer: &scriptedDialer{
			results: make(chan error, 1000),
		},
		policy: &anyEndpoint{},
		clock:  timer.NewManual(time.Unix(1000, 0)),
	}
	b.checker = newLivenessChecker(b.dialer, b.policy, b.clock, metrics.New())
	defer b.checker.group.Stop()
	f(b)
}

// check asks for a check of an endpoint for a stream whose last event was just now.
func (b *checkerFixture) check(id string) time.Duration {
	return b.checker.check(id, id+":1", b.clock.Now(), 0)
}

func (b *checkerFixture) count(r checkResult) func() int64 {
	return func() int64 {
		return b.checker.metrics.Counter("liveness_checks", metrics.Label{Name: "result", Value: string(r)}).Count()
	}
}

// dialed waits until n connections were opened in all.
func (b *checkerFixture) dialed(n int64) {
	Eventually(b.dialer.dials.Load, "5s", "1ms").Should(Equal(n))
}

// awaitWaiters waits until n timers are set, or have been given up and not fired.
func (b *checkerFixture) awaitWaiters(n int) {
	Eventually(b.clock.Waiters, "5s", "1ms").Should(Equal(n))
}

var _ = Describe("a liveness check", func() {
	It("finds an endpoint silent once two attempts, counted from when they were made, are unanswered", func() {
		withChecker(func(b *checkerFixture) {
			b.check("y")
			b.dialed(1)
			b.awaitWaiters(1)
			b.clock.Advance(secondDialDelay - time.Millisecond)
			Consistently(b.dialer.dials.Load, "20ms").Should(Equal(int64(1)))
			b.clock.Advance(time.Millisecond)
			b.dialed(2)
			b.awaitWaiters(1)
			b.clock.Advance(dialVerdictDelay - time.Millisecond)
			Consistently(b.policy.lost.Load, "20ms").Should(BeZero())
			b.clock.Advance(time.Millisecond)
			Eventually(b.policy.lost.Load, "5s").Should(Equal(int64(1)))
			Eventually(b.dialer.open.Load, "5s").Should(BeZero(), "the attempts are given up")
			Eventually(b.count(checkSilent), "5s").Should(Equal(int64(1)), "counted after the endpoint is recorded as lost")
		})
	})

	// Guards against endpoints of a distant failure domain that are all taken for silent.
	It("gives an endpoint in another failure domain the round trip more to answer", func() {
		withChecker(func(b *checkerFixture) {
			const roundTrip = 60 * time.Millisecond
			b.checker.check("y", "y:1", b.clock.Now(), roundTrip)
			b.dialed(1)
			b.awaitWaiters(1)
			b.clock.Advance(secondDialDelay)
			b.dialed(2)
			b.awaitWaiters(1)
			b.clock.Advance(dialVerdictDelay + roundTrip - time.Millisecond)
			Consistently(b.policy.lost.Load, "20ms").Should(BeZero())
			b.clock.Advance(time.Millisecond)
			Eventually(b.policy.lost.Load, "5s").Should(Equal(int64(1)))
		})
	})

	It("blames no endpoint if this host was suspended while it ran", func() {
		cases := []struct {
			name      string
			suspended time.Duration // on top of the time to the timer
			second    bool          // the suspension is after the second attempt
			result    checkResult
		}{
			{"before the second attempt", 5 * time.Second, false, checkSilent},
			{"after the second attempt", 5 * time.Second, true, checkLate},
			{"for a moment", 20 * time.Millisecond, true, checkLate},
			{"no more than a busy processor delays a timer", 5 * time.Millisecond, true, checkSilent},
		}
		for _, c := range cases {
			withChecker(func(b *checkerFixture) {
				b.check("y")
				b.dialed(1)
				b.awaitWaiters(1)
				if c.second {
					b.clock.Advance(secondDialDelay)
					b.dialed(2)
					b.awaitWaiters(1)
					b.clock.Advance(dialVerdictDelay + c.suspended)
				} else {
					b.clock.Advance(secondDialDelay + c.suspended)
					b.dialed(2)
					b.awaitWaiters(1)
					b.clock.Advance(dialVerdictDelay - time.Millisecond)
					Consistently(b.policy.lost.Load, "20ms").Should(BeZero(), c.name)
					b.clock.Advance(time.Millisecond)
				}
				Eventually(b.count(c.result), "5s").Should(Equal(int64(1)), c.name)
				Expect(b.policy.lost.Load() > 0).To(Equal(c.result.Lost()), c.name)
			})
		}
	})

	It("is repeated if this host was suspended while it ran", func() {
		withChecker(func(b *checkerFixture) {
			b.check("y")
			b.dialed(1)
			b.awaitWaiters(1)
			b.clock.Advance(secondDialDelay)
			b.dialed(2)
			b.awaitWaiters(1)
			b.clock.Advance(time.Minute)
			Eventually(b.count(checkLate), "5s").Should(Equal(int64(1)))
			Expect(b.check("y")).To(BeNumerically(">", 0))
			b.dialed(3)
		})
	})

	It("has the result that the first answered attempt gives", func() {
		cases := []struct {
			err    error
			result checkResult
		}{
			{nil, checkAlive},
			{syscall.ECONNREFUSED, checkRefused},
			{syscall.EMFILE, checkFailed},
			{syscall.EADDRNOTAVAIL, checkFailed},
			{syscall.ENETUNREACH, checkFailed},
		}
		for _, c := range cases {
			withChecker(func(b *checkerFixture) {
				b.dialer.results <- c.err
				b.check("y")
				Eventually(b.count(c.result), "5s").Should(Equal(int64(1)), string(c.result))
				Expect(b.policy.lost.Load() > 0).To(Equal(c.result.Lost()))
			})
		}
	})

	It("serves all streams that ask while it runs or for a time after, unless one had an event since", func() {
		withChecker(func(b *checkerFixture) {
			paused := b.clock.Now()
			b.clock.Advance(50 * time.Millisecond)
			ask := func(lastEvent time.Time) time.Duration { return b.checker.check("y", "y:1", lastEvent, 0) }
			for range 20 {
				Expect(ask(paused)).To(BeNumerically(">", 0))
			}
			b.dialed(1)
			b.dialer.results <- nil
			Eventually(b.count(checkAlive), "5s").Should(Equal(int64(1)))
			Expect(ask(paused)).To(BeZero(), "the stream's stage is alive")
			b.clock.Advance(checkReuse - time.Millisecond)
			Expect(ask(b.clock.Now())).To(BeNumerically(">", 0), "not yet checked after this stream's event")
			Expect(b.dialer.dials.Load()).To(Equal(int64(1)))
			b.clock.Advance(time.Millisecond)
			b.dialer.results <- nil
			ask(b.clock.Now())
			b.dialed(2)
		})
	})

	It("runs for at most 64 endpoints at a time", func() {
		withChecker(func(b *checkerFixture) {
			for n := range 100 {
				Expect(b.check(strconv.Itoa(n))).To(BeNumerically(">", 0), "it is asked for again")
			}
			b.dialed(64)
			Consistently(b.dialer.dials.Load, "30ms").Should(Equal(int64(64)))
			Expect(b.count(checkLimited)()).To(Equal(int64(36)))
			b.dialer.results <- nil
			Eventually(b.count(checkAlive), "5s").Should(Equal(int64(1)))
			b.check("next")
			b.dialed(65)
		})
	})

	It("begins at most 200 times in any second", func() {
		withChecker(func(b *checkerFixture) {
			start := b.clock.Now()
			for n := range 400 {
				b.dialer.results <- nil
				b.check(strconv.Itoa(n))
				Eventually(func() int { return b.checker.runningChecks() }, "5s", "1ms").Should(BeZero())
				b.clock.Advance(4 * time.Millisecond)
			}
			elapsed := b.clock.Now().Sub(start)
			Expect(elapsed).To(Equal(1600 * time.Millisecond))
			Expect(b.dialer.dials.Load()).To(Equal(int64(350)), "200 in the first second, 150 in the next 0.6 s")
			Expect(len(b.checker.checks)).To(BeNumerically("<=", maxKeptChecks+1))
		})
	})
})

// runningChecks returns the number of checks that run.
func (c *livenessChecker) runningChecks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}
