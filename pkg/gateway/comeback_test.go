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
		c := newComebacks(clock)
		within := func(want time.Duration) {
			for range 20 {
				got := c.after("s", comeBack)
				Expect(got).To(BeNumerically(">=", max(comeBack, time.Duration(float64(want)*(1-comeBackSpread)))))
				Expect(got).To(BeNumerically("<=", min(mostComeBack, time.Duration(float64(want)*(1+comeBackSpread)))))
			}
		}
		within(comeBack)
		c.note("s", true)
		within(comeBack)
		for range 8 {
			c.note("s", true)
			clock.Advance(250 * time.Millisecond)
		}
		within(2 * time.Second)
		clock.Advance(time.Minute)
		within(mostComeBack)
		Expect(c.after("other", comeBack)).To(BeNumerically("<=", 2*comeBack))
		for range 12 {
			c.note("s", false)
		}
		within(comeBack)
	})

	It("is never sooner than what is known of the cause", func() {
		c := newComebacks(timer.NewManual(time.Unix(1000, 0)))
		Expect(c.after("s", 3*time.Second)).To(BeNumerically(">=", 2*time.Second))
	})

	It("isn't moved by one refusal among many that are served", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		c := newComebacks(clock)
		for range 20 {
			for range 9 {
				c.note("s", false)
			}
			c.note("s", true)
			clock.Advance(time.Second)
		}
		Expect(c.after("s", comeBack)).To(BeNumerically("<=", 2*comeBack))
	})
})
