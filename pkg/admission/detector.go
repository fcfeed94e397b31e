package admission

import (
	"sync"
	"time"
)

const (
	// refusalMemory is how long after a refusal requests may be retries. It is the longest
	// time that callers are told to wait.
	refusalMemory = 8 * time.Second
	// firstPeriod is the time over which the remaining times of first attempts are observed.
	firstPeriod = 10 * time.Second
	firstSlot   = time.Second
	// minFirst is the least number of first attempts whose remaining times are compared,
	// older ones included. Of one or two callers, both may start with more time than others
	// that are not late.
	minFirst = 5
	// lateRatio is the part of the least remaining time of first attempts below which a
	// request is late.
	lateRatio = 0.9
	// promisedRatio is the part of that time that a booked retry has left at most. It is lower
	// than lateRatio, because the least times that hosts have observed differ a little.
	promisedRatio = 0.85
	// unknownLeast is the part of a caller's remaining time that is taken to be the least time on
	// a route of which this host has observed too few first attempts.
	unknownLeast = 0.85
	// maxRoutes bounds the routes observed, at about 500 bytes each.
	maxRoutes = 1024
)

// Detector recognizes requests that were refused before, by any host, by their remaining
// time: a caller that has waited has less of it left than callers that ask for the first
// time. It is safe for concurrent use.
type Detector struct {
	clock Clock

	mu        sync.Mutex
	routes    map[routeKey]*routeTimes
	refusedAt map[string]time.Time // by service
}

type routeKey struct {
	service string
	route   string
}

// routeTimes is what is known of the first attempts on one route.
//
// Invariant: slots are in order of their time, each has at least one request, and all but the
// first of them together have fewer than minFirst, or the first isn't older than firstPeriod.
type routeTimes struct {
	slots  []firstSlotTimes
	count  int           // of requests in slots
	least  time.Duration // of slots
	usedAt time.Time
}

type firstSlotTimes struct {
	start time.Time
	least time.Duration
	count int
}

// NewDetector returns a detector that takes no request as late.
func NewDetector(clock Clock) *Detector {
	return &Detector{
		clock:     clock,
		routes:    map[routeKey]*routeTimes{},
		refusedAt: map[string]time.Time{},
	}
}

// NoteRefusal notes that a request for a service has been refused, here or on another host:
// from now on some requests are retries.
func (d *Detector) NoteRefusal(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if _, ok := d.refusedAt[service]; !ok {
		for name, at := range d.refusedAt {
			if now.Sub(at) >= refusalMemory {
				delete(d.refusedAt, name)
			}
		}
	}
	d.refusedAt[service] = now
}

// Observe reports whether a request is late. If no request could be a retry, it also counts it
// as a first attempt.
func (d *Detector) Observe(service, route string, remaining time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	key := routeKey{
		service: service,
		route:   route,
	}
	at, refused := d.refusedAt[service]
	t := d.routes[key]
	if refused && now.Sub(at) < refusalMemory {
		return t != nil && t.isLate(remaining)
	}
	if t == nil {
		t = d.add(key)
	}
	t.observe(remaining, now)
	return t.isLate(remaining)
}

// MinWait returns how long the caller of a refused request must wait so that its retry is
// recognized as late.
func (d *Detector) MinWait(service, route string, remaining time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.routes[routeKey{
		service: service,
		route:   route,
	}]
	least := unknownLeast * float64(remaining)
	if t != nil && t.count >= minFirst {
		least = float64(t.least)
	}
	return max(0, remaining-time.Duration(promisedRatio*least))
}

// add adds a route. If there are too many, it replaces the one that wasn't used for longest.
func (d *Detector) add(key routeKey) *routeTimes {
	if len(d.routes) >= maxRoutes {
		oldest, found := routeKey{}, false
		for k, t := range d.routes {
			if !found || t.usedAt.Before(d.routes[oldest].usedAt) {
				oldest, found = k, true
			}
		}
		delete(d.routes, oldest)
	}
	t := &routeTimes{}
	d.routes[key] = t
	return t
}

func (t *routeTimes) isLate(remaining time.Duration) bool {
	return t.count >= minFirst && float64(remaining) < lateRatio*float64(t.least)
}

func (t *routeTimes) observe(remaining time.Duration, now time.Time) {
	t.usedAt = now
	n := len(t.slots)
	if n == 0 || now.Sub(t.slots[n-1].start) >= firstSlot {
		t.slots = append(t.slots, firstSlotTimes{
			start: now,
			least: remaining,
		})
		n++
	}
	last := &t.slots[n-1]
	last.least = min(last.least, remaining)
	last.count++
	t.count++
	drop := 0
	for drop < n-1 && now.Sub(t.slots[drop].start) >= firstPeriod && t.count-t.slots[drop].count >= minFirst {
		t.count -= t.slots[drop].count
		drop++
	}
	t.slots = append(t.slots[:0], t.slots[drop:]...)
	t.least = t.slots[0].least
	for _, s := range t.slots[1:] {
		t.least = min(t.least, s.least)
	}
}
