package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// LocalDuration is how long a host quarantines a request that it detected itself, without
	// a decision of the control hosts: these decide within a second while there is a leader,
	// and a deployment without one for longer than this rejects requests with account keys
	// anyway.
	LocalDuration = 30 * time.Second
	// reportRetention is how long a crash is kept to be reported to a new leader.
	reportRetention = 2 * time.Minute
	// maxReports bounds the crashes that a host keeps to report, and maxPerCall those that
	// one call reports, at 20 bytes each. A host has a few streams at each endpoint.
	maxReports = 512
	maxPerCall = 128
)

// Decision is what the control hosts decided about a request or a part of prompts: it is
// quarantined for Duration, or only watched if that is 0.
type Decision struct {
	Fingerprint Fingerprint
	Duration    time.Duration
	// Part says that it is a part. After its Duration it is on probation, as is one for
	// which Probation is set: requests with it pass only if the leader grants that.
	Part      bool
	Probation bool
}

// decision is a Decision as an entry host holds it.
type decision struct {
	until     time.Time // zero if it is watched or on probation
	part      bool
	probation bool // now or after until
}

// Enforcer is the entry host's part of the quarantine. It keeps the crashes that the host saw
// and has to report, and the decisions that it received. It is safe for use by several
// goroutines.
type Enforcer struct {
	svc      timer.Service
	detector *Detector

	mu               sync.Mutex
	reports          []report
	served           []Fingerprint // watched requests to report as served
	decisions        map[Fingerprint]decision
	digest           uint64
	localQuarantines map[Fingerprint]localQuarantine // by this host alone

	partReports *partReports
	survivals   *survivals
	trackedAt   time.Time                 // when a leader last confirmed that it detects parts
	wanted      []Fingerprint             // parts on probation with which a request was refused
	granted     map[Fingerprint]time.Time // parts with which one request may pass, until when
	refusals    refusals
}

// localQuarantine is a quarantine of a request, or of a part, that the host decided by itself.
type localQuarantine struct {
	until time.Time
	part  bool
}

// report is a crash that the leader must learn of.
type report struct {
	crash Crash
	at    time.Time
	term  uint64 // of the leader that acknowledged it; 0 if none did
}

// NewEnforcer returns an enforcer without crashes and decisions.
func NewEnforcer(svc timer.Service) *Enforcer {
	return &Enforcer{
		svc:              svc,
		detector:         NewDetector(svc),
		decisions:        map[Fingerprint]decision{},
		localQuarantines: map[Fingerprint]localQuarantine{},
		partReports:      newPartReports(),
		survivals:        newSurvivals(),
		granted:          map[Fingerprint]time.Time{},
	}
}

// Idle reports whether no request is watched or quarantined, so that fingerprints aren't needed.
func (e *Enforcer) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.decisions) == 0 && len(e.localQuarantines) == 0
}

// Remaining returns how much longer a request is quarantined; 0 if it isn't.
func (e *Enforcer) Remaining(f Fingerprint) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.remaining(f)
}

func (e *Enforcer) remaining(f Fingerprint) time.Duration {
	until := e.decisions[f].until
	if q := e.localQuarantines[f]; q.until.After(until) {
		until = q.until
	}
	return max(0, until.Sub(e.svc.Now()))
}

// RecordCrash records a crash that this host saw, and reports whether the host quarantines a
// request on its own from now on because of it.
func (e *Enforcer) RecordCrash(c Crash) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.svc.Now()
	e.dropReports(now)
	e.reports = append(e.reports, report{
		crash: c,
		at:    now,
	})
	e.detector.Add(c, e.remaining(c.Fingerprint) > 0)
	if !e.detector.detectable(c.Fingerprint) {
		return false // saves Detect, which takes 0.6 ms for 4,000 remembered requests
	}
	found := e.detector.Detect(func(Fingerprint) bool { return false })
	for _, finding := range found {
		e.localQuarantines[finding.Fingerprint] = localQuarantine{
			until: now.Add(LocalDuration),
		}
	}
	return len(found) > 0
}

// Retract takes back the crash of an incarnation that was heard from at a later time: it lives. The
// leader finds out by itself. It returns the requests and parts that this host doesn't quarantine
// on its own any more.
func (e *Enforcer) Retract(endpoint uint32, heard time.Time) []Fingerprint {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.partReports.crashes[endpoint] == nil && !e.detector.crashed(endpoint) {
		return nil
	}
	e.reports = slices.DeleteFunc(e.reports, func(r report) bool {
		return r.crash.Endpoint == endpoint && heard.Sub(r.at) >= aliveMargin
	})
	e.partReports.retract(endpoint, heard)
	var released []Fingerprint
	for _, finding := range e.detector.Retract(endpoint, heard) {
		if _, ok := e.localQuarantines[finding.Fingerprint]; ok {
			delete(e.localQuarantines, finding.Fingerprint)
			released = append(released, finding.Fingerprint)
		}
	}
	return append(released, e.releaseOwnParts()...)
}

// releaseOwnParts ends this host's own quarantines of parts that what it saw doesn't justify.
func (e *Enforcer) releaseOwnParts() []Fingerprint {
	var released []Fingerprint
	var guilty []Fingerprint
	for f, q := range e.localQuarantines {
		if !q.part {
			continue
		}
		if guilty == nil {
			guilty = append([]Fingerprint{0}, e.detectOwn(e.svc.Now())...)
		}
		if !slices.Contains(guilty, f) {
			delete(e.localQuarantines, f)
			released = append(released, f)
		}
	}
	return released
}

// dropReports makes room for one more report, and drops old ones and expired local quarantines.
func (e *Enforcer) dropReports(now time.Time) {
	first := max(0, len(e.reports)-maxReports+1)
	for first < len(e.reports) && now.Sub(e.reports[first].at) > reportRetention {
		first++
	}
	e.reports = append([]report(nil), e.reports[first:]...)
	for f, q := range e.localQuarantines {
		if !now.Before(q.until) {
			delete(e.localQuarantines, f)
		}
	}
}

// RecordServed records that an endpoint answered a request.
func (e *Enforcer) RecordServed(f Fingerprint) {
	e.detector.Clear(f)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, watched := e.decisions[f]; watched && len(e.served) < maxPerCall {
		e.served = append(e.served, f)
	}
}

// Digest returns the digest that came with the decisions.
func (e *Enforcer) Digest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.digest
}

// Unreported returns the crashes that the leader of a term hasn't acknowledged, and the watched
// requests that were served and not acknowledged yet, maxPerCall of each at most.
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

// Acknowledge notes that the leader of a term received these crashes, and the first served of
// the served requests that Unreported returned.
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

// SetDecisions replaces all decisions.
func (e *Enforcer) SetDecisions(list []Decision, digest uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.svc.Now()
	e.decisions = make(map[Fingerprint]decision, len(list))
	for _, d := range list {
		own := decision{
			part:      d.Part,
			probation: d.Probation || d.Part && d.Duration > 0,
		}
		if d.Duration > 0 {
			own.until = now.Add(d.Duration)
		}
		e.decisions[d.Fingerprint] = own
	}
	e.digest = digest
}
