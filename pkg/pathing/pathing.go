// Package pathing chooses the endpoints through which a request passes every
// layer once, in order: the path of least expected finish.
package pathing

import (
	"math"
	"sort"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// crossingMs is added for each change of failure domain, beyond its delay:
	// the pipe between two domains carries every token of prompt and answer
	// and is shared (docs/PLATFORM.md).
	crossingMs = 3000
	// awayMs is added for a path that begins in another failure domain than the
	// host's. Its events cross between domains, and hosts that all prefer the
	// fastest domain fill it, while loads tell of that 0.4 s later.
	awayMs = 1000
	// crowding is how often the time counts that requests share: once for the
	// request, which waits for the others in each pass, and once for the others,
	// which wait for it: a pass holds about all requests of an endpoint.
	crowding = 2
	// waitWeight is how much a wait before the first event counts against the same
	// time later: a caller's goal is for the first event, and what waits brings
	// nothing to anybody meanwhile.
	waitWeight = 2
	// turnShare is the part of a pass for which a token waits at each endpoint: it
	// comes at any moment of the pass under way. It keeps paths from being cut small.
	turnShare = 0.5
	// fullPenalty multiplies the cost of a stage whose KV memory would be full.
	fullPenalty = 8
	// maxParts is the most endpoints that a path may name.
	maxParts = 32
)

// Candidate is an endpoint that holds layers, with its load.
type Candidate struct {
	ID      string
	Address string
	Domain  string
	Kind    string
	// Layers are those that a path may use. Held is how many the endpoint holds,
	// if more: its memory is shared by all of them.
	Layers     fleet.Range
	LayersHeld int
	Requests   float64 // under way
	Tokens     float64 // in KV memory in the mean, of requests under way
	// Slowdown multiplies its times; 1 is as expected.
	Slowdown float64
	// Wait is how long a request that begins there waits for its first event, by
	// what was seen.
	Wait time.Duration
}

// Demand is what a request needs.
type Demand struct {
	Prompt float64 // tokens to read
	Answer float64 // tokens to write
	// First, if set, fixes the first part: endpoint and layers.
	First *fleet.Stage
	// SingleDomain keeps the path in one failure domain.
	SingleDomain bool
	// HomeDomain is the failure domain of the host that asks; empty if any will do.
	HomeDomain string
}

// MeanKVTokens returns how many tokens' KV cache the request holds in the mean while it
// runs: the answer's comes with its tokens.
func (d *Demand) MeanKVTokens() float64 {
	return d.Prompt + d.Answer/2
}

// Choose returns the cheapest path, or nil if the stages don't cover every
// layer. jitter returns a factor near 1 for each stage, so that hosts which
// know the same don't all choose the same.
func Choose(e *fleet.Engine, stages []Candidate, d Demand, jitter func() float64) []fleet.Stage {
	if len(stages) == 0 || e.Layers <= 0 {
		return nil
	}
	s := newSearch(e, stages, d, jitter)
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
	cost   float64
	prev   int // state before; -1 at the start
	stage  int // last stage; -1 at the start
	domain int // -1 at the start: any
	bound  int // index of the boundary
	parts  int
}

type search struct {
	engine  *fleet.Engine
	stages  []Candidate
	demand  Demand
	unit    []float64 // expected ms for one layer, by stage
	turn    []float64 // expected ms that its tokens wait for passes, by stage
	domain  []int     // of each stage
	fit     []int     // stages that may be on the cheapest path
	bounds  []int
	domains map[string]int
	names   []string
	home    int         // domain of the host that asks; -1 if any will do
	hop     [][]float64 // ms from domain to domain
	states  []state
	at      [][]int // states by boundary
	best    [][]int // state by boundary and domain+1; -1 if none
	first   *fleet.Stage
}

func newSearch(e *fleet.Engine, stages []Candidate, d Demand, jitter func() float64) *search {
	s := &search{
		engine:  e,
		stages:  stages,
		demand:  d,
		unit:    make([]float64, len(stages)),
		turn:    make([]float64, len(stages)),
		domain:  make([]int, len(stages)),
		domains: map[string]int{},
	}
	seen := make([]bool, e.Layers+1)
	for i := range stages {
		st := &stages[i]
		s.unit[i] = s.layerCost(st) * jitter()
		s.turn[i] = s.turnCost(st)
		if _, ok := s.domains[st.Domain]; !ok {
			s.domains[st.Domain] = len(s.names)
			s.names = append(s.names, st.Domain)
		}
		s.domain[i] = s.domains[st.Domain]
		seen[max(0, min(st.Layers.From, e.Layers))] = true
		seen[max(0, min(st.Layers.To, e.Layers))] = true
	}
	if d.First != nil {
		seen[max(0, min(d.First.Layers.To, e.Layers))] = true
	}
	for b, is := range seen {
		if is {
			s.bounds = append(s.bounds, b)
		}
	}
	s.findHops()
	s.findFit()
	s.at = make([][]int, len(s.bounds))
	s.best = make([][]int, len(s.bounds))
	for b := range s.best {
		s.best[b] = make([]int, len(s.names)+1)
		for d := range s.best[b] {
			s.best[b][d] = -1
		}
	}
	return s
}

