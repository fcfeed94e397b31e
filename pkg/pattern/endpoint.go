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
	clock    *clock
	engine   *fleet.Engine
	scenario *Scenario

	id       string
	domain   string
	kind     string
	layers   fleet.Range
	slowdown float64 // multiplies its times; 1 is as expected

	requests int
	tokens   float64 // in KV memory
	busy     bool
	waiting  []*task
}

// task is a stream's wish for one endpoint's work: to read read tokens, or to write
// the tokens of one event.
type task struct {
	stream       *stream
	layers       int
	promptTokens float64
	epoch        int // of the stream; an older one is void
	done         func()
}

// capacity returns how many tokens of KV cache the endpoint has place for.
func (e *endpoint) capacity() float64 {
	return e.engine.CacheTokens(e.kind, e.layers.Len()) / float64(max(1, e.layers.Len()))
}

// enqueue queues work.
func (e *endpoint) enqueue(t *task) {
	e.waiting = append(e.waiting, t)
	if !e.busy {
		e.startPass()
	}
}

// startPass begins the next pass, if anything waits.
func (e *endpoint) startPass() {
	e.dropStale()
	e.busy = len(e.waiting) > 0
	if !e.busy {
		return
	}
	duration, done := e.takeBatch()
	e.clock.after(duration, func() {
		for _, t := range done {
			if t.epoch == t.stream.epoch {
				t.done()
			}
		}
		e.startPass()
	})
}

// dropStale forgets visits of streams that were cut.
func (e *endpoint) dropStale() {
	kept := e.waiting[:0]
	for _, t := range e.waiting {
		if t.epoch == t.stream.epoch {
			kept = append(kept, t)
		}
	}
	e.waiting = kept
}

// takeBatch takes what one pass does off the queue. It returns how long the pass takes
// and what is done at its end.
func (e *endpoint) takeBatch() (time.Duration, []*task) {
	kind := e.engine.Kinds[e.kind]
	left := float64(e.scenario.Chunk * e.scenario.TokensPerEvent)
	steps := 1
	widest := 0
	writing := 0.0 // ms of one step, beyond the step itself
	reading := 0.0 // ms
	var done, later []*task
	for _, t := range e.waiting {
		share := float64(t.layers) / float64(e.engine.Layers)
		switch {
		case t.promptTokens == 0:
			steps = e.scenario.TokensPerEvent
			writing += share * (millis(e.engine.PerSequence) + t.stream.contextTokens()/1000*millis(e.engine.PerContext))
		case left > 0:
			n := min(left, t.promptTokens)
			left -= n
			t.promptTokens -= n
			reading += share * n / e.engine.ReadPerSecond * 1000
		}
		if t.promptTokens > 0 {
			later = append(later, t)
			continue
		}
		widest = max(widest, t.layers)
		done = append(done, t)
	}
	e.waiting = later
	step := float64(widest) / float64(e.engine.Layers) * millis(e.engine.StepTime)
	ms := float64(steps)*kind.Pace*(step+writing) + kind.ReadFactor*reading
	return time.Duration(ms * e.slowdown * float64(time.Millisecond)), done
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
