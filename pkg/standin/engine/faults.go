package engine

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// FaultPath is the HTTP path that sets the injected faults, LedgerPath the one
// that returns the ledger, and LeavingPath the one that makes the engine report
// that it is leaving.
const (
	FaultPath   = "/standin/fault"
	LedgerPath  = "/standin/ledger"
	LeavingPath = "/standin/leaving"
)

// Fault describes the faults to inject. The zero value ends every fault.
type Fault struct {
	// DieAfter ends the process after this number of passes, if above 0.
	DieAfter int `json:"die_after"`
	// FreezeMS stops all passes for this time, in milliseconds.
	FreezeMS int `json:"freeze_ms"`
	// Slow multiplies the time of each pass, if above 1.
	Slow float64 `json:"slow"`
	// Duplicate emits every event twice, and Reorder swaps pairs of them.
	Duplicate bool `json:"duplicate"`
	Reorder   bool `json:"reorder"`
	// Corrupt emits every event with a wrong index.
	Corrupt bool `json:"corrupt"`
	// Cut closes the connection of every request without an answer, except
	// requests that set faults.
	Cut bool `json:"cut"`
	// CutOut fails every call to the next stage.
	CutOut bool `json:"cut_out"`
	// Full rejects every new session, as if each slot were taken.
	Full bool `json:"full"`
	// Forget drops every session, as a restart does.
	Forget bool `json:"forget"`
}

// Faults holds the injected faults. It is safe for concurrent use.
type Faults struct {
	svc timer.Service
	die func()

	mu          sync.Mutex
	active      Fault
	frozenUntil time.Time
	passes      int
	delayed     *api.EngineEvent
}

func newFaults(svc timer.Service, die func()) *Faults {
	return &Faults{
		svc: svc,
		die: die,
	}
}

// Set replaces the injected faults.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = fault
	f.passes = 0
	f.delayed = nil
	f.frozenUntil = f.svc.Now().Add(time.Duration(fault.FreezeMS) * time.Millisecond)
}

func (f *Faults) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}

func (f *Faults) slowDown(d time.Duration) time.Duration {
	if slow := f.get().Slow; slow > 1 {
		return time.Duration(float64(d) * slow)
	}
	return d
}

// applyPassFaults counts a pass, ends the process if the count exceeds DieAfter,
// and waits while the engine is frozen.
func (f *Faults) applyPassFaults(ctx context.Context) error {
	f.mu.Lock()
	f.passes++
	dies := f.active.DieAfter > 0 && f.passes > f.active.DieAfter
	wait := f.frozenUntil.Sub(f.svc.Now())
	f.mu.Unlock()
	if dies {
		f.die()
	}
	return timer.Sleep(ctx, f.svc, max(wait, 0))
}

// emit sends an event with the injected faults applied to it.
func (f *Faults) emit(ev api.EngineEvent, out emit) error {
	fault := f.get()
	switch {
	case fault.Corrupt:
		ev.Index++
		return out(ev)
	case fault.Duplicate:
		if err := out(ev); err != nil {
			return err
		}
		return out(ev)
	case fault.Reorder:
		return f.reorder(ev, out)
	default:
		return out(ev)
	}
}

func (f *Faults) reorder(ev api.EngineEvent, out emit) error {
	f.mu.Lock()
	delayed := f.delayed
	if delayed == nil {
		f.delayed = &ev
		f.mu.Unlock()
		return nil
	}
	f.delayed = nil
	f.mu.Unlock()
	if err := out(ev); err != nil {
		return err
	}
	return out(*delayed)
}

// waitWhileFrozen waits until the engine is no longer frozen: a frozen process
// answers nothing.
func (f *Faults) waitWhileFrozen(ctx context.Context) error {
	f.mu.Lock()
	wait := f.frozenUntil.Sub(f.svc.Now())
	f.mu.Unlock()
	return timer.Sleep(ctx, f.svc, max(wait, 0))
}
