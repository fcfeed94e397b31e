// Package placement decides which endpoint holds which layers of a model.
package placement

import (
	"sort"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// weightShare is the part of an accelerator's memory that weights may
	// take; the rest is KV memory. At 0.66 every kind keeps room for 125,000
	// tokens or more of the layers it holds, three times the users' load in
	// a failure domain (docs/PLATFORM.md).
	weightShare = 0.66
	// ownGroupWeight is how much more a layer that the own group of domains covers
	// counts than one that another covers.
	ownGroupWeight = 16
	// lossWeight is how much a layer's chance to be lost counts, against one
	// holder in another group. Each server is as likely to be lost, so a layer
	// whose holder has few layers is worth more to cover again.
	lossWeight = 32
)

// Order tells an endpoint to hold a range of layers.
type Order struct {
	ID     string
	Layers fleet.Range
	// InterruptStreams says that streams which still pass the endpoint are broken off, and
	// continue elsewhere.
	InterruptStreams bool
}

// EndpointState is an endpoint as the plan sees it.
type EndpointState struct {
	ID     string
	Domain string
	Kind   string
	// Layers is what it holds or was ordered to hold; empty if nothing.
	Layers fleet.Range
	// OrderPending servers carry out an order, and are left alone.
	OrderPending bool
	// Slowdown is how many times as slow as its kind it is.
	Slowdown float64
	// BelowDemand servers take less than is asked for: layers that only such ones hold are
	// copied. Their streams stay, so they are left where they are.
	BelowDemand bool
	// JustJoined servers have only just come: they are kept for a hole, since the
	// one that they replace may be about to leave.
	JustJoined bool
}

// Plan returns the orders that are due. Layers that nothing serves come before
// all else, and nothing else is ordered until they are served. Then each empty
// server takes the layers that are covered least, counted first among the domains
// that hold a copy together. A hole that no empty server fills takes a server all
// of whose layers others hold too, or else servers shift until their overlaps fill
// it, if others serve their layers meanwhile; nothing else is moved. No more is
// loaded at once than the store serves.
func Plan(e *fleet.Engine, endpoints []EndpointState) []Order {
	if e.Layers <= 0 || e.LayerMB <= 0 {
		return nil
	}
	p := newPlanner(e, endpoints)
	budget := p.newLoadBudget()
	orders := p.recoverLayers()
	budget.reserve(len(orders))
	if len(orders) > 0 || p.anyLayerUnserved() {
		return orders
	}
	for _, s := range p.emptyEndpoints() {
		if budget.remaining == 0 {
			return orders
		}
		if o, ok := p.place(s); ok && budget.reserve(1) {
			orders = append(orders, o)
		}
	}
	return append(orders, p.fillGaps(budget)...)
}

type planner struct {
	engine    *fleet.Engine
	endpoints []EndpointState
	group     map[string]int // by domain
	cover     [][]int        // by group, then layer
	held      [][]int        // the same, with endpoints that are slow
	total     []int          // by layer
	// serving, limping and coming count the servers of all groups by layer: those
	// that serve it as they should, those that serve it slowly or too little, and
	// those that are loading it.
	serving  []int
	degraded []int
	loading  []int
	lossRisk [][]float64 // by group, then layer: sum of 1/layers of its holders
}

func newPlanner(e *fleet.Engine, endpoints []EndpointState) *planner {
	p := &planner{
		engine:    e,
		endpoints: append([]EndpointState(nil), endpoints...),
		total:     make([]int, e.Layers),
		serving:   make([]int, e.Layers),
		degraded:  make([]int, e.Layers),
		loading:   make([]int, e.Layers),
	}
	p.findGroups()
	for _, s := range p.endpoints {
		p.count(s)
	}
	return p
}

// slowLimit is how many times as slow as its kind a server may be that counts
// as a cover of its layers.
const slowLimit = 4

// count adds what a server holds to the covers.
func (p *planner) count(s EndpointState) {
	p.add(s, 1)
}

// add adds a server's layers n times.
func (p *planner) add(s EndpointState, n int) {
	g := p.group[s.Domain]
	for l := max(0, s.Layers.From); l < min(s.Layers.To, p.engine.Layers); l++ {
		p.held[g][l] += n
		p.countsFor(s)[l] += n
		if s.Slowdown >= slowLimit {
			continue
		}
		p.cover[g][l] += n
		p.lossRisk[g][l] += float64(n) / float64(s.Layers.Len())
		p.total[l] += n
	}
}

