package pathing

import (
	"fmt"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPathing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pathing")
}

func engine() *fleet.Engine {
	return &fleet.Engine{
		Layers:        10,
		LayerMB:       100,
		CacheBytes:    1000,
		StepTime:      time.Millisecond,
		PerSequence:   4 * time.Microsecond,
		PerContext:    5 * time.Microsecond,
		ReadPerSecond: 100000,
		Delays: map[fleet.DomainPair]time.Duration{
			{A: "a", B: "b"}: time.Millisecond,
		},
		Kinds: map[string]fleet.Kind{
			"fast": {MB: 2000, Pace: 1, ReadFactor: 1},
			"slow": {MB: 2000, Pace: 10, ReadFactor: 8},
			"mid":  {MB: 2000, Pace: 7, ReadFactor: 4},
		},
	}
}

func noJitter() float64 {
	return 1
}

func candidate(id, domain, kind string, from, to int) Candidate {
	return Candidate{
		ID:      id,
		Address: id,
		Domain:  domain,
		Kind:    kind,
		Layers:  fleet.Range{From: from, To: to},
	}
}

var demand = Demand{Prompt: 100, Answer: 50}

func ids(path []fleet.Stage) []string {
	var list []string
	for _, p := range path {
		list = append(list, fmt.Sprintf("%s=%d-%d", p.ID, p.Layers.From, p.Layers.To))
	}
	return list
}

var _ = Describe("a path", func() {
	It("uses the faster of two endpoints with the same layers", func() {
		path := Choose(engine(), []Candidate{candidate("s", "a", "slow", 0, 10), candidate("f", "a", "fast", 0, 10)}, demand, noJitter)
		Expect(ids(path)).To(Equal([]string{"f=0-10"}))
	})

	It("begins in the host's own domain, unless another one's is much faster", func() {
		home := demand
		home.HomeDomain = "a"
		near, far := candidate("near", "a", "slow", 0, 10), candidate("far", "b", "fast", 0, 10)
		Expect(ids(Choose(engine(), []Candidate{near, far}, home, noJitter))).To(Equal([]string{"near=0-10"}))
		Expect(ids(Choose(engine(), []Candidate{near, far}, demand, noJitter))).To(Equal([]string{"far=0-10"}))
		near.Slowdown = 10
		Expect(ids(Choose(engine(), []Candidate{near, far}, home, noJitter))).To(Equal([]string{"far=0-10"}))
	})

	It("splits overlapping ranges so that the faster endpoint runs more layers", func() {
		path := Choose(engine(), []Candidate{candidate("s", "a", "slow", 0, 10), candidate("f", "a", "fast", 4, 10)}, demand, noJitter)
		Expect(ids(path)).To(Equal([]string{"s=0-4", "f=4-10"}))
	})

	// Guards against a path that passes the same endpoint twice, where that would cost less.
	It("returns to no endpoint after a faster one", func() {
		path := Choose(engine(), []Candidate{candidate("s", "a", "slow", 0, 10), candidate("f", "a", "fast", 1, 9)}, demand, noJitter)
		Expect(ids(path)).To(Equal([]string{"s=0-10"}))
	})

	It("stays in a domain though a faster endpoint is in another", func() {
		path := Choose(engine(), []Candidate{
			candidate("x", "a", "slow", 0, 5), candidate("y", "a", "slow", 5, 10), candidate("z", "b", "fast", 5, 10),
		}, demand, noJitter)
		Expect(ids(path)).To(Equal([]string{"x=0-5", "y=5-10"}))
		Expect(DomainCrossings(path)).To(Equal(0))
	})

	It("crosses failure domains if there is no other path", func() {
		path := Choose(engine(), []Candidate{candidate("x", "a", "slow", 0, 5), candidate("z", "b", "fast", 5, 10)}, demand, noJitter)
		Expect(DomainCrossings(path)).To(Equal(1))
	})

	It("is nil if no endpoint holds some layer", func() {
		Expect(Choose(engine(), []Candidate{candidate("x", "a", "fast", 0, 5), candidate("y", "a", "fast", 6, 10)}, demand, noJitter)).To(BeNil())
	})

	It("keeps a fixed first stage", func() {
		first := fleet.Stage{ID: "x", Address: "x", Domain: "a", Layers: fleet.Range{From: 0, To: 3}}
		d := demand
		d.First = &first
		path := Choose(engine(), []Candidate{candidate("x", "a", "fast", 0, 10), candidate("y", "a", "slow", 2, 10)}, d, noJitter)
		Expect(ids(path)).To(Equal([]string{"x=0-3", "y=3-10"}))
	})

	It("begins where the wait is shorter, and ignores waits at later stages", func() {
		x, y, z := candidate("x", "a", "fast", 0, 5), candidate("y", "a", "slow", 0, 5), candidate("z", "a", "fast", 5, 10)
		z.Wait = time.Minute
		Expect(ids(Choose(engine(), []Candidate{x, y, z}, demand, noJitter))).To(Equal([]string{"x=0-5", "z=5-10"}))
		x.Wait = time.Second
		Expect(ids(Choose(engine(), []Candidate{x, y, z}, demand, noJitter))).To(Equal([]string{"y=0-5", "z=5-10"}))
	})

	It("counts the memory that a request holds on average", func() {
		nearlyFull := candidate("f", "a", "fast", 0, 10)
		nearlyFull.Tokens = 98_500 // of 100,000
		d := Demand{Prompt: 100, Answer: 2000}
		Expect(ids(Choose(engine(), []Candidate{nearlyFull, candidate("m", "a", "mid", 0, 10)}, d, noJitter))).To(Equal([]string{"f=0-10"}))
		nearlyFull.Tokens = 99_500
		Expect(ids(Choose(engine(), []Candidate{nearlyFull, candidate("m", "a", "mid", 0, 10)}, d, noJitter))).To(Equal([]string{"m=0-10"}))
	})

	It("weighs what requests at a loaded endpoint cost each other", func() {
		loaded := candidate("f", "a", "fast", 0, 10)
		loaded.Requests = 450
		loaded.Tokens = 80e3
		idle := candidate("m", "a", "mid", 0, 10)
		Expect(ids(Choose(engine(), []Candidate{loaded, idle}, demand, noJitter))).To(Equal([]string{"m=0-10"}))
		loaded.Requests = 40
		loaded.Tokens = 8e3
		Expect(ids(Choose(engine(), []Candidate{loaded, idle}, demand, noJitter))).To(Equal([]string{"f=0-10"}))
	})

	It("counts full passes even where it uses few of an endpoint's layers", func() {
		single := candidate("a", "d", "mid", 0, 10)
		single.Requests = 30 // 24 % more for a layer, by contention
		head, tail := candidate("b", "d", "mid", 0, 5), candidate("c", "d", "mid", 5, 10)
		Expect(ids(Choose(engine(), []Candidate{single, head, tail}, demand, noJitter))).To(Equal([]string{"b=0-5", "c=5-10"}))
		head.LayersHeld, tail.LayersHeld = 10, 10
		Expect(ids(Choose(engine(), []Candidate{single, head, tail}, demand, noJitter))).To(Equal([]string{"a=0-10"}))
	})

	It("avoids a slow endpoint and one whose memory is full", func() {
		slow := candidate("s", "a", "fast", 0, 10)
		slow.Slowdown = 5
		path := Choose(engine(), []Candidate{slow, candidate("f", "a", "fast", 0, 10)}, demand, noJitter)
		Expect(ids(path)).To(Equal([]string{"f=0-10"}))
		full := candidate("f", "a", "fast", 0, 10)
		full.Tokens = 1e9
		path = Choose(engine(), []Candidate{candidate("s", "a", "fast", 0, 10), full}, demand, noJitter)
		Expect(ids(path)).To(Equal([]string{"s=0-10"}))
	})
})

