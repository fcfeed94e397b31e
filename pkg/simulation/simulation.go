// Package simulation simulates load on a deployment of engines as discrete events. The
// layers are placed and the paths chosen by the product's own code; the engines, the
// hosts' view of loads and the callers are simulated, so its figures are those of a
// model.
//
// It leaves out links and their bandwidth, preemption when the KV cache overflows,
// waits observed at first stages, re-paths, and the cost of the hosts themselves.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
	"github.com/larchwinch/larchwinch/pkg/placement"
)

// Group is a number of identical accelerators in a failure domain.
type Group struct {
	Kind   string
	Domain string
	Count  int
}

// Scenario is a deployment and its load.
type Scenario struct {
	Engine *fleet.Engine
	Groups []Group
	// Hosts is how many entry hosts each failure domain has.
	Hosts int
	// TokensPerEvent is how many tokens an event holds and a pass writes for each
	// stream.
	TokensPerEvent int
	// Chunk is the most prompt tokens that a step reads.
	Chunk int
	// Hop is the latency between two endpoints of a failure domain.
	Hop time.Duration
	// PerSecond is the rate of new streams.
	PerSecond float64
	// Prompt and Events are the mean numbers of prompt tokens and of events of an
	// answer. Both are log-normal; SizeSigma is the standard deviation of their
	// logarithms.
	Prompt    float64
	Events    float64
	SizeSigma float64
	// FirstEventGoal is the goal for the time to the first event, PauseGoal the one for
	// the longest pause between events.
	FirstEventGoal time.Duration
	PauseGoal      time.Duration
}

// Model simulates a deployment under load.
type Model struct {
	scenario  *Scenario
	clock     *clock
	rand      *rand.Rand
	endpoints []*endpoint
	byID      map[string]*endpoint
	hosts     []*host
	totals    map[string]load // load of all hosts' streams, by endpoint
	streams   []*stream
	refused   int
	// down is set while no host answers.
	down bool
}

// New returns a model with all layers placed.
func New(scenario *Scenario, seed uint64) *Model {
	m := &Model{
		scenario: scenario,
		clock:    &clock{},
		rand:     rand.New(rand.NewPCG(seed, seed)),
		byID:     map[string]*endpoint{},
		totals:   map[string]load{},
	}
	domains := map[string]bool{}
	for _, g := range scenario.Groups {
		for range g.Count {
			m.addEndpoint(g)
		}
		if !domains[g.Domain] {
			domains[g.Domain] = true
			for range scenario.Hosts {
				m.hosts = append(m.hosts, newHost(m, g.Domain))
			}
		}
	}
	m.place()
	m.startTimers()
	return m
}

func (m *Model) addEndpoint(g Group) {
	e := &endpoint{
		clock:    m.clock,
		engine:   m.scenario.Engine,
		scenario: m.scenario,
		id:       fmt.Sprintf("%s-%s-%d", g.Kind, g.Domain, len(m.endpoints)),
		domain:   g.Domain,
		kind:     g.Kind,
		slowdown: 1,
	}
	m.endpoints = append(m.endpoints, e)
	m.byID[e.id] = e
}

// maxPlacementRounds bounds the rounds of planning: each one orders only as many loads
// as the store of weights serves at once.
const maxPlacementRounds = 1000

// place applies plans until no order is due.
func (m *Model) place() {
	for range maxPlacementRounds {
		var states []placement.EndpointState
		for _, e := range m.endpoints {
			states = append(states, placement.EndpointState{
				ID:       e.id,
				Domain:   e.domain,
				Kind:     e.kind,
				Layers:   e.layers,
				Slowdown: 1,
			})
		}
		orders := placement.Plan(m.scenario.Engine, states)
		if len(orders) == 0 {
			return
		}
		for _, o := range orders {
			m.byID[o.ID].layers = o.Layers
		}
	}
}

// Now implements resumption.Clock.
func (m *Model) Now() time.Time {
	return time.Unix(0, int64(m.clock.now))
}

