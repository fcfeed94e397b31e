package placement

import (
	"sort"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// repackShares are the shares of an accelerator's memory that weights may take when
// endpoints are repacked, tried in turn: once endpoints are lost for good, the usual
// share may leave too little capacity. At the last one, an accelerator of 21.6 GB has
// room for 88,000 tokens in nine layers, against 128,000 in eight.
var repackShares = [...]float64{weightShare, 0.72, 0.78}

const (
	// moveCost is the cost of a move in layers, added to the layers that it loads: the
	// endpoint serves nothing until its streams have left.
	moveCost = 2
	// firstLayerCost is added for an endpoint that holds the first layers: streams
	// can't leave the first stage of their path.
	firstLayerCost = 20
	// degradedMoveCost is added for a slow endpoint, or one whose rate limit is below its
	// service's load: no other would serve the layers that it moves to.
	degradedMoveCost = 10
)

// repack fills a group's gaps where no single endpoint can be spared: endpoints shift
// along the layers, each next to the one before, until no overlaps are left. It chooses
// the moves that load the fewest layers. Nothing is shifted while an order to an
// endpoint of the group is pending, or if some layer would be served nowhere meanwhile.
func (p *planner) repack(g int) []Order {
	list, idle := p.holders(func(s EndpointState) bool { return p.group[s.Domain] == g })
	if !idle {
		return nil
	}
	return p.repackEndpoints(list, p.servedWhileLoading)
}

// repackAll repacks the endpoints of all groups, for layers that no endpoint serves.
// The shifted endpoints serve no request meanwhile, but no request could be served
// anyway.
func (p *planner) repackAll() []Order {
	list, idle := p.holders(func(EndpointState) bool { return true })
	if !idle {
		return nil
	}
	return p.repackEndpoints(list, func([]int) bool { return true })
}

// holders returns the indices of the matching endpoints that hold layers. It reports
// false if an order to one of them is pending, since its result may change the plan.
func (p *planner) holders(match func(s EndpointState) bool) (list []int, idle bool) {
	for i, s := range p.endpoints {
		if !match(s) || s.Layers.Len() == 0 {
			continue
		}
		if s.OrderPending {
			return nil, false
		}
		list = append(list, i)
	}
	return list, true
}

// repackEndpoints shifts the endpoints of a list, if allowed returns true for those
// that must be shifted.
func (p *planner) repackEndpoints(list []int, allowed func(shifted []int) bool) []Order {
	sort.Slice(list, func(a, b int) bool {
		x, y := p.endpoints[list[a]], p.endpoints[list[b]]
		if x.Layers != y.Layers {
			return x.Layers.From < y.Layers.From || x.Layers.From == y.Layers.From && x.Layers.To < y.Layers.To
		}
		return x.ID < y.ID
	})
	for _, share := range repackShares {
		r := p.newRepacking(list, share)
		if !r.solve() {
			continue
		}
		if !allowed(r.shifted()) {
			return nil
		}
		return p.shiftOrders(r)
	}
	return nil
}

// repacking searches the cheapest way to cover the layers from the first on with some
// endpoints, taken in the order of their layers. The search is a dynamic program.
type repacking struct {
	layers int
	items  []repackItem
	// best[i][c] is the cheapest way to cover the layers below c with items[:i].
	best [][]step
}

type repackItem struct {
	index    int // in planner.endpoints
	held     fleet.Range
	capacity int
	degraded bool
}

// step is how a state was reached: from how many covered layers, and whether the item
// was shifted.
type step struct {
	cost    int // -1: not reached
	from    int
	shifted bool
}

func (p *planner) newRepacking(list []int, share float64) *repacking {
	r := &repacking{
		layers: p.engine.Layers,
	}
	for _, i := range list {
		r.items = append(r.items, repackItem{
			index:    i,
			held:     p.endpoints[i].Layers,
			capacity: p.capacityAt(p.endpoints[i], share),
			degraded: p.endpoints[i].degraded(),
		})
	}
	return r
}

// solve finds the cheapest cover, and reports whether there is one.
func (r *repacking) solve() bool {
	r.best = make([][]step, len(r.items)+1)
	for i := range r.best {
		r.best[i] = make([]step, r.layers+1)
		for c := range r.best[i] {
			r.best[i][c].cost = -1
		}
	}
	r.best[0][0].cost = 0
	for i, item := range r.items {
		for c := range r.best[i] {
			if r.best[i][c].cost >= 0 {
				r.keep(i, c, item)
				r.move(i, c, item)
			}
		}
	}
	return r.best[len(r.items)][r.layers].cost >= 0
}

// keep leaves an item where it is.
func (r *repacking) keep(i, c int, item repackItem) {
	to := c
	if item.held.From <= c {
		to = max(c, min(item.held.To, r.layers))
	}
	r.update(i, to, step{
		cost: r.best[i][c].cost,
		from: c,
	})
}

// move shifts an item to the first layers that aren't covered.
func (r *repacking) move(i, c int, item repackItem) {
	target, ok := r.target(c, item)
	if !ok || target == item.held {
		return
	}
	cost := moveCost + target.Len() - overlap(target, item.held)
	if item.held.From == 0 {
		cost += firstLayerCost
	}
	if item.degraded {
		cost += degradedMoveCost
	}
	r.update(i, target.To, step{
		cost:    r.best[i][c].cost + cost,
		from:    c,
		shifted: true,
	})
}

// target returns the range of a shifted item that covers layers from c on.
func (r *repacking) target(c int, item repackItem) (fleet.Range, bool) {
	if item.capacity <= 0 || c >= r.layers {
		return fleet.Range{}, false
	}
	from := min(c, r.layers-item.capacity)
	return fleet.Range{
		From: from,
		To:   from + item.capacity,
	}, true
}

func (r *repacking) update(i, c int, s step) {
	if old := &r.best[i+1][c]; old.cost < 0 || s.cost < old.cost {
		*old = s
	}
}

// overlap returns how many layers two ranges share.
func overlap(a, b fleet.Range) int {
	return max(0, min(a.To, b.To)-max(a.From, b.From))
}

// shifted returns the indices of the endpoints that the solution shifts.
func (r *repacking) shifted() []int {
	var list []int
	c := r.layers
	for i := len(r.items) - 1; i >= 0; i-- {
		s := r.best[i+1][c]
		if s.shifted {
			list = append(list, r.items[i].index)
		}
		c = s.from
	}
	return list
}

// shiftOrders returns the orders of a solution, and counts them.
func (p *planner) shiftOrders(r *repacking) []Order {
	var orders []Order
	c := r.layers
	for i := len(r.items) - 1; i >= 0; i-- {
		s := r.best[i+1][c]
		if s.shifted {
			target, _ := r.target(s.from, r.items[i])
			orders = append(orders, p.moveTo(r.items[i].index, target))
		}
		c = s.from
	}
	return orders
}
