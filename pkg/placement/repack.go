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
	// firstCost is added for an endpoint that holds the first layers: streams
	// can't leave it.
	firstCost = 20
)

// repack fills a group's holes where no single server can be spared: servers
// shift along the layers, each next to the one before, until the overlaps are
// used up. The moves that load least are chosen. Nothing is shifted while a
// server of the group still carries out an order, or if some layer would be served
// nowhere meanwhile.
func (p *planner) repack(g int) []Order {
	list, still := p.holders(func(s EndpointState) bool { return p.group[s.Domain] == g })
	if !still {
		return nil
	}
	return p.repackRow(list, p.servedBeside)
}

// repackAll does the same over all groups, for layers that nothing serves: what
// is shifted serves no request meanwhile, but no request could be served anyway.
func (p *planner) repackAll() []Order {
	list, still := p.holders(func(EndpointState) bool { return true })
	if !still {
		return nil
	}
	return p.repackRow(list, func([]int) bool { return true })
}

// holders returns the servers of a kind that hold layers, and whether all of them
// stand still: one that carries out an order may change the picture.
func (p *planner) holders(of func(s EndpointState) bool) (list []int, still bool) {
	for i, s := range p.servers {
		if !of(s) || s.Layers.Len() == 0 {
			continue
		}
		if s.OrderPending {
			return nil, false
		}
		list = append(list, i)
	}
	return list, true
}

// repackRow shifts the servers of a list, if the ones that are shifted may be.
func (p *planner) repackRow(list []int, may func(shifted []int) bool) []Order {
	sort.Slice(list, func(a, b int) bool {
		x, y := p.servers[list[a]], p.servers[list[b]]
		if x.Layers != y.Layers {
			return x.Layers.From < y.Layers.From || x.Layers.From == y.Layers.From && x.Layers.To < y.Layers.To
		}
		return x.ID < y.ID
	})
	for _, share := range repackShares {
		r := p.newRow(list, share)
		if !r.solve() {
			continue
		}
		if !may(r.shifted()) {
			return nil
		}
		return p.shift(r)
	}
	return nil
}

// row is servers in the order of their layers, and the cheapest way to cover
// the layers from the first on with them.
type row struct {
	layers int
	items  []rowItem
	// best[i][c] is the cheapest way to cover layers below c with the first i
	// items.
	best [][]step
}

type rowItem struct {
	server int // index
	held   fleet.Range
	room   int
}

// step is how a state was reached: from the covered layers before it, and
// whether the item was shifted.
type step struct {
	cost    int // -1: not reached
	from    int
	shifted bool
}

func (p *planner) newRow(list []int, share float64) *row {
	r := &row{
		layers: p.engine.Layers,
	}
	for _, i := range list {
		r.items = append(r.items, rowItem{
			server: i,
			held:   p.servers[i].Layers,
			room:   p.roomAt(p.servers[i], share),
		})
	}
	return r
}

// solve finds the cheapest cover, and reports whether there is one.
func (r *row) solve() bool {
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
				r.stay(i, c, item)
				r.move(i, c, item)
			}
		}
	}
	return r.best[len(r.items)][r.layers].cost >= 0
}

// stay leaves an item where it is.
func (r *row) stay(i, c int, item rowItem) {
	to := c
	if item.held.From <= c {
		to = max(c, min(item.held.To, r.layers))
	}
	r.reach(i, to, step{
		cost: r.best[i][c].cost,
		from: c,
	})
}

// move shifts an item to the first layers that aren't covered.
func (r *row) move(i, c int, item rowItem) {
	target, ok := r.target(c, item)
	if !ok || target == item.held {
		return
	}
	cost := moveCost + target.Len() - overlap(target, item.held)
	if item.held.From == 0 {
		cost += firstCost
	}
	r.reach(i, target.To, step{
		cost:    r.best[i][c].cost + cost,
		from:    c,
		shifted: true,
	})
}

// target is where a shifted item goes that continues from layer c on.
func (r *row) target(c int, item rowItem) (fleet.Range, bool) {
	if item.room <= 0 || c >= r.layers {
		return fleet.Range{}, false
	}
	from := min(c, r.layers-item.room)
	return fleet.Range{
		From: from,
		To:   from + item.room,
	}, true
}

func (r *row) reach(i, c int, s step) {
	if old := &r.best[i+1][c]; old.cost < 0 || s.cost < old.cost {
		*old = s
	}
}

// overlap returns how many layers two ranges share.
func overlap(a, b fleet.Range) int {
	return max(0, min(a.To, b.To)-max(a.From, b.From))
}

// shifted returns the servers that a solved row shifts.
func (r *row) shifted() []int {
	var list []int
	c := r.layers
	for i := len(r.items) - 1; i >= 0; i-- {
		s := r.best[i+1][c]
		if s.shifted {
			list = append(list, r.items[i].server)
		}
		c = s.from
	}
	return list
}

// shift returns the orders of a solved row, and counts them.
func (p *planner) shift(r *row) []Order {
	var orders []Order
	c := r.layers
	for i := len(r.items) - 1; i >= 0; i-- {
		s := r.best[i+1][c]
		if s.shifted {
			target, _ := r.target(s.from, r.items[i])
			orders = append(orders, p.moveTo(r.items[i].server, target))
		}
		c = s.from
	}
	return orders
}