// startTimers schedules what recurs: load reports and new requests.
func (m *Model) startTimers() {
	m.clock.after(reportInterval/2, m.sumLoads)
	for i, h := range m.hosts {
		m.clock.after(reportInterval*time.Duration(i)/time.Duration(len(m.hosts)), h.receiveReport)
	}
	m.clock.after(m.interarrival(), m.newRequest)
}

// sumLoads adds up the loads of all hosts, as the leader does, and schedules the next
// sum.
func (m *Model) sumLoads() {
	m.totals = map[string]load{}
	for _, h := range m.hosts {
		for id, l := range h.own {
			all := m.totals[id]
			all.requests += l.requests
			all.tokens += l.tokens
			m.totals[id] = all
		}
	}
	m.clock.after(reportInterval/2, m.sumLoads)
}

// interarrival draws the time until the next request.
func (m *Model) interarrival() time.Duration {
	return time.Duration(m.rand.ExpFloat64() / m.scenario.PerSecond * float64(time.Second))
}

// newRequest simulates the first attempt of a caller, and schedules the next caller's.
func (m *Model) newRequest() {
	m.clock.after(m.interarrival(), m.newRequest)
	events := max(1, int(m.sampleSize(m.scenario.Events)))
	s := &stream{
		model: m,
		host:  m.hosts[m.rand.IntN(len(m.hosts))],
		demand: pathing.Demand{
			Prompt: math.Ceil(m.sampleSize(m.scenario.Prompt)),
			Answer: float64(events * m.scenario.TokensPerEvent),
		},
		events:      events,
		requestedAt: m.clock.now,
	}
	m.streams = append(m.streams, s)
	if !m.down {
		s.arrive(m.clock.now)
	}
}

// sampleSize draws a size from a log-normal distribution with the given mean.
func (m *Model) sampleSize(mean float64) float64 {
	sigma := m.scenario.SizeSigma
	return mean * math.Exp(sigma*m.rand.NormFloat64()-sigma*sigma/2)
}

// Run runs the simulation until a time.
func (m *Model) Run(until time.Duration) {
	m.clock.runUntil(until)
}

// StopAllHosts stops every host and interrupts all streams. Their callers retry after
// waiting for patience, but not before the hosts accept connections again, after down.
// The hosts are ready after settle; requests that arrive before wait at them.
func (m *Model) StopAllHosts(down, settle, patience time.Duration) {
	stop := m.clock.now
	m.down = true
	for _, h := range m.hosts {
		h.others = map[string]load{}
		h.ownAtReport = map[string]load{}
	}
	for _, s := range m.streams {
		if s.ended || !s.active {
			continue
		}
		s.release()
		s.interrupted = true
		m.clock.after(max(patience, down), func() {
			s.arrive(stop + settle)
		})
	}
	m.clock.after(settle, func() {
		m.down = false
		for _, s := range m.streams {
			switch {
			case s.active || s.ended || s.interrupted:
			case s.requestedAt < stop+down: // found no host; the caller retries as the others do
				m.clock.after(max(0, stop+patience-m.clock.now), s.send)
			default:
				s.arrive(m.clock.now)
			}
		}
	})
}

// Result is what became of the requests that callers first made within some time.
type Result struct {
	Requested int
	InTime    int
	Refused   int
	// Completed is how many got the complete answer, on time or late.
	Completed int
	// MeanDuration is the mean time to a complete answer, and MeanPathLength the mean
	// number of stages of the paths.
	MeanDuration   time.Duration
	MeanPathLength float64
}

// Between returns what became of the requests that callers first made in [from, to).
func (m *Model) Between(from, to time.Duration) Result {
	r := Result{}
	sum := time.Duration(0)
	stages := 0
	for _, s := range m.streams {
		if s.requestedAt < from || s.requestedAt >= to {
			continue
		}
		r.Requested++
		switch {
		case s.ended && s.delivered >= s.events:
			r.Completed++
			sum += s.duration()
			stages += len(s.endpoints)
		case s.ended:
			r.Refused++
		}
		if s.onTime() {
			r.InTime++
		}
	}
	if r.Completed > 0 {
		r.MeanDuration = sum / time.Duration(r.Completed)
		r.MeanPathLength = float64(stages) / float64(r.Completed)
	}
	return r
}
