package quarantine

import (
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// detectionPoints is when a request is found to end endpoints: after three ends
	// before any event of an answer, as a request that ends whatever begins to run it
	// makes them, or five later ones. With fewer, streams that were cut twice in a
	// crowd would be found: of 521 that were cut in 24 s of logs of such a day, 254
	// were cut twice.
	detectionPoints = 15
	earlyPoints     = 5
	latePoints      = 3
	// watchedCrashes is under how many ends a request is watched: if it is served after
	// all, it wasn't the cause.
	watchedCrashes = 2
	// crashRetention is how long after its newest end a request is remembered. Callers that were seen to repeat such a
	// request came back within 4 s; a person may come back within minutes.
	crashRetention = 10 * time.Minute
	// maxWatched bounds the requests that are watched at a time: hosts are told them.
	maxWatched = 64
	// maxSuspects bounds the requests that are remembered, at 200 bytes or so by
	// their fields: eight times the 521 streams that were cut in 24 s of such a day.
	maxSuspects = 4096
)

// Crash is the end of one endpoint under one request: the connection broke, or the
// endpoint fell silent, while it had the request.
type Crash struct {
	Fingerprint Fingerprint
	// Endpoint names the incarnation.
	Endpoint uint32
	// BeforeResponse says that no event of an answer had come.
	BeforeResponse bool
	// After is the time from the send to the end.
	After time.Duration
}

func (c *Crash) points() int {
	if c.BeforeResponse {
		return earlyPoints
	}
	return latePoints
}

// Detector tells which requests end endpoints. An end counts against all requests
// that the endpoint had, until one of them is found guilty; from then on it counts
// against that one only, so that those which happened to be there aren't found too. It
// is safe for use by several goroutines.
type Detector struct {
	svc timer.Service

	mu         sync.Mutex
	suspects   map[Fingerprint]*suspect
	attributed map[uint32]attribution // by incarnation
}

// suspect is one request. Invariant: one end for each incarnation, none of which is
// blamed on another request.
type suspect struct {
	crashes   map[uint32]Crash
	lastCrash time.Time // of the newest
}

type attribution struct {
	request Fingerprint
	at      time.Time
}

// NewDetector returns an empty set.
func NewDetector(svc timer.Service) *Detector {
	return &Detector{
		svc:        svc,
		suspects:   map[Fingerprint]*suspect{},
		attributed: map[uint32]attribution{},
	}
}

// Add takes an end. guilty says that the request is known to end endpoints: nothing
// else is to blame for this one.
func (d *Detector) Add(c Crash, knownCause bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.svc.Now()
	if knownCause {
		d.attribute(c.Endpoint, c.Fingerprint, now)
		return
	}
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

// evictOldest forgets what is too old, and the oldest if there is no room for one more.
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

// expire forgets what is too old.
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
}

// detectable reports whether a request has enough against it to be found.
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

// Clear forgets a request that was served.
func (d *Detector) Clear(f Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, f)
}

// Reset forgets everything.
func (d *Detector) Reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.suspects) > 0 || len(d.attributed) > 0 {
		d.suspects = map[Fingerprint]*suspect{}
		d.attributed = map[uint32]attribution{}
	}
}

// Watched returns the requests under which several endpoints ended, those with the
// most ends first.
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

// Finding is a request that is found to end endpoints, and the ends that show it.
type Finding struct {
	Fingerprint Fingerprint
	Crashes     []Crash
}

// Detect returns the requests that are found to end endpoints, and forgets them. One
// that was found before, and has served its time, is found by a single early end.
func (d *Detector) Detect(foundBefore func(f Fingerprint) bool) []Finding {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.svc.Now()
	d.expire(now)
	var found []Finding
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
			d.attribute(id, f, now)
		}
		delete(d.suspects, f)
		found = append(found, finding)
	}
}

// attribute puts an incarnation's end down to one request, and takes it off the others.
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

// mostSuspect returns the request with the most against it, if that is enough; of two with
// as much, the one under which endpoints ended sooner after the send: what ends an
// endpoint does so as it begins to run, what happens to be there has any age.
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

// score returns what stands against a request, and the mean time to its ends.
func (s *suspect) score() (points int, after time.Duration) {
	for _, c := range s.crashes {
		points += c.points()
		after += c.After
	}
	return points, after / time.Duration(max(1, len(s.crashes)))
}
