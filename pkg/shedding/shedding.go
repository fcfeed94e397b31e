// Package shedding records which endpoints rejected a request for lack of capacity a moment
// ago, so that the next requests are sent to others.
package shedding

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

const (
	// initialFullTime is how long an endpoint counts as full after a rejection. Each further
	// one that comes within repeatWindow after the end doubles the time, up to maxFullTime.
	// Engines free memory with every stream that ends, a few each second.
	initialFullTime = 250 * time.Millisecond
	repeatWindow    = 250 * time.Millisecond
	maxFullTime     = time.Second
	// mergeSlack is how much later than here the same rejection may seem to end by what
	// another host reports of it: the time that the report and the leader's reply take.
	mergeSlack = 100 * time.Millisecond
	// sweepInterval is how often expired entries are dropped.
	sweepInterval = time.Second
	// MaxReported is how many full endpoints a host reports to the leader, and MaxSent how
	// many the leader sends to a host. An entry takes about 8 bytes in each call.
	MaxReported = 16
	MaxSent     = 32
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Entry is a full endpoint as hosts report it.
type Entry struct {
	Key       uint32 // fleet.LoadKey of the incarnation
	Remaining time.Duration
}

// Tracker records which endpoints are full. It is safe for use by several goroutines.
//
// Invariant: nothing keeps an endpoint full for longer than maxFullTime after the last
// rejection or report.
type Tracker struct {
	clock Clock

	mu      sync.Mutex
	entries map[uint32]*entry // by fleet.LoadKey
	sweptAt time.Time
}

// entry is the full times of an endpoint that followed each other closely.
type entry struct {
	until    time.Time     // end, by this host's observations and those of others
	ownUntil time.Time     // end by this host's observations alone
	since    time.Time     // time of the rejection or report that until follows from
	length   time.Duration // of the full time that the last rejection began
	// endedUntil is the end of a full time that an accepted request has cut short.
	endedUntil time.Time
}

// New returns a tracker without full endpoints.
func New(clock Clock) *Tracker {
	return &Tracker{
		clock:   clock,
		entries: map[uint32]*entry{},
	}
}

// Record notes that an endpoint rejected a request for lack of capacity.
func (t *Tracker) Record(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e := t.open(fleet.LoadKey(id), now)
	switch {
	case now.Before(e.until): // sent before the endpoint was known to be full
	case now.Before(e.until.Add(repeatWindow)):
		e.length = min(maxFullTime, 2*e.length)
	default:
		e.length = initialFullTime
	}
	e.extend(now, now.Add(e.length))
	e.ownUntil = e.until
}

// Merge notes the full endpoints that other hosts report. It may be called again for the
// same rejections.
func (t *Tracker) Merge(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, reported := range entries {
		until := now.Add(min(maxFullTime, reported.Remaining))
		if !until.After(now) {
			continue
		}
		e := t.open(reported.Key, now)
		if until.After(e.until.Add(mergeSlack)) && until.After(e.endedUntil.Add(mergeSlack)) {
			e.extend(now, until)
		}
	}
}

// open returns the entry of an endpoint, a new one if there is none.
func (t *Tracker) open(key uint32, now time.Time) *entry {
	t.sweep(now)
	e := t.entries[key]
	if e == nil {
		e = &entry{
			length: initialFullTime,
		}
		t.entries[key] = e
	}
	return e
}

// extend makes the endpoint full until the given time at least.
func (e *entry) extend(now, until time.Time) {
	if until.After(e.until) {
		e.until = until
		e.since = now
	}
}

// sweep drops entries that have no effect any longer, every sweepInterval at most.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for key, e := range t.entries {
		if !now.Before(e.until.Add(repeatWindow)) && now.After(e.endedUntil) {
			delete(t.entries, key)
		}
	}
}

// Accepted notes that an endpoint accepted a request that was sent at sentAt. If that was
// after the last rejection, the endpoint is no longer full. A request sent earlier may have
// taken the last capacity.
func (t *Tracker) Accepted(id string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return
	}
	e := t.entries[fleet.LoadKey(id)]
	if e == nil || e.until.IsZero() || !sentAt.After(e.since) {
		return
	}
	e.endedUntil = e.until
	e.until = time.Time{}
	e.ownUntil = time.Time{}
}

// Remaining returns how much longer an endpoint counts as full; 0 if it doesn't.
func (t *Tracker) Remaining(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return 0
	}
	e := t.entries[fleet.LoadKey(id)]
	if e == nil {
		return 0
	}
	return max(0, e.until.Sub(t.clock.Now()))
}

// HasAny reports whether any endpoint may be full now.
func (t *Tracker) HasAny() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(t.clock.Now())
	return len(t.entries) > 0
}

// List returns the endpoints that are full by this host's own observations, for the report
// to the leader: at most MaxReported, those that stay full for longest.
func (t *Tracker) List() []Entry {
	return t.list(MaxReported, func(e *entry) time.Time { return e.ownUntil })
}

// All returns all full endpoints, for the leader's replies to hosts: at most MaxSent, those
// that stay full for longest.
func (t *Tracker) All() []Entry {
	return t.list(MaxSent, func(e *entry) time.Time { return e.until })
}

// list returns the endpoints that are full by the ends that until returns, at most most of
// them.
func (t *Tracker) list(most int, until func(e *entry) time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []Entry
	for key, e := range t.entries {
		if left := until(e).Sub(now); left > 0 {
			list = append(list, Entry{
				Key:       key,
				Remaining: left,
			})
		}
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Key, b.Key))
	})
	return list[:min(most, len(list))]
}
