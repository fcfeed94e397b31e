// Package pattern plays load patterns on a model of engines in simulated time. The
// layers are placed and the paths chosen by the product's own code; the engines, the
// hosts' view of loads and the callers are a model, whose figures are the model's.
//
// What it leaves out: links and their widths, preemption when a memory overflows,
// waits seen at first endpoints, repaths, and every host's own cost.
package pattern

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/pathing"
	"github.com/larchwinch/larchwinch/pkg/placement"
)

// Group is a number of like accelerators in a failure domain.
type Group struct {
	Kind   string
	Domain string
	Count  int
}

// Scenario is a deployment and its work.
type Scenario struct {
	Engine *fleet.Engine
	Groups []Group
	// Hosts is how many entry hosts each failure domain has.
	Hosts int
	// TokensPerEvent is how many tokens an event holds and a pass writes.
	TokensPerEvent int
	// Chunk is how many prompt tokens a step reads at most.
	Chunk int
	// Hop is the time between two endpoints of a failure domain.
	Hop time.Duration
	// PerSecond is how many streams are asked for.
	PerSecond float64
	// Prompt, in tokens, and Events are means; Spread is the standard deviation of
	// their logarithms.
	Prompt    float64
	Events    float64
	SizeSigma float64
	// FirstEventGoal is for the first event, GapGoal for the longest pause.
	FirstEventGoal time.Duration
	PauseGoal      time.Duration
}

// Model is one play.
type Model struct {
	shape     *Scenario
	clock     *clock
	rand      *rand.Rand
	endpoints []*endpoint
	byID      map[string]*endpoint
	hosts     []*host
	sums      map[string]load // of all hosts' streams, by endpoint
	streams   []*stream
	refused   int
	// down says that no host answers.
	down bool
}

// New returns a model whose layers are placed.
func New(shape *Scenario, seed uint64) *Model {
	m := &Model{
		shape: shape,
		clock: &clock{},
		rand:  rand.New(rand.NewPCG(seed, seed)),
		byID:  map[string]*endpoint{},
		sums:  map[string]load{},
	}
	domains := map[string]bool{}
	for _, g := range shape.Groups {
		for range g.Count {
			m.addEndpoint(g)
		}
		if !domains[g.Domain] {
			domains[g.Domain] = true
			for range shape.Hosts {
				m.hosts = append(m.hosts, newHost(m, g.Domain))
			}
		}
	}
	m.place()
	m.begin()
	return m
}

func (m *Model) addEndpoint(g Group) {
	e := &endpoint{
		clock:  m.clock,
		engine: m.shape.Engine,
		shape:  m.shape,
		id:     fmt.Sprintf("%s-%s-%d", g.Kind, g.Domain, len(m.endpoints)),
		domain: g.Domain,
		kind:   g.Kind,
		slow:   1,
	}
	m.endpoints = append(m.endpoints, e)
	m.byID[e.id] = e
}

// placements bounds how often a plan is asked for: the store serves a few at a time.
const placements = 1000

// place carries out plans until nothing is due.
func (m *Model) place() {
	for range placements {
		var servers []placement.EndpointState
		for _, e := range m.endpoints {
			servers = append(servers, placement.EndpointState{
				ID:       e.id,
				Domain:   e.domain,
				Kind:     e.kind,
				Layers:   e.layers,
				Slowdown: 1,
			})
		}
		orders := placement.Plan(m.shape.Engine, servers)
		if len(orders) == 0 {
			return
		}
		for _, o := range orders {
			m.byID[o.ID].layers = o.Layers
		}
	}
}

// Now implements crowd.Clock.
func (m *Model) Now() time.Time {
	return time.Unix(0, int64(m.clock.now))
}

// begin starts what comes again and again: loads that are told, and callers.
func (m *Model) begin() {
	m.clock.after(tellEvery/2, m.sum)
	for i, h := range m.hosts {
		m.clock.after(tellEvery*time.Duration(i)/time.Duration(len(m.hosts)), h.told)
	}
	m.clock.after(m.gap(), m.ask)
}

// sum adds up what all hosts have under way, as a leader does.
func (m *Model) sum() {
	m.sums = map[string]load{}
	for _, h := range m.hosts {
		for id, l := range h.own {
			all := m.sums[id]
			all.requests += l.requests
			all.tokens += l.tokens
			m.sums[id] = all
		}
	}
	m.clock.after(tellEvery/2, m.sum)
}

// gap draws the time until the next request.
func (m *Model) gap() time.Duration {
	return time.Duration(m.rand.ExpFloat64() / m.shape.PerSecond * float64(time.Second))
}

// ask is one caller's first try.
func (m *Model) ask() {
	m.clock.after(m.gap(), m.ask)
	events := max(1, int(m.draw(m.shape.Events)))
	s := &stream{
		m:    m,
		host: m.hosts[m.rand.IntN(len(m.hosts))],
		demand: pathing.Demand{
			Prompt: math.Ceil(m.draw(m.shape.Prompt)),
			Answer: float64(events * m.shape.TokensPerEvent),
		},
		events: events,
		asked:  m.clock.now,
	}
	m.streams = append(m.streams, s)
	if !m.down {
		s.come(m.clock.now)
	}
}

// draw draws a size by its mean.
func (m *Model) draw(mean float64) float64 {
	spread := m.shape.SizeSigma
	return mean * math.Exp(spread*m.rand.NormFloat64()-spread*spread/2)
}

// Run plays on until a time.
func (m *Model) Run(until time.Duration) {
	m.clock.runUntil(until)
}

// StopAllHosts stops every host: all streams are cut. Their callers come back once they
// have waited patience for an event. The hosts are back after down, and know what they
// must only settle later; who comes before waits there.
func (m *Model) StopAllHosts(down, settle, patience time.Duration) {
	stop := m.clock.now
	m.down = true
	for _, h := range m.hosts {
		h.others = map[string]load{}
		h.then = map[string]load{}
	}
	for _, s := range m.streams {
		if s.ended || !s.sent {
			continue
		}
		s.leave()
		s.cut = true
		m.clock.after(max(patience, down), func() {
			s.come(stop + settle)
		})
	}
	m.clock.after(settle, func() {
		m.down = false
		for _, s := range m.streams {
			switch {
			case s.sent || s.ended || s.cut:
			case s.asked < stop+down: // found no host; tries again as others do
				m.clock.after(max(0, stop+patience-m.clock.now), s.start)
			default:
				s.come(m.clock.now)
			}
		}
	})
}

// Result is what callers got that first asked in some span of time.
type Result struct {
	Requested int
	InTime    int
	Refused   int
	// Completed is how many got all of their answer, in time or late.
	Completed int
	// MeanDuration is the mean time of whole answers, and Parts the mean length of paths.
	MeanDuration   time.Duration
	MeanPathLength float64
}

// Between returns what became of requests that were first asked for in [from, to).
func (m *Model) Between(from, to time.Duration) Result {
	r := Result{}
	sum := time.Duration(0)
	parts := 0
	for _, s := range m.streams {
		if s.asked < from || s.asked >= to {
			continue
		}
		r.Requested++
		switch {
		case s.ended && s.given >= s.events:
			r.Completed++
			sum += s.took()
			parts += len(s.parts)
		case s.ended:
			r.Refused++
		}
		if s.inTime() {
			r.InTime++
		}
	}
	if r.Completed > 0 {
		r.MeanDuration = sum / time.Duration(r.Completed)
		r.MeanPathLength = float64(parts) / float64(r.Completed)
	}
	return r
}
