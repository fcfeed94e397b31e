package quarantine

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// detectionPoints is the number of points from which on a request is detected as crashing
	// endpoints: three crashes before any event of the response, which is when a request
	// crashes an endpoint that starts to run it, or five later ones. With a lower number,
	// streams would be detected that were cut off twice by chance while many others were too:
	// of 521 streams that were cut off in 24 s under such faults, 254 were cut off twice.
	detectionPoints = 15
	earlyPoints     = 5
	latePoints      = 3
	// watchedCrashes is the number of crashes from which on a request is watched: if it is
	// served after all, it wasn't the cause.
	watchedCrashes = 2
	// crashRetention is how long after its last crash a request is remembered. Automatic
	// retries came within 4 s, those by a person may come within minutes.
	crashRetention = 10 * time.Minute
	// maxWatched bounds the watched requests, since all hosts are sent the list.
	maxWatched = 64
	// maxSuspects bounds the remembered requests, each of which takes about 200 bytes. It is
	// eight times the 521 streams that were cut off in 24 s of many faults.
	maxSuspects = 4096
)

// Crash is the crash of one endpoint that had one request: the connection broke, or the
// endpoint stopped answering.
type Crash struct {
	Fingerprint Fingerprint
	// Endpoint identifies the incarnation.
	Endpoint uint32
	// BeforeResponse says that no event of the response had arrived.
	BeforeResponse bool
	// After is the time from the send of the request to the crash.
	After time.Duration
}

func (c *Crash) points() int {
	if c.BeforeResponse {
		return earlyPoints
	}
	return latePoints
}

// Detector detects the requests that crash endpoints, and the parts of prompts that do. A
// crash counts against all requests that the endpoint had, and all parts of their prompts,
// until one of these is detected; from then on it counts only against that one, so that those
// which happened to be there aren't detected too. It is safe for use by several goroutines.
type Detector struct {
	svc timer.Service

	mu         sync.Mutex
	suspects   suspects
	parts      *partTable
	attributed map[uint32]attribution    // by incarnation
	lastCrash  map[Fingerprint]time.Time // attributed to a detected part
	crashedAt  map[uint32]time.Time      // when a crash was last recorded, by incarnation
	verdicts   map[Fingerprint]*verdict
	version    uint64 // increases whenever the evidence may have changed
}

// suspect is one request. Invariant: it has at most one crash of each incarnation, and none
// that is attributed to another request.
type suspect struct {
	crashes   map[uint32]Crash
	lastCrash time.Time
}

// suspects are the requests that may crash endpoints.
type suspects map[Fingerprint]*suspect

// crashed implements requestCrashes.
func (l suspects) crashed(request Fingerprint, endpoint uint32) (after time.Duration, ok bool) {
	s := l[request]
	if s == nil {
		return 0, false
	}
	c, ok := s.crashes[endpoint]
	return c.After, ok
}

type attribution struct {
	request Fingerprint // or part
	at      time.Time
	claimed bool // the crash counts against no other part
}

// NewDetector returns a detector that knows of no crash.
func NewDetector(svc timer.Service) *Detector {
	d := &Detector{
		svc:        svc,
		suspects:   suspects{},
		attributed: map[uint32]attribution{},
		lastCrash:  map[Fingerprint]time.Time{},
		crashedAt:  map[uint32]time.Time{},
		verdicts:   map[Fingerprint]*verdict{},
	}
	d.parts = newPartTable(partCrashes, d.suspects)
	return d
}

// Add records a crash. If the request is already known to crash endpoints, the crash is
// attributed to it alone.
func (d *Detector) Add(c Crash, knownCause bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	now := d.svc.Now()
	d.noteCrash(c.Endpoint, now)
	if knownCause {
		d.attribute(c.Endpoint, c.Fingerprint, now)
		d.claimFromParts(c.Fingerprint, c.Endpoint)
		d.addToVerdict(c)
		return
	}
	d.add(c)
}

// add records a crash that may be that of the request. The caller holds mu.
func (d *Detector) add(c Crash) {
	now := d.svc.Now()
	if a, ok := d.attributed[c.Endpoint]; ok && a.request != c.Fingerprint {
		return
	}
	s := d.suspects[c.Fingerprint]
	if s == nil {
		d.evictOldest(now)
		s = &suspect{
			crashes: map[uint32]Crash{},
		}
		d.suspects[c.Fingerprint] = s
	}
	s.crashes[c.Endpoint] = c
	s.lastCrash = now
}

// evictOldest drops the suspect with the oldest last crash if there are maxSuspects already.
func (d *Detector) evictOldest(now time.Time) {
	if len(d.suspects) < maxSuspects {
		return
	}
	oldest := Fingerprint(0)
	at := now.Add(time.Second)
	for f, s := range d.suspects {
		if s.lastCrash.Before(at) {
			oldest = f
			at = s.lastCrash
		}
	}
	delete(d.suspects, oldest)
}

