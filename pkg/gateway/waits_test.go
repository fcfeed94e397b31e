package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// withWaitEstimator runs f on an estimator without observations.
func withWaitEstimator(f func(w *waitEstimator, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(newWaitEstimator(clock), clock)
}

var _ = Describe("the estimated wait for the first event", func() {
	It("is the shortest that was observed lately", func() {
		withWaitEstimator(func(w *waitEstimator, clock *timer.Manual) {
			long := w.begin("x")
			clock.Advance(300 * time.Millisecond)
			short := w.begin("x")
			clock.Advance(100 * time.Millisecond)
			w.firstEvent(long)
			Expect(w.estimate("x")).To(Equal(400 * time.Millisecond))
			w.firstEvent(short)
			Expect(w.estimate("x")).To(Equal(100 * time.Millisecond))
			Expect(w.estimate("y")).To(BeZero())
			w.firstEvent(long)
			Expect(w.estimate("x")).To(Equal(100*time.Millisecond), "only the first event counts")
		})
	})

	It("grows with the sends that still wait once there are no recent observations", func() {
		withWaitEstimator(func(w *waitEstimator, clock *timer.Manual) {
			quick := w.begin("x")
			w.firstEvent(quick)
			w.begin("x")
			clock.Advance(400 * time.Millisecond)
			Expect(w.estimate("x")).To(BeZero(), "another stream did not wait")
			clock.Advance(2 * waitWindow)
			Expect(w.estimate("x")).To(Equal(400*time.Millisecond + 2*waitWindow))
		})
	})

	It("decreases with time if nothing is sent, until its entry is deleted", func() {
		withWaitEstimator(func(w *waitEstimator, clock *timer.Manual) {
			s := w.begin("x")
			clock.Advance(2 * time.Second)
			w.firstEvent(s)
			w.end(s)
			clock.Advance(1500 * time.Millisecond)
			Expect(w.estimate("x")).To(BeNumerically("~", 500*time.Millisecond, waitWindow))
			clock.Advance(time.Second)
			Expect(w.estimate("x")).To(BeZero())
			w.end(w.begin("x"))
			Expect(w.entries).To(BeEmpty())
		})
	})

	// Guards against an endpoint that looks slow long after it was silent for a moment.
	It("is short again at most 2 s after a pause, and with the next quick stream of a window", func() {
		for _, quick := range []bool{false, true} {
			withWaitEstimator(func(w *waitEstimator, clock *timer.Manual) {
				var sends []*pendingSend
				for range 6 { // one in 0.1 s, until the endpoint is avoided
					sends = append(sends, w.begin("x"))
					clock.Advance(100 * time.Millisecond)
				}
				clock.Advance(600 * time.Millisecond)
				Expect(w.estimate("x")).To(Equal(1200*time.Millisecond), "as long as the first one has waited")
				for _, s := range sends {
					w.firstEvent(s)
				}
				Expect(w.estimate("x")).To(Equal(700*time.Millisecond), "the last one's wait")
				if quick {
					s := w.begin("x")
					clock.Advance(50 * time.Millisecond)
					w.firstEvent(s)
					Expect(w.estimate("x")).To(Equal(50 * time.Millisecond))
					return
				}
				clock.Advance(2 * time.Second)
				Expect(w.estimate("x")).To(BeZero())
			})
		}
	})
})
