// Package route chooses the endpoints of a request: for each layer of the
// model exactly one, in order.
package route

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/directory"
)

// Policy names a way of choosing among endpoints that hold the same layers.
type Policy string

// The policies. Only ExpectedFinish is meant for production; the others are
// what it is measured against.
const (
	ExpectedFinish   Policy = "expected-finish"
	LeastOutstanding Policy = "least-outstanding"
	TwoChoices       Policy = "two-choices"
	RoundRobin       Policy = "round-robin"
	ByCapacity       Policy = "by-capacity"
)

// Chain is endpoints that cover a range of layers, in order.
type Chain []*directory.Endpoint

// Addresses returns the endpoints' addresses.
func (c Chain) Addresses() []string {
	list := make([]string, 0, len(c))
	for _, e := range c {
		list = append(list, e.Address())
	}
	return list
}

// Router chooses chains. It is safe for use by several goroutines.
type Router struct {
	policy Policy
	domain string
	hosts  func() int

	mu   sync.Mutex
	rand *rand.Rand
	turn int
}

// New returns a router for a host in domain; hosts gives how many entry hosts
// there are.
func New(policy Policy, domain string, hosts func() int, rnd *rand.Rand) *Router {
	return &Router{
		policy: policy,
		domain: domain,
		hosts:  hosts,
		rand:   rnd,
	}
}

// span is the endpoints that hold the same layers.
type span struct {
	first int
	end   int
	all   []*directory.Endpoint
}

// Choose returns the chain that covers layers [first, end) at the least cost,
// or nil if none does. Endpoints in without are left out; those that failed a
// short while ago are used only if there is no other way.
func (r *Router) Choose(all []*directory.Endpoint, first, end int, without map[string]bool) Chain {
	var good, rest []*directory.Endpoint
	for _, e := range all {
		switch {
		case without[e.Address()]:
		case e.Avoided():
			rest = append(rest, e)
		default:
			good = append(good, e)
		}
	}
	if c := r.cheapest(spans(good), first, end); c != nil {
		return c
	}
	return r.cheapest(spans(append(good, rest...)), first, end)
}

// spans groups endpoints by the layers they hold, in the layers' order.
func spans(all []*directory.Endpoint) []*span {
	type bounds struct {
		first int
		end   int
	}
	by := map[bounds]*span{}
	var list []*span
	for _, e := range all {
		b := bounds{
			first: int(e.Info().GetFirstLayer()),
			end:   int(e.Info().GetEndLayer()),
		}
		s := by[b]
		if s == nil {
			s = &span{
				first: b.first,
				end:   b.end,
			}
			by[b] = s
			list = append(list, s)
		}
		s.all = append(s.all, e)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].first != list[j].first {
			return list[i].first < list[j].first
		}
		return list[i].end < list[j].end
	})
	return list
}

// reach is the cheapest way found to a layer boundary.
type reach struct {
	cost float64
	last *directory.Endpoint
	from int
}

// cheapest finds the cheapest path over the layer boundaries. Since spans come
// in the order of their first layer, one pass over them is enough.
func (r *Router) cheapest(list []*span, first, end int) Chain {
	best := map[int]reach{
		first: {},
	}
	for _, s := range list {
		at, ok := best[s.first]
		if !ok || s.first < first || s.end > end {
			continue
		}
		e, cost := r.pick(s)
		old, known := best[s.end]
		if total := at.cost + cost; !known || total < old.cost {
			best[s.end] = reach{
				cost: total,
				last: e,
				from: s.first,
			}
		}
	}
	var c Chain
	for at := end; at > first; {
		b, ok := best[at]
		if !ok {
			return nil
		}
		c = append(c, b.last)
		at = b.from
	}
	for i, j := 0, len(c)-1; i < j; i, j = i+1, j-1 {
		c[i], c[j] = c[j], c[i]
	}
	return c
}

