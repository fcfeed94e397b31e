package simulation

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// endpoint is a simulated engine. It holds some layers and works in passes: each one
// takes all waiting tasks, runs a few steps of every stream that writes, and reads a
// bounded number of prompt tokens in the order of arrival.
//
// Invariant: a task waits, is in the pass in progress, or is done.
type endpoint struct {
	clock    *clock
	engine   *fleet.Engine
	scenario *Scenario

	id       string
	domain   string
	kind     string
	layers   fleet.Range
	slowdown float64 // multiplies its times; 1 is normal

	requests int
	tokens   float64 // in the KV cache
	busy     bool
	waiting  []*task
}

// task is a stream's work at one endpoint: to read prompt tokens, or to write the
// tokens of one event if there are none to read.
type task struct {
	stream       *stream
	layers       int
	promptTokens float64
	epoch        int // of the stream; the task is stale if the stream's is newer
	done         func()
}

// capacity returns how many tokens fit into the endpoint's KV cache.
func (e *endpoint) capacity() float64 {
	return e.engine.CacheTokens(e.kind, e.layers.Len()) / float64(max(1, e.layers.Len()))
}

func (e *endpoint) enqueue(t *task) {
	e.waiting = append(e.waiting, t)
	if !e.busy {
		e.startPass()
	}
}

// startPass starts the next pass, if any task waits.
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

// dropStale removes tasks of streams that have left their path.
func (e *endpoint) dropStale() {
	kept := e.waiting[:0]
	for _, t := range e.waiting {
		if t.epoch == t.stream.epoch {
			kept = append(kept, t)
		}
	}
	e.waiting = kept
}

// takeBatch takes the work of one pass off the queue. It returns how long the pass
// takes and the tasks that are done at its end.
func (e *endpoint) takeBatch() (time.Duration, []*task) {
	kind := e.engine.Kinds[e.kind]
	left := float64(e.scenario.Chunk * e.scenario.TokensPerEvent)
	steps := 1
	widest := 0
	writing := 0.0 // ms that sequences and context add to one step
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

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