// alike is what stages have in common that stand for each other on a path.
type alike struct {
	domain int
	layers fleet.Range
}

// findFit keeps of stages that are alike the cheapest one, and the cheapest to begin
// with: a path has use for no other, but for the first part that stands. The search
// takes as long as there are ranges then, and not endpoints.
func (s *search) findFit() {
	best := map[alike][2]int{}
	for k := range s.stages {
		if s.demand.First != nil && s.demand.First.ID == s.stages[k].ID {
			continue
		}
		key := alike{
			domain: s.domain[k],
			layers: s.stages[k].Layers,
		}
		kept, ok := best[key]
		if !ok {
			best[key] = [2]int{k, k}
			continue
		}
		if s.wholeCost(k) < s.wholeCost(kept[0]) {
			kept[0] = k
		}
		if s.wholeCost(k)+s.beginCost(k) < s.wholeCost(kept[1])+s.beginCost(kept[1]) {
			kept[1] = k
		}
		best[key] = kept
	}
	for k := range s.stages {
		key := alike{
			domain: s.domain[k],
			layers: s.stages[k].Layers,
		}
		if kept, ok := best[key]; ok && (kept[0] == k || kept[1] == k) {
			s.fit = append(s.fit, k)
		}
	}
}

// wholeCost is the cost of all layers of a stage.
func (s *search) wholeCost(k int) float64 {
	return s.turn[k] + s.unit[k]*float64(s.stages[k].Layers.Len())
}

// beginCost is the cost of what waits at a stage that a path begins with: requests
// that find a memory full anywhere on their path wait there.
func (s *search) beginCost(k int) float64 {
	return ms(s.stages[k].Wait) * waitWeight
}

// findHops works out what each change of failure domain costs, and none.
func (s *search) findHops() {
	s.home = -1
	s.hop = make([][]float64, len(s.names))
	for a := range s.names {
		if s.names[a] == s.demand.HomeDomain {
			s.home = a
		}
		s.hop[a] = make([]float64, len(s.names))
		for b := range s.names {
			s.hop[a][b] = s.hopCost(a, b)
		}
	}
}

// layerCost is the expected time in ms that one layer of a stage adds to the
// whole request, and to those under way there.
func (s *search) layerCost(st *Candidate) float64 {
	e := s.engine
	k := e.Kinds[st.Kind]
	held := float64(max(st.LayersHeld, st.Layers.Len()))
	share := 1 / float64(e.Layers)
	write := s.demand.Answer * k.Pace * share * (ms(e.StepTime) + crowding*s.sharedStep(st))
	read := 0.0
	if e.ReadPerSecond > 0 {
		read = s.demand.Prompt / e.ReadPerSecond * 1000 * k.ReadFactor * share * crowding
	}
	cost := (write + read) * math.Max(1, st.Slowdown)
	room := e.CacheTokens(st.Kind, int(held)) / math.Max(1, held)
	need := st.Tokens + s.demand.MeanKVTokens()
	if room <= 0 || need > room {
		return cost * fullPenalty
	}
	return cost * (1 + need/room)
}

// sharedStep is what the requests at a stage add to a step through all layers, in ms.
func (s *search) sharedStep(st *Candidate) float64 {
	return st.Requests*ms(s.engine.PerSequence) + st.Tokens/1000*ms(s.engine.PerContext)
}

// turnCost is the expected time in ms for which a request's tokens wait at a stage
// for passes under way: these run the layers that the endpoint holds, however few of
// them the path uses.
func (s *search) turnCost(st *Candidate) float64 {
	e := s.engine
	share := float64(max(st.LayersHeld, st.Layers.Len())) / float64(e.Layers)
	pass := share * e.Kinds[st.Kind].Pace * (ms(e.StepTime) + s.sharedStep(st))
	return turnShare * s.demand.Answer * pass * math.Max(1, st.Slowdown)
}

func (s *search) start() {
	if s.bounds[0] != 0 {
		return
	}
	s.push(state{
		prev:   -1,
		stage:  -1,
		domain: -1,
	})
}

