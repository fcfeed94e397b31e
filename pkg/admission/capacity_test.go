package admission

import (
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the capacity of a service", func() {
	// An endpoint of kind "k" that holds 4 of the 8 layers has (100-4*10)*1e6/1000 = 60,000
	// tokens times layers, so 15,000 tokens; one that holds all 8 has 20,000, so 2,500.
	engine := &fleet.Engine{
		Layers:     8,
		LayerMB:    10,
		CacheBytes: 1000,
		Kinds: map[string]fleet.Kind{
			"k":     {MB: 100},
			"large": {MB: 160},
		},
	}
	holds := func(from, to int) fleet.Endpoint {
		return fleet.Endpoint{Kind: "k", Layers: fleet.Range{From: from, To: to}, Slowdown: 1}
	}
	with := func(change func(p *fleet.Endpoint)) fleet.Endpoint {
		p := holds(0, 8)
		change(&p)
		return p
	}
	cases := []struct {
		name      string
		endpoints []fleet.Endpoint
		tokens    float64
	}{
		{"without endpoints", nil, 0},
		{"one that holds all layers", []fleet.Endpoint{holds(0, 8)}, 2500},
		{"two halves", []fleet.Endpoint{holds(0, 4), holds(4, 8)}, 15000},
		{"the layer with the least counts", []fleet.Endpoint{holds(0, 4), holds(0, 4), holds(4, 8)}, 15000},
		{"endpoints that overlap add up", []fleet.Endpoint{holds(0, 4), holds(4, 8), holds(0, 8)}, 17500},
		{"a layer without holder", []fleet.Endpoint{holds(0, 4), holds(5, 8)}, 0},
		{"the last layer without holder", []fleet.Endpoint{holds(0, 4), holds(4, 7)}, 0},
		{"by kind", []fleet.Endpoint{with(func(p *fleet.Endpoint) { p.Kind = "large" })}, 10000},
		{"a kind that holds no KV cache", []fleet.Endpoint{with(func(p *fleet.Endpoint) { p.Kind = "unknown" })}, 0},
		{"no layers are held yet", []fleet.Endpoint{holds(0, 8), holds(0, 0)}, 2500},
		{"layers beyond the model's", []fleet.Endpoint{holds(0, 8), holds(8, 12)}, 2500},
		{"leaving", []fleet.Endpoint{holds(0, 8), with(func(p *fleet.Endpoint) { p.Leaving = true })}, 2500},
		{"gone", []fleet.Endpoint{holds(0, 8), with(func(p *fleet.Endpoint) { p.Gone = true })}, 2500},
		{"silent", []fleet.Endpoint{holds(0, 8), with(func(p *fleet.Endpoint) { p.Silent = true })}, 2500},
		{"loading", []fleet.Endpoint{holds(0, 8), with(func(p *fleet.Endpoint) { p.Loading = true })}, 2500},
		{"slow", []fleet.Endpoint{holds(0, 8), with(func(p *fleet.Endpoint) { p.Slowdown = 4 })}, 5000},
		{"too slow", []fleet.Endpoint{holds(0, 8), with(func(p *fleet.Endpoint) { p.Slowdown = 4.5 })}, 2500},
	}
	for _, c := range cases {
		ginkgo.It("is what usable endpoints hold: "+c.name, func() {
			Expect(Capacity(engine, c.endpoints)).To(BeNumerically("~", c.tokens, 1e-6))
		})
	}

	ginkgo.It("is exactly 0 if a layer has no holder, whatever sums of floats leave there", func() {
		// 70e3/3, 130e3/3 and 30e3/7 tokens end at layer 3 or 7 and leave a rest above 0.
		large := holds(0, 3)
		large.Kind = "large"
		Expect(Capacity(engine, []fleet.Endpoint{large, holds(0, 3), holds(0, 7), holds(4, 8), holds(4, 8)})).NotTo(BeZero())
		Expect(Capacity(engine, []fleet.Endpoint{large, holds(0, 3), holds(0, 7)})).To(BeZero())
	})

	ginkgo.It("is 0 for a service without engines", func() {
		Expect(Capacity(nil, []fleet.Endpoint{holds(0, 8)})).To(BeZero())
	})
})

// fullSizeEndpoints returns 3,200 endpoints that each hold 16 of 80 layers.
func fullSizeEndpoints() (*fleet.Engine, []fleet.Endpoint) {
	engine := &fleet.Engine{
		Layers:     80,
		LayerMB:    1000,
		CacheBytes: 4096,
		Kinds: map[string]fleet.Kind{
			"k": {MB: 24000},
		},
	}
	var endpoints []fleet.Endpoint
	for n := range 3200 {
		from := 16 * (n % 5)
		endpoints = append(endpoints, fleet.Endpoint{Kind: "k", Layers: fleet.Range{From: from, To: from + 16}, Slowdown: 1})
	}
	return engine, endpoints
}
