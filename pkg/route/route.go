// Package route chooses the endpoints for a request: a chain in which each layer of
// the model is served by exactly one endpoint, in order.
package route

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/directory"
)

// Policy is how a router chooses among endpoints that hold the same layers.
type Policy string

// The policies. Only ExpectedFinish is meant for production; the others serve as
// baselines in measurements.
const (
	ExpectedFinish   Policy = "expected-finish"
	LeastOutstanding Policy = "least-outstanding"
	TwoChoices       Policy = "two-choices"
	RoundRobin       Policy = "round-robin"
	ByCapacity       Policy = "by-capacity"
)

// Chain is a sequence of endpoints that together cover a range of layers, in order.
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

// New returns a router for an entry host in the failure domain; hosts returns the
// number of entry hosts.
func New(policy Policy, domain string, hosts func() int, rnd *rand.Rand) *Router {
	return &Router{
		policy: policy,
		domain: domain,
		hosts:  hosts,
		rand:   rnd,
	}
}

// layerRange is the range of layers [first, end) and the endpoints that hold
// exactly these layers.
type layerRange struct {
	first     int
	end       int
	endpoints []*directory.Endpoint
}

// Choose returns the cheapest chain that it finds over layers [first, end), or nil
// if no chain covers them. Endpoints in exclude are not used. Endpoints that failed
// a short while ago are used only if there is no chain without them.
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

// groupByRange groups endpoints by the layers they hold, sorted by first layer and
// then by end.
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

// partialChain is the cheapest chain found up to a layer boundary: its cost, its
// last endpoint, and the boundary at which that endpoint begins.
type partialChain struct {
	cost float64
	last *directory.Endpoint
	from int
}

// cheapest finds the cheapest chain over the layer boundaries, with one endpoint
// picked from each range. The ranges are sorted by their first layer, so one pass
// over them is enough.
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

// pick chooses one endpoint of a range by the policy and returns it with its cost.
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

// sampleSize is the number of random endpoints of a range from which the cheapest
// is taken. If all were compared, every host would choose the same endpoint while
// the load reports are stale.
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
	start := r.rand.IntN(len(endpoints)) // a random start, so that ties don't always go to the first
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

// otherDomainDelay is the assumed round-trip time to an endpoint in another failure
// domain until one is measured.
const otherDomainDelay = time.Millisecond

// For warmUpPeriod an endpoint that has just joined gets less work: its cost is
// multiplied by a factor that falls from warmUpFactor to 1.
const (
	warmUpPeriod = 5 * time.Second
	warmUpFactor = 4
)

// fullPenalty multiplies the cost of an endpoint whose slots are estimated to be
// all taken.
const fullPenalty = 100

// cost estimates, in microseconds, how long a decode step of one more request would
// take at the endpoint: the pass that the request is in, full passes in proportion
// to the sequences per batch, which stand for the wait for other sequences, and the
// round trip. With ByCapacity only the full passes count. An endpoint that is full
// or has just joined costs more.
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
// present load, and by how much each prefilled position prolongs it.
func (r *Router) PassTime(e *directory.Endpoint) (pass, position time.Duration) {
	info := e.Info()
	layers := float64(info.GetEndLayer() - info.GetFirstLayer())
	n := float64(e.Sessions(r.hosts()) + 1)
	us := layers * (float64(info.GetLayerUs()) + float64(info.GetSequenceUs())*n)
	per := layers * float64(info.GetTokenUs())
	return time.Duration(us * float64(time.Microsecond)), time.Duration(per * float64(time.Microsecond))
}

// Slots returns the sum of the engines' slots at the layer with the fewest slots;
// 0 if some layer is held by no engine.
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
