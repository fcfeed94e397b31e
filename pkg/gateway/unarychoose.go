package gateway

import (
	"math/rand/v2"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// pick chooses the best of the endpoints that may be called now.
func (g *Gateway) pick(service string, fits func(id string) bool) (fleet.Endpoint, bool) {
	return g.best(service, func(id string) bool { return fits(id) && g.backoffs.Remaining(id) == 0 && g.permits.MayCall(id) })
}

// lastChoice chooses an endpoint that is in backoff but may be called once
// nevertheless.
func (g *Gateway) lastChoice(service string, tried map[string]bool) (fleet.Endpoint, bool) {
	return g.best(service, func(id string) bool { return !tried[id] && g.backoffs.MayCall(id) && g.permits.MayCall(id) })
}

// best returns the endpoint with the lowest score of those for which fits returns true.
func (g *Gateway) best(service string, fits func(id string) bool) (fleet.Endpoint, bool) {
	var best fleet.Endpoint
	bestScore := -1.0
	for _, e := range g.source.Endpoints(service) {
		if !fits(e.ID) {
			continue
		}
		if s := g.score(&e); bestScore < 0 || s < bestScore {
			best = e
			bestScore = s
		}
	}
	return best, bestScore >= 0
}

const (
	// avoidedScore ranks endpoints that failed, and silentScore those that are silent,
	// behind all others.
	avoidedScore = 1e6
	silentScore  = 1e3
	// permitScore ranks endpoints before others if this host holds a permit for them: a
	// permit that is not used is lost to all hosts for a second.
	permitScore = 0.25
	// unknownLatency, in ms, is used for endpoints that have not answered this host
	// yet.
	unknownLatency = 50
)

func (g *Gateway) score(e *fleet.Endpoint) float64 {
	load := float64(g.tracker.Load(e.ID).Requests+g.source.PeerLoad(e.ID).Requests) + 1
	latency := g.tracker.Latency(e.ID)
	if latency == 0 {
		latency = unknownLatency
	}
	score := load / float64(max(1, e.Slots)) * latency * (0.9 + 0.2*rand.Float64())
	if g.permits.HasLimit(e.ID) {
		score *= permitScore
	}
	if g.tracker.Avoided(e.ID) {
		score += avoidedScore
	}
	if e.Silent {
		score += silentScore
	}
	return score
}
