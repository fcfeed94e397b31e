package placement

import "github.com/larchwinch/larchwinch/pkg/fleet"

// mend moves servers that aren't needed where they are into holes. Where there
// are none, it packs the group anew, unless a slow server holds the layers.
func (p *planner) mend(loads *budget) []Order {
	var orders []Order
	for g := range p.cover {
		bare := false
		from := 0
		for {
			hole, ok := p.holeOf(g, from)
			if !ok {
				break
			}
			if i := p.donor(g, hole); i >= 0 {
				if !loads.take(1) {
					return orders
				}
				orders = append(orders, p.move(i, hole))
				continue
			}
			bare = bare || p.bare(g, hole)
			from = hole.To
		}
		if bare && loads.left != 0 {
			shifts := p.repack(g)
			loads.take(len(shifts))
			orders = append(orders, shifts...)
		}
	}
	return orders
}

// holeOf returns a group's first hole at or after a layer, if the group holds
// anything.
func (p *planner) holeOf(g, from int) (fleet.Range, bool) {
	held := false
	hole := fleet.Range{
		From: -1,
	}
	for l, n := range p.cover[g] {
		held = held || n > 0
		if n > 0 || l < from {
			continue
		}
		if hole.From < 0 {
			hole.From = l
			hole.To = l
		}
		if hole.To == l {
			hole.To = l + 1
		}
	}
	return hole, held && hole.From >= 0
}

// bare reports whether nothing at all holds some layer of a hole.
func (p *planner) bare(g int, hole fleet.Range) bool {
	for l := hole.From; l < hole.To; l++ {
		if p.held[g][l] == 0 {
			return true
		}
	}
	return false
}

// donor returns the server of a group that is best moved: all of its layers
// are held by others too. One that holds the first layers is taken last, since
// requests can't leave the first endpoint of their path, and the load waits for
// them; then counts what fills most of the hole, with least room to spare. It
// returns -1 if there is none.
func (p *planner) donor(g int, hole fleet.Range) int {
	best := -1
	for i, s := range p.servers {
		if p.group[s.Domain] != g || s.OrderPending || s.BelowDemand || s.Slowdown >= slowLimit || s.Layers.Len() == 0 || !p.spare(g, s) {
			continue
		}
		if p.room(s) == 0 || s.Layers.From <= hole.From && s.Layers.To > hole.From {
			continue
		}
		if best < 0 || p.betterDonor(s, p.servers[best], hole) {
			best = i
		}
	}
	return best
}

// betterDonor reports whether a is better moved into a hole than b.
func (p *planner) betterDonor(a, b EndpointState, hole fleet.Range) bool {
	if firstA, firstB := a.Layers.From == 0, b.Layers.From == 0; firstA != firstB {
		return firstB
	}
	fillA := min(hole.Len(), p.room(a))
	fillB := min(hole.Len(), p.room(b))
	if fillA != fillB {
		return fillA > fillB
	}
	return p.room(a) < p.room(b)
}

// spare reports whether every layer of a server is held by another in its group,
// and served by another one now.
func (p *planner) spare(g int, s EndpointState) bool {
	for l := max(0, s.Layers.From); l < min(s.Layers.To, p.engine.Layers); l++ {
		if p.cover[g][l] < 2 {
			return false
		}
	}
	return p.servedWithout(s)
}

// move orders a server into a hole.
func (p *planner) move(i int, hole fleet.Range) Order {
	n := p.room(p.servers[i])
	from := min(hole.From, p.engine.Layers-n)
	return p.moveTo(i, fleet.Range{
		From: from,
		To:   from + n,
	})
}

// moveTo orders a server to hold other layers, and counts it there. It doesn't
// wait for streams: those of a path that lost a part stand still in the others
// until the endpoints give them up, seconds later, and the hole stays as long for
// all new ones.
func (p *planner) moveTo(i int, layers fleet.Range) Order {
	s := &p.servers[i]
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
