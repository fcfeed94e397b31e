package quarantine

import (
	"sort"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// guiltyPoints is when a request is found to end endpoints: after three ends
	// before any event of an answer, as a request that ends whatever begins to run it
	// makes them, or five later ones. With fewer, streams that were cut twice in a
	// crowd would be found: of 521 that were cut in 24 s of logs of such a day, 254
	// were cut twice.
	guiltyPoints = 15
	earlyPoints  = 5
	latePoints   = 3
	// watchedEnds is under how many ends a request is watched: if it is served after
	// all, it wasn't the cause.
	watchedEnds = 2
	// endsKept is how long after its newest end a request is remembered. Callers that were seen to repeat such a
	// request came back within 4 s; a person may come back within minutes.
	endsKept = 10 * time.Minute
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

func (e *Crash) points() int {
	if e.BeforeResponse {
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

	mu     sync.Mutex
	rows   map[Fingerprint]*suspect
	blamed map[uint32]blame // by incarnation
}

// suspect is one request. Invariant: one end for each incarnation, none of which is
// blamed on another request.
type suspect struct {
	ends map[uint32]Crash
	at   time.Time // of the newest
}

type blame struct {
	on Fingerprint
	at time.Time
}

// NewDetector returns an empty set.
func NewDetector(svc timer.Service) *Detector {
	return &Detector{
		svc:    svc,
		rows:   map[Fingerprint]*suspect{},
		blamed: map[uint32]blame{},
	}
}

// Add takes an end. guilty says that the request is known to end endpoints: nothing
// else is to blame for this one.
func (s *Detector) Add(e Crash, guilty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.svc.Now()
	if guilty {
		s.blame(e.Endpoint, e.Fingerprint, now)
		return
	}
	if b, ok := s.blamed[e.Endpoint]; ok && b.on != e.Fingerprint {
		return
	}
	r := s.rows[e.Fingerprint]
	if r == nil {
		s.makeRoom(now)
		r = &suspect{
			ends: map[uint32]Crash{},
		}
		s.rows[e.Fingerprint] = r
	}
	r.ends[e.Endpoint] = e
	r.at = now
}

// makeRoom forgets what is too old, and the oldest if there is no room for one more.
func (s *Detector) makeRoom(now time.Time) {
	if len(s.rows) < maxSuspects {
		return
	}
	oldest := Fingerprint(0)
	at := now.Add(time.Second)
	for f, r := range s.rows {
		if r.at.Before(at) {
			oldest = f
			at = r.at
		}
	}
	delete(s.rows, oldest)
}

// expire forgets what is too old.
func (s *Detector) expire(now time.Time) {
	for f, r := range s.rows {
		if now.Sub(r.at) > endsKept {
			delete(s.rows, f)
		}
	}
	for id, b := range s.blamed {
		if now.Sub(b.at) > endsKept {
			delete(s.blamed, id)
		}
	}
}

// enough reports whether a request has enough against it to be found.
func (s *Detector) enough(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rows[f]
	if r == nil {
		return false
	}
	points, _ := r.weigh()
	return points >= guiltyPoints
}

// Clear forgets a request that was served.
func (s *Detector) Clear(f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, f)
}

// Reset forgets everything.
func (s *Detector) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rows) > 0 || len(s.blamed) > 0 {
		s.rows = map[Fingerprint]*suspect{}
		s.blamed = map[uint32]blame{}
	}
}

// Watched returns the requests under which several endpoints ended, those with the
// most ends first.
func (s *Detector) Watched() []Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Fingerprint
	for f, r := range s.rows {
		if len(r.ends) >= watchedEnds {
			list = append(list, f)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := len(s.rows[list[i]].ends), len(s.rows[list[j]].ends)
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
func (s *Detector) Detect(before func(f Fingerprint) bool) []Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.svc.Now()
	s.expire(now)
	var found []Finding
	for {
		f, ok := s.worst(before)
		if !ok {
			return found
		}
		one := Finding{
			Fingerprint: f,
		}
		for id, e := range s.rows[f].ends {
			one.Crashes = append(one.Crashes, e)
			s.blame(id, f, now)
		}
		delete(s.rows, f)
		found = append(found, one)
	}
}

// blame puts an incarnation's end down to one request, and takes it off the others.
func (s *Detector) blame(endpoint uint32, on Fingerprint, now time.Time) {
	s.blamed[endpoint] = blame{
		on: on,
		at: now,
	}
	for f, r := range s.rows {
		if f == on {
			continue
		}
		delete(r.ends, endpoint)
		if len(r.ends) == 0 {
			delete(s.rows, f)
		}
	}
}

// worst returns the request with the most against it, if that is enough; of two with
// as much, the one under which endpoints ended sooner after the send: what ends an
// endpoint does so as it begins to run, what happens to be there has any age.
func (s *Detector) worst(before func(f Fingerprint) bool) (Fingerprint, bool) {
	best := Fingerprint(0)
	most, soonest, found := 0, time.Duration(0), false
	for f, r := range s.rows {
		points, after := r.weigh()
		if points < guiltyPoints && (points < earlyPoints || !before(f)) {
			continue
		}
		if !found || points > most || points == most && after < soonest {
			best, most, soonest, found = f, points, after, true
		}
	}
	return best, found
}

// weigh returns what stands against a request, and the mean time to its ends.
func (r *suspect) weigh() (points int, after time.Duration) {
	for _, e := range r.ends {
		points += e.points()
		after += e.After
	}
	return points, after / time.Duration(max(1, len(r.ends)))
}
