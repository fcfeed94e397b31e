package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the retry-after time of refused callers", func() {
	It("grows with the time that streams have been refused, and falls back once they are served", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		e := newRetryAfterEstimator(clock)
		within := func(want time.Duration) {
			for range 20 {
				got := e.estimate("s", baseRetryAfter)
				Expect(got).To(BeNumerically(">=", max(baseRetryAfter, time.Duration(float64(want)*(1-shortageRetryJitter)))))
				Expect(got).To(BeNumerically("<=", min(maxRetryAfter, time.Duration(float64(want)*(1+shortageRetryJitter)))))
			}
		}
		within(baseRetryAfter)
		e.record("s", true)
		within(baseRetryAfter)
		for range 8 {
			e.record("s", true)
			clock.Advance(250 * time.Millisecond)
		}
		within(2 * time.Second)
		clock.Advance(time.Minute)
		within(maxRetryAfter)
		Expect(e.estimate("other", baseRetryAfter)).To(BeNumerically("<=", 2*baseRetryAfter))
		for range 12 {
			e.record("s", false)
		}
		within(baseRetryAfter)
	})

	// Guards against callers that return before there can be anything for them.
	It("is never below the time that the cause of the refusal gives, and differs by caller", func() {
		e := newRetryAfterEstimator(timer.NewManual(time.Unix(1000, 0)))
		seen := map[time.Duration]bool{}
		for range 100 {
			d := e.estimate("s", 3*time.Second)
			Expect(d).To(BeNumerically(">=", 3*time.Second))
			Expect(d).To(BeNumerically("<=", 3750*time.Millisecond))
			seen[d] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 50))
	})

	It("does not change after a single refusal among many served streams", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		e := newRetryAfterEstimator(clock)
		for range 20 {
			for range 9 {
				e.record("s", false)
			}
			e.record("s", true)
			clock.Advance(time.Second)
		}
		Expect(e.estimate("s", baseRetryAfter)).To(BeNumerically("<=", 2*baseRetryAfter))
	})

	It("is short again after nine streams were served, if all endpoints were silent for a second", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		e := newRetryAfterEstimator(clock)
		for range 24 {
			e.record("s", true)
			clock.Advance(50 * time.Millisecond)
		}
		longest := time.Duration(float64(1200*time.Millisecond) * (1 + shortageRetryJitter))
		for range 20 {
			Expect(e.estimate("s", baseRetryAfter)).To(BeNumerically("<=", longest))
		}
		for range 9 {
			e.record("s", false)
		}
		for range 20 {
			Expect(e.estimate("s", baseRetryAfter)).To(BeNumerically("<=", 2*baseRetryAfter))
		}
	})
})