// startAfter begins behind a part that is fixed.
func (s *search) startAfter(first *fleet.Stage) {
	i := sort.SearchInts(s.bounds, first.Layers.To)
	if i == len(s.bounds) {
		return // it ends behind the last layer
	}
	s.first = first
	d, ok := s.domains[first.Domain]
	if !ok {
		d = -1
	}
	s.push(state{
		prev:   -1,
		stage:  -1,
		domain: d,
		bound:  i,
		parts:  1,
	})
}

func (s *search) push(n state) {
	best := &s.best[n.bound][n.domain+1]
	if *best >= 0 {
		if s.states[*best].cost > n.cost {
			s.states[*best] = n
		}
		return
	}
	*best = len(s.states)
	s.at[n.bound] = append(s.at[n.bound], len(s.states))
	s.states = append(s.states, n)
}

// run extends states boundary by boundary; a state's cost is final once its
// boundary is reached, since every step leads to a later one.
func (s *search) run() {
	for b := range s.bounds {
		for _, i := range s.at[b] {
			if s.bounds[b] < s.engine.Layers && s.states[i].parts < maxParts {
				s.extend(i)
			}
		}
	}
}

func (s *search) extend(i int) {
	from := s.states[i]
	layer := s.bounds[from.bound]
	for _, k := range s.fit {
		st := &s.stages[k]
		if st.Layers.From > layer || st.Layers.To <= layer || s.uses(i, k) {
			continue
		}
		if s.demand.SingleDomain && from.domain >= 0 && from.domain != s.domain[k] {
			continue
		}
		base := from.cost + s.enter(from.domain, s.domain[k]) + s.turn[k]
		if from.parts == 0 {
			base += s.beginCost(k)
		}
		for b := from.bound + 1; b < len(s.bounds) && s.bounds[b] <= st.Layers.To; b++ {
			s.push(state{
				cost:   base + float64(s.bounds[b]-layer)*s.unit[k],
				prev:   i,
				stage:  k,
				domain: s.domain[k],
				bound:  b,
				parts:  from.parts + 1,
			})
		}
	}
}

// uses reports whether a stage is on the way to a state already.
func (s *search) uses(i, stage int) bool {
	for ; i >= 0; i = s.states[i].prev {
		if s.states[i].stage == stage {
			return true
		}
	}
	return false
}

// hopMs is what a hop inside a failure domain costs each token.
const hopMs = 0.2

// enter is the cost of going on in domain b from domain a; negative if the path
// begins there.
func (s *search) enter(a, b int) float64 {
	if a >= 0 {
		return s.hop[a][b]
	}
	if s.demand.HomeDomain != "" && b != s.home {
		return awayMs
	}
	return 0
}

func (s *search) hopCost(a, b int) float64 {
	if a == b {
		return hopMs * s.demand.Answer
	}
	delay := ms(s.engine.Delay(s.names[a], s.names[b]))
	return crossingMs + (delay+hopMs)*s.demand.Answer
}

func (s *search) path() []fleet.Stage {
	end := -1
	last := len(s.bounds) - 1
	if s.bounds[last] != s.engine.Layers {
		return nil
	}
	for _, i := range s.at[last] {
		if end < 0 || s.states[i].cost < s.states[end].cost {
			end = i
		}
	}
	if end < 0 {
		return nil
	}
	var parts []fleet.Stage
	for i := end; s.states[i].prev >= 0; i = s.states[i].prev {
		parts = append(parts, s.part(i))
	}
	if s.first != nil {
		parts = append(parts, *s.first)
	}
	for i, j := 0, len(parts)-1; i < j; i, j = i+1, j-1 {
		parts[i], parts[j] = parts[j], parts[i]
	}
	return parts
}

func (s *search) part(i int) fleet.Stage {
	n := s.states[i]
	st := &s.stages[n.stage]
	return fleet.Stage{
		ID:      st.ID,
		Address: st.Address,
		Domain:  st.Domain,
		Layers: fleet.Range{
			From: s.bounds[s.states[n.prev].bound],
			To:   s.bounds[n.bound],
		},
	}
}

// CoversAllLayers reports whether parts run every layer once, in order.
func CoversAllLayers(e *fleet.Engine, parts []fleet.Stage) bool {
	at := 0
	for _, p := range parts {
		if p.Layers.From != at || p.Layers.To <= at {
			return false
		}
		at = p.Layers.To
	}
	return at == e.Layers
}

// DomainCrossings returns how often a path changes the failure domain.
func DomainCrossings(parts []fleet.Stage) int {
	n := 0
	for i := 1; i < len(parts); i++ {
		if parts[i].Domain != parts[i-1].Domain {
			n++
		}
	}
	return n
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
