package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// initialAvoidTime is how long an endpoint is avoided after a first failure. Each
	// further failure in a row doubles the time, up to maxAvoidTime.
	initialAvoidTime = 500 * time.Millisecond
	maxAvoidTime     = 4 * time.Second
	// latencyWeight is the weight of the newest answer in the moving average.
	latencyWeight = 0.3
)

// Tracker holds the load that this host has in flight at each endpoint, and which
// endpoints failed recently. It is safe for use by several goroutines.
type Tracker struct {
	svc timer.Service
	log *eventlog.Log

	mu      sync.Mutex
	entries map[string]*trackerEntry
	// restorable is the number of entries with a restorableFrom, so that most events take no lock.
	restorable atomic.Int32
}

type trackerEntry struct {
	load       Load
	avoidUntil time.Time
	silentAt   time.Time // when it was found silent; zero if it isn't
	failures   int       // in a row
	// restorableFrom is the time from which on whatever is heard of the endpoint shows that it works;
	// zero if only an answer to a request does.
	restorableFrom time.Time
	latency        float64 // moving average in ms; 0 if there was no answer yet
	lastUsed       time.Time
}

// idleEntryLifetime is how long an entry without load is kept.
const idleEntryLifetime = 2 * time.Minute

// NewTracker returns a tracker without entries.
func NewTracker(svc timer.Service, log *eventlog.Log) *Tracker {
	return &Tracker{
		svc:     svc,
		log:     log,
		entries: map[string]*trackerEntry{},
	}
}

func (t *Tracker) entry(id string) *trackerEntry {
	e := t.entries[id]
	if e == nil {
		e = &trackerEntry{}
		t.entries[id] = e
	}
	e.lastUsed = t.svc.Now()
	return e
}

// Begin counts a request as load of an endpoint, until the returned function is called.
func (t *Tracker) Begin(id string, tokens int) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.load.Requests++
	e.load.Tokens += tokens
	done := false
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if done {
			return
		}
		done = true
		e.load.Requests--
		e.load.Tokens -= tokens
	}
}

// Load returns the load in flight at an endpoint.
func (t *Tracker) Load(id string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return e.load
	}
	return Load{}
}

// Loads returns the load in flight at every endpoint that has any, and deletes entries
// that were idle for long.
func (t *Tracker) Loads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.svc.Now()
	list := map[string]Load{}
	for id, e := range t.entries {
		if e.load.Requests > 0 {
			list[id] = e.load
			continue
		}
		if now.Sub(e.lastUsed) > idleEntryLifetime {
			t.setRestorable(e, time.Time{})
			delete(t.entries, id)
		}
	}
	return list
}

// silenceLifetime is how long an endpoint counts as silent that nothing is heard of. By then it has
// missed heartbeats, or a connection to it has timed out, if it is lost.
const silenceLifetime = 3 * time.Second

// RecordFailure records that an endpoint failed. For a while it is avoided: it gets new
// work only if no other endpoint can take it.
func (t *Tracker) RecordFailure(id, why string) {
	t.avoid(id, why, afterFailing)
}

// RecordError records that a send to an endpoint failed with err. One that doesn't accept a connection
// in time is silent.
func (t *Tracker) RecordError(id string, err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.RecordSilence(id, err.Error())
		return
	}
	t.RecordFailure(id, err.Error())
}

// RecordSilence records that an endpoint has stopped answering, which is a failure that it may recover
// from at any moment. It is avoided until it is heard, but no longer than after another failure.
func (t *Tracker) RecordSilence(id, why string) {
	t.avoid(id, why, afterSilence)
}

// RecordStall records that a stream stalled at an endpoint. It is avoided for as long as after a
// failure, since other streams may still pass through one that is slow; whatever is heard of it
// after that shows that it works.
func (t *Tracker) RecordStall(id, why string) {
	t.avoid(id, why, afterStall)
}

// avoidance is why an endpoint is avoided.
type avoidance int

const (
	afterFailing avoidance = iota
	afterSilence
	afterStall
)

func (t *Tracker) avoid(id, why string, a avoidance) {
	t.mu.Lock()
	e := t.entry(id)
	now := t.svc.Now()
	wasAvailable := now.After(e.avoidUntil)
	if wasAvailable {
		e.failures++
	}
	d := min(maxAvoidTime, initialAvoidTime<<min(8, e.failures-1))
	if until := now.Add(d); until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
	if a == afterSilence {
		e.silentAt = now
	}
	switch {
	case a == afterFailing || !wasAvailable && e.restorableFrom.IsZero():
		t.setRestorable(e, time.Time{})
	case a == afterSilence:
		t.setRestorable(e, now.Add(inFlightTime))
	default:
		t.setRestorable(e, e.avoidUntil)
	}
	t.mu.Unlock()
	if wasAvailable {
		t.log.Event(eventlog.EndpointAvoided, eventlog.Str("endpoint", id), eventlog.Str("why", why), eventlog.Ms("for_ms", d))
	}
}

// setRestorable sets the time from which on an endpoint can be restored. The caller holds mu.
func (t *Tracker) setRestorable(e *trackerEntry, from time.Time) {
	if !e.restorableFrom.IsZero() {
		t.restorable.Add(-1)
	}
	if !from.IsZero() {
		t.restorable.Add(1)
	}
	e.restorableFrom = from
}

// Silent reports whether an endpoint was silent when it was last heard of.
func (t *Tracker) Silent(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && !e.silentAt.IsZero() && t.svc.Now().Sub(e.silentAt) < silenceLifetime
}

// Restore records that an endpoint has answered. If it was silent, it isn't avoided any longer.
func (t *Tracker) Restore(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && !e.silentAt.IsZero() && !e.restorableFrom.IsZero() {
		t.restore(e)
	}
}

// Heard notes an event of a stream that passed through an endpoint, received at a time.
func (t *Tracker) Heard(id string, at time.Time) {
	if t.restorable.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && !e.restorableFrom.IsZero() && at.After(e.restorableFrom) {
		t.restore(e)
	}
}

// restore ends the time for which an endpoint is avoided. The caller holds mu.
func (t *Tracker) restore(e *trackerEntry) {
	e.failures = 0
	e.avoidUntil = time.Time{}
	e.silentAt = time.Time{}
	t.setRestorable(e, time.Time{})
}

// Suspects returns the endpoints that are currently avoided.
func (t *Tracker) Suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.svc.Now()
	var list []string
	for id, e := range t.entries {
		if now.Before(e.avoidUntil) {
			list = append(list, id)
		}
	}
	return list
}

// RecordSuccess records an answer of an endpoint that took d. The endpoint is not
// avoided any longer.
func (t *Tracker) RecordSuccess(id string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	t.restore(e)
	ms := float64(d) / float64(time.Millisecond)
	if e.latency == 0 {
		e.latency = ms
		return
	}
	e.latency += latencyWeight * (ms - e.latency)
}

// Latency returns the moving average of an endpoint's answer times in ms; 0 if unknown.
func (t *Tracker) Latency(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return e.latency
	}
	return 0
}

// Avoided reports whether an endpoint is currently avoided.
func (t *Tracker) Avoided(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && t.svc.Now().Before(e.avoidUntil)
}
