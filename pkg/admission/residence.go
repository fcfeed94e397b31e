package admission

import (
	"math"
	"time"
)

// residenceWindow is the time constant of the averages by which the time is estimated for
// which tokens are in flight, a few times the length of a stream.
const residenceWindow = 10 * time.Second

// residence estimates for how long tokens are in flight: by Little's law, the average of those
// in flight divided by the average of what finishes in a second. What finishes in one second
// repeats what was admitted the length of a stream ago, so that occupancy would swing with
// this period if it alone decided what is admitted.
type residence struct {
	at       time.Time // of the previous update; zero if there was none
	inFlight float64   // average over residenceWindow
	finished float64   // a second, average over residenceWindow
}

func (r *residence) update(now time.Time, inFlight, finished float64) {
	if r.at.IsZero() {
		r.inFlight = inFlight
		r.finished = finished
	}
	weight := 1 - math.Exp(-float64(now.Sub(r.at))/float64(residenceWindow))
	r.at = now
	r.inFlight += weight * (inFlight - r.inFlight)
	r.finished += weight * (finished - r.finished)
}

// rate returns at what rate tokens finish when so many are in flight; 0 as long as that isn't
// known.
func (r *residence) rate(inFlight float64) float64 {
	if r.inFlight <= 0 {
		return 0
	}
	return inFlight * r.finished / r.inFlight
}
