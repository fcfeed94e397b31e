// Package pathing chooses the endpoints through which a request passes every layer
// once, in order: the path with the least expected completion time.
package pathing

import (
	"sort"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// domainCrossingMs is added for each change of failure domain, beyond its delay:
	// the link between two domains is shared, and carries every token of prompt and
	// answer.
	domainCrossingMs = 3000
	// foreignStartMs is added for a path that begins in another failure domain than the
	// host's. Its events cross between domains, and hosts that all prefer the fastest
	// domain would fill it before reported loads show that, 0.4 s later.
	foreignStartMs = 1000
	// contention is how often the time counts that the requests of an endpoint add to
	// each other's steps: once for the request, which waits for the others in each
	// pass, and once for the others, which wait for it. A pass contains about all
	// requests of an endpoint.
	contention = 2
	// waitWeight is how much a wait before the first event counts against the same time
	// later on: callers set a goal for the first event, and a request that waits makes
	// no progress for anybody.
	waitWeight = 2
	// passWaitShare is the share of a pass for which a token waits at each endpoint,
	// since it arrives at any moment of the pass in progress. It keeps paths from being
	// split into many short stages.
	passWaitShare = 0.5
	// fullMemoryPenalty multiplies the cost of a candidate whose KV cache would
	// overflow.
	fullMemoryPenalty = 8
	// maxStages is the most stages that a path may have.
	maxStages = 32
)

// Candidate is an endpoint that may become a stage of a path, with its load.
type Candidate struct {
	ID      string
	Address string
	Domain  string
	Kind    string
	// Layers are those that a path may use. LayersHeld is how many the endpoint holds,
	// if more than those: all of them share its memory.
	Layers     fleet.Range
	LayersHeld int
	Requests   float64 // in flight
	Tokens     float64 // mean number in the KV cache, of the requests in flight
	// Slowdown multiplies the expected times; 1 is normal for the kind.
	Slowdown float64
	// Wait is how long a request that begins there waits for its first event, as
	// observed.
	Wait time.Duration
}

// Demand is what a request needs.
type Demand struct {
	Prompt float64 // tokens to read
	Answer float64 // tokens to write
	// First, if set, fixes the first stage: endpoint and layers.
	First *fleet.Stage
	// SingleDomain keeps the path in one failure domain.
	SingleDomain bool
	// HomeDomain is the failure domain of the requesting host; empty for no preference.
	HomeDomain string
}

// MeanKVTokens returns how many tokens the request holds in the KV cache on average
// while it runs: those of the answer are added one by one.
func (d *Demand) MeanKVTokens() float64 {
	return d.Prompt + d.Answer/2
}

// Choose returns the cheapest path, or nil if the candidates don't cover every layer.
// jitter returns a factor near 1 for each candidate, so that hosts with the same
// information don't all choose the same path.
func Choose(e *fleet.Engine, candidates []Candidate, d Demand, jitter func() float64) []fleet.Stage {
	if len(candidates) == 0 || e.Layers <= 0 {
		return nil
	}
	s := newSearch(e, candidates, d, jitter)
	if d.First != nil {
		s.startAfter(d.First)
	} else {
		s.start()
	}
	s.run()
	return s.path()
}

// state is the cheapest way found to have run the layers below a boundary,
// ending in a domain.
type state struct {
	cost      float64
	prev      int // previous state; -1 at the start
	candidate int // of the last stage; -1 at the start
	domain    int // -1 at the start: any
	boundary  int // index of the boundary
	stages    int
}

type search struct {
	engine      *fleet.Engine
	candidates  []Candidate
	demand      Demand
	perLayer    []float64 // expected ms for one layer, by candidate
	passWait    []float64 // expected ms for which tokens wait for passes, by candidate
	domain      []int     // of each candidate
	useful      []int     // candidates that may be on the cheapest path
	boundaries  []int
	domains     map[string]int
	domainNames []string
	home        int         // domain of the requesting host; -1 for no preference
	hop         [][]float64 // ms from domain to domain
	states      []state
	statesAt    [][]int // states by boundary
	best        [][]int // state by boundary and domain+1; -1 if none
	first       *fleet.Stage
}

func newSearch(e *fleet.Engine, candidates []Candidate, d Demand, jitter func() float64) *search {
	s := &search{
		engine:     e,
		candidates: candidates,
		demand:     d,
		perLayer:   make([]float64, len(candidates)),
		passWait:   make([]float64, len(candidates)),
		domain:     make([]int, len(candidates)),
		domains:    map[string]int{},
	}
	seen := make([]bool, e.Layers+1)
	for i := range candidates {
		c := &candidates[i]
		s.perLayer[i] = s.layerCost(c) * jitter()
		s.passWait[i] = s.passWaitCost(c)
		if _, ok := s.domains[c.Domain]; !ok {
			s.domains[c.Domain] = len(s.domainNames)
			s.domainNames = append(s.domainNames, c.Domain)
		}
		s.domain[i] = s.domains[c.Domain]
		seen[max(0, min(c.Layers.From, e.Layers))] = true
		seen[max(0, min(c.Layers.To, e.Layers))] = true
	}
	if d.First != nil {
		seen[max(0, min(d.First.Layers.To, e.Layers))] = true
	}
	for b, is := range seen {
		if is {
			s.boundaries = append(s.boundaries, b)
		}
	}
	s.computeHops()
	s.prune()
	s.statesAt = make([][]int, len(s.boundaries))
	s.best = make([][]int, len(s.boundaries))
	for b := range s.best {
		s.best[b] = make([]int, len(s.domainNames)+1)
		for d := range s.best[b] {
			s.best[b][d] = -1
		}
	}
	return s
}

