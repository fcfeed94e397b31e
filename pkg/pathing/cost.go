package pathing

import (
	"math"
)

// fullCost is the cost of all layers of a candidate.
func (s *search) fullCost(k int) float64 {
	return s.passWait[k] + s.perLayer[k]*float64(s.candidates[k].Layers.Len())
}

// startCost is the cost of the wait at the first stage of a path: that is where
// requests wait if the memory of any endpoint on the path is full.
func (s *search) startCost(k int) float64 {
	return ms(s.candidates[k].Wait) * waitWeight
}

// computeHops computes the cost of a hop between each two failure domains, and within
// each one.
func (s *search) computeHops() {
	s.home = -1
	s.hop = make([][]float64, len(s.domainNames))
	for a := range s.domainNames {
		if s.domainNames[a] == s.demand.HomeDomain {
			s.home = a
		}
		s.hop[a] = make([]float64, len(s.domainNames))
		for b := range s.domainNames {
			s.hop[a][b] = s.hopCost(a, b)
		}
	}
}

// layerCost is the expected time in ms that one layer of a candidate adds to the whole
// request, and to the requests that are in flight there.
func (s *search) layerCost(c *Candidate) float64 {
	e := s.engine
	k := e.Kinds[c.Kind]
	held := float64(max(c.LayersHeld, c.Layers.Len()))
	share := 1 / float64(e.Layers)
	write := s.demand.Answer * k.Pace * share * (ms(e.StepTime) + contention*s.loadStepMs(c))
	read := 0.0
	if e.ReadPerSecond > 0 {
		read = s.demand.Prompt / e.ReadPerSecond * 1000 * k.ReadFactor * share * contention
	}
	cost := (write + read) * math.Max(1, c.Slowdown)
	capacity := e.CacheTokens(c.Kind, int(held)) / math.Max(1, held)
	need := c.Tokens + s.demand.MeanKVTokens()
	if capacity <= 0 || need > capacity {
		return cost * fullMemoryPenalty
	}
	return cost * (1 + need/capacity)
}

// loadStepMs is what the requests at a candidate add to a step through all layers, in
// ms.
func (s *search) loadStepMs(c *Candidate) float64 {
	return c.Requests*ms(s.engine.PerSequence) + c.Tokens/1000*ms(s.engine.PerContext)
}

// passWaitCost is the expected time in ms for which the tokens of a request wait for
// passes in progress. A pass runs all layers that the endpoint holds, even if the path
// uses few of them.
func (s *search) passWaitCost(c *Candidate) float64 {
	e := s.engine
	share := float64(max(c.LayersHeld, c.Layers.Len())) / float64(e.Layers)
	pass := share * e.Kinds[c.Kind].Pace * (ms(e.StepTime) + s.loadStepMs(c))
	return passWaitShare * s.demand.Answer * pass * math.Max(1, c.Slowdown)
}

// hopMs is what a hop within a failure domain adds for each token.
const hopMs = 0.2

// entryCost is the cost of a hop from domain a to domain b; a is negative if the path
// begins in b.
func (s *search) entryCost(a, b int) float64 {
	if a >= 0 {
		return s.hop[a][b]
	}
	if s.demand.HomeDomain != "" && b != s.home {
		return foreignStartMs
	}
	return 0
}

func (s *search) hopCost(a, b int) float64 {
	if a == b {
		return hopMs * s.demand.Answer
	}
	delay := ms(s.engine.Delay(s.domainNames[a], s.domainNames[b]))
	return domainCrossingMs + (delay+hopMs)*s.demand.Answer
}
