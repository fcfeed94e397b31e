package gateway

import (
	"fmt"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against checks of stages at every few events where events come slowly: each check
// opens connections, and on one deployment there were ten times as many as requests needed.
var _ = Describe("the usual pause", func() {
	tests := []struct {
		what       string
		pauses     []time.Duration
		from, upTo time.Duration
	}{
		{"follows a steady stream", []time.Duration{80 * time.Millisecond}, 78 * time.Millisecond, 82 * time.Millisecond},
		{"is that of the slower streams", []time.Duration{30 * time.Millisecond, 30 * time.Millisecond, 30 * time.Millisecond, 90 * time.Millisecond}, 86 * time.Millisecond, 92 * time.Millisecond},
		{"is zero without pauses", []time.Duration{0}, 0, 2 * time.Millisecond},
	}
	for _, tt := range tests {
		It(tt.what, func() {
			u := newUsualPause()
			for i := range 4000 {
				u.record("s", tt.pauses[i%len(tt.pauses)])
			}
			Expect(u.of("s")).To(BeNumerically(">=", tt.from))
			Expect(u.of("s")).To(BeNumerically("<=", tt.upTo))
			Expect(u.of("other")).To(BeZero())
		})
	}

	It("isn't raised by stalls, and hardly by a few long pauses", func() {
		u := newUsualPause()
		for i := range 4000 {
			pause := 40 * time.Millisecond
			if i%200 == 0 {
				pause = 200 * time.Millisecond
			}
			u.record("s", pause)
		}
		for range 300 {
			u.record("s", stallWait)
		}
		Expect(u.of("s")).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("decides after which pause stages are checked, if it is longer than the route's goal asks for", func() {
		const goal = 75 * time.Millisecond
		for _, usual := range []time.Duration{30 * time.Millisecond, 100 * time.Millisecond} {
			w := &livenessWatch{
				s: &streamRun{
					j: &job{
						service: &fleet.Service{
							Name: "s",
						},
					},
				},
				checker: &livenessChecker{
					usual: newUsualPause(),
				},
				pause: goal,
			}
			for range 4000 {
				w.checker.usual.record("s", usual)
			}
			want := max(goal, time.Duration(usualPauseFactor*float64(usual)))
			Expect(w.longPause()).To(BeNumerically("~", want, 5*time.Millisecond))
		}
	})

	It("is kept for a bounded number of services", func() {
		u := newUsualPause()
		for i := range 2 * maxUsualPauses {
			u.record(fmt.Sprintf("s%d", i), 100*time.Millisecond)
		}
		Expect(u.services).To(HaveLen(maxUsualPauses))
	})
})
