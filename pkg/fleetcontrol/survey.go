package fleetcontrol

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"golang.org/x/time/rate"
)

const (
	// probeTimeout is how long an endpoint may take to answer.
	probeTimeout = 300 * time.Millisecond
	// suspectProbeInterval is how long a suspect that answered isn't asked again.
	suspectProbeInterval = 800 * time.Millisecond
	// probeInterval is how often each engine is asked: it finds slow ones,
	// which nothing else tells, and lost ones before heartbeats are missed.
	// At 0.011 a question, 39 engines cost 0.3 in 100 of a day's worth.
	probeInterval = time.Second
	// loadingProbeInterval is how often one that loads is asked: the sooner it is
	// used, the shorter a hole lasts.
	loadingProbeInterval = 300 * time.Millisecond
	// probeRate is how many questions a second the leader asks in all. Without a
	// bound, 3,000 endpoints that load were 10,000 questions a second, and nothing was
	// served at 300 hosts. Where there are more endpoints, each is asked less often,
	// and its heartbeats tell of it.
	probeRate = 500
	// probeBurst is how many may be asked at once.
	probeBurst = 150
	// maxMissedProbes is how many questions in a row an endpoint may leave open.
	maxMissedProbes = 2
)

// probeSchedule is when each endpoint was last asked. Only the leader asks.
type probeSchedule struct {
	mu       sync.Mutex
	probedAt map[string]time.Time
	misses   map[string]int
	rate     *rate.Limiter
}

func newProbeSchedule() *probeSchedule {
	return &probeSchedule{
		probedAt: map[string]time.Time{},
		misses:   map[string]int{},
		rate:     rate.NewLimiter(probeRate, probeBurst),
	}
}

// due reports whether an endpoint wasn't asked for as long as pause, and then
// counts it as asked.
func (s *probeSchedule) due(id string, now time.Time, interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.probedAt[id]; ok && now.Sub(at) < interval || !s.rate.AllowN(now, 1) {
		return false
	}
	s.probedAt[id] = now
	return true
}

// sortByLastProbe sorts endpoints by when they were last asked, so that each has its turn
// where the rate doesn't allow to ask all.
func (s *probeSchedule) sortByLastProbe(list []fleet.Endpoint) []fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.SliceStable(list, func(i, j int) bool { return s.probedAt[list[i].ID].Before(s.probedAt[list[j].ID]) })
	return list
}

// missed counts a question without an answer, and returns how many there were
// in a row; answered takes them back.
func (s *probeSchedule) missed(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misses[id]++
	delete(s.probedAt, id) // asked again with the next round
	return s.misses[id]
}

func (s *probeSchedule) answered(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.misses, id)
}

// prune drops what is known of endpoints that the table doesn't hold.
func (s *probeSchedule) prune(held func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.probedAt {
		if !held(id) {
			delete(s.probedAt, id)
			delete(s.misses, id)
		}
	}
}

// probeSuspected asks the endpoints that entry hosts name.
func (s *Server) probeSuspected(ids []string) {
	for _, id := range ids {
		if e, ok := s.table.Get(id); ok {
			s.probe(e, suspectProbeInterval, "doubted by a host")
		}
	}
}

// probeAll asks every engine that is due, and the endpoints whose heartbeats are
// late.
func (s *Server) probeAll(late []fleet.Endpoint) {
	s.probes.prune(func(id string) bool {
		_, ok := s.table.Get(id)
		return ok
	})
	for _, e := range late {
		s.probe(e, suspectProbeInterval, "late")
	}
	for _, e := range s.probes.sortByLastProbe(s.table.All()) {
		switch {
		case e.Kind == "":
		case e.Loading || e.Layers.Len() == 0:
			s.probe(e, loadingProbeInterval, "loading")
		default:
			s.probe(e, probeInterval, "survey")
		}
	}
}

// probe asks one endpoint, if it wasn't for as long as pause, or longer if it has a limit:
// questions take places of requests.
func (s *Server) probe(e fleet.Endpoint, interval time.Duration, reason string) {
	interval = max(interval, s.granter.ProbeInterval(permit.EndpointKey(e.ID)))
	if e.Gone || s.endpointClient.inBackoff(e.ID) || !s.probes.due(e.ID, s.cfg.Timer.Now(), interval) {
		return
	}
	if e.Kind == "" { // engines are asked all the time
		s.cfg.Log.Event(eventlog.EndpointAsked, eventlog.Str("endpoint", e.ID), eventlog.Str("why", reason))
	}
	s.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, err := s.endpointClient.Report(ctx, e.ID, e.Address)
		s.handleProbeResult(e, report, err, ctx.Err() != nil)
	})
}

// handleProbeResult takes the outcome of a question. An endpoint that refuses connections
// or left two questions open is lost; one that has nothing to tell, or turns questions
// away to rest, is there.
func (s *Server) handleProbeResult(e fleet.Endpoint, report placement.Report, err error, silent bool) {
	switch {
	case err == nil:
		s.probes.answered(e.ID)
		if e.Kind != "" {
			s.table.UpdateStatus(e.ID, report)
		}
	case errors.Is(err, placement.ErrNoReport), errors.Is(err, errInBackoff), report.Notice.Backoff > 0:
		s.probes.answered(e.ID)
		s.table.MarkAnswered(e.ID)
	case s.probes.missed(e.ID) >= maxMissedProbes || !silent:
		s.cfg.Log.Event(eventlog.EndpointAvoided, eventlog.Str("endpoint", e.ID), eventlog.Str("why", "report"), eventlog.Err(err))
		s.table.MarkSilent(e.ID)
	}
}
