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
	// probeAgain is how long a suspect that answered isn't asked again.
	probeAgain = 800 * time.Millisecond
	// surveyInterval is how often each engine is asked: it finds slow ones,
	// which nothing else tells, and lost ones before heartbeats are missed.
	// At 0.011 a question, 39 engines cost 0.3 in 100 of a day's worth.
	surveyInterval = time.Second
	// loadingInterval is how often one that loads is asked: the sooner it is
	// used, the shorter a hole lasts.
	loadingInterval = 300 * time.Millisecond
	// questionRate is how many questions a second the leader asks in all. Without a
	// bound, 3,000 endpoints that load were 10,000 questions a second, and nothing was
	// served at 300 hosts. Where there are more endpoints, each is asked less often,
	// and its heartbeats tell of it.
	questionRate = 500
	// questionBurst is how many may be asked at once.
	questionBurst = 150
	// doubtful is how many questions in a row an endpoint may leave open.
	doubtful = 2
)

// survey is when each endpoint was last asked. Only the leader asks.
type survey struct {
	mu     sync.Mutex
	asked  map[string]time.Time
	misses map[string]int
	rate   *rate.Limiter
}

func newSurvey() *survey {
	return &survey{
		asked:  map[string]time.Time{},
		misses: map[string]int{},
		rate:   rate.NewLimiter(questionRate, questionBurst),
	}
}

// due reports whether an endpoint wasn't asked for as long as pause, and then
// counts it as asked.
func (s *survey) due(id string, now time.Time, pause time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.asked[id]; ok && now.Sub(at) < pause || !s.rate.AllowN(now, 1) {
		return false
	}
	s.asked[id] = now
	return true
}

// longestAgo sorts endpoints by when they were last asked, so that each has its turn
// where the rate doesn't allow to ask all.
func (s *survey) longestAgo(list []fleet.Endpoint) []fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.SliceStable(list, func(i, j int) bool { return s.asked[list[i].ID].Before(s.asked[list[j].ID]) })
	return list
}

// missed counts a question without an answer, and returns how many there were
// in a row; answered takes them back.
func (s *survey) missed(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misses[id]++
	delete(s.asked, id) // asked again with the next round
	return s.misses[id]
}

func (s *survey) answered(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.misses, id)
}

// forget drops what is known of endpoints that the table doesn't hold.
func (s *survey) forget(held func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.asked {
		if !held(id) {
			delete(s.asked, id)
			delete(s.misses, id)
		}
	}
}

// doubt asks the endpoints that entry hosts name.
func (s *Server) doubt(ids []string) {
	for _, id := range ids {
		if e, ok := s.table.Get(id); ok {
			s.ask(e, probeAgain, "doubted by a host")
		}
	}
}

// askAll asks every engine that is due, and the endpoints whose heartbeats are
// late.
func (s *Server) askAll(late []fleet.Endpoint) {
	s.survey.forget(func(id string) bool {
		_, ok := s.table.Get(id)
		return ok
	})
	for _, e := range late {
		s.ask(e, probeAgain, "late")
	}
	for _, e := range s.survey.longestAgo(s.table.All()) {
		switch {
		case e.Kind == "":
		case e.Loading || e.Layers.Len() == 0:
			s.ask(e, loadingInterval, "loading")
		default:
			s.ask(e, surveyInterval, "survey")
		}
	}
}

// ask asks one endpoint, if it wasn't for as long as pause, or longer if it has a limit:
// questions take places of requests.
func (s *Server) ask(e fleet.Endpoint, pause time.Duration, why string) {
	pause = max(pause, s.lender.ProbeInterval(permit.EndpointKey(e.ID)))
	if e.Gone || s.orders.rests(e.ID) || !s.survey.due(e.ID, s.cfg.Timer.Now(), pause) {
		return
	}
	if e.Kind == "" { // engines are asked all the time
		s.cfg.Log.Event(eventlog.EndpointAsked, eventlog.Str("endpoint", e.ID), eventlog.Str("why", why))
	}
	s.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, err := s.orders.Report(ctx, e.ID, e.Address)
		s.heard(e, report, err, ctx.Err() != nil)
	})
}

// heard takes the outcome of a question. An endpoint that refuses connections
// or left two questions open is lost; one that has nothing to tell, or turns questions
// away to rest, is there.
func (s *Server) heard(e fleet.Endpoint, report placement.Report, err error, silent bool) {
	switch {
	case err == nil:
		s.survey.answered(e.ID)
		if e.Kind != "" {
			s.table.UpdateStatus(e.ID, report)
		}
	case errors.Is(err, placement.ErrNoReport), errors.Is(err, errRests), report.Notice.Backoff > 0:
		s.survey.answered(e.ID)
		s.table.MarkAnswered(e.ID)
	case s.survey.missed(e.ID) >= doubtful || !silent:
		s.cfg.Log.Event(eventlog.EndpointAvoided, eventlog.Str("endpoint", e.ID), eventlog.Str("why", "report"), eventlog.Err(err))
		s.table.MarkSilent(e.ID)
	}
}
