package chain

import (
	"sync"
	"time"
)

// stepTimeEstimator learns how much longer steps take than the engines' published curves
// say: networks, queues and busy hosts are not in the curves.
//
// It keeps the mean and the mean deviation of that ratio, as TCP does for
// round-trip times, so that a timeout follows how things normally go.
type stepTimeEstimator struct {
	mu        sync.Mutex
	ratio     float64
	deviation float64
}

const (
	initialRatio      = 2.0
	initialDeviation  = 1.0
	ratioWeight       = 0.05
	deviationWeight   = 0.05
	timeoutDeviations = 6
	maxRatio          = 200
)

func newStepTimeEstimator() *stepTimeEstimator {
	return &stepTimeEstimator{
		ratio:     initialRatio,
		deviation: initialDeviation,
	}
}

// observe takes one step's time and the time that the curves gave for it.
func (p *stepTimeEstimator) observe(measured, modelled time.Duration) {
	if modelled <= 0 {
		return
	}
	ratio := min(float64(measured)/float64(modelled), maxRatio)
	p.mu.Lock()
	defer p.mu.Unlock()
	deviation := ratio - p.ratio
	p.ratio += ratioWeight * deviation
	if deviation < 0 {
		deviation = -deviation
	}
	p.deviation += deviationWeight * (deviation - p.deviation)
}

// maxStepTime returns how long a step that the curves give d for may take.
func (p *stepTimeEstimator) maxStepTime(modelled time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(modelled) * (p.ratio + timeoutDeviations*p.deviation))
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
	full, _ := x.modelledStepTime()
	var modelled, position time.Duration
	for i := len(x.stages) - 1; i >= 0; i-- {
		list[i] = stepTimeout{
			base:     x.r.timeout(max(modelled, full/2), len(x.stages)-1-i),
			position: positionSlack * position,
		}
		pass, perPosition := x.r.cfg.Router.PassTime(x.stages[i].endpoint)
		modelled += pass
		position += perPosition
	}
	return list
}

// tokenTimeout returns how long this host waits for a token of the chain.
func (x *execution) tokenTimeout(positions int) time.Duration {
	modelled, position := x.modelledStepTime()
	t := x.r.timeout(modelled, len(x.stages))
	return t + time.Duration(positions)*positionSlack*position
}

// modelledStepTime returns what the engines' curves give for a step through the chain.
func (x *execution) modelledStepTime() (step, position time.Duration) {
	for _, s := range x.stages {
		pass, perPosition := x.r.cfg.Router.PassTime(s.endpoint)
		step += pass
		position += perPosition
	}
	return step, position
}

func (r *Runner) timeout(modelled time.Duration, hops int) time.Duration {
	return minTimeout + time.Duration(hops)*hopTimeout + r.stepTimes.maxStepTime(modelled)
}
