package quarantine

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// LocalHold is how long a host keeps a request from endpoints by what it saw alone,
	// without a word of the control hosts: these decide within a second while there is
	// a leader, and a deployment without one for longer than this takes no requests
	// with keys anyway.
	LocalHold = 30 * time.Second
	// reportKept is how long a host can tell a new leader of an end.
	reportKept = 2 * time.Minute
	// maxReports bounds what a host remembers to tell, and maxTold what one call
	// tells, at 20 bytes each: a host has a few streams at each endpoint.
	maxReports = 512
	maxTold    = 128
)

// Decision is what the control hosts say of a request: kept from endpoints for a time,
// or watched if that is 0.
type Decision struct {
	Fingerprint Fingerprint
	HoldTime    time.Duration
}

// Enforcer is an entry host's part: what it saw itself and has to tell, and what it was
// told. It is safe for use by several goroutines.
type Enforcer struct {
	svc timer.Service
	own *Detector

	mu      sync.Mutex
	reports []report
	served  []Fingerprint             // watched ones
	told    map[Fingerprint]time.Time // until when held; zero: watched
	digest  uint64
	mine    map[Fingerprint]time.Time // until when held by what this host saw
}

// report is an end that the leader must know of.
type report struct {
	end  Crash
	at   time.Time
	term uint64 // of the leader that was told; 0: none
}

// NewEnforcer returns a host that has seen nothing.
func NewEnforcer(svc timer.Service) *Enforcer {
	return &Enforcer{
		svc:  svc,
		own:  NewDetector(svc),
		told: map[Fingerprint]time.Time{},
		mine: map[Fingerprint]time.Time{},
	}
}

// Idle reports whether no request is watched or held, so that none need be told apart.
func (h *Enforcer) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.told) == 0 && len(h.mine) == 0
}

// HoldRemaining returns how much longer a request is kept from endpoints; 0 if it isn't.
func (h *Enforcer) HoldRemaining(f Fingerprint) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held(f)
}

func (h *Enforcer) held(f Fingerprint) time.Duration {
	until := h.told[f]
	if own := h.mine[f]; own.After(until) {
		until = own
	}
	return max(0, until.Sub(h.svc.Now()))
}

// RecordCrash takes an end that this host saw, and reports whether the request is held by
// it from now on.
func (h *Enforcer) RecordCrash(e Crash) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.svc.Now()
	h.dropReports(now)
	h.reports = append(h.reports, report{
		end: e,
		at:  now,
	})
	h.own.Add(e, h.held(e.Fingerprint) > 0)
	if !h.own.enough(e.Fingerprint) {
		return false // to judge all costs 0.6 ms where 4,000 are remembered
	}
	found := h.own.Detect(func(Fingerprint) bool { return false })
	for _, one := range found {
		h.mine[one.Fingerprint] = now.Add(LocalHold)
	}
	return len(found) > 0
}

// dropReports makes room for one more.
func (h *Enforcer) dropReports(now time.Time) {
	first := max(0, len(h.reports)-maxReports+1)
	for first < len(h.reports) && now.Sub(h.reports[first].at) > reportKept {
		first++
	}
	h.reports = append([]report(nil), h.reports[first:]...)
	for f, until := range h.mine {
		if !now.Before(until) {
			delete(h.mine, f)
		}
	}
}

// RecordServed takes a request that an endpoint answered.
func (h *Enforcer) RecordServed(f Fingerprint) {
	h.own.Clear(f)
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, watched := h.told[f]; watched && len(h.served) < maxTold {
		h.served = append(h.served, f)
	}
}

// Digest returns the digest that came with what this host was told.
func (h *Enforcer) Digest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.digest
}

// Unreported returns the ends that the leader of a term wasn't told of, and the watched
// requests that were served since.
func (h *Enforcer) Unreported(term uint64) (ends []Crash, served []Fingerprint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.reports {
		if h.reports[i].term != term && len(ends) < maxTold {
			ends = append(ends, h.reports[i].end)
		}
	}
	return ends, append([]Fingerprint(nil), h.served...)
}

// Acknowledge notes that the leader of a term took these ends and served requests.
func (h *Enforcer) Acknowledge(term uint64, ends []Crash, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := map[Crash]bool{}
	for _, e := range ends {
		taken[e] = true
	}
	for i := range h.reports {
		if taken[h.reports[i].end] {
			h.reports[i].term = term
		}
	}
	h.served = h.served[served:]
}

// SetDecisions installs what the control hosts say, in place of what they said before.
func (h *Enforcer) SetDecisions(list []Decision, digest uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.svc.Now()
	h.told = make(map[Fingerprint]time.Time, len(list))
	for _, v := range list {
		until := time.Time{}
		if v.HoldTime > 0 {
			until = now.Add(v.HoldTime)
		}
		h.told[v.Fingerprint] = until
	}
	h.digest = digest
}
