package gateway

import (
	"fmt"
	"time"

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

	It("isn't raised by a few long pauses", func() {
		u := newUsualPause()
		for i := range 4000 {
			pause := 40 * time.Millisecond
			if i%200 == 0 {
				pause = 2 * time.Second
			}
			u.record("s", pause)
		}
		Expect(u.of("s")).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("is kept for a bounded number of services", func() {
		u := newUsualPause()
		for i := range 2 * maxUsualPauses {
			u.record(fmt.Sprintf("s%d", i), time.Second)
		}
		Expect(u.services).To(HaveLen(maxUsualPauses))
	})
})