// expire drops what is older than crashRetention.
func (d *Detector) expire(now time.Time) {
	for f, s := range d.suspects {
		if now.Sub(s.lastCrash) > crashRetention {
			delete(d.suspects, f)
		}
	}
	for id, a := range d.attributed {
		if now.Sub(a.at) > crashRetention {
			delete(d.attributed, id)
		}
	}
	for f, at := range d.lastCrash {
		if now.Sub(at) > crashRetention {
			delete(d.lastCrash, f)
		}
	}
	for id, at := range d.crashedAt {
		if now.Sub(at) > crashRetention {
			delete(d.crashedAt, id)
		}
	}
	for f, v := range d.verdicts {
		if !slices.ContainsFunc(v.finding.Endpoints, func(id uint32) bool { return now.Sub(v.crashes[id]) <= crashRetention }) {
			delete(d.verdicts, f)
		}
	}
	d.parts.expire(now)
}

// detectable reports whether a request has enough points to be detected.
func (d *Detector) detectable(f Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.suspects[f]
	if s == nil {
		return false
	}
	points, _ := s.score()
	return points >= detectionPoints
}

// Clear drops a request that was served.
func (d *Detector) Clear(f Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	delete(d.suspects, f)
	delete(d.verdicts, f)
}

// Reset drops all state.
func (d *Detector) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.suspects = suspects{}
	d.parts = newPartTable(partCrashes, d.suspects)
	d.attributed = map[uint32]attribution{}
	d.lastCrash = map[Fingerprint]time.Time{}
	d.crashedAt = map[uint32]time.Time{}
	d.verdicts = map[Fingerprint]*verdict{}
}

// Watched returns the requests with watchedCrashes or more, those with the most crashes first.
func (d *Detector) Watched() []Fingerprint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Fingerprint
	for f, s := range d.suspects {
		if len(s.crashes) >= watchedCrashes {
			list = append(list, f)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := len(d.suspects[list[i]].crashes), len(d.suspects[list[j]].crashes)
		return a > b || a == b && list[i] < list[j]
	})
	return list[:min(len(list), maxWatched)]
}

// Finding is a request, or a part of prompts, that was detected as crashing endpoints.
type Finding struct {
	Fingerprint Fingerprint
	// Crashes are those that a request was detected by, and Endpoints the incarnations.
	Crashes   []Crash
	Endpoints []uint32
	// Part says that it is a part of prompts, and Shared that many requests share it.
	Part   bool
	Shared bool

	suspect *partSuspect // that was dropped; nil for a request
}

// Detect returns what is detected as crashing endpoints, and drops it. A request that was
// found before, and whose quarantine has ended, is detected from earlyPoints on: by a single
// crash before the response, or two later ones; such a part by any single crash.
func (d *Detector) Detect(foundBefore func(f Fingerprint) bool) []Finding {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.svc.Now()
	d.expire(now)
	found := d.detectParts(now, foundBefore)
	for {
		f, ok := d.mostSuspect(foundBefore)
		if !ok {
			return found
		}
		finding := Finding{
			Fingerprint: f,
		}
		for id, c := range d.suspects[f].crashes {
			finding.Crashes = append(finding.Crashes, c)
			finding.Endpoints = append(finding.Endpoints, id)
			d.attribute(id, f, now)
		}
		d.claimFromParts(f, finding.Endpoints...)
		delete(d.suspects, f)
		if foundBefore(f) {
			d.recordAgain(finding)
		} else {
			d.recordVerdict(finding, detectionPoints)
		}
		found = append(found, finding)
		d.version++
	}
}

// claimFromParts makes crashes that are attributed to a whole request count against no part but
// those of its prompt, unless a part was at all of them and at more: then the request may have
// been there by chance.
func (d *Detector) claimFromParts(request Fingerprint, endpoints ...uint32) {
	if d.parts.explains(request, endpoints) {
		return
	}
	for _, id := range endpoints {
		a := d.attributed[id]
		a.claimed = true
		d.attributed[id] = a
		d.parts.attribute(id, request)
	}
}

// attribute attributes the crash of an incarnation to one request or part, and drops it from
// the other requests.
func (d *Detector) attribute(endpoint uint32, request Fingerprint, now time.Time) {
	d.attributed[endpoint] = attribution{
		request: request,
		at:      now,
	}
	for f, s := range d.suspects {
		if f == request {
			continue
		}
		delete(s.crashes, endpoint)
		if len(s.crashes) == 0 {
			delete(d.suspects, f)
		}
	}
}

// mostSuspect returns the request with the most points, if they are enough for Detect. Among
// equals it is the one whose crashes came sooner after the send: a request that crashes an
// endpoint does so when it begins to run, while one that happened to be there may be of any age.
func (d *Detector) mostSuspect(foundBefore func(f Fingerprint) bool) (Fingerprint, bool) {
	best := Fingerprint(0)
	most, soonest, found := 0, time.Duration(0), false
	for f, s := range d.suspects {
		points, after := s.score()
		if points < detectionPoints && (points < earlyPoints || !foundBefore(f)) {
			continue
		}
		if !found || points > most || points == most && after < soonest {
			best, most, soonest, found = f, points, after, true
		}
	}
	return best, found
}

// score returns the points of a request, and the mean time from send to crash.
func (s *suspect) score() (points int, after time.Duration) {
	for _, c := range s.crashes {
		points += c.points()
		after += c.After
	}
	return points, after / time.Duration(max(1, len(s.crashes)))
}
