package quarantine

import (
	"maps"
	"slices"
	"sort"
	"time"
)

const (
	// maxEvidence bounds the parts and the requests of which crashes are stored, and
	// maxEvidenceCrashes the crashes of each. An entry of the log takes 10 KB at most.
	maxEvidence        = 32
	maxEvidenceCrashes = 8
)

// Evidence is what must outlive the leader's memory: the crashes that requests and parts were
// present at and that nothing is detected by yet. Without it a restart of all hosts would
// allow as many crashes again.
type Evidence struct {
	Requests []Crash
	Parts    []PartEvidence
}

// PartEvidence is the crashes that a part was present at.
type PartEvidence struct {
	Part     Fingerprint
	Survived bool // a request with it survived at some time
	Crashes  []PartCrashEvidence
}

// PartCrashEvidence is one crash that a part was present at, with the fields of EndpointCrash
// and PartCrash.
type PartCrashEvidence struct {
	Endpoint uint32
	Domain   uint32
	At       time.Time
	Writing  time.Duration
	Requests int
	Fresh    int
	Request  Fingerprint

	TotalWriting time.Duration
}

// Evidence returns the crashes of what was present at the most of them, and a version that
// increases when they change.
func (d *Detector) Evidence() (Evidence, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Evidence{
		Requests: d.requestEvidence(),
		Parts:    d.parts.evidence(),
	}, d.version
}

// EvidenceVersion returns the version of the evidence.
func (d *Detector) EvidenceVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

func (d *Detector) requestEvidence() []Crash {
	var list []Fingerprint
	for f, s := range d.suspects {
		if len(s.crashes) >= watchedCrashes {
			list = append(list, f)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := len(d.suspects[list[i]].crashes), len(d.suspects[list[k]].crashes)
		return a > b || a == b && list[i] < list[k]
	})
	var out []Crash
	for _, f := range list[:min(len(list), maxEvidence)] {
		crashes := d.suspects[f].crashes
		for _, id := range slices.Sorted(maps.Keys(crashes))[:min(len(crashes), maxEvidenceCrashes)] {
			out = append(out, crashes[id])
		}
	}
	return out
}

func (t *partTable) evidence() []PartEvidence {
	list := make([]Fingerprint, 0, len(t.suspects))
	for f, s := range t.suspects {
		if len(s.crashes) > 0 {
			list = append(list, f)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := t.suspects[list[i]], t.suspects[list[k]]
		if len(a.crashes) != len(b.crashes) {
			return len(a.crashes) > len(b.crashes)
		}
		return !a.survived && b.survived || a.survived == b.survived && list[i] < list[k]
	})
	out := make([]PartEvidence, 0, min(len(list), maxEvidence))
	for _, f := range list[:min(len(list), maxEvidence)] {
		s := t.suspects[f]
		e := PartEvidence{
			Part:     f,
			Survived: s.survived,
		}
		for _, id := range slices.Sorted(maps.Keys(s.crashes))[:min(len(s.crashes), maxEvidenceCrashes)] {
			e.Crashes = append(e.Crashes, t.crashEvidence(id, s.crashes[id]))
		}
		out = append(out, e)
	}
	return out
}

func (t *partTable) crashEvidence(endpoint uint32, c *partCrash) PartCrashEvidence {
	out := PartCrashEvidence{
		Endpoint: endpoint,
		At:       c.at,
		Writing:  c.writing,
		Requests: c.requests,
		Fresh:    c.fresh,

		TotalWriting: c.total,
		Request:      c.request,
	}
	if l := t.lost[endpoint]; l != nil {
		out.Domain = l.domain
	}
	return out
}

// Restore adds stored evidence.
func (d *Detector) Restore(e Evidence) {
	for _, c := range e.Requests {
		d.Add(c, false)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.svc.Now()
	for _, p := range e.Parts {
		for _, c := range p.Crashes {
			if d.attributed[c.Endpoint].claimed || now.Sub(c.At) > crashRetention {
				continue
			}
			d.noteCrash(c.Endpoint, c.At)
			d.parts.add(&EndpointCrash{
				Endpoint: c.Endpoint,
				Domain:   c.Domain,
				At:       c.At,
				Parts: []PartCrash{{
					Part:     p.Part,
					Requests: c.Requests,
					Fresh:    c.Fresh,

					TotalWriting: c.TotalWriting,
					Request:      c.Request,
					Writing:      c.Writing,
				}},
			}, 0)
		}
		if s := d.parts.suspects[p.Part]; s != nil {
			s.survived = s.survived || p.Survived
		}
	}
}
