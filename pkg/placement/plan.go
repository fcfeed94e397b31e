// Package placement decides which endpoint holds which layers of a model.
package placement

import (
	"sort"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// weightShare is the share of an accelerator's memory that weights may take; the
	// rest holds the KV cache. At 0.66 every kind has room for at least 125,000 tokens
	// in the layers that it holds, three times the expected load of a failure domain.
	weightShare = 0.66
	// ownGroupWeight is how much more a holder of a layer counts in the own group of
	// failure domains than in another one.
	ownGroupWeight = 16
	// lossWeight is how much the risk of losing a layer counts, against one holder in
	// another group. All endpoints are equally likely to be lost, so it is worth more
	// to cover a layer again whose holder has few layers.
	lossWeight = 32
)

// Order tells an endpoint to hold a range of layers.
type Order struct {
	ID     string
	Layers fleet.Range
	// InterruptStreams says that streams which still pass the endpoint are broken off
	// and continue elsewhere. Otherwise the endpoint waits for them.
	InterruptStreams bool
}

// EndpointState is an endpoint as the planner sees it.
type EndpointState struct {
	ID     string
	Domain string
	Kind   string
	// Layers are those that it holds or was ordered to hold; empty if none.
	Layers fleet.Range
	// OrderPending says that an order may still be in progress, or that the endpoint is silent
	// and may go on. It gets no other order meanwhile.
	OrderPending bool
	// Slowdown is how many times as slow as its kind the endpoint is.
	Slowdown float64
	// BelowDemand says that the endpoint's rate limit is below the load that its
	// service is asked for. Layers that only such endpoints hold are copied to others.
	// The endpoints themselves keep their streams and aren't moved.
	BelowDemand bool
	// JustJoined says that the endpoint has joined only just now. It is kept for a gap,
	// since the endpoint that it replaces may be about to leave.
	JustJoined bool
	// Initial says that the endpoint joined with the first ones of its service. Its first
	// load isn't bounded, as theirs weren't.
	Initial bool
}

// Plan returns the orders that are due. Layers that no endpoint serves normally come
// first, and while some layer isn't served at all, nothing else is ordered. Then each
// empty endpoint gets the first layers that its group, the failure domains that hold a
// copy together, lacks, or else the layers with the least coverage. A gap that no empty
// endpoint fills gets an endpoint whose layers all are held by others too. If there is
// none, endpoints shift along the layers until their overlaps fill the gap, if others
// serve their layers meanwhile. No other endpoint is moved. Apart from orders for
// unserved layers and those of the first placement, the loads in progress are bounded by
// what the store of weights serves at once, see loadBudget.
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
		if budget.remaining == 0 && !s.Initial {
			continue
		}
		if o, ok := p.place(s); ok && (s.Initial || budget.reserve(1)) {
			orders = append(orders, o)
		}
	}
	if budget.remaining == 0 {
		return orders
	}
	return append(orders, p.fillGaps(budget)...)
}

type planner struct {
	engine    *fleet.Engine
	endpoints []EndpointState
	group     map[string]int // by domain
	cover     [][]int        // holders by group, then layer, without slow ones
	held      [][]int        // the same, with slow ones
	total     []int          // cover of all groups, by layer
	// serving, degraded and loading count the endpoints of all groups by layer: those
	// that serve it normally, those that serve it slowly or below demand, and those
	// with a pending order for it.
	serving  []int
	degraded []int
	loading  []int
	lossRisk [][]float64 // by group, then layer: sum over its holders of 1/(their number of layers)
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

// slowLimit is the slowdown from which on an endpoint doesn't count as a cover of its
// layers.
const slowLimit = 4

// degraded reports whether an endpoint serves less than its layers may be asked for.
func (s EndpointState) degraded() bool {
	return s.Slowdown >= slowLimit || s.BelowDemand
}

// count adds an endpoint's layers to the counts.
func (p *planner) count(s EndpointState) {
	p.add(s, 1)
}

// add adds n to the counts of each of an endpoint's layers.
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

// countsFor returns the one of serving, degraded and loading to which an endpoint's
// layers belong.
func (p *planner) countsFor(s EndpointState) []int {
	switch {
	case s.OrderPending:
		return p.loading
	case s.degraded():
		return p.degraded
	default:
		return p.serving
	}
}

// capacity returns how many layers an endpoint should hold.
func (p *planner) capacity(s EndpointState) int {
	return p.capacityAt(s, weightShare)
}

// capacityAt returns how many layers fit into an endpoint if weights may take a share
// of its memory. It is at least 1 where the whole memory has room for two or more.
func (p *planner) capacityAt(s EndpointState, share float64) int {
	n := int(p.engine.Kinds[s.Kind].MB * share / p.engine.LayerMB)
	if n == 0 && p.engine.MaxLayers(s.Kind) > 1 {
		n = 1
	}
	return min(n, p.engine.Layers)
}

// findGroups gives each failure domain that can hold every layer a group of its own,
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

// emptyEndpoints returns the endpoints that hold nothing, ordered by group and then
// from the fastest on.
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

// place orders an endpoint to hold the layers of the group's first gap. If there is no
// gap, an endpoint that just joined gets no order, and another one the range of layers
// with the least coverage.
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

// firstGap returns the first layer that no endpoint of the group holds, slow ones
// aside.
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

// windowCost is the cost of placing an endpoint on n layers: the less they are covered,
// the lower. It grows faster than the coverage, so that uneven coverage costs more. The
// loss risk counts only for layers that have a single holder in the group.
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
