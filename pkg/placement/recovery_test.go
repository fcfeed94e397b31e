package placement_test

import (
	"fmt"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/placement"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// loadedDomains returns three failure domains of 13 endpoints each, with all layers
// loaded.
func loadedDomains(e *fleet.Engine) []placement.EndpointState {
	var list []placement.EndpointState
	for d := range 3 {
		list = append(list, emptyEndpoints(fmt.Sprint("d", d), "mid", 2)...)
		list = append(list, emptyEndpoints(fmt.Sprint("d", d), "small", 6)...)
		list = append(list, emptyEndpoints(fmt.Sprint("d", d), "tiny", 5)...)
	}
	return apply(list, placement.Plan(e, list))
}

// without returns the endpoints for which gone returns false.
func without(list []placement.EndpointState, gone func(s placement.EndpointState) bool) []placement.EndpointState {
	var out []placement.EndpointState
	for _, s := range list {
		if !gone(s) {
			out = append(out, s)
		}
	}
	return out
}

// countServing counts by layer the endpoints that hold it and have no order.
func countServing(list []placement.EndpointState, orders []placement.Order, layers int) []int {
	moved := map[string]bool{}
	for _, o := range orders {
		moved[o.ID] = true
	}
	n := make([]int, layers)
	for _, s := range list {
		if s.OrderPending || moved[s.ID] {
			continue
		}
		for l := s.Layers.From; l < s.Layers.To; l++ {
			n[l]++
		}
	}
	return n
}

// countUnserved returns how many layers have a count of 0.
func countUnserved(counts []int) int {
	n := 0
	for _, c := range counts {
		if c == 0 {
			n++
		}
	}
	return n
}

// withPending returns the endpoints with the orders pending.
func withPending(list []placement.EndpointState, orders []placement.Order) []placement.EndpointState {
	out := apply(list, orders)
	for _, o := range orders {
		for i := range out {
			if out[i].ID == o.ID {
				out[i].OrderPending = true
			}
		}
	}
	return out
}

var _ = Describe("a layer that no endpoint serves any more", func() {
	const lost = 30

	holdsLost := func(s placement.EndpointState) bool { return s.Layers.From <= lost && s.Layers.To > lost }

	It("is loaded first, in any failure domain, and nothing else is ordered until it is served", func() {
		e := engine()
		e.LoadsAtOnce = 6
		list := without(loadedDomains(e), holdsLost)
		empty := emptyEndpoints("d0", "tiny", 3)
		for i := range empty {
			empty[i].ID += "-new"
		}
		list = append(list, empty...)
		orders := placement.Plan(e, list)
		Expect(orders).NotTo(BeEmpty())
		Expect(len(orders)).To(BeNumerically("<=", 3))
		for _, o := range orders {
			Expect(countServing(list, nil, e.Layers)[o.Layers.From:o.Layers.To]).To(ContainElement(0), "each order loads a missing layer")
		}
		Expect(countUnserved(countServing(apply(list, orders), nil, e.Layers))).To(BeZero())
		Expect(placement.Plan(e, withPending(list, orders))).To(BeEmpty(), "more loads would slow down the urgent ones")
		Expect(placement.Plan(e, apply(list, orders))).NotTo(BeEmpty(), "then the gaps in each domain's own copy are filled")
	})

	It("causes no move that takes another layer out of service, whatever was lost", func() {
		e := engine()
		e.LoadsAtOnce = 6
		all := loadedDomains(e)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			gone := rapid.SliceOfNDistinct(rapid.IntRange(0, len(all)-1), 0, 20, rapid.ID[int]).Draw(t, "lost")
			moving := rapid.SliceOfN(rapid.IntRange(0, len(all)-1), 0, 4).Draw(t, "moving")
			list := append([]placement.EndpointState(nil), all...)
			for _, i := range moving {
				list[i].OrderPending = true
			}
			isLost := map[string]bool{}
			for _, i := range gone {
				isLost[all[i].ID] = true
			}
			list = without(list, func(s placement.EndpointState) bool { return isLost[s.ID] })
			before := countServing(list, nil, e.Layers)
			if countUnserved(before) > 0 {
				return // no request can be served anyway, so any endpoint may be shifted
			}
			if n := countUnserved(countServing(list, placement.Plan(e, list), e.Layers)); n > 0 {
				t.Fatalf("%d layers are no longer served", n)
			}
		})
	})

	// holder returns an endpoint of a failure domain that holds layers.
	holder := func(domain, kind string, from, to int) placement.EndpointState {
		return placement.EndpointState{
			ID:     fmt.Sprintf("%s-%d-%d-%s", domain, from, to, kind),
			Domain: domain,
			Kind:   kind,
			Layers: fleet.Range{From: from, To: to},
		}
	}

	It("isn't caused by moving the only endpoint that serves it while another one loads it", func() {
		loading := holder("a", "small", 0, 8)
		loading.OrderPending = true
		cases := []struct {
			name  string
			other bool // whether domain b serves the layers too
			moved bool
		}{
			{name: "served in another domain", other: true, moved: true},
			{name: "served nowhere else", other: false, moved: false},
		}
		for _, c := range cases {
			list := []placement.EndpointState{holder("a", "small", 0, 8), loading, holder("a", "big", 8, 35), holder("a", "big", 35, 62), holder("a", "small", 62, 70)}
			list = append(list, holder("b", "big", 8, 35), holder("b", "big", 35, 62), holder("b", "big", 53, 80))
			if c.other {
				list = append(list, holder("b", "small", 0, 8))
			}
			moved := false
			for _, o := range placement.Plan(engine(), list) {
				moved = moved || o.ID == "a-0-8-small"
			}
			Expect(moved).To(Equal(c.moved), c.name)
		}
	})

	It("isn't caused by repacking a failure domain", func() {
		cases := []struct {
			name    string
			other   bool // whether domain b serves the layers of the endpoints that would be shifted
			shifted bool
		}{
			{name: "served in another domain", other: true, shifted: true},
			{name: "served nowhere else", other: false, shifted: false},
		}
		for _, c := range cases {
			// In domain a, layers 27 to 29 are missing and no endpoint is redundant, but
			// repacked ones cover all layers.
			list := []placement.EndpointState{holder("a", "big", 0, 27), holder("a", "big", 30, 57), holder("a", "big", 53, 80)}
			list = append(list, holder("b", "small", 24, 32))
			if c.other {
				list = append(list, holder("b", "big", 0, 27), holder("b", "big", 30, 57), holder("b", "big", 53, 80))
			}
			Expect(len(placement.Plan(engine(), list)) > 0).To(Equal(c.shifted), c.name)
		}
	})

	It("is served again after a few rounds of loads, whatever was lost, if the remaining endpoints can hold the model", func() {
		e := engine()
		e.LoadsAtOnce = 6
		all := loadedDomains(e)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			gone := rapid.SliceOfNDistinct(rapid.IntRange(0, len(all)-1), 0, 24, rapid.ID[int]).Draw(t, "lost")
			isLost := map[string]bool{}
			for _, i := range gone {
				isLost[all[i].ID] = true
			}
			list := without(all, func(s placement.EndpointState) bool { return isLost[s.ID] })
			for range 4 {
				list = apply(list, placement.Plan(e, list))
			}
			if n := countUnserved(countServing(list, nil, e.Layers)); n > 0 {
				t.Fatalf("%d layers are still missing with %d endpoints", n, len(list))
			}
		})
	})
})

