package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/shedding"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// FullEndpoints returns the endpoints of services with engines that rejected a request for
// lack of capacity a moment ago.
func (g *Gateway) FullEndpoints() *shedding.Tracker {
	return g.full
}

// lacksCapacity reports whether an endpoint rejected a request because it has no capacity for
// it at the moment. Engines answer 503 then and ask for no backoff. With 421 another endpoint
// is at the address, with other statuses the request itself or its rate is at fault, and an
// endpoint that is leaving has no capacity later either.
func lacksCapacity(a *Answer) bool {
	return a.NotRun && !a.Misdirected && a.Status == http.StatusServiceUnavailable &&
		a.Notice.Backoff <= 0 && !a.Notice.Leaving
}

// recordAccepted notes that every endpoint of the path has accepted the stream, because its
// current send has brought an event.
func (s *streamRun) recordAccepted() {
	if s.j.service.Engine == nil {
		return
	}
	for _, p := range s.path {
		s.g.full.Accepted(p.ID, s.sentAt)
	}
}

// mayUseFull reports whether the stream may be sent to full endpoints if there is no other
// path. What they rejected may have been one large request, and without a shortage they have
// capacity again within a moment. During a shortage only streams that were sent already and
// those of the most urgent rank may use them.
func (s *streamRun) mayUseFull() bool {
	return !s.shortage || s.sends > 0 || s.callerLastEvent != "" || s.g.ranks.mostUrgent(s.j.service.Name, s.j.priority)
}

// leftOut reports whether an endpoint is full and is therefore not used for the stream. An
// endpoint that rejected the stream itself isn't used as long as it is full.
func (s *streamRun) leftOut(id string) bool {
	return s.g.full.Remaining(id) > 0 && (s.refusedIDs[id] || !s.mayUseFull())
}

// includingFull returns the result of a search for a path in which candidates includes full
// endpoints. It returns nil if no endpoint is full.
func (s *streamRun) includingFull(search func() []fleet.Stage) []fleet.Stage {
	if !s.g.full.HasAny() {
		return nil
	}
	s.withFull = true
	defer func() { s.withFull = false }()
	return search()
}

// forgetRefusals allows endpoints again that refused the stream, except those that are still
// full.
func (s *streamRun) forgetRefusals() {
	for id := range s.refusedIDs {
		if s.g.full.Remaining(id) == 0 {
			delete(s.refusedIDs, id)
		}
	}
}

// fullError returns the failure for a request for which there is no path only because
// endpoints are full, or nil. It names the first layers that only full endpoints hold.
func (s *streamRun) fullError() *failure.Error {
	if s.j.service.Engine == nil || !s.g.full.HasAny() {
		return nil
	}
	in := s.layersAvailableIn()
	first := fleet.Range{}
	longest := time.Duration(0)
	for layer, d := range in {
		switch {
		case d < 0:
			return nil // not even a full endpoint holds the layer
		case d > 0 && first.Len() == 0:
			first = fleet.Range{
				From: layer,
				To:   layer + 1,
			}
		case d > 0 && first.To == layer:
			first.To++
		}
		longest = max(longest, d)
	}
	if longest == 0 {
		return nil
	}
	s.fullFailure = failure.New(failure.Overloaded, "%s", admission.FullText(first.From, first.To-1)).
		WithRetryAfter(max(baseRetryAfter, lengthen(longest)))
	return s.fullFailure
}

// layersAvailableIn returns for each layer when an endpoint that holds it may be used for the
// stream again: 0 if one may be used now, a negative time if none can be expected.
func (s *streamRun) layersAvailableIn() []time.Duration {
	in := make([]time.Duration, s.j.service.Engine.Layers)
	for layer := range in {
		in[layer] = -1
	}
	list := s.allCandidates(func(e *fleet.Endpoint) bool {
		return s.failedIDs[e.ID] || s.refusedIDs[e.ID] && s.g.full.Remaining(e.ID) == 0 ||
			s.g.backoffs.Remaining(e.ID) > 0 || !s.g.permits.MayCall(e.ID)
	})
	for _, c := range list {
		d := time.Duration(0)
		if s.leftOut(c.ID) {
			d = s.g.full.Remaining(c.ID)
		}
		for layer := max(0, c.Layers.From); layer < min(c.Layers.To, len(in)); layer++ {
			if in[layer] < 0 || d < in[layer] {
				in[layer] = d
			}
		}
	}
	return in
}

// rankWindow is the time of which the demand tells the most urgent rank of a service.
// It is longer than the second that counts in admission control, because one host sees few
// requests.
const rankWindow = 2500 * time.Millisecond

// rankTracker knows which ranks of each service were asked for lately. It is safe for use by
// several goroutines.
type rankTracker struct {
	svc timer.Service

	mu      sync.Mutex
	askedAt map[string]map[int]time.Time // by service and rank
}

func newRankTracker(svc timer.Service) *rankTracker {
	return &rankTracker{
		svc:     svc,
		askedAt: map[string]map[int]time.Time{},
	}
}

// record notes that a stream of a rank was asked for.
func (t *rankTracker) record(service string, rank int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ranks := t.askedAt[service]
	if ranks == nil {
		ranks = map[int]time.Time{}
		t.askedAt[service] = ranks
	}
	ranks[rank] = t.svc.Now()
}

// mostUrgent reports whether no more urgent rank was asked for within rankWindow.
func (t *rankTracker) mostUrgent(service string, rank int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.svc.Now()
	for r, at := range t.askedAt[service] {
		if r < rank && now.Sub(at) < rankWindow {
			return false
		}
	}
	return true
}
