package quarantine

import "time"

const (
	// trackingTimeout is how long after a leader last confirmed that it detects parts an entry
	// host decides about them by itself.
	trackingTimeout = 2 * time.Second
	// ownPartCrashes is partCrashes for such a decision: a host sees a part of the traffic, and
	// few of the survivals.
	ownPartCrashes = 5
	// handoverTime is for how long such a decision stays once a leader detects parts: by then
	// that leader has all reports, and hosts have its decisions.
	handoverTime = 3 * time.Second
	// probationRetryAfter is the retry-after time of requests with a part on probation: by
	// then the leader has granted one request and knows how it ended.
	probationRetryAfter = 5 * time.Second
	// grantLifetime is how long after it was granted a request may pass.
	grantLifetime = 4 * time.Second
	// maxWanted bounds the parts of one request for which a grant is asked for.
	maxWanted = 8
)

// PartReport is what a call reports of parts.
type PartReport struct {
	Crashes   []EndpointCrash
	Survivals []Survival
	// Wanted are the parts on probation of one request that was refused because of them.
	Wanted []Fingerprint
}

// CheckParts returns the part because of which a request with these parts must not be sent, and
// for how long; 0 if it may be sent. A request that may be sent as the only one with a part on
// probation takes the grant, and must be sent once at most.
func (e *Enforcer) CheckParts(parts []Fingerprint) (part Fingerprint, left time.Duration, probe bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.decisions) == 0 && len(e.localQuarantines) == 0 {
		return 0, 0, false
	}
	now := e.svc.Now()
	var onProbation, quarantined []Fingerprint
	for _, p := range parts {
		one := e.remaining(p)
		if one > 0 {
			quarantined = append(quarantined, p)
		}
		if one > left && !now.Before(e.granted[p]) {
			part, left = p, one
		}
		if one > 0 && now.Before(e.granted[p]) {
			onProbation = append(onProbation, p)
		}
		if d := e.decisions[p]; d.probation && !now.Before(d.until) {
			onProbation = append(onProbation, p)
		}
	}
	e.refusals.record(left > 0, now)
	if left > 0 && e.refusals.nearlyAll() {
		e.wanted = quarantined[:min(len(quarantined), maxWanted)]
	}
	if left > 0 || len(onProbation) == 0 {
		return part, left, false
	}
	if e.takeGrants(onProbation, now) {
		return 0, 0, true
	}
	e.wanted = onProbation[:min(len(onProbation), maxWanted)]
	return onProbation[0], probationRetryAfter, false
}

// takeGrants takes the grants for all of the parts, if there are any.
func (e *Enforcer) takeGrants(parts []Fingerprint, now time.Time) bool {
	for _, p := range parts {
		if !now.Before(e.granted[p]) {
			return false
		}
	}
	for _, p := range parts {
		delete(e.granted, p)
	}
	return true
}

// Grant lets one request pass that has these parts on probation.
func (e *Enforcer) Grant(parts []Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.svc.Now()
	for p, until := range e.granted {
		if !now.Before(until) {
			delete(e.granted, p)
		}
	}
	for _, p := range parts {
		e.granted[p] = now.Add(grantLifetime)
	}
}

// ConfirmTracking records that the leader detects parts.
func (e *Enforcer) ConfirmTracking() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trackedAt = e.svc.Now()
	latest := e.trackedAt.Add(handoverTime)
	for f, q := range e.localQuarantines {
		if q.part && q.until.After(latest) {
			q.until = latest
			e.localQuarantines[f] = q
		}
	}
}

// RecordSurvival records that a request survived.
func (e *Enforcer) RecordSurvival(v Survival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.survivals.record(v)
	if e.remaining(v.Part) > 0 {
		e.survivals.repeat(v.Part)
	}
}

// RecordEndpointCrash records that a crash broke one request, and returns the parts that this
// host quarantines on its own from now on because of it.
func (e *Enforcer) RecordEndpointCrash(c EndpointCrash) []Fingerprint {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(c.Parts) == 0 {
		return nil
	}
	now := e.svc.Now()
	e.partReports.add(&c, now)
	if now.Sub(e.trackedAt) <= trackingTimeout {
		return nil
	}
	var found []Fingerprint
	for _, p := range e.detectOwn(now) {
		if e.remaining(p) == 0 {
			found = append(found, p)
		}
		e.localQuarantines[p] = localQuarantine{
			until: now.Add(LocalDuration),
			part:  true,
		}
	}
	return found
}

// detectOwn returns the parts that are detected by what this host saw alone.
func (e *Enforcer) detectOwn(now time.Time) []Fingerprint {
	t := newPartTable(ownPartCrashes, suspects{})
	for id, own := range e.partReports.crashes {
		c := EndpointCrash{
			Endpoint: id,
			Domain:   own.domain,
			At:       own.at,
		}
		for p, one := range own.parts {
			crash := one.crash
			crash.Survival = e.survivals.of(p)
			c.Parts = append(c.Parts, crash)
		}
		t.add(&c, 1)
	}
	list, _ := t.guilty(now)
	return list
}

// UnreportedParts returns what the leader of a term wasn't told of parts yet.
func (e *Enforcer) UnreportedParts(term uint64) PartReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := PartReport{
		Crashes: e.partReports.unreported(term, e.survivals),
		Wanted:  e.wanted,
	}
	e.wanted = nil
	for f, d := range e.decisions {
		if !d.part || len(r.Survivals) >= maxPartsPerCall {
			continue
		}
		if v, ok := e.survivals.unreported(f, term); ok {
			r.Survivals = append(r.Survivals, v)
		}
	}
	return r
}

// AcknowledgeParts records that the leader of a term received a report.
func (e *Enforcer) AcknowledgeParts(term uint64, r PartReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.partReports.acknowledge(term, r.Crashes)
	for _, v := range r.Survivals {
		e.survivals.acknowledge(v, term)
	}
}
