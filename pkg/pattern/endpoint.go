package pattern

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// endpoint is one engine, which holds some layers and works in passes: each takes
// all that waits, a few steps of every stream that writes and a bounded number of
// prompt tokens, those that came first.
//
// Invariant: a visit is in waiting, or in the pass under way, or done.
type endpoint struct {
	clock  *clock
	engine *fleet.Engine
	shape  *Scenario

	id     string
	domain string
	kind   string
	layers fleet.Range
	slow   float64 // multiplies its times; 1 is as expected

	requests int
	tokens   float64 // in KV memory
	busy     bool
	waiting  []*visit
}

// visit is a stream's wish for one endpoint's work: to read read tokens, or to write
// the tokens of one event.
type visit struct {
	s      *stream
	layers int
	read   float64
	epoch  int // of the stream; an older one is void
	done   func()
}

// room returns how many tokens of KV cache the endpoint has place for.
func (e *endpoint) room() float64 {
	return e.engine.CacheTokens(e.kind, e.layers.Len()) / float64(max(1, e.layers.Len()))
}

// visit queues work.
func (e *endpoint) visit(v *visit) {
	e.waiting = append(e.waiting, v)
	if !e.busy {
		e.pass()
	}
}

// pass begins the next pass, if anything waits.
func (e *endpoint) pass() {
	e.dropVoid()
	e.busy = len(e.waiting) > 0
	if !e.busy {
		return
	}
	took, done := e.take()
	e.clock.after(took, func() {
		for _, v := range done {
			if v.epoch == v.s.epoch {
				v.done()
			}
		}
		e.pass()
	})
}

// dropVoid forgets visits of streams that were cut.
func (e *endpoint) dropVoid() {
	kept := e.waiting[:0]
	for _, v := range e.waiting {
		if v.epoch == v.s.epoch {
			kept = append(kept, v)
		}
	}
	e.waiting = kept
}

// take takes what one pass does off the queue. It returns how long the pass takes
// and what is done at its end.
func (e *endpoint) take() (time.Duration, []*visit) {
	kind := e.engine.Kinds[e.kind]
	left := float64(e.shape.Chunk * e.shape.TokensPerEvent)
	steps := 1
	widest := 0
	writing := 0.0 // ms of one step, beyond the step itself
	reading := 0.0 // ms
	var done, later []*visit
	for _, v := range e.waiting {
		share := float64(v.layers) / float64(e.engine.Layers)
		switch {
		case v.read == 0:
			steps = e.shape.TokensPerEvent
			writing += share * (millis(e.engine.PerSequence) + v.s.context()/1000*millis(e.engine.PerContext))
		case left > 0:
			n := min(left, v.read)
			left -= n
			v.read -= n
			reading += share * n / e.engine.ReadPerSecond * 1000
		}
		if v.read > 0 {
			later = append(later, v)
			continue
		}
		widest = max(widest, v.layers)
		done = append(done, v)
	}
	e.waiting = later
	step := float64(widest) / float64(e.engine.Layers) * millis(e.engine.StepTime)
	ms := float64(steps)*kind.Pace*(step+writing) + kind.ReadFactor*reading
	return time.Duration(ms * e.slow * float64(time.Millisecond)), done
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
