package chain

import (
	"sync"
	"time"
)

// pace learns how much longer steps take than the engines' published curves
// say: networks, queues and busy hosts are not in the curves.
//
// It keeps the mean and the mean deviation of that ratio, as TCP does for
// round-trip times, so that a timeout follows how things normally go.
type pace struct {
	mu        sync.Mutex
	ratio     float64
	deviation float64
}

const (
	firstRatio     = 2.0
	firstDeviation = 1.0
	ratioShare     = 0.05
	deviationShare = 0.05
	deviations     = 6
	maxRatio       = 200
)

func newPace() *pace {
	return &pace{
		ratio:     firstRatio,
		deviation: firstDeviation,
	}
}

// observe takes one step's time and the time that the curves gave for it.
func (p *pace) observe(took, curve time.Duration) {
	if curve <= 0 {
		return
	}
	seen := min(float64(took)/float64(curve), maxRatio)
	p.mu.Lock()
	defer p.mu.Unlock()
	off := seen - p.ratio
	p.ratio += ratioShare * off
	if off < 0 {
		off = -off
	}
	p.deviation += deviationShare * (off - p.deviation)
}

// bound returns how long a step that the curves give d for may take.
func (p *pace) bound(d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(d) * (p.ratio + deviations*p.deviation))
}

// stepTimeout is how long a call to the next stage may take.
type stepTimeout struct {
	base     time.Duration
	position time.Duration // more, for each position passed on
}

const (
	// minTimeout is the least time that a stage gives the one after it, and
	// hopTimeout what each further stage adds, so that the stage next to a
	// frozen one notices it before those further up do.
	minTimeout = 80 * time.Millisecond
	hopTimeout = 25 * time.Millisecond
	// positionSlack widens the time for prefills, which wait for others'.
	positionSlack = 6
)

// stepTimeouts returns, for each stage, how long its call to the next may
// take. The last stage calls nobody.
//
// What is learnt is how much the time of a whole chain varies, which varies
// less, by its share, than that of one stage. A part of the chain is therefore
// never given less than half of what the whole is.
func (x *execution) stepTimeouts() []stepTimeout {
	list := make([]stepTimeout, len(x.stages))
	whole, _ := x.curve()
	var curve, position time.Duration
	for i := len(x.stages) - 1; i >= 0; i-- {
		list[i] = stepTimeout{
			base:     x.r.timeout(max(curve, whole/2), len(x.stages)-1-i),
			position: positionSlack * position,
		}
		pass, per := x.r.cfg.Router.PassTime(x.stages[i].endpoint)
		curve += pass
		position += per
	}
	return list
}

// wholeTimeout returns how long this host waits for a token of the chain.
func (x *execution) wholeTimeout(positions int) time.Duration {
	curve, position := x.curve()
	t := x.r.timeout(curve, len(x.stages))
	return t + time.Duration(positions)*positionSlack*position
}

// curve returns what the engines' curves give for a step through the chain.
func (x *execution) curve() (step, position time.Duration) {
	for _, s := range x.stages {
		pass, per := x.r.cfg.Router.PassTime(s.endpoint)
		step += pass
		position += per
	}
	return step, position
}

func (r *Runner) timeout(curve time.Duration, hops int) time.Duration {
	return minTimeout + time.Duration(hops)*hopTimeout + r.pace.bound(curve)
}
