package placement

import (
	"sort"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// repackShares are the parts of a memory that weights may take when a group is
// packed anew, tried in turn: endpoints that are lost for good may leave too
// little room at the usual share. At the last, an accelerator of 21.6 GB keeps
// room for 88,000 tokens of nine layers, against 128,000 of eight.
var repackShares = [...]float64{weightShare, 0.72, 0.78}

const (
	// moveCost is what a move costs beside the layers that it loads, in layers:
	// the endpoint serves nothing until its streams have left.
	moveCost = 2
	// firstLayerCost is added for an endpoint that holds the first layers: streams
	// can't leave it.
	firstLayerCost = 20
)

// repack fills a group's holes where no single server can be spared: servers
// shift along the layers, each next to the one before, until the overlaps are
// used up. The moves that load least are chosen. Nothing is shifted while a
// server of the group still carries out an order, or if some layer would be served
// nowhere meanwhile.
func (p *planner) repack(g int) []Order {
	list, idle := p.holders(func(s EndpointState) bool { return p.group[s.Domain] == g })
	if !idle {
		return nil
	}
	return p.repackEndpoints(list, p.servedWhileLoading)
}

// repackAll does the same over all groups, for layers that nothing serves: what
// is shifted serves no request meanwhile, but no request could be served anyway.
func (p *planner) repackAll() []Order {
	list, idle := p.holders(func(EndpointState) bool { return true })
	if !idle {
		return nil
	}
	return p.repackEndpoints(list, func([]int) bool { return true })
}

// holders returns the servers of a kind that hold layers, and whether all of them
// stand still: one that carries out an order may change the picture.
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

// repackEndpoints shifts the servers of a list, if the ones that are shifted may be.
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

// repacking is servers in the order of their layers, and the cheapest way to cover
// the layers from the first on with them.
type repacking struct {
	layers int
	items  []repackItem
	// best[i][c] is the cheapest way to cover layers below c with the first i
	// items.
	best [][]step
}

type repackItem struct {
	index    int // index
	held     fleet.Range
	capacity int
}

// step is how a state was reached: from the covered layers before it, and
// whether the item was shifted.
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
	r.update(i, target.To, step{
		cost:    r.best[i][c].cost + cost,
		from:    c,
		shifted: true,
	})
}

// target is where a shifted item goes that continues from layer c on.
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

// shifted returns the servers that a solved row shifts.
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

// shiftOrders returns the orders of a solved row, and counts them.
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
