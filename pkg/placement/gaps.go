package placement

import "github.com/larchwinch/larchwinch/pkg/fleet"

// fillGaps moves redundant endpoints into the gaps of each group. Where there are none,
// it repacks the group, unless a slow endpoint holds the missing layers.
func (p *planner) fillGaps(loads *loadBudget) []Order {
	var orders []Order
	for g := range p.cover {
		unheld := false
		from := 0
		for {
			gap, ok := p.nextGap(g, from)
			if !ok {
				break
			}
			if i := p.movableEndpoint(g, gap); i >= 0 {
				if !loads.reserve(1) {
					return orders
				}
				orders = append(orders, p.moveInto(i, gap))
				continue
			}
			unheld = unheld || p.hasUnheldLayer(g, gap)
			from = gap.To
		}
		if unheld && loads.remaining != 0 {
			shifts := p.repack(g)
			loads.reserve(len(shifts))
			orders = append(orders, shifts...)
		}
	}
	return orders
}

// nextGap returns a group's first gap at or after a layer, if the group holds any
// layer.
func (p *planner) nextGap(g, from int) (fleet.Range, bool) {
	held := false
	gap := fleet.Range{
		From: -1,
	}
	for l, n := range p.cover[g] {
		held = held || n > 0
		if n > 0 || l < from {
			continue
		}
		if gap.From < 0 {
			gap.From = l
			gap.To = l
		}
		if gap.To == l {
			gap.To = l + 1
		}
	}
	return gap, held && gap.From >= 0
}

// hasUnheldLayer reports whether no endpoint of the group, not even a slow one, holds
// some layer of a gap.
func (p *planner) hasUnheldLayer(g int, gap fleet.Range) bool {
	for l := gap.From; l < gap.To; l++ {
		if p.held[g][l] == 0 {
			return true
		}
	}
	return false
}

// movableEndpoint returns the index of the endpoint of a group that is best moved into
// a gap, or -1 if there is none. Others must hold all of its layers too.
func (p *planner) movableEndpoint(g int, gap fleet.Range) int {
	best := -1
	for i, s := range p.endpoints {
		if p.group[s.Domain] != g || s.OrderPending || s.degraded() || s.Layers.Len() == 0 || !p.redundant(g, s) {
			continue
		}
		if p.capacity(s) == 0 || s.Layers.From <= gap.From && s.Layers.To > gap.From {
			continue
		}
		if best < 0 || p.betterMove(s, p.endpoints[best], gap) {
			best = i
		}
	}
	return best
}

// betterMove reports whether a is better moved into a gap than b. An endpoint that
// holds the first layers comes last, since streams can't leave the first stage of their
// path. Otherwise the one that fills more of the gap is better, then the one with less
// capacity.
func (p *planner) betterMove(a, b EndpointState, gap fleet.Range) bool {
	if firstA, firstB := a.Layers.From == 0, b.Layers.From == 0; firstA != firstB {
		return firstB
	}
	fillA := min(gap.Len(), p.capacity(a))
	fillB := min(gap.Len(), p.capacity(b))
	if fillA != fillB {
		return fillA > fillB
	}
	return p.capacity(a) < p.capacity(b)
}

// redundant reports whether every layer of an endpoint is held by another one in its
// group, and served by another one now, in any group.
func (p *planner) redundant(g int, s EndpointState) bool {
	for l := max(0, s.Layers.From); l < min(s.Layers.To, p.engine.Layers); l++ {
		if p.cover[g][l] < 2 {
			return false
		}
	}
	return p.servedByOthers(s)
}

// moveInto orders an endpoint into a gap.
func (p *planner) moveInto(i int, gap fleet.Range) Order {
	n := p.capacity(p.endpoints[i])
	from := min(gap.From, p.engine.Layers-n)
	return p.moveTo(i, fleet.Range{
		From: from,
		To:   from + n,
	})
}

// moveTo orders an endpoint to hold other layers, and counts it there. The order
// interrupts streams rather than wait for them: where a path has lost a stage, its
// streams stall in the other ones for seconds, until those endpoints give them up, and
// for as long the gap would stay for all new streams.
func (p *planner) moveTo(i int, layers fleet.Range) Order {
	s := &p.endpoints[i]
	p.add(*s, -1)
	s.Layers = layers
	s.OrderPending = true
	p.count(*s)
	return Order{
		ID:               s.ID,
		Layers:           layers,
		InterruptStreams: true,
	}
}
