package admission

import (
	"slices"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// maxSlowdown is how many times as slow as its kind an endpoint may be to count as capacity.
// Streams through a slower one miss their goals anyway.
const maxSlowdown = 4

// Capacity returns the KV tokens that the endpoints of a service hold at the layer with the
// least. It is 0 if a layer has no holder. Endpoints that are leaving, gone, silent, loading
// or very slow don't count.
func Capacity(e *fleet.Engine, endpoints []fleet.Endpoint) float64 {
	if e == nil || e.Layers <= 0 {
		return 0
	}
	// changes[n] is by how much layer n has more tokens than the layer before it.
	changes := make([]float64, e.Layers+1)
	holders := make([]int, e.Layers+1)
	for i := range endpoints {
		p := &endpoints[i]
		from, to := max(0, p.Layers.From), min(e.Layers, p.Layers.To)
		if from >= to || !p.Usable() || p.Silent || p.Loading || p.Slowdown > maxSlowdown {
			continue
		}
		tokens := e.CacheTokens(p.Kind, p.Layers.Len()) / float64(p.Layers.Len())
		changes[from] += tokens
		changes[to] -= tokens
		holders[from]++
		holders[to]--
	}
	for n := 1; n < e.Layers; n++ {
		changes[n] += changes[n-1]
		holders[n] += holders[n-1]
	}
	if slices.Contains(holders[:e.Layers], 0) {
		return 0 // sums of floats needn't be exactly 0 there
	}
	return max(0, slices.Min(changes[:e.Layers]))
}
