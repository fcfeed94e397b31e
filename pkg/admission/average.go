package admission

import (
	"math"
	"time"
)

const (
	// averageTime is the time constant of the averages of what small accounts ask for.
	averageTime = 3 * time.Second
	// wellKnownStreams is how many streams a second an account must ask for on average to be
	// judged by the last second alone.
	wellKnownStreams = 10
	// minAverageStreams is the average, in streams a second, below which an account is
	// forgotten.
	minAverageStreams = 0.01
)

// averages are what client accounts have asked for lately. The demand of an account that
// sends few requests varies from second to second. If each second were divided fairly by
// itself, such an account would be cut whenever it sends two, and lose its part when it sends
// none.
//
// Invariant: byKey holds no account 0.
type averages struct {
	byKey map[demandKey]*average
	since time.Time // when accounts began to be told apart
	at    time.Time // of the last demand
}

// average is a sum that decays with averageTime.
type average struct {
	tokens, streams float64
	at              time.Time
}

func newAverages() *averages {
	return &averages{
		byKey: map[demandKey]*average{},
	}
}

func (a *average) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(a.at)) / float64(averageTime))
	a.tokens *= factor
	a.streams *= factor
	a.at = now
}

// add counts what an account asks for.
func (a *averages) add(d Demand, now time.Time) {
	if d.Account == 0 {
		return
	}
	if len(a.byKey) == 0 || now.Sub(a.at) > averageTime {
		clear(a.byKey)
		a.since = now
	}
	a.at = now
	key := demandKey{
		class:   d.Class,
		account: d.Account,
	}
	sum := a.byKey[key]
	if sum == nil {
		sum = &average{
			at: now,
		}
		a.byKey[key] = sum
	}
	sum.decay(now)
	sum.tokens += d.Tokens
	sum.streams += float64(d.Streams)
}

// estimate returns what an account asks for in a second, of which it has asked for recent in
// the last one. Averages of accounts whose demand is long past are dropped.
func (a *averages) estimate(key demandKey, recent float64, now time.Time) float64 {
	sum := a.byKey[key]
	if sum == nil {
		return recent
	}
	sum.decay(now)
	counted := max(sumWindow, now.Sub(a.since))
	seconds := averageTime.Seconds() * -math.Expm1(-float64(counted)/float64(averageTime))
	streams := sum.streams / seconds
	if streams < minAverageStreams {
		delete(a.byKey, key)
		return recent
	}
	weight := min(1, streams/wellKnownStreams)
	return weight*recent + (1-weight)*sum.tokens/seconds
}