var _ = Describe("loads", func() {
	It("are bounded by what the store of weights serves at once, but not before anything is served", func() {
		e := engine()
		e.LoadsAtOnce = 2
		unloaded := append(emptyEndpoints("d0", "small", 12), emptyEndpoints("d1", "small", 12)...)
		Expect(placement.Plan(e, unloaded)).To(HaveLen(24))
		list := loadedDomains(e)
		empty := emptyEndpoints("d0", "small", 9)
		for i := range empty {
			empty[i].ID += "-new"
		}
		list = append(list, empty...)
		first := placement.Plan(e, list)
		Expect(first).To(HaveLen(3))
		Expect(placement.Plan(e, withPending(list, first))).To(BeEmpty())
		Expect(placement.Plan(e, apply(list, first))).To(HaveLen(3))
		e.LoadsAtOnce = 0
		Expect(placement.Plan(e, list)).To(HaveLen(9))
	})
})

var _ = Describe("an endpoint whose rate limit is below demand", func() {
	It("isn't moved into a gap, though it would fill it best", func() {
		e := engine()
		list := without(loadedDomains(e), func(s placement.EndpointState) bool { return s.Layers.From <= 20 && s.Layers.To > 20 })
		orders := placement.Plan(e, list)
		Expect(orders).NotTo(BeEmpty())
		for i := range list {
			list[i].BelowDemand = list[i].ID == orders[0].ID
		}
		for _, o := range placement.Plan(e, list) {
			Expect(o.ID).NotTo(Equal(orders[0].ID))
		}
	})
})
