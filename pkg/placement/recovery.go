package placement

import "github.com/larchwinch/larchwinch/pkg/fleet"

// recoverLayers returns orders for the layers that no endpoint serves normally, in any
// group, and that none is loading: until they are, requests are slow, or can't be served
// at all. An endpoint of any group may be moved there if others serve its own layers
// meanwhile. If there is none, endpoints of all groups are repacked for the layers that
// not even a degraded endpoint serves.
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

// anyLayerServed reports whether any layer is served. If none is, every endpoint is
// being loaded for the first time.
func (p *planner) anyLayerServed() bool {
	for l := range p.serving {
		if p.serving[l]+p.degraded[l] > 0 {
			return true
		}
	}
	return false
}

// anyLayerUnserved reports whether some layers are served, but not all of them.
// Degraded endpoints count as serving.
func (p *planner) anyLayerUnserved() bool {
	return p.anyLayerServed() && p.hasUnservedLayer(fleet.Range{To: p.engine.Layers})
}

// hasUnservedLayer reports whether no endpoint, not even a degraded one, serves some
// layer of a range.
func (p *planner) hasUnservedLayer(r fleet.Range) bool {
	for l := r.From; l < r.To; l++ {
		if p.serving[l]+p.degraded[l] == 0 {
			return true
		}
	}
	return false
}

// nextUnserved returns the first range of layers at or after a layer that no endpoint
// serves normally and none is loading.
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

// recoveryEndpoint returns the index of the endpoint that best fills a gap without
// taking any layer out of service, or -1 if there is none. It prefers, in this order,
// the one that fills most of the gap, one that holds nothing, one that doesn't hold the
// first layers (streams can't leave the first stage of their path), and the one with
// the smallest capacity.
func (p *planner) recoveryEndpoint(gap fleet.Range) int {
	best := -1
	for i, s := range p.endpoints {
		if s.OrderPending || s.degraded() || p.capacity(s) == 0 || !p.servedByOthers(s) {
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

// servedByOthers reports whether every layer of an endpoint is also served by another
// one now, in any group.
func (p *planner) servedByOthers(s EndpointState) bool {
	for l := max(0, s.Layers.From); l < min(s.Layers.To, p.engine.Layers); l++ {
		if p.serving[l] < 2 {
			return false
		}
	}
	return true
}

// servedWhileLoading reports whether the layers of some endpoints stay served while all
// of these endpoints load others.
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

// loadBudget bounds the loads in progress: the store of weights serves only a few at
// full speed, and any more slow down all of them, including the urgent ones.
type loadBudget struct {
	remaining int // -1: unbounded
}

// loadOvercommit is how many loads are ordered for each one that the store serves at
// full speed. The end of a load is known up to 0.6 s late, with the next report and the
// next orders.
const loadOvercommit = 1.5

// newLoadBudget returns how many loads may be added to those in progress. They are
// unbounded while nothing is served yet, and where the store's limit isn't known.
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

// reserve takes n loads from the budget, and reports whether any was left. It grants
// all n even if fewer are left, since orders that belong together aren't split.
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