// pruneKey is what candidates have in common that can replace each other on a path.
type pruneKey struct {
	domain int
	layers fleet.Range
}

// prune keeps, of candidates with the same domain and layers, the cheapest one and the
// cheapest one to begin a path with. No other one can be on the cheapest path, apart
// from a fixed first stage. So the search takes time by the number of ranges, not of
// endpoints.
func (s *search) prune() {
	best := map[pruneKey][2]int{}
	for k := range s.candidates {
		if s.demand.First != nil && s.demand.First.ID == s.candidates[k].ID {
			continue
		}
		key := pruneKey{
			domain: s.domain[k],
			layers: s.candidates[k].Layers,
		}
		kept, ok := best[key]
		if !ok {
			best[key] = [2]int{k, k}
			continue
		}
		if s.fullCost(k) < s.fullCost(kept[0]) {
			kept[0] = k
		}
		if s.fullCost(k)+s.startCost(k) < s.fullCost(kept[1])+s.startCost(kept[1]) {
			kept[1] = k
		}
		best[key] = kept
	}
	for k := range s.candidates {
		key := pruneKey{
			domain: s.domain[k],
			layers: s.candidates[k].Layers,
		}
		if kept, ok := best[key]; ok && (kept[0] == k || kept[1] == k) {
			s.useful = append(s.useful, k)
		}
	}
}

func (s *search) start() {
	if s.boundaries[0] != 0 {
		return
	}
	s.push(state{
		prev:      -1,
		candidate: -1,
		domain:    -1,
	})
}

// startAfter begins the search behind a fixed first stage.
func (s *search) startAfter(first *fleet.Stage) {
	i := sort.SearchInts(s.boundaries, first.Layers.To)
	if i == len(s.boundaries) {
		return // the first stage ends behind the last layer
	}
	s.first = first
	d, ok := s.domains[first.Domain]
	if !ok {
		d = -1
	}
	s.push(state{
		prev:      -1,
		candidate: -1,
		domain:    d,
		boundary:  i,
		stages:    1,
	})
}

func (s *search) push(n state) {
	best := &s.best[n.boundary][n.domain+1]
	if *best >= 0 {
		if s.states[*best].cost > n.cost {
			s.states[*best] = n
		}
		return
	}
	*best = len(s.states)
	s.statesAt[n.boundary] = append(s.statesAt[n.boundary], len(s.states))
	s.states = append(s.states, n)
}

// run extends states boundary by boundary. The cost of a state is final once its
// boundary is reached, since every extension leads to a later one.
func (s *search) run() {
	for b := range s.boundaries {
		for _, i := range s.statesAt[b] {
			if s.boundaries[b] < s.engine.Layers && s.states[i].stages < maxStages {
				s.extend(i)
			}
		}
	}
}

func (s *search) extend(i int) {
	from := s.states[i]
	layer := s.boundaries[from.boundary]
	for _, k := range s.useful {
		c := &s.candidates[k]
		if c.Layers.From > layer || c.Layers.To <= layer || s.uses(i, k) {
			continue
		}
		if s.demand.SingleDomain && from.domain >= 0 && from.domain != s.domain[k] {
			continue
		}
		base := from.cost + s.entryCost(from.domain, s.domain[k]) + s.passWait[k]
		if from.stages == 0 {
			base += s.startCost(k)
		}
		for b := from.boundary + 1; b < len(s.boundaries) && s.boundaries[b] <= c.Layers.To; b++ {
			s.push(state{
				cost:      base + float64(s.boundaries[b]-layer)*s.perLayer[k],
				prev:      i,
				candidate: k,
				domain:    s.domain[k],
				boundary:  b,
				stages:    from.stages + 1,
			})
		}
	}
}

// uses reports whether the path to a state already contains a candidate.
func (s *search) uses(i, candidate int) bool {
	for ; i >= 0; i = s.states[i].prev {
		if s.states[i].candidate == candidate {
			return true
		}
	}
	return false
}

func (s *search) path() []fleet.Stage {
	end := -1
	last := len(s.boundaries) - 1
	if s.boundaries[last] != s.engine.Layers {
		return nil
	}
	for _, i := range s.statesAt[last] {
		if end < 0 || s.states[i].cost < s.states[end].cost {
			end = i
		}
	}
	if end < 0 {
		return nil
	}
	var stages []fleet.Stage
	for i := end; s.states[i].prev >= 0; i = s.states[i].prev {
		stages = append(stages, s.stageOf(i))
	}
	if s.first != nil {
		stages = append(stages, *s.first)
	}
	for i, j := 0, len(stages)-1; i < j; i, j = i+1, j-1 {
		stages[i], stages[j] = stages[j], stages[i]
	}
	return stages
}

func (s *search) stageOf(i int) fleet.Stage {
	n := s.states[i]
	c := &s.candidates[n.candidate]
	return fleet.Stage{
		ID:      c.ID,
		Address: c.Address,
		Domain:  c.Domain,
		Layers: fleet.Range{
			From: s.boundaries[s.states[n.prev].boundary],
			To:   s.boundaries[n.boundary],
		},
	}
}

// CoversAllLayers reports whether stages run every layer once, in order.
func CoversAllLayers(e *fleet.Engine, stages []fleet.Stage) bool {
	at := 0
	for _, stage := range stages {
		if stage.Layers.From != at || stage.Layers.To <= at {
			return false
		}
		at = stage.Layers.To
	}
	return at == e.Layers
}

// DomainCrossings returns how often a path changes the failure domain.
func DomainCrossings(stages []fleet.Stage) int {
	n := 0
	for i := 1; i < len(stages); i++ {
		if stages[i].Domain != stages[i-1].Domain {
			n++
		}
	}
	return n
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