// countsFor returns the counts that a server's layers belong to.
func (p *planner) countsFor(s EndpointState) []int {
	switch {
	case s.OrderPending:
		return p.loading
	case s.Slowdown >= slowLimit || s.BelowDemand:
		return p.degraded
	default:
		return p.serving
	}
}

// capacity is how many layers a server should hold.
func (p *planner) capacity(s EndpointState) int {
	return p.capacityAt(s, weightShare)
}

// capacityAt is how many layers a server holds if weights may take a share of its
// memory.
func (p *planner) capacityAt(s EndpointState, share float64) int {
	n := int(p.engine.Kinds[s.Kind].MB * share / p.engine.LayerMB)
	if n == 0 && p.engine.MaxLayers(s.Kind) > 1 {
		n = 1
	}
	return min(n, p.engine.Layers)
}

// findGroups gives each domain that can hold every layer a group of its own,
// and puts the others together.
func (p *planner) findGroups() {
	capacities := map[string]int{}
	for _, s := range p.endpoints {
		capacities[s.Domain] += max(p.capacityAt(s, repackShares[len(repackShares)-1]), s.Layers.Len())
	}
	domains := make([]string, 0, len(capacities))
	for d := range capacities {
		domains = append(domains, d)
	}
	sort.Slice(domains, func(i, j int) bool {
		if capacities[domains[i]] != capacities[domains[j]] {
			return capacities[domains[i]] > capacities[domains[j]]
		}
		return domains[i] < domains[j]
	})
	p.group = map[string]int{}
	shared := -1
	sharedCapacity := 0
	for _, d := range domains {
		if capacities[d] >= p.engine.Layers {
			p.group[d] = p.addGroup()
			continue
		}
		if shared < 0 || sharedCapacity >= p.engine.Layers {
			shared = p.addGroup()
			sharedCapacity = 0
		}
		p.group[d] = shared
		sharedCapacity += capacities[d]
	}
}

func (p *planner) addGroup() int {
	p.cover = append(p.cover, make([]int, p.engine.Layers))
	p.held = append(p.held, make([]int, p.engine.Layers))
	p.lossRisk = append(p.lossRisk, make([]float64, p.engine.Layers))
	return len(p.cover) - 1
}

// emptyEndpoints returns the servers that hold nothing: group by group, fastest first.
func (p *planner) emptyEndpoints() []EndpointState {
	var list []EndpointState
	for _, s := range p.endpoints {
		if s.Layers.Len() == 0 && p.capacity(s) > 0 {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := p.group[list[i].Domain], p.group[list[j].Domain]
		if a != b {
			return a < b
		}
		ka, kb := p.engine.Kinds[list[i].Kind], p.engine.Kinds[list[j].Kind]
		if ka.Pace != kb.Pace {
			return ka.Pace < kb.Pace
		}
		return list[i].ID < list[j].ID
	})
	return list
}

// place gives a server the group's first hole, and where there is none the
// window of layers that is covered least.
func (p *planner) place(s EndpointState) (Order, bool) {
	n := p.capacity(s)
	from, ok := p.firstGap(s)
	switch {
	case ok:
		from = min(from, p.engine.Layers-n)
	case s.JustJoined:
		return Order{}, false
	default:
		from = p.leastCovered(s, n)
	}
	if n <= 0 || from < 0 {
		return Order{}, false
	}
	s.Layers = fleet.Range{
		From: from,
		To:   from + n,
	}
	s.OrderPending = true
	p.count(s)
	return Order{
		ID:     s.ID,
		Layers: s.Layers,
	}, true
}

// firstGap returns the first layer that nothing in the group holds.
func (p *planner) firstGap(s EndpointState) (int, bool) {
	for l, n := range p.cover[p.group[s.Domain]] {
		if n == 0 {
			return l, true
		}
	}
	return 0, false
}

func (p *planner) leastCovered(s EndpointState, n int) int {
	best := -1
	bestCost := 0.0
	for from := 0; from+n <= p.engine.Layers; from++ {
		cost := p.windowCost(s, from, n)
		if best < 0 || cost < bestCost {
			best = from
			bestCost = cost
		}
	}
	return best
}

// windowCost grows faster than the cover, so that an uneven cover costs more.
// The chance of a loss counts only where one holder stands between it and a
// hole.
func (p *planner) windowCost(s EndpointState, from, n int) float64 {
	g := p.group[s.Domain]
	sum := 0.0
	for l := from; l < from+n; l++ {
		own := p.cover[g][l]
		sum += float64(ownGroupWeight*own*own + p.total[l])
		if own == 1 {
			sum -= lossWeight * p.lossRisk[g][l]
		}
	}
	return sum
}
