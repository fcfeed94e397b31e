package admission

import (
	"math"
	"time"
)

const (
	// residenceWindow is the time constant of the averages by which the time is estimated for
	// which tokens are in flight, a few times the length of a stream.
	residenceWindow = 10 * time.Second
	// recentWindow is the time constant of the average of what is in flight now.
	recentWindow = time.Second
)

// residence estimates for how long tokens are in flight: by Little's law, the average of those
// in flight divided by the average of what finishes in a second. What finishes in one second
// repeats what was admitted the length of a stream ago, so that occupancy would swing with
// this period if it alone decided what is admitted.
type residence struct {
	at       time.Time // of the previous update; zero if there was none
	inFlight float64   // average over residenceWindow
	finished float64   // a second, average over residenceWindow
	recent   float64   // in flight, average over recentWindow
}

func (r *residence) update(now time.Time, inFlight, finished float64) {
	if r.at.IsZero() {
		r.inFlight = inFlight
		r.finished = finished
		r.recent = inFlight
	}
	elapsed := now.Sub(r.at)
	r.at = now
	part := weight(elapsed, residenceWindow)
	r.inFlight += part * (inFlight - r.inFlight)
	r.finished += part * (finished - r.finished)
	r.recent += weight(elapsed, recentWindow) * (inFlight - r.recent)
}

// weight returns the weight of a new value in an average that decays with a time constant.
func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// rate returns at what rate tokens finish when so many are in flight; 0 as long as that isn't
// known.
func (r *residence) rate(inFlight float64) float64 {
	if r.inFlight <= 0 {
		return 0
	}
	return inFlight * r.finished / r.inFlight
}

// expected returns at what rate the tokens that are in flight finish, as far as there is
// capacity for them.
func (r *residence) expected(capacity float64) float64 {
	return r.rate(min(r.recent, capacity))
}
