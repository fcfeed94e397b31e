package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("when a refused caller should come back", func() {
	It("follows how long streams have been refused, and ends with that", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		c := newRetryAfterEstimator(clock)
		within := func(want time.Duration) {
			for range 20 {
				got := c.estimate("s", baseRetryAfter)
				Expect(got).To(BeNumerically(">=", max(baseRetryAfter, time.Duration(float64(want)*(1-shortageRetryJitter)))))
				Expect(got).To(BeNumerically("<=", min(maxRetryAfter, time.Duration(float64(want)*(1+shortageRetryJitter)))))
			}
		}
		within(baseRetryAfter)
		c.record("s", true)
		within(baseRetryAfter)
		for range 8 {
			c.record("s", true)
			clock.Advance(250 * time.Millisecond)
		}
		within(2 * time.Second)
		clock.Advance(time.Minute)
		within(maxRetryAfter)
		Expect(c.estimate("other", baseRetryAfter)).To(BeNumerically("<=", 2*baseRetryAfter))
		for range 12 {
			c.record("s", false)
		}
		within(baseRetryAfter)
	})

	It("is never sooner than what is known of the cause", func() {
		c := newRetryAfterEstimator(timer.NewManual(time.Unix(1000, 0)))
		Expect(c.estimate("s", 3*time.Second)).To(BeNumerically(">=", 2*time.Second))
	})

	It("isn't moved by one refusal among many that are served", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		c := newRetryAfterEstimator(clock)
		for range 20 {
			for range 9 {
				c.record("s", false)
			}
			c.record("s", true)
			clock.Advance(time.Second)
		}
		Expect(c.estimate("s", baseRetryAfter)).To(BeNumerically("<=", 2*baseRetryAfter))
	})
})
