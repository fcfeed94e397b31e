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
	// reportRetention is how long a host can tell a new leader of an end.
	reportRetention = 2 * time.Minute
	// maxReports bounds what a host remembers to tell, and maxTold what one call
	// tells, at 20 bytes each: a host has a few streams at each endpoint.
	maxReports = 512
	maxPerCall = 128
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
	svc      timer.Service
	detector *Detector

	mu         sync.Mutex
	reports    []report
	served     []Fingerprint             // watched ones
	decisions  map[Fingerprint]time.Time // until when held; zero: watched
	digest     uint64
	localHolds map[Fingerprint]time.Time // until when held by what this host saw
}

// report is an end that the leader must know of.
type report struct {
	crash Crash
	at    time.Time
	term  uint64 // of the leader that was told; 0: none
}

// NewEnforcer returns a host that has seen nothing.
func NewEnforcer(svc timer.Service) *Enforcer {
	return &Enforcer{
		svc:        svc,
		detector:   NewDetector(svc),
		decisions:  map[Fingerprint]time.Time{},
		localHolds: map[Fingerprint]time.Time{},
	}
}

// Idle reports whether no request is watched or held, so that none need be told apart.
func (e *Enforcer) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.decisions) == 0 && len(e.localHolds) == 0
}

// HoldRemaining returns how much longer a request is kept from endpoints; 0 if it isn't.
func (e *Enforcer) HoldRemaining(f Fingerprint) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holdRemaining(f)
}

func (e *Enforcer) holdRemaining(f Fingerprint) time.Duration {
	until := e.decisions[f]
	if localUntil := e.localHolds[f]; localUntil.After(until) {
		until = localUntil
	}
	return max(0, until.Sub(e.svc.Now()))
}

// RecordCrash takes an end that this host saw, and reports whether the request is held by
// it from now on.
func (e *Enforcer) RecordCrash(c Crash) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.svc.Now()
	e.dropReports(now)
	e.reports = append(e.reports, report{
		crash: c,
		at:    now,
	})
	e.detector.Add(c, e.holdRemaining(c.Fingerprint) > 0)
	if !e.detector.detectable(c.Fingerprint) {
		return false // to judge all costs 0.6 ms where 4,000 are remembered
	}
	found := e.detector.Detect(func(Fingerprint) bool { return false })
	for _, finding := range found {
		e.localHolds[finding.Fingerprint] = now.Add(LocalHold)
	}
	return len(found) > 0
}

// dropReports makes room for one more.
func (e *Enforcer) dropReports(now time.Time) {
	first := max(0, len(e.reports)-maxReports+1)
	for first < len(e.reports) && now.Sub(e.reports[first].at) > reportRetention {
		first++
	}
	e.reports = append([]report(nil), e.reports[first:]...)
	for f, until := range e.localHolds {
		if !now.Before(until) {
			delete(e.localHolds, f)
		}
	}
}

// RecordServed takes a request that an endpoint answered.
func (e *Enforcer) RecordServed(f Fingerprint) {
	e.detector.Clear(f)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, watched := e.decisions[f]; watched && len(e.served) < maxPerCall {
		e.served = append(e.served, f)
	}
}

// Digest returns the digest that came with what this host was told.
func (e *Enforcer) Digest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.digest
}

// Unreported returns the ends that the leader of a term wasn't told of, and the watched
// requests that were served since.
func (e *Enforcer) Unreported(term uint64) (crashes []Crash, served []Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.reports {
		if e.reports[i].term != term && len(crashes) < maxPerCall {
			crashes = append(crashes, e.reports[i].crash)
		}
	}
	return crashes, append([]Fingerprint(nil), e.served...)
}

// Acknowledge notes that the leader of a term took these ends and served requests.
func (e *Enforcer) Acknowledge(term uint64, crashes []Crash, served int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	acknowledged := map[Crash]bool{}
	for _, c := range crashes {
		acknowledged[c] = true
	}
	for i := range e.reports {
		if acknowledged[e.reports[i].crash] {
			e.reports[i].term = term
		}
	}
	e.served = e.served[served:]
}

// SetDecisions installs what the control hosts say, in place of what they said before.
func (e *Enforcer) SetDecisions(list []Decision, digest uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.svc.Now()
	e.decisions = make(map[Fingerprint]time.Time, len(list))
	for _, d := range list {
		until := time.Time{}
		if d.HoldTime > 0 {
			until = now.Add(d.HoldTime)
		}
		e.decisions[d.Fingerprint] = until
	}
	e.digest = digest
}
