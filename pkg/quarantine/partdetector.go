package quarantine

import (
	"slices"
	"time"
)

// PartState is what was decided about a part of prompts before.
type PartState int

const (
	PartUnknown     PartState = iota
	PartQuarantined           // it is kept from endpoints
	PartProbation             // its quarantine has expired: single requests with it are tried
)

// AddEndpointCrash records the crash of an endpoint that a host reported. If a part that is
// already known to crash endpoints was there, the crash is attributed to it alone.
func (d *Detector) AddEndpointCrash(c EndpointCrash, reporter uint32, state func(part Fingerprint) PartState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	now := d.svc.Now()
	d.noteCrash(c.Endpoint, c.At)
	for _, p := range c.Parts {
		known := state(p.Part)
		if known == PartUnknown || p.Writing > maxWriting {
			continue
		}
		d.attributeToPart(c.Endpoint, p.Part, now)
		if c.At.After(d.lastCrash[p.Part]) {
			d.lastCrash[p.Part] = c.At
		}
		if v := d.verdicts[p.Part]; v != nil {
			v.crashes[c.Endpoint] = c.At
		}
		if known == PartQuarantined {
			return
		}
		c.Parts = []PartCrash{p}
		break
	}
	a := d.attributed[c.Endpoint]
	if a.claimed {
		c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(p PartCrash) bool {
			return p.Part != a.request && p.Request != a.request
		})
	}
	d.parts.add(&c, reporter)
	if a.claimed {
		d.parts.attribute(c.Endpoint, a.request)
	}
}

// AddUnseenRequest records that a request was at the crash of an endpoint that may be its cause,
// and of which no parts are reported.
func (d *Detector) AddUnseenRequest(endpoint, reporter uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.parts.lose(&EndpointCrash{
		Endpoint: endpoint,
		At:       d.svc.Now(),
	}, reporter); l != nil {
		l.unseen = true
	}
}

// attributeToPart attributes the crash of an incarnation to one part, and drops it from
// everything else.
func (d *Detector) attributeToPart(endpoint uint32, part Fingerprint, now time.Time) {
	d.attribute(endpoint, part, now)
	a := d.attributed[endpoint]
	a.claimed = true
	d.attributed[endpoint] = a
	d.parts.attribute(endpoint, part)
}

// Survive records that a request with a part survived, and reports whether the part, if it was
// detected, crashed no endpoint since that request was sent. Since is when it was quarantined.
func (d *Detector) Survive(v Survival, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.parts.suspects[v.Part]; s != nil && s.survive(v) {
		d.version++
	}
	if at, ok := d.lastCrash[v.Part]; ok {
		since = at
	}
	if !v.after(since) {
		return false
	}
	delete(d.verdicts, v.Part)
	return true
}

// PutBack undoes a finding about a part that couldn't be acted upon, so that it is detected
// once more.
func (d *Detector) PutBack(f Finding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.suspect == nil {
		return
	}
	delete(d.verdicts, f.Fingerprint)
	d.putBack(f)
}

// WatchedParts returns the parts of which hosts are to report survivals.
func (d *Detector) WatchedParts() []Fingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.parts.watched()
}

// detectParts returns the parts that are detected as crashing endpoints, and drops them. The
// caller holds mu.
func (d *Detector) detectParts(now time.Time, foundBefore func(f Fingerprint) bool) []Finding {
	var found []Finding
	for f, s := range d.parts.suspects {
		if len(s.crashes) > 0 && foundBefore(f) {
			found = append(found, d.takePart(f, s.survived, 0, now))
		}
	}
	for {
		list, shared := d.parts.guilty(now)
		if len(list) == 0 {
			return found
		}
		necessary := d.parts.least
		if shared {
			necessary = sharedPartCrashes
		}
		for _, f := range list {
			found = append(found, d.takePart(f, shared || len(list) > 1, necessary, now))
		}
	}
}

// takePart attributes the crashes that a part was present at to it, unless they were attributed
// to one that was detected together with it. The finding stands on necessary
// crashes; 0 if the part was found before.
func (d *Detector) takePart(f Fingerprint, shared bool, necessary int, now time.Time) Finding {
	d.version++
	s := d.parts.suspects[f]
	out := Finding{
		Fingerprint: f,
		Part:        true,
		Shared:      shared,
		suspect:     s,
	}
	for id := range s.crashes {
		out.Endpoints = append(out.Endpoints, id)
		d.attributeToPart(id, f, now)
	}
	if s.lastCrash.After(d.lastCrash[f]) {
		d.lastCrash[f] = s.lastCrash
	}
	delete(d.parts.suspects, f)
	if necessary > 0 {
		d.recordVerdict(out, necessary)
	} else {
		d.recordAgain(out)
	}
	return out
}
