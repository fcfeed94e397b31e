package admission

import "time"

const (
	windowSlot  = 100 * time.Millisecond
	windowSlots = 10
)

// window sums values over the last second, in slots of 100 ms. It isn't safe for concurrent
// use.
//
// Invariant: sums holds the slots from newest-windowSlots+1 to newest, each at its number
// modulo windowSlots.
type window struct {
	sums   [windowSlots]float64
	newest int64
}

func (w *window) advance(now time.Time) {
	slot := now.UnixNano() / int64(windowSlot)
	if slot-w.newest >= windowSlots {
		w.sums = [windowSlots]float64{}
		w.newest = slot
		return
	}
	for w.newest < slot {
		w.newest++
		w.sums[w.newest%windowSlots] = 0
	}
}

func (w *window) add(now time.Time, value float64) {
	w.advance(now)
	w.sums[w.newest%windowSlots] += value
}

func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, value := range w.sums {
		sum += value
	}
	return sum
}
