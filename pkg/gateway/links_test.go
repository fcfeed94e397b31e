package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func pathThrough(domains ...string) []fleet.Stage {
	var path []fleet.Stage
	for _, d := range domains {
		path = append(path, fleet.Stage{Domain: d})
	}
	return path
}

var _ = Describe("the bandwidth limit of inter-domain links", func() {
	engine := &fleet.Engine{
		PipeMbps:    8, // 1,000,000 bytes a second
		ActivationB: 1000,
	}

	It("does not apply to paths within a domain", func() {
		l := newLinkBuckets(timer.NewManual(time.Unix(0, 0)))
		for range 10000 {
			Expect(l.tryTake(engine, pathThrough("a", "a"), 1000, 10)).To(BeTrue())
		}
	})

	It("is reached and not exceeded by all hosts together", func() {
		const hosts = 5
		const tokens = 10 // 10,000 bytes
		clock := timer.NewManual(time.Unix(0, 0))
		var all []*linkBuckets
		for range hosts {
			all = append(all, newLinkBuckets(clock))
		}
		taken := 0
		const seconds = 20
		for range seconds * 10 {
			clock.Advance(100 * time.Millisecond)
			for _, l := range all {
				for l.tryTake(engine, pathThrough("a", "b"), tokens, hosts) {
					taken += tokens * 1000
				}
			}
		}
		share := linkShare * 1e6
		Expect(float64(taken)).To(BeNumerically("<=", share*(seconds+linkBurst)*1.01))
		Expect(float64(taken)).To(BeNumerically(">=", share*seconds*0.9))
	})

	It("applies to each pair of domains, in both directions together, and is taken for all pairs of a path or none", func() {
		l := newLinkBuckets(timer.NewManual(time.Unix(0, 0)))
		for l.tryTake(engine, pathThrough("b", "a"), 100, 1) {
			continue
		}
		Expect(l.tryTake(engine, pathThrough("a", "b"), 100, 1)).To(BeFalse())
		before := l.refill(fleet.DomainPair{A: "b", B: "c"}, 6e5, 1e5).bytes
		Expect(l.tryTake(engine, pathThrough("a", "b", "c"), 100, 1)).To(BeFalse())
		Expect(l.refill(fleet.DomainPair{A: "b", B: "c"}, 6e5, 1e5).bytes).To(Equal(before))
		Expect(l.tryTake(engine, pathThrough("b", "c"), 100, 1)).To(BeTrue())
	})
})
