package chain

import (
	"sync"
	"time"
)

// stepTimeEstimator estimates the ratio of measured step times to those of the
// latency curves that engines publish, which do not include networks, queues and
// busy hosts.
//
// It keeps the mean and the mean deviation of the ratio, as TCP does for
// round-trip times, so that timeouts follow the usual step times.
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

// observe records a step's time and the time that the latency curves give for
// it.
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

// maxStepTime returns how long a step with the given modelled time may take.
func (p *stepTimeEstimator) maxStepTime(modelled time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(modelled) * (p.ratio + timeoutDeviations*p.deviation))
}

// stepTimeout is how long a call to the next stage may take.
type stepTimeout struct {
	base     time.Duration
	position time.Duration // added for each position passed on
}

const (
	// minTimeout is the minimum time that a stage allows the next one. Each
	// further stage down the chain adds hopTimeout, so that the stage right
	// before a frozen one times out before those further up do.
	minTimeout = 80 * time.Millisecond
	hopTimeout = 25 * time.Millisecond
	// positionSlack extends the time allowed for prefills, which wait for those
	// of other requests.
	positionSlack = 6
)

// stepTimeouts returns, for each stage, how long its call to the next one may
// take. The last stage makes no calls.
//
// The estimator learns the relative variation of the time of a full chain, which
// is less than that of a single stage. The modelled time for the rest of a chain
// is therefore never taken as less than half of that for the full chain.
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

// modelledStepTime returns the time that the engines' latency curves give for a
// step through the chain, and for each position in it.
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
