package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// aliveMargin is how long after a crash an incarnation must have been heard from to be
	// known to live: a heartbeat sent just before the crash may arrive after it.
	aliveMargin = 250 * time.Millisecond
	// retractable is how long after it was recorded a crash may be taken back.
	retractable = time.Minute
)

// verdict is what a request or part was detected by. Invariant: it stands.
type verdict struct {
	finding Finding
	// least is the points of a request, or the crashes of a part, with which it stands.
	least int
	// crashes has the crashes that are attributed to it, also those since it was detected.
	crashes map[uint32]time.Time
}

// Crashed returns the incarnations with crashes that may still be taken back, and when these
// were recorded last.
func (d *Detector) Crashed() map[uint32]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.svc.Now()
	out := map[uint32]time.Time{}
	for id, at := range d.crashedAt {
		if now.Sub(at) <= retractable {
			out[id] = at
		}
	}
	return out
}

// noteCrash records that there is evidence of an incarnation's crash. The caller holds mu.
func (d *Detector) noteCrash(endpoint uint32, at time.Time) {
	if _, known := d.crashedAt[endpoint]; !known && len(d.crashedAt) >= maxIncarnations {
		d.dropOldestCrash()
	}
	if at.After(d.crashedAt[endpoint]) {
		d.crashedAt[endpoint] = at
	}
}

// dropOldestCrash forgets when the oldest crash was recorded, so that it stays.
func (d *Detector) dropOldestCrash() {
	oldest := uint32(0)
	at := time.Time{}
	for id, t := range d.crashedAt {
		if at.IsZero() || t.Before(at) {
			oldest, at = id, t
		}
	}
	delete(d.crashedAt, oldest)
}

// crashed reports whether there is evidence of an incarnation's crash that may be taken back.
func (d *Detector) crashed(endpoint uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.crashedAt[endpoint]
	return known
}

// Retract takes back the crash of an incarnation that was heard from at a later time: it lives.
// It returns the findings that no longer stand without that crash; what is left of their
// evidence counts again.
func (d *Detector) Retract(endpoint uint32, heard time.Time) []Finding {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, known := d.crashedAt[endpoint]
	if !known || heard.Sub(at) < aliveMargin {
		return nil
	}
	d.version++
	delete(d.crashedAt, endpoint)
	delete(d.attributed, endpoint)
	for f, s := range d.suspects {
		delete(s.crashes, endpoint)
		if len(s.crashes) == 0 {
			delete(d.suspects, f)
		}
	}
	d.parts.retract(endpoint)
	var fallen []Finding
	for _, f := range slices.Sorted(maps.Keys(d.verdicts)) {
		v := d.verdicts[f]
		if _, ok := v.crashes[endpoint]; !ok {
			continue
		}
		delete(v.crashes, endpoint)
		v.finding.remove(endpoint)
		d.setLastCrash(f, v)
		if !v.stands() {
			delete(d.verdicts, f)
			delete(d.lastCrash, f)
			d.putBack(v.finding)
			fallen = append(fallen, v.finding)
		}
	}
	return fallen
}

// Confirm records that an incarnation wasn't heard of after its crash, though it would have been if
// it lived, and whether others of its failure domain were heard of since.
func (d *Detector) Confirm(endpoint uint32, domainLives bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.parts.confirm(endpoint, domainLives) {
		d.version++
	}
}

// setLastCrash sets the time of the last crash that is attributed to a part.
func (d *Detector) setLastCrash(f Fingerprint, v *verdict) {
	if !v.finding.Part {
		return
	}
	delete(d.lastCrash, f)
	for _, at := range v.crashes {
		if at.After(d.lastCrash[f]) {
			d.lastCrash[f] = at
		}
	}
}

// stands reports whether the crashes that were not taken back are enough.
func (v *verdict) stands() bool {
	if v.finding.Part {
		return len(v.crashes) >= v.least
	}
	points := 0
	for _, c := range v.finding.Crashes {
		points += c.points()
	}
	return points >= v.least
}

// recordAgain adds the crashes of a finding about what was found before to its verdict. Without one,
// what it was found by isn't known, and it isn't taken back.
func (d *Detector) recordAgain(f Finding) {
	v := d.verdicts[f.Fingerprint]
	if v == nil {
		return
	}
	for _, id := range f.Endpoints {
		if _, known := v.crashes[id]; !known {
			v.crashes[id] = d.crashedAt[id]
			v.finding.Endpoints = append(v.finding.Endpoints, id)
		}
	}
	v.finding.Crashes = append(v.finding.Crashes, f.Crashes...)
}

// recordVerdict remembers what a finding stands on. A part that is detected by fewer crashes than
// least, since some count more, stands as long as it has all of these.
func (d *Detector) recordVerdict(f Finding, least int) {
	if f.Part {
		least = min(least, len(f.Endpoints))
	}
	f.Endpoints = slices.Clone(f.Endpoints)
	f.Crashes = slices.Clone(f.Crashes)
	v := &verdict{
		finding: f,
		least:   least,
		crashes: map[uint32]time.Time{},
	}
	for _, id := range f.Endpoints {
		v.crashes[id] = d.crashedAt[id]
	}
	if f.suspect != nil {
		for id, c := range f.suspect.crashes {
			v.crashes[id] = c.at
		}
	}
	d.verdicts[f.Fingerprint] = v
}

// addToVerdict records a crash under a request that is known to crash endpoints.
func (d *Detector) addToVerdict(c Crash) {
	v := d.verdicts[c.Fingerprint]
	if v == nil {
		return
	}
	if _, known := v.crashes[c.Endpoint]; known {
		return
	}
	v.crashes[c.Endpoint] = d.svc.Now()
	v.finding.Endpoints = append(v.finding.Endpoints, c.Endpoint)
	v.finding.Crashes = append(v.finding.Crashes, c)
}

// remove removes a crash from what was detected by it.
func (f *Finding) remove(endpoint uint32) {
	f.Endpoints = slices.DeleteFunc(f.Endpoints, func(id uint32) bool { return id == endpoint })
	f.Crashes = slices.DeleteFunc(f.Crashes, func(c Crash) bool { return c.Endpoint == endpoint })
	if f.suspect != nil {
		delete(f.suspect.crashes, endpoint)
	}
}

// putBack makes the crashes of a finding count again. The caller holds mu.
func (d *Detector) putBack(f Finding) {
	for _, id := range f.Endpoints {
		delete(d.attributed, id)
	}
	d.parts.unclaim(f)
	if f.suspect != nil {
		d.parts.suspects[f.Fingerprint] = f.suspect
		return
	}
	for _, c := range f.Crashes {
		d.add(c)
	}
}

// retract takes back the crash of an incarnation.
func (t *partTable) retract(endpoint uint32) {
	if l := t.lost[endpoint]; l != nil {
		t.notePeers(l)
	}
	delete(t.lost, endpoint)
	for f, s := range t.suspects {
		delete(s.crashes, endpoint)
		if len(s.crashes) == 0 && !s.survived {
			delete(t.suspects, f)
		}
	}
}

// unclaim undoes the attribution of crashes to a finding.
func (t *partTable) unclaim(f Finding) {
	for _, id := range f.Endpoints {
		if l := t.lost[id]; l != nil {
			l.attributed = false
		}
		for _, s := range t.suspects {
			if c := s.crashes[id]; c != nil && c.claimedBy == f.Fingerprint {
				c.claimedBy = 0
			}
		}
	}
}
