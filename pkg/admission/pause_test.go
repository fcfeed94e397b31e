package admission

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// allocateAt allocates a part of the usual capacity of 1,000 tokens.
func (r *reporter) allocateAt(part float64) Allocation {
	al, ok := r.a.Allocate("s", 1000*part, reporterHosts)
	ExpectWithOffset(1, ok).To(BeTrue())
	return al
}

// least returns the least share of any class; 1 if none is limited.
func least(al Allocation) float64 {
	share := 1.0
	for _, c := range al.Classes {
		share = min(share, c.Share)
	}
	return share
}

var _ = ginkgo.Describe("the allocation of a service whose endpoints pause", func() {
	demand := []Demand{wanted(0, 0, 100), wanted(1, 0, 150)}

	ginkgo.It("limits nobody while all are silent, nor after that", func() {
		r := newReporter()
		r.rounds(2, 800, 250, demand...)
		for range 10 {
			r.round(800, 250, demand...)
			r.allocate()
		}
		for range 3 {
			r.round(800, 0, demand...)
			Expect(least(r.allocateAt(0))).To(Equal(1.0))
		}
		for i := range 5 {
			r.round(800, 250, demand...)
			Expect(least(r.allocate())).To(Equal(1.0), "%d rounds after", i)
		}
	})

	ginkgo.It("limits later ranks at most while a failure domain is silent, and nobody with the next allocation after that", func() {
		r := newReporter()
		r.rounds(2, 800, 250, demand...)
		for range 10 {
			r.round(800, 250, demand...)
			r.allocate()
		}
		for range 3 {
			r.round(800, 250, demand...)
			al := r.allocateAt(2.0 / 3)
			Expect(al.Classes).To(HaveLen(2))
			Expect(al.Classes[0].Share).To(Equal(1.0))
			Expect(al.Classes[1].Share).To(BeNumerically("~", 0.56, 0.01))
		}
		r.round(800, 250, demand...)
		Expect(least(r.allocate())).To(Equal(1.0))
	})
})
