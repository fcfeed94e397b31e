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
	// probeTimeout is how long an endpoint may take to answer a probe.
	probeTimeout = 300 * time.Millisecond
	// suspectProbeInterval is how long a suspected endpoint that answered a probe is not
	// probed again.
	suspectProbeInterval = 800 * time.Millisecond
	// probeInterval is the time between two probes of an engine. Probes find slow
	// engines, which nothing else reports, and lost ones before heartbeats are missed.
	probeInterval = time.Second
	// loadingProbeInterval is the same for an engine that loads layers: the sooner it
	// is used, the shorter a gap lasts.
	loadingProbeInterval = 300 * time.Millisecond
	// probeRate is how many probes the leader sends per second in all. Without a bound,
	// 3,000 loading endpoints would cause 10,000 probes a second, and overload a leader of
	// 300 entry hosts. With more endpoints each is probed less often, and its heartbeats report
	// its state.
	probeRate = 500
	// probeBurst is how many probes may be sent at once.
	probeBurst = 150
	// maxMissedProbes is after how many probes in a row that timed out an endpoint is
	// marked as silent.
	maxMissedProbes = 2
)

// probeSchedule records when each endpoint was last probed. Only the leader probes,
// apart from the probes of restored endpoints at the start.
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

// due reports whether an endpoint may be probed now: it was not for the interval, and
// the rate allows it. If so, it counts as probed.
func (s *probeSchedule) due(id string, now time.Time, interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.probedAt[id]; ok && now.Sub(at) < interval || !s.rate.AllowN(now, 1) {
		return false
	}
	s.probedAt[id] = now
	return true
}

// sortByLastProbe sorts endpoints by their last probe, the oldest first, so that all
// get their turn if the rate is too low for all of them.
func (s *probeSchedule) sortByLastProbe(list []fleet.Endpoint) []fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.SliceStable(list, func(i, j int) bool { return s.probedAt[list[i].ID].Before(s.probedAt[list[j].ID]) })
	return list
}

// missed counts a probe that failed, and returns how many did in a row. answered resets
// that count.
func (s *probeSchedule) missed(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misses[id]++
	delete(s.probedAt, id) // due again in the next round
	return s.misses[id]
}

func (s *probeSchedule) answered(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.misses, id)
}

// prune drops the endpoints that the table doesn't hold.
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

// probeSuspected probes the endpoints that an entry host suspects.
func (s *Server) probeSuspected(ids []string) {
	for _, id := range ids {
		if e, ok := s.table.Get(id); ok {
			s.probe(e, suspectProbeInterval, "doubted by a host")
		}
	}
}

// probeAll probes the endpoints whose heartbeats are late, and every engine that is due.
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

// probe probes an endpoint if it is due. The interval is longer for one with a rate
// limit, since probes use permits that requests could use.
func (s *Server) probe(e fleet.Endpoint, interval time.Duration, reason string) {
	interval = max(interval, s.granter.ProbeInterval(permit.EndpointKey(e.ID)))
	if e.Gone || s.endpointClient.inBackoff(e.ID) || !s.probes.due(e.ID, s.cfg.Timer.Now(), interval) {
		return
	}
	if e.Kind == "" { // engines are probed all the time
		s.cfg.Log.Event(eventlog.EndpointAsked, eventlog.Str("endpoint", e.ID), eventlog.Str("why", reason))
	}
	began := s.cfg.Timer.Now()
	s.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, err := s.endpointClient.Report(ctx, e.ID, e.Address)
		s.handleProbeResult(context.WithoutCancel(ctx), e, began, report, err, ctx.Err() != nil)
	})
}

// handleProbeResult applies the outcome of a probe that began at a time. An endpoint is marked as silent if
// the probe failed other than by a timeout, or if maxMissedProbes in a row timed out, and
// this host reaches other endpoints. One that has no status to report, or asks for backoff,
// is reachable. One that sent a heartbeat during the last probe goes on.
func (s *Server) handleProbeResult(ctx context.Context, e fleet.Endpoint, began time.Time, report placement.Report, err error, timedOut bool) {
	switch {
	case err == nil:
		s.probes.answered(e.ID)
		if e.Kind != "" {
			s.table.UpdateStatus(e.ID, report)
		}
	case errors.Is(err, placement.ErrNoReport), errors.Is(err, errInBackoff), report.Notice.Backoff > 0:
		s.probes.answered(e.ID)
		s.table.MarkAnswered(e.ID)
	case timedOut && s.heardSince(e.ID, began):
		s.probes.missed(e.ID)
	case (s.probes.missed(e.ID) >= maxMissedProbes || !timedOut) && s.cfg.Reachability.ReachesOthers(ctx, e.Address):
		s.cfg.Log.Event(eventlog.EndpointAvoided, eventlog.Str("endpoint", e.ID), eventlog.Str("why", "report"), eventlog.Err(err))
		s.markSilent(ctx, e, timedOut)
	}
}

// heardSince reports whether a heartbeat of an endpoint was received after a time. Other replicas
// pass theirs on later.
func (s *Server) heardSince(id string, at time.Time) bool {
	e, ok := s.table.Get(id)
	return ok && e.LastHeartbeat.After(at)
}

// markSilent marks an endpoint as silent. If a probe has only timed out, the endpoint may be one
// that pauses, and is lost only if it accepts no connection. Hosts avoid it during that check.
func (s *Server) markSilent(ctx context.Context, e fleet.Endpoint, timedOut bool) {
	if timedOut {
		s.table.MarkPaused(e.ID)
		if !s.cfg.Reachability.Lost(ctx, e.Address) {
			return
		}
	}
	s.table.MarkSilent(e.ID)
}

// EndpointAddresses implements reachability.Endpoints.
func (s *Server) EndpointAddresses() map[string][]string {
	return fleet.AddressesByService(s.table.All())
}
