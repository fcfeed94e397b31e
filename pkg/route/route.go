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

	mu        sync.Mutex
	rand      *rand.Rand
	nextIndex int
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

// layerRange is the endpoints that hold the same layers.
type layerRange struct {
	first     int
	end       int
	endpoints []*directory.Endpoint
}

// Choose returns the chain that covers layers [first, end) at the least cost,
// or nil if none does. Endpoints in without are left out; those that failed a
// short while ago are used only if there is no other way.
func (r *Router) Choose(endpoints []*directory.Endpoint, first, end int, exclude map[string]bool) Chain {
	var preferred, avoided []*directory.Endpoint
	for _, e := range endpoints {
		switch {
		case exclude[e.Address()]:
		case e.Avoided():
			avoided = append(avoided, e)
		default:
			preferred = append(preferred, e)
		}
	}
	if c := r.cheapest(groupByRange(preferred), first, end); c != nil {
		return c
	}
	return r.cheapest(groupByRange(append(preferred, avoided...)), first, end)
}

// groupByRange groups endpoints by the layers they hold, in the layers' order.
func groupByRange(endpoints []*directory.Endpoint) []*layerRange {
	type bounds struct {
		first int
		end   int
	}
	byBounds := map[bounds]*layerRange{}
	var list []*layerRange
	for _, e := range endpoints {
		b := bounds{
			first: int(e.Info().GetFirstLayer()),
			end:   int(e.Info().GetEndLayer()),
		}
		s := byBounds[b]
		if s == nil {
			s = &layerRange{
				first: b.first,
				end:   b.end,
			}
			byBounds[b] = s
			list = append(list, s)
		}
		s.endpoints = append(s.endpoints, e)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].first != list[j].first {
			return list[i].first < list[j].first
		}
		return list[i].end < list[j].end
	})
	return list
}

// partialChain is the cheapest way found to a layer boundary.
type partialChain struct {
	cost float64
	last *directory.Endpoint
	from int
}

// cheapest finds the cheapest path over the layer boundaries. Since spans come
// in the order of their first layer, one pass over them is enough.
func (r *Router) cheapest(ranges []*layerRange, first, end int) Chain {
	best := map[int]partialChain{
		first: {},
	}
	for _, s := range ranges {
		at, ok := best[s.first]
		if !ok || s.first < first || s.end > end {
			continue
		}
		e, cost := r.pick(s)
		old, known := best[s.end]
		if total := at.cost + cost; !known || total < old.cost {
			best[s.end] = partialChain{
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
func (r *Router) pick(s *layerRange) (*directory.Endpoint, float64) {
	switch r.policy {
	case RoundRobin:
		r.mu.Lock()
		r.nextIndex++
		e := s.endpoints[r.nextIndex%len(s.endpoints)]
		r.mu.Unlock()
		return e, 1
	case LeastOutstanding:
		return r.least(s.endpoints, outstanding), 1
	case TwoChoices:
		return r.least(r.sample(s.endpoints, 2), outstanding), 1
	default:
		e := r.least(r.sample(s.endpoints, sampleSize), r.cost)
		return e, r.cost(e)
	}
}

// sampleSize is among how many random endpoints of a span the cheapest is taken.
// Looking at all of them would send every host to the same one when reports
// are stale.
const sampleSize = 4

func (r *Router) sample(endpoints []*directory.Endpoint, n int) []*directory.Endpoint {
	if len(endpoints) <= n {
		return endpoints
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen := make([]*directory.Endpoint, 0, n)
	for _, i := range r.rand.Perm(len(endpoints))[:n] {
		chosen = append(chosen, endpoints[i])
	}
	return chosen
}

func (r *Router) least(endpoints []*directory.Endpoint, cost func(*directory.Endpoint) float64) *directory.Endpoint {
	r.mu.Lock()
	start := r.rand.IntN(len(endpoints)) // so that ties don't all fall to the first
	r.mu.Unlock()
	best := endpoints[start]
	lowest := math.Inf(1)
	for i := range endpoints {
		e := endpoints[(start+i)%len(endpoints)]
		if c := cost(e); c < lowest {
			lowest = c
			best = e
		}
	}
	return best
}

func outstanding(e *directory.Endpoint) float64 {
	return float64(e.Inflight())
}

// otherDomainDelay is what a stage in another failure domain costs more, before a
// round-trip time is known.
const otherDomainDelay = time.Millisecond

// warmUpPeriod is how long an endpoint that has joined is given less work.
const (
	warmUpPeriod = 5 * time.Second
	warmUpFactor = 4
)

// fullPenalty keeps requests away from an endpoint whose slots seem to be taken.
const fullPenalty = 100

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
		link = float64(otherDomainDelay.Microseconds())
	}
	c := own + full*n/batch + link
	if r.policy == ByCapacity {
		c = full * n / batch
	}
	if slots := float64(info.GetSlots()); slots > 0 && n > slots {
		c *= fullPenalty
	}
	if age := e.Age(); age < warmUpPeriod {
		c *= 1 + (warmUpFactor-1)*(1-float64(age)/float64(warmUpPeriod))
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
func Slots(endpoints []*directory.Endpoint, layers int) int {
	changes := make([]int, layers+1)
	for _, e := range endpoints {
		info := e.Info()
		first := min(int(info.GetFirstLayer()), layers)
		end := min(int(info.GetEndLayer()), layers)
		changes[first] += int(info.GetSlots())
		changes[end] -= int(info.GetSlots())
	}
	lowest, sum := math.MaxInt, 0
	for _, change := range changes[:layers] {
		sum += change
		lowest = min(lowest, sum)
	}
	return max(0, lowest)
}
