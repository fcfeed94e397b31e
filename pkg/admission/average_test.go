package admission

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("what small accounts ask for", func() {
	// Guards against accounts of one request in two seconds that are cut when they send two, and
	// whose part is given to others when they send none.
	ginkgo.It("is estimated by several seconds, and what large ones ask for by the last", func() {
		at := time.Unix(1000, 0)
		a := newAverages()
		class := Class{Rank: 1}
		for s := range 20 {
			at = at.Add(time.Second)
			a.add(Demand{Class: class, Account: 1, Tokens: 20000, Streams: 40}, at)
			if s%2 == 0 {
				a.add(Demand{Class: class, Account: 2, Tokens: 1000, Streams: 2}, at)
			}
		}
		for _, recent := range []float64{0, 1000} {
			Expect(a.estimate(demandKey{class: class, account: 2}, recent, at)).To(BeNumerically("~", 500, 150), "%v", recent)
		}
		Expect(a.estimate(demandKey{class: class, account: 1}, 100000, at)).To(Equal(100000.0))
		Expect(a.estimate(demandKey{class: class, account: 3}, 700, at)).To(Equal(700.0), "unknown")
		at = at.Add(time.Minute)
		Expect(a.estimate(demandKey{class: class, account: 2}, 0, at)).To(BeZero())
		Expect(a.byKey).NotTo(HaveKey(demandKey{class: class, account: 2}))
	})

	ginkgo.It("is known by its rate from the first second on, also after a pause", func() {
		at := time.Unix(1000, 0)
		a := newAverages()
		for range 2 {
			for range 10 {
				at = at.Add(100 * time.Millisecond)
				a.add(Demand{Account: 5, Tokens: 100, Streams: 1}, at)
			}
			Expect(a.estimate(demandKey{account: 5}, 1000, at)).To(BeNumerically("~", 1000, 200))
			at = at.Add(time.Minute)
		}
		a.add(Demand{Account: 0, Tokens: 100, Streams: 1}, at)
		Expect(a.byKey).NotTo(HaveKey(demandKey{account: 0}))
	})

	ginkgo.It("leaves the demand of a class as it is", func() {
		at := time.Unix(1000, 0)
		d := newRecentDemand()
		for s := range 5 {
			at = at.Add(time.Second)
			d.expire(at)
			d.add(recentReport{at: at, demand: []Demand{
				{Account: 1, Tokens: 5000, Streams: 10}, {Account: 0, Tokens: 300, Streams: 1}, {Account: uint32(2 + s%2), Tokens: 400, Streams: 1},
			}})
		}
		classes := d.classes(2, at)
		Expect(classes).To(HaveLen(1))
		Expect(classes[0].tokens()).To(BeNumerically("~", 2*5700, 1e-6))
		known := map[uint32]float64{}
		for _, a := range classes[0].accounts {
			known[a.account] = a.tokens
		}
		Expect(known).To(HaveLen(4), "an account that asked for nothing in the last second keeps its part")
		Expect(known[0]).To(Equal(600.0))
		Expect(known[3]).To(BeNumerically(">", known[2]/3), "it asked for as much, a second earlier")
	})
})
