package quarantine

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// OwnHold is how long a host keeps a request from endpoints by what it saw alone,
	// without a word of the control hosts: these decide within a second while there is
	// a leader, and a deployment without one for longer than this takes no requests
	// with keys anyway.
	OwnHold = 30 * time.Second
	// reportKept is how long a host can tell a new leader of an end.
	reportKept = 2 * time.Minute
	// maxReports bounds what a host remembers to tell, and maxTold what one call
	// tells, at 20 bytes each: a host has a few streams at each endpoint.
	maxReports = 512
	maxTold    = 128
)

// Verdict is what the control hosts say of a request: kept from endpoints for a time,
// or watched if that is 0.
type Verdict struct {
	Fingerprint Fingerprint
	Held        time.Duration
}

// Host is an entry host's part: what it saw itself and has to tell, and what it was
// told. It is safe for use by several goroutines.
type Host struct {
	svc timer.Service
	own *Suspects

	mu      sync.Mutex
	reports []report
	served  []Fingerprint             // watched ones
	told    map[Fingerprint]time.Time // until when held; zero: watched
	digest  uint64
	mine    map[Fingerprint]time.Time // until when held by what this host saw
}

// report is an end that the leader must know of.
type report struct {
	end  End
	at   time.Time
	term uint64 // of the leader that was told; 0: none
}

// NewHost returns a host that has seen nothing.
func NewHost(svc timer.Service) *Host {
	return &Host{
		svc:  svc,
		own:  NewSuspects(svc),
		told: map[Fingerprint]time.Time{},
		mine: map[Fingerprint]time.Time{},
	}
}

// Idle reports whether no request is watched or held, so that none need be told apart.
func (h *Host) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.told) == 0 && len(h.mine) == 0
}

// Held returns how much longer a request is kept from endpoints; 0 if it isn't.
func (h *Host) Held(f Fingerprint) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held(f)
}

func (h *Host) held(f Fingerprint) time.Duration {
	until := h.told[f]
	if own := h.mine[f]; own.After(until) {
		until = own
	}
	return max(0, until.Sub(h.svc.Now()))
}

// Ended takes an end that this host saw, and reports whether the request is held by
// it from now on.
func (h *Host) Ended(e End) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.svc.Now()
	h.dropReports(now)
	h.reports = append(h.reports, report{
		end: e,
		at:  now,
	})
	h.own.Add(e, h.held(e.Fingerprint) > 0)
	if !h.own.enough(e.Fingerprint) {
		return false // to judge all costs 0.6 ms where 4,000 are remembered
	}
	found := h.own.Judge(func(Fingerprint) bool { return false })
	for _, one := range found {
		h.mine[one.Fingerprint] = now.Add(OwnHold)
	}
	return len(found) > 0
}

// dropReports makes room for one more.
func (h *Host) dropReports(now time.Time) {
	first := max(0, len(h.reports)-maxReports+1)
	for first < len(h.reports) && now.Sub(h.reports[first].at) > reportKept {
		first++
	}
	h.reports = append([]report(nil), h.reports[first:]...)
	for f, until := range h.mine {
		if !now.Before(until) {
			delete(h.mine, f)
		}
	}
}

// Served takes a request that an endpoint answered.
func (h *Host) Served(f Fingerprint) {
	h.own.Clear(f)
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, watched := h.told[f]; watched && len(h.served) < maxTold {
		h.served = append(h.served, f)
	}
}

// Digest returns the digest that came with what this host was told.
func (h *Host) Digest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.digest
}

// Untold returns the ends that the leader of a term wasn't told of, and the watched
// requests that were served since.
func (h *Host) Untold(term uint64) (ends []End, served []Fingerprint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.reports {
		if h.reports[i].term != term && len(ends) < maxTold {
			ends = append(ends, h.reports[i].end)
		}
	}
	return ends, append([]Fingerprint(nil), h.served...)
}

// Told notes that the leader of a term took these ends and served requests.
func (h *Host) Told(term uint64, ends []End, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := map[End]bool{}
	for _, e := range ends {
		taken[e] = true
	}
	for i := range h.reports {
		if taken[h.reports[i].end] {
			h.reports[i].term = term
		}
	}
	h.served = h.served[served:]
}

// Take installs what the control hosts say, in place of what they said before.
func (h *Host) Take(list []Verdict, digest uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.svc.Now()
	h.told = make(map[Fingerprint]time.Time, len(list))
	for _, v := range list {
		until := time.Time{}
		if v.Held > 0 {
			until = now.Add(v.Held)
		}
		h.told[v.Fingerprint] = until
	}
	h.digest = digest
}