// pick chooses one endpoint of a span by the policy, and says what it costs.
func (r *Router) pick(s *span) (*directory.Endpoint, float64) {
	switch r.policy {
	case RoundRobin:
		r.mu.Lock()
		r.turn++
		e := s.all[r.turn%len(s.all)]
		r.mu.Unlock()
		return e, 1
	case LeastOutstanding:
		return r.least(s.all, outstanding), 1
	case TwoChoices:
		return r.least(r.sample(s.all, 2), outstanding), 1
	default:
		e := r.least(r.sample(s.all, sampled), r.cost)
		return e, r.cost(e)
	}
}

// sampled is among how many random endpoints of a span the cheapest is taken.
// Looking at all of them would send every host to the same one when reports
// are stale.
const sampled = 4

func (r *Router) sample(all []*directory.Endpoint, n int) []*directory.Endpoint {
	if len(all) <= n {
		return all
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen := make([]*directory.Endpoint, 0, n)
	for _, i := range r.rand.Perm(len(all))[:n] {
		chosen = append(chosen, all[i])
	}
	return chosen
}

func (r *Router) least(all []*directory.Endpoint, cost func(*directory.Endpoint) float64) *directory.Endpoint {
	r.mu.Lock()
	start := r.rand.IntN(len(all)) // so that ties don't all fall to the first
	r.mu.Unlock()
	best := all[start]
	low := math.Inf(1)
	for i := range all {
		e := all[(start+i)%len(all)]
		if c := cost(e); c < low {
			low = c
			best = e
		}
	}
	return best
}

func outstanding(e *directory.Endpoint) float64 {
	return float64(e.Inflight())
}

// farLink is what a stage in another failure domain costs more, before a
// round-trip time is known.
const farLink = time.Millisecond

// warmUp is how long an endpoint that has joined is given less work.
const (
	warmUp     = 5 * time.Second
	warmUpCost = 4
)

// fullCost keeps requests away from an endpoint whose slots seem to be taken.
const fullCost = 100

// cost is about how long a step of one more request would take at the
// endpoint, in microseconds: its own pass, and the passes of others that it
// waits for once there are more sequences than fit into one.
func (r *Router) cost(e *directory.Endpoint) float64 {
	info := e.Info()
	layers := float64(info.GetEndLayer() - info.GetFirstLayer())
	batch := float64(max(1, info.GetBatch()))
	n := float64(e.Sessions(r.hosts()) + 1)
	full := layers * (float64(info.GetLayerUs()) + float64(info.GetSequenceUs())*batch)
	own := layers * (float64(info.GetLayerUs()) + float64(info.GetSequenceUs())*math.Min(n, batch))
	link := float64(e.RTT().Microseconds())
	if link == 0 && info.GetDomain() != r.domain {
		link = float64(farLink.Microseconds())
	}
	c := own + full*n/batch + link
	if r.policy == ByCapacity {
		c = full * n / batch
	}
	if slots := float64(info.GetSlots()); slots > 0 && n > slots {
		c *= fullCost
	}
	if age := e.Age(); age < warmUp {
		c *= 1 + (warmUpCost-1)*(1-float64(age)/float64(warmUp))
	}
	return c
}

// PassTime returns how long a decode step through the endpoint takes under its
// present load, and how much longer each prefilled position makes it.
func (r *Router) PassTime(e *directory.Endpoint) (pass, position time.Duration) {
	info := e.Info()
	layers := float64(info.GetEndLayer() - info.GetFirstLayer())
	n := float64(e.Sessions(r.hosts()) + 1)
	us := layers * (float64(info.GetLayerUs()) + float64(info.GetSequenceUs())*n)
	per := layers * float64(info.GetTokenUs())
	return time.Duration(us * float64(time.Microsecond)), time.Duration(per * float64(time.Microsecond))
}

// Slots returns how many requests the engines have room for at the layer at
// which they have the least; 0 if a layer is held by none.
func Slots(all []*directory.Endpoint, layers int) int {
	at := make([]int, layers+1)
	for _, e := range all {
		info := e.Info()
		first := min(int(info.GetFirstLayer()), layers)
		end := min(int(info.GetEndLayer()), layers)
		at[first] += int(info.GetSlots())
		at[end] -= int(info.GetSlots())
	}
	low, sum := math.MaxInt, 0
	for _, change := range at[:layers] {
		sum += change
		low = min(low, sum)
	}
	return max(0, low)
}
