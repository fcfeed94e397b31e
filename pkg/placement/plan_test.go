package placement_test

import (
	"fmt"
	"testing"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/placement"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

func engine() *fleet.Engine {
	return &fleet.Engine{
		Layers:     80,
		LayerMB:    1750,
		CacheBytes: 7375,
		Kinds: map[string]fleet.Kind{
			"big":   {MB: 72000, Pace: 1.4, ReadFactor: 1},
			"mid":   {MB: 36000, Pace: 3.1, ReadFactor: 3.2},
			"small": {MB: 21600, Pace: 16, ReadFactor: 8.2},
			"tiny":  {MB: 14400, Pace: 15, ReadFactor: 15},
		},
	}
}

// emptyEndpoints returns n empty servers of a kind in a domain.
func emptyEndpoints(domain, kind string, n int) []placement.EndpointState {
	var list []placement.EndpointState
	for i := range n {
		list = append(list, placement.EndpointState{
			ID:     fmt.Sprintf("%s-%s-%d", domain, kind, i),
			Domain: domain,
			Kind:   kind,
		})
	}
	return list
}

// apply returns the servers after orders.
func apply(list []placement.EndpointState, orders []placement.Order) []placement.EndpointState {
	out := append([]placement.EndpointState(nil), list...)
	for _, o := range orders {
		for i := range out {
			if out[i].ID == o.ID {
				out[i].Layers = o.Layers
			}
		}
	}
	return out
}

// covered reports whether the servers of a domain hold every layer.
func covered(list []placement.EndpointState, domain string, layers int) bool {
	held := make([]bool, layers)
	for _, s := range list {
		for l := s.Layers.From; s.Domain == domain && l < s.Layers.To; l++ {
			held[l] = true
		}
	}
	for _, h := range held {
		if !h {
			return false
		}
	}
	return true
}

func userDeployment() []placement.EndpointState {
	list := emptyEndpoints("a", "mid", 2)
	list = append(list, emptyEndpoints("a", "small", 4)...)
	list = append(list, emptyEndpoints("a", "tiny", 7)...)
	list = append(list, emptyEndpoints("b", "big", 1)...)
	list = append(list, emptyEndpoints("b", "mid", 1)...)
	list = append(list, emptyEndpoints("b", "small", 5)...)
	list = append(list, emptyEndpoints("b", "tiny", 7)...)
	list = append(list, emptyEndpoints("c", "mid", 1)...)
	list = append(list, emptyEndpoints("c", "small", 8)...)
	return append(list, emptyEndpoints("c", "tiny", 3)...)
}

var _ = Describe("a plan", func() {
	It("gives each domain that can hold the model a whole copy", func() {
		list := apply(userDeployment(), placement.Plan(engine(), userDeployment()))
		for _, d := range []string{"a", "b", "c"} {
			Expect(covered(list, d, 80)).To(BeTrue(), d)
		}
	})

	It("orders nothing more once all is placed", func() {
		list := apply(userDeployment(), placement.Plan(engine(), userDeployment()))
		Expect(placement.Plan(engine(), list)).To(BeEmpty())
	})

	It("lets domains share a copy that can't hold one each", func() {
		list := append(emptyEndpoints("a", "small", 6), emptyEndpoints("b", "small", 6)...)
		list = apply(list, placement.Plan(engine(), list))
		for i := range list {
			list[i].Domain = "both"
		}
		Expect(covered(list, "both", 80)).To(BeTrue())
	})

	It("keeps a server that has just come for the hole that the old one leaves", func() {
		e := engine()
		list := apply(userDeployment(), placement.Plan(e, userDeployment()))
		fresh := placement.EndpointState{ID: "new", Domain: "c", Kind: "small", JustJoined: true}
		Expect(placement.Plan(e, append(list, fresh))).To(BeEmpty())
		var old placement.EndpointState
		var rest []placement.EndpointState
		for _, s := range list {
			if s.ID == "c-small-3" {
				old = s
				continue
			}
			rest = append(rest, s)
		}
		orders := placement.Plan(e, append(rest, fresh))
		Expect(orders).To(HaveLen(1))
		Expect(orders[0].ID).To(Equal("new"))
		Expect(orders[0].Layers).To(Equal(old.Layers))
	})

	It("copies layers that only servers hold which take too little, and leaves these where they are", func() {
		e := engine()
		list := apply(userDeployment(), placement.Plan(e, userDeployment()))
		short := map[string]bool{}
		last := ""
		for i := range list {
			if list[i].Layers.From == 0 {
				last = list[i].ID
				short[last] = true
				list[i].BelowDemand = true
			}
		}
		orders := placement.Plan(e, list)
		Expect(orders).NotTo(BeEmpty())
		copied := false
		for _, o := range orders {
			Expect(short).NotTo(HaveKey(o.ID))
			copied = copied || o.Layers.From == 0
		}
		Expect(copied).To(BeTrue())
		for i := range list {
			list[i].BelowDemand = list[i].ID == last
		}
		Expect(len(short)).To(BeNumerically(">", 1))
		Expect(placement.Plan(e, list)).To(BeEmpty(), "others hold its layers as well")
	})

	It("covers what a slow server holds by one that isn't needed, but shifts nothing for it", func() {
		e := engine()
		list := apply(userDeployment(), placement.Plan(e, userDeployment()))
		for i := range list {
			if list[i].ID == "b-mid-0" {
				list[i].Slowdown = 12
			}
		}
		orders := placement.Plan(e, list)
		Expect(orders).NotTo(BeEmpty())
		for _, o := range orders {
			Expect(o.ID).To(HavePrefix("b-"))
			Expect(o.ID).NotTo(Equal("b-mid-0"))
		}
		after := apply(list, orders)
		var fast []placement.EndpointState
		for _, s := range after {
			if s.Slowdown == 0 {
				fast = append(fast, s)
			}
		}
		Expect(covered(fast, "b", 80)).To(BeTrue())
		none := apply(emptyEndpoints("a", "small", 10), placement.Plan(e, emptyEndpoints("a", "small", 10)))
		none[3].Slowdown = 12
		Expect(placement.Plan(e, none)).To(BeEmpty())
	})

	It("shifts servers along where a hole is left that no single one can fill", func() {
		e := engine()
		// Of 83 layers' room, all but three are needed: the overlaps lie elsewhere.
		list := emptyEndpoints("a", "mid", 2)
		list = append(list, emptyEndpoints("a", "small", 4)...)
		list = append(list, emptyEndpoints("a", "tiny", 5)...)
		at := []int{0, 13, 26, 34, 42, 61, 50, 55, 69, 72, 75}
		for i := range list {
			n := map[string]int{"mid": 13, "small": 8, "tiny": 5}[list[i].Kind]
			list[i].Layers = fleet.Range{From: at[i], To: at[i] + n}
		}
		Expect(covered(list, "a", 80)).To(BeFalse())
		orders := placement.Plan(e, list)
		after := apply(list, orders)
		Expect(covered(after, "a", 80)).To(BeTrue())
		Expect(len(orders)).To(BeNumerically("<=", 3))
		for _, o := range orders {
			Expect(o.ID).NotTo(Equal("a-mid-0"), "the first endpoint of every path")
		}
		Expect(placement.Plan(e, after)).To(BeEmpty())
		list[7].OrderPending = true
		Expect(placement.Plan(e, list)).To(BeEmpty(), "what moves may change the picture")
	})

	It("gives weights more of the memories when what is left can't hold the model otherwise", func() {
		e := engine()
		list := apply(emptyEndpoints("a", "small", 10), placement.Plan(e, emptyEndpoints("a", "small", 10)))
		Expect(covered(list, "a", 80)).To(BeTrue())
		rest := list[:9]
		after := apply(rest, placement.Plan(e, rest))
		Expect(covered(after, "a", 80)).To(BeTrue())
		for _, s := range after {
			Expect(s.Layers.Len()).To(BeNumerically("<=", 9))
		}
	})

	It("moves a server that isn't needed into a hole that no empty one fills", func() {
		e := engine()
		list := apply(userDeployment(), placement.Plan(e, userDeployment()))
		var rest []placement.EndpointState
		for _, s := range list {
			if s.ID != "b-small-2" {
				rest = append(rest, s)
			}
		}
		Expect(covered(rest, "b", 80)).To(BeTrue(), "small ones are covered twice first")
		for i := 0; i < len(rest); i++ {
			if rest[i].ID == "b-mid-0" {
				rest = append(rest[:i], rest[i+1:]...)
			}
		}
		Expect(covered(rest, "b", 80)).To(BeFalse())
		orders := placement.Plan(e, rest)
		Expect(orders).NotTo(BeEmpty())
		Expect(covered(apply(rest, orders), "b", 80)).To(BeTrue())
	})

	It("leaves alone what an order is under way for", func() {
		e := engine()
		list := apply(userDeployment(), placement.Plan(e, userDeployment()))
		var rest []placement.EndpointState
		for _, s := range list {
			s.OrderPending = true
			if s.ID != "b-mid-0" {
				rest = append(rest, s)
			}
		}
		Expect(placement.Plan(e, rest)).To(BeEmpty())
	})
})

// TestOrdersFitMemory checks for any servers that no order exceeds a memory, goes
// beyond the model, or takes a layer's last holder away.
func TestOrdersFitMemory(t *testing.T) {
	e := engine()
	kinds := []string{"big", "mid", "small", "tiny"}
	rapid.Check(t, func(rt *rapid.T) {
		var list []placement.EndpointState
		for i := range rapid.IntRange(1, 30).Draw(rt, "servers") {
			s := placement.EndpointState{
				ID:         fmt.Sprint(i),
				Domain:     fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "domain")),
				Kind:       rapid.SampledFrom(kinds).Draw(rt, "kind"),
				JustJoined: rapid.Bool().Draw(rt, "fresh"),
			}
			if rapid.Bool().Draw(rt, "holds") {
				from := rapid.IntRange(0, 79).Draw(rt, "from")
				s.Layers = fleet.Range{From: from, To: min(80, from+rapid.IntRange(1, 8).Draw(rt, "n"))}
			}
			list = append(list, s)
		}
		before := countHolders(list)
		orders := placement.Plan(e, list)
		for _, o := range orders {
			kind := ""
			for _, s := range list {
				if s.ID == o.ID {
					kind = s.Kind
				}
			}
			if float64(o.Layers.Len())*e.LayerMB > e.Kinds[kind].MB {
				rt.Fatalf("%v is too much for %s", o, kind)
			}
			if o.Layers.From < 0 || o.Layers.To > e.Layers || o.Layers.Len() <= 0 {
				rt.Fatalf("%v is no range of layers", o)
			}
		}
		after := countHolders(apply(list, orders))
		for l := range before {
			if before[l] > 0 && after[l] == 0 {
				rt.Fatalf("layer %d has no holder any more", l)
			}
		}
	})
}

func countHolders(list []placement.EndpointState) []int {
	n := make([]int, 80)
	for _, s := range list {
		for l := s.Layers.From; l < s.Layers.To; l++ {
			n[l]++
		}
	}
	return n
}