// TestEveryLayerOnce checks for arbitrary candidates that a path runs every layer once
// and in order, uses no endpoint twice, gives each only layers that it holds, and that
// a path is found if all layers are covered.
func TestEveryLayerOnce(t *testing.T) {
	e := engine()
	rapid.Check(t, func(rt *rapid.T) {
		var candidates []Candidate
		held := make([]bool, e.Layers)
		for i := range rapid.IntRange(1, 12).Draw(rt, "candidates") {
			from := rapid.IntRange(0, 9).Draw(rt, "from")
			to := rapid.IntRange(from+1, 10).Draw(rt, "to")
			kind := rapid.SampledFrom([]string{"fast", "slow"}).Draw(rt, "kind")
			s := candidate(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "domain"), kind, from, to)
			s.Requests = float64(rapid.IntRange(0, 200).Draw(rt, "requests"))
			s.Tokens = s.Requests * 100
			candidates = append(candidates, s)
			for l := from; l < to; l++ {
				held[l] = true
			}
		}
		path := Choose(e, candidates, demand, noJitter)
		all := true
		for _, h := range held {
			all = all && h
		}
		if path == nil {
			if all {
				rt.Fatalf("no path though all layers are held: %v", candidates)
			}
			return
		}
		if !CoversAllLayers(e, path) {
			rt.Fatalf("not every layer once: %v", ids(path))
		}
		seen := map[string]bool{}
		for _, p := range path {
			if seen[p.ID] {
				rt.Fatalf("%s is used twice: %v", p.ID, ids(path))
			}
			seen[p.ID] = true
			for _, s := range candidates {
				if s.ID == p.ID && (p.Layers.From < s.Layers.From || p.Layers.To > s.Layers.To) {
					rt.Fatalf("%s doesn't hold %v", p.ID, p.Layers)
				}
			}
		}
	})
}
