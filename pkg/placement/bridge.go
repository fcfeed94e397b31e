package placement

import "github.com/larchwinch/larchwinch/pkg/fleet"

// bridge fills the layers that no server serves in any group and that none is
// loading: until they are served, no request can be. Any group's server may go
// there whose own layers others serve meanwhile; where there is none, servers of
// all groups shift along the layers.
func (p *planner) bridge() []Order {
	var orders []Order
	if !p.running() {
		return nil
	}
	from := 0
	bare := false
	for {
		hole, ok := p.missing(from)
		if !ok {
			break
		}
		if i := p.bridgeServer(hole); i >= 0 {
			orders = append(orders, p.move(i, hole))
			continue
		}
		bare = bare || p.unheld(hole)
		from = hole.To
	}
	if bare && len(orders) == 0 {
		orders = p.repackAll()
	}
	return orders
}

// running reports whether any layer is served: before that, every server is
// being loaded for the first time.
func (p *planner) running() bool {
	for l := range p.serving {
		if p.serving[l]+p.limping[l] > 0 {
			return true
		}
	}
	return false
}

// broken reports whether some layer isn't served by anything, slow or not.
func (p *planner) broken() bool {
	return p.running() && p.unheld(fleet.Range{To: p.engine.Layers})
}

// unheld reports whether nothing serves some layer of a range.
func (p *planner) unheld(r fleet.Range) bool {
	for l := r.From; l < r.To; l++ {
		if p.serving[l]+p.limping[l] == 0 {
			return true
		}
	}
	return false
}

// missing returns the first layers at or after one that nothing serves as it
// should, and that nothing is loading.
func (p *planner) missing(from int) (fleet.Range, bool) {
	for l := from; l < p.engine.Layers; l++ {
		if p.serving[l]+p.coming[l] > 0 {
			continue
		}
		hole := fleet.Range{
			From: l,
			To:   l,
		}
		for hole.To < p.engine.Layers && p.serving[hole.To]+p.coming[hole.To] == 0 {
			hole.To++
		}
		return hole, true
	}
	return fleet.Range{}, false
}

// bridgeServer returns the server that best fills a hole and takes nothing from
// service: the one that fills most of it, an empty one before one that must give
// up layers, one that streams can leave before one that they begin at, and the
// smallest of those. It returns -1 if there is none.
func (p *planner) bridgeServer(hole fleet.Range) int {
	best := -1
	for i, s := range p.servers {
		if s.OrderPending || s.BelowDemand || s.Slowdown >= slowLimit || p.room(s) == 0 || !p.servedWithout(s) {
			continue
		}
		if best < 0 || p.betterBridge(s, p.servers[best], hole) {
			best = i
		}
	}
	return best
}

func (p *planner) betterBridge(a, b EndpointState, hole fleet.Range) bool {
	fillA := min(hole.Len(), p.room(a))
	fillB := min(hole.Len(), p.room(b))
	if fillA != fillB {
		return fillA > fillB
	}
	if emptyA, emptyB := a.Layers.Len() == 0, b.Layers.Len() == 0; emptyA != emptyB {
		return emptyA
	}
	if firstA, firstB := a.Layers.From == 0, b.Layers.From == 0; firstA != firstB {
		return firstB
	}
	return p.room(a) < p.room(b)
}

// servedWithout reports whether every layer of a server is served by another one
// now, in whatever group.
func (p *planner) servedWithout(s EndpointState) bool {
	for l := max(0, s.Layers.From); l < min(s.Layers.To, p.engine.Layers); l++ {
		if p.serving[l] < 2 {
			return false
		}
	}
	return true
}

// servedBeside reports whether every layer that is served now still is while all
// of some servers load.
func (p *planner) servedBeside(list []int) bool {
	left := append([]int(nil), p.serving...)
	for _, i := range list {
		s := p.servers[i]
		for l := max(0, s.Layers.From); l < min(s.Layers.To, p.engine.Layers); l++ {
			left[l]--
			if left[l] <= 0 {
				return false
			}
		}
	}
	return true
}

// budget bounds loads: the store serves a few at a time, and more than that only
// lengthen each other, those that are waited for most too.
type budget struct {
	left int // -1: no bound
}

// loadSlack is how many loads are ordered for each one that the store serves at
// full speed: the end of one is seen up to 0.6 s later, when it reports and the
// next orders are given.
const loadSlack = 1.5

// loads returns the budget of loads beside those under way. There is none while
// nothing is served yet.
func (p *planner) loads() *budget {
	if p.engine.LoadsAtOnce <= 0 || !p.running() {
		return &budget{
			left: -1,
		}
	}
	moving := 0
	for _, s := range p.servers {
		if s.OrderPending {
			moving++
		}
	}
	return &budget{
		left: max(0, int(loadSlack*float64(p.engine.LoadsAtOnce))-moving),
	}
}

// take takes n loads, if any is left. What belongs together isn't parted.
func (b *budget) take(n int) bool {
	if b.left < 0 {
		return true
	}
	if b.left == 0 {
		return false
	}
	b.left = max(0, b.left-n)
	return true
}
