package engine

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/standin/model"
)

// session is one request's state on this stage.
//
// Invariants: kv holds the state after exactly len(inputs) positions; a
// position is run once, and a repeated request for it returns the saved output;
// attempt never decreases, and a step of an older attempt changes nothing.
type session struct {
	mu        sync.Mutex
	request   string
	attempt   int
	open      api.EngineOpen
	kv        []uint64
	inputs    []uint64
	outputs   []uint64
	lastUse   time.Time
	lastUseMu sync.Mutex
	resets    uint64 // the ledger's reset count when the session was made
}

func (s *session) touch(now time.Time) {
	s.lastUseMu.Lock()
	defer s.lastUseMu.Unlock()
	s.lastUse = now
}

func (s *session) lastUsed() time.Time {
	s.lastUseMu.Lock()
	defer s.lastUseMu.Unlock()
	return s.lastUse
}

// openSession opens a session, or takes over an open one for a newer attempt.
// The first boolean is whether it did; it is false for an attempt older than the
// session's. The second is whether it failed because every slot is taken.
func (e *Engine) openSession(o api.EngineOpen) (api.EngineOpened, bool, bool) {
	e.mu.Lock()
	s := e.sessions[o.Request]
	if s == nil {
		if len(e.sessions) >= e.cfg.Slots || e.faults.get().Full {
			e.mu.Unlock()
			return api.EngineOpened{}, false, true
		}
		s = &session{
			request: o.Request,
			kv:      make([]uint64, e.layers()),
			resets:  e.ledger.resetCount(),
		}
		e.sessions[o.Request] = s
	}
	open := len(e.sessions)
	leaving := e.leaving
	e.mu.Unlock()
	s.touch(e.cfg.Timer.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Attempt < s.attempt {
		return api.EngineOpened{}, false, false
	}
	s.attempt = o.Attempt
	s.open = o
	return api.EngineOpened{
		Have:    len(s.inputs),
		Load:    e.batcher.load(open),
		Leaving: leaving,
	}, true, false
}

// closeSession drops a session unless a newer attempt has taken it over.
func (e *Engine) closeSession(c api.EngineCancel) {
	s := e.session(c.Request)
	if s == nil {
		return
	}
	s.mu.Lock()
	stale := c.Attempt < s.attempt
	s.mu.Unlock()
	if stale {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, c.Request)
}

// runPositions takes the inputs of the positions from pos on and returns their
// outputs. Positions that were run before are not run again. If it fails, it
// returns the reason instead, one of the api.Fault constants.
func (e *Engine) runPositions(ctx context.Context, s *session, attempt, pos int, inputs []uint64, rebuild bool) ([]uint64, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch(e.cfg.Timer.Now())
	if attempt < s.attempt {
		e.ledger.stale(s.request)
		return nil, api.FaultStale
	}
	have := len(s.inputs)
	if pos > have {
		return nil, api.FaultGap
	}
	overlap := min(have-pos, len(inputs))
	for i := range overlap {
		if s.inputs[pos+i] != inputs[i] {
			return nil, api.FaultDiverged
		}
	}
	e.ledger.repeated(s.request, overlap)
	added := inputs[overlap:]
	if len(added) > 0 {
		if err := e.batcher.pass(ctx, len(added), s.open.Priority); err != nil {
			return nil, api.FaultLost
		}
		if !e.ledger.ran(s.resets, s.request, have, len(added), rebuild) {
			return nil, api.FaultLost // the engine lost its sessions after this one was opened
		}
	}
	for _, x := range added {
		s.inputs = append(s.inputs, x)
		s.outputs = append(s.outputs, e.runLayers(s, x))
	}
	return append([]uint64(nil), s.outputs[pos:pos+len(inputs)]...), ""
}

func (e *Engine) runLayers(s *session, x uint64) uint64 {
	for l := range s.kv {
		s.kv[l], x = model.Layer(e.cfg.FirstLayer+l, s.kv[l], x)
	}
	return x
}

// saved returns the saved outputs from position from on.
func (s *session) saved(from int) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from >= len(s.outputs) {
		return nil
	}
	return append([]uint64(nil), s.outputs[from:]...)
}

func (s *session) opened() api.EngineOpen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// export returns the session's KV cache.
func (e *Engine) export(s *session) api.EngineKV {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.EngineKV{
		Request:    s.request,
		Attempt:    s.attempt,
		FirstLayer: e.cfg.FirstLayer,
		EndLayer:   e.cfg.EndLayer,
		Seed:       s.open.Seed,
		Layers:     append([]uint64(nil), s.kv...),
		Inputs:     append([]uint64(nil), s.inputs...),
		Outputs:    append([]uint64(nil), s.outputs...),
	}
}

// importKV fills an open session that has run nothing yet. It reports whether there
// is an open session, kv is for this stage's layers, and the session holds at least
// the positions of kv afterwards.
func (e *Engine) importKV(kv api.EngineKV) bool {
	s := e.session(kv.Request)
	if s == nil || kv.FirstLayer != e.cfg.FirstLayer || kv.EndLayer != e.cfg.EndLayer {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inputs) > 0 {
		return len(s.inputs) >= len(kv.Inputs)
	}
	s.kv = kv.Layers
	s.inputs = kv.Inputs
	s.outputs = kv.Outputs
	e.ledger.imported(kv.Request, len(kv.Inputs))
	return true
}
