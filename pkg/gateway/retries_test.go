package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a host's share of the retry budget", func() {
	// withdrawAll returns how many retries may be spent at once.
	withdrawAll := func(r *retryBucket, hosts int) (n int) {
		for r.withdraw(hosts) {
			n++
		}
		return n
	}

	// Guards against an endpoint that pauses while it serves many streams, and a loss soon after
	// that no retries are left for.
	It("is whole again within 3 s after a pause spent it, at 30 requests a second", func() {
		const hosts = 11
		clock := timer.NewManual(time.Unix(1000, 0))
		r := newRetryBucket(RetryBudget{Ratio: 0.2, Extra: 206, Window: 10 * time.Second}, clock)
		clock.Advance(time.Minute)
		whole := withdrawAll(r, hosts)
		Expect(whole).To(Equal(12))
		for range 90 {
			clock.Advance(time.Second / 30)
			r.deposit(hosts)
		}
		Expect(withdrawAll(r, hosts)).To(Equal(whole))
	})
})
