package quarantine

import "time"

const (
	// refusalWindow is the least time over which refused requests are compared with all.
	refusalWindow = time.Second
	// minRefusals is the least number of requests that a host refuses to ask for a trial, and
	// nearlyAllRefused their share: requests that are sent are checked twice or more.
	minRefusals      = 5
	nearlyAllRefused = 0.8
)

// refusals counts the requests that a host refuses because of quarantined parts, over two windows.
type refusals struct {
	beganAt      time.Time
	all, refused [2]int // of the current window, and of the one before
}

func (r *refusals) record(refused bool, now time.Time) {
	if age := now.Sub(r.beganAt); age >= refusalWindow {
		r.all = [2]int{0, r.all[0]}
		r.refused = [2]int{0, r.refused[0]}
		if age >= 2*refusalWindow {
			r.all[1], r.refused[1] = 0, 0
		}
		r.beganAt = now
	}
	r.all[0]++
	if refused {
		r.refused[0]++
	}
}

func (r *refusals) nearlyAll() bool {
	refused, all := r.refused[0]+r.refused[1], r.all[0]+r.all[1]
	return refused >= minRefusals && float64(refused) >= nearlyAllRefused*float64(all)
}
