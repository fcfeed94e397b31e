package placement

import "github.com/larchwinch/larchwinch/pkg/fleet"

// recoverLayers fills the layers that no server serves in any group and that none is
// loading: until they are served, no request can be. Any group's server may go
// there whose own layers others serve meanwhile; where there is none, servers of
// all groups shift along the layers.
func (p *planner) recoverLayers() []Order {
	var orders []Order
	if !p.anyLayerServed() {
		return nil
	}
	from := 0
	unserved := false
	for {
		gap, ok := p.nextUnserved(from)
		if !ok {
			break
		}
		if i := p.recoveryEndpoint(gap); i >= 0 {
			orders = append(orders, p.moveInto(i, gap))
			continue
		}
		unserved = unserved || p.hasUnservedLayer(gap)
		from = gap.To
	}
	if unserved && len(orders) == 0 {
		orders = p.repackAll()
	}
	return orders
}

// anyLayerServed reports whether any layer is served: before that, every server is
// being loaded for the first time.
func (p *planner) anyLayerServed() bool {
	for l := range p.serving {
		if p.serving[l]+p.degraded[l] > 0 {
			return true
		}
	}
	return false
}

// anyLayerUnserved reports whether some layer isn't served by anything, slow or not.
func (p *planner) anyLayerUnserved() bool {
	return p.anyLayerServed() && p.hasUnservedLayer(fleet.Range{To: p.engine.Layers})
}

// hasUnservedLayer reports whether nothing serves some layer of a range.
func (p *planner) hasUnservedLayer(r fleet.Range) bool {
	for l := r.From; l < r.To; l++ {
		if p.serving[l]+p.degraded[l] == 0 {
			return true
		}
	}
	return false
}

// nextUnserved returns the first layers at or after one that nothing serves as it
// should, and that nothing is loading.
func (p *planner) nextUnserved(from int) (fleet.Range, bool) {
	for l := from; l < p.engine.Layers; l++ {
		if p.serving[l]+p.loading[l] > 0 {
			continue
		}
		gap := fleet.Range{
			From: l,
			To:   l,
		}
		for gap.To < p.engine.Layers && p.serving[gap.To]+p.loading[gap.To] == 0 {
			gap.To++
		}
		return gap, true
	}
	return fleet.Range{}, false
}

// recoveryEndpoint returns the server that best fills a hole and takes nothing from
// service: the one that fills most of it, an empty one before one that must give
// up layers, one that streams can leave before one that they begin at, and the
// smallest of those. It returns -1 if there is none.
func (p *planner) recoveryEndpoint(gap fleet.Range) int {
	best := -1
	for i, s := range p.endpoints {
		if s.OrderPending || s.BelowDemand || s.Slowdown >= slowLimit || p.capacity(s) == 0 || !p.servedByOthers(s) {
			continue
		}
		if best < 0 || p.betterRecovery(s, p.endpoints[best], gap) {
			best = i
		}
	}
	return best
}

func (p *planner) betterRecovery(a, b EndpointState, gap fleet.Range) bool {
	fillA := min(gap.Len(), p.capacity(a))
	fillB := min(gap.Len(), p.capacity(b))
	if fillA != fillB {
		return fillA > fillB
	}
	if emptyA, emptyB := a.Layers.Len() == 0, b.Layers.Len() == 0; emptyA != emptyB {
		return emptyA
	}
	if firstA, firstB := a.Layers.From == 0, b.Layers.From == 0; firstA != firstB {
		return firstB
	}
	return p.capacity(a) < p.capacity(b)
}

// servedByOthers reports whether every layer of a server is served by another one
// now, in whatever group.
func (p *planner) servedByOthers(s EndpointState) bool {
	for l := max(0, s.Layers.From); l < min(s.Layers.To, p.engine.Layers); l++ {
		if p.serving[l] < 2 {
			return false
		}
	}
	return true
}

// servedWhileLoading reports whether every layer that is served now still is while all
// of some servers load.
func (p *planner) servedWhileLoading(list []int) bool {
	remaining := append([]int(nil), p.serving...)
	for _, i := range list {
		s := p.endpoints[i]
		for l := max(0, s.Layers.From); l < min(s.Layers.To, p.engine.Layers); l++ {
			remaining[l]--
			if remaining[l] <= 0 {
				return false
			}
		}
	}
	return true
}

// loadBudget bounds loads: the store serves a few at a time, and more than that only
// lengthen each other, those that are waited for most too.
type loadBudget struct {
	remaining int // -1: no bound
}

// loadOvercommit is how many loads are ordered for each one that the store serves at
// full speed: the end of one is seen up to 0.6 s later, when it reports and the
// next orders are given.
const loadOvercommit = 1.5

// newLoadBudget returns the budget of loads beside those under way. There is none while
// nothing is served yet.
func (p *planner) newLoadBudget() *loadBudget {
	if p.engine.LoadsAtOnce <= 0 || !p.anyLayerServed() {
		return &loadBudget{
			remaining: -1,
		}
	}
	pending := 0
	for _, s := range p.endpoints {
		if s.OrderPending {
			pending++
		}
	}
	return &loadBudget{
		remaining: max(0, int(loadOvercommit*float64(p.engine.LoadsAtOnce))-pending),
	}
}

// reserve takes n loads, if any is left. What belongs together isn't parted.
func (b *loadBudget) reserve(n int) bool {
	if b.remaining < 0 {
		return true
	}
	if b.remaining == 0 {
		return false
	}
	b.remaining = max(0, b.remaining-n)
	return true
}
