package gateway

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// avoidFirst is how long an endpoint that failed once is left alone;
	// each failure in a row doubles it, up to avoidMost.
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
	// latencyWeight is the newest answer's weight in the mean.
	latencyWeight = 0.3
)

// Tracker knows what this host has under way at each endpoint, and which ones
// failed it. It is safe for use by several goroutines.
type Tracker struct {
	svc timer.Service
	log *eventlog.Log

	mu   sync.Mutex
	rows map[string]*trackRow
}

type trackRow struct {
	load     Load
	until    time.Time // avoided
	failures int       // in a row
	latency  float64   // mean ms of answers; 0 if none came
	used     time.Time
}

// trackKeep is how long a row without work is kept.
const trackKeep = 2 * time.Minute

// NewTracker returns a tracker that knows nothing.
func NewTracker(svc timer.Service, log *eventlog.Log) *Tracker {
	return &Tracker{
		svc:  svc,
		log:  log,
		rows: map[string]*trackRow{},
	}
}

func (t *Tracker) row(id string) *trackRow {
	r := t.rows[id]
	if r == nil {
		r = &trackRow{}
		t.rows[id] = r
	}
	r.used = t.svc.Now()
	return r
}

// Begin counts work at an endpoint; the function returned ends it.
func (t *Tracker) Begin(id string, tokens int) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(id)
	r.load.Requests++
	r.load.Tokens += tokens
	done := false
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if done {
			return
		}
		done = true
		r.load.Requests--
		r.load.Tokens -= tokens
	}
}

// Load returns what is under way at an endpoint.
func (t *Tracker) Load(id string) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		return r.load
	}
	return Load{}
}

// Loads returns what is under way at every endpoint, and forgets old rows.
func (t *Tracker) Loads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.svc.Now()
	list := map[string]Load{}
	for id, r := range t.rows {
		if r.load.Requests > 0 {
			list[id] = r.load
			continue
		}
		if now.Sub(r.used) > trackKeep {
			delete(t.rows, id)
		}
	}
	return list
}

// RecordFailure notes a failure of an endpoint, by which it gets no work for a while.
func (t *Tracker) RecordFailure(id, why string) {
	t.mu.Lock()
	r := t.row(id)
	now := t.svc.Now()
	fresh := now.After(r.until)
	if fresh {
		r.failures++
	}
	d := min(avoidMost, avoidFirst<<min(8, r.failures-1))
	if until := now.Add(d); until.After(r.until) {
		r.until = until
	}
	t.mu.Unlock()
	if fresh {
		t.log.Event(eventlog.EndpointAvoided, eventlog.Str("endpoint", id), eventlog.Str("why", why), eventlog.Ms("for_ms", d))
	}
}

// Suspects returns the endpoints that are avoided now.
func (t *Tracker) Suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.svc.Now()
	var list []string
	for id, r := range t.rows {
		if now.Before(r.until) {
			list = append(list, id)
		}
	}
	return list
}

// RecordSuccess notes an answer of an endpoint that took d.
func (t *Tracker) RecordSuccess(id string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(id)
	r.failures = 0
	r.until = time.Time{}
	ms := float64(d) / float64(time.Millisecond)
	if r.latency == 0 {
		r.latency = ms
		return
	}
	r.latency += latencyWeight * (ms - r.latency)
}

// Latency returns the mean time of an endpoint's answers in ms; 0 if unknown.
func (t *Tracker) Latency(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		return r.latency
	}
	return 0
}

// Avoided reports whether an endpoint gets no work now.
func (t *Tracker) Avoided(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	return r != nil && t.svc.Now().Before(r.until)
}
