package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	modelStep     = 10 * time.Millisecond
	modelService  = "s"
	modelSilent   = 900 * time.Millisecond // until lost endpoints are known to be silent
	modelPresence = 1200 * time.Millisecond
	// realCapacity is how many tokens fit before streams wait, as a multiple of Capacity. In
	// simulation, waits began at 1.0 to 1.4.
	realCapacity = 1.2
	// maxBacklog is how many tokens wait at the endpoints, as a multiple of what fits, before
	// they reject requests. Measured services rejected requests when most were late already.
	maxBacklog = 0.5
	// Answers have minAnswer to maxAnswer tokens, one each tokenTime. Prompts have minPrompt to
	// maxPrompt tokens.
	minAnswer, maxAnswer = 40, 160
	minPrompt, maxPrompt = 200, 600
	tokenTime            = 25 * time.Millisecond
	minPrefill           = 150 * time.Millisecond
	maxPrefill           = 300 * time.Millisecond
)

// modelRoutes are the three routes, by rank.
var modelRoutes = []struct {
	part    float64 // of the requests
	goal    time.Duration
	timeout time.Duration // callers have 0.85 to 1 of it left when they ask first
}{
	{0.25, 500 * time.Millisecond, 10 * time.Second},
	{0.4, 600 * time.Millisecond, 12 * time.Second},
	{0.35, 1200 * time.Millisecond, 20 * time.Second},
}

// scenario is what happens in one run of a model.
type scenario struct {
	hosts     int
	perSecond float64               // streams that fill the capacity
	load      func(float64) float64 // multiple of the capacity, by seconds
	accounts  []float64             // weights
	seed      uint64
	off       bool                      // without admission control
	each      func(m *model, s float64) // called each step, with the seconds
}

// modelRequest is one caller's request, with its outcome.
type modelRequest struct {
	at      time.Duration
	rank    int
	account int
	tokens  float64
	answer  int
	prefill time.Duration
	timeout time.Duration
	host    *modelHost
	stream  *Stream

	admitted     bool // at the first attempt
	rejected     bool // by endpoints
	retried      bool
	refusedAgain bool
	started      time.Duration
	onTime       bool
	done         bool
}

type modelHost struct {
	name     string
	c        *Controller
	nextCall time.Duration
	up       bool
	cutOff   bool          // from the leader
	noTables bool          // it runs a release that doesn't know tables of shares
	applied  time.Duration // when the allocation that it holds was made
}

// model is a service with entry hosts and a leader. Time goes in steps.
type model struct {
	scenario
	rng      *rand.Rand
	clock    *timer.Manual
	now      time.Duration
	hosts    []*modelHost
	leader   *Allocator
	noLeader bool
	oldest   time.Duration // age that allocations reach before hosts get them
	history  []modelAllocation
	shortage bool
	retries  map[time.Duration][]*modelRequest
	finishes map[time.Duration][]*modelRequest
	requests []*modelRequest

	capacity  float64 // by Capacity, when all endpoints respond
	working   float64 // part of the endpoints that respond
	known     float64 // part of them that is known to respond
	used      float64 // tokens of the streams that run
	waiting   [3][]*modelRequest
	backlog   float64         // tokens of the streams that wait
	occupancy map[int]float64 // mean over each second, of running and waiting streams
}

type modelAllocation struct {
	at   time.Duration
	list []Allocation
}

func newModel(s scenario) *model {
	m := &model{
		scenario:  s,
		rng:       rand.New(rand.NewPCG(s.seed, 1)),
		clock:     timer.NewManual(time.Unix(1000, 0)),
		retries:   map[time.Duration][]*modelRequest{},
		finishes:  map[time.Duration][]*modelRequest{},
		working:   1,
		known:     1,
		occupancy: map[int]float64{},
	}
	m.leader = NewAllocator(m.clock)
	const samples = 10000
	for range samples { // tokens in flight are arrivals a second times tokens times seconds
		r := m.newRequest()
		m.capacity += r.tokens * r.duration().Seconds() * s.perSecond / samples
	}
	for range s.hosts {
		m.join()
	}
	return m
}

// join adds a host.
func (m *model) join() {
	m.hosts = append(m.hosts, &modelHost{
		name:     fmt.Sprint("h", len(m.hosts)),
		c:        NewController(m.clock, m.rng),
		nextCall: m.now + time.Duration(m.rng.Int64N(int64(400*time.Millisecond))),
		up:       true,
	})
}

// leave removes a host. The callers of its streams continue them at other hosts.
func (m *model) leave(h *modelHost) {
	h.up = false
	for _, r := range m.requests {
		if r.host != h || r.stream == nil || r.done {
			continue
		}
		r.host = m.anyHost()
		d, stream := r.host.c.Admit(Request{Service: modelService, Route: fmt.Sprint(r.rank), Rank: r.rank, Account: fmt.Sprint(r.account), Tokens: r.tokens, Interrupted: true})
		if !d.Admitted {
			panic("an interrupted stream is refused")
		}
		r.stream = stream
	}
}

func (m *model) anyHost() *modelHost {
	for {
		if h := m.hosts[m.rng.IntN(len(m.hosts))]; h.up {
			return h
		}
	}
}

func (m *model) newRequest() *modelRequest {
	r := &modelRequest{
		at:      m.now,
		account: pick(m.rng, m.accounts),
		answer:  minAnswer + m.rng.IntN(maxAnswer-minAnswer),
		prefill: minPrefill + time.Duration(m.rng.Int64N(int64(maxPrefill-minPrefill))),
	}
	for p := m.rng.Float64(); r.rank < 2 && p >= modelRoutes[r.rank].part; r.rank++ {
		p -= modelRoutes[r.rank].part
	}
	r.timeout = time.Duration((0.85 + 0.15*m.rng.Float64()) * float64(modelRoutes[r.rank].timeout))
	r.tokens = float64(minPrompt + m.rng.IntN(maxPrompt-minPrompt) + r.answer/2)
	return r
}

func (r *modelRequest) duration() time.Duration {
	return r.prefill + time.Duration(r.answer)*tokenTime
}

func pick(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	p := rng.Float64() * sum
	for i, w := range weights {
		if p -= w; p < 0 {
			return i
		}
	}
	return 0
}

// run runs the model for a time.
func (m *model) run(seconds float64) *model {
	for m.now.Seconds() < seconds {
		m.now += modelStep
		m.clock.Advance(modelStep)
		s := m.now.Seconds()
		if m.each != nil {
			m.each(m, s)
		}
		for _, r := range m.finishes[m.now] {
			m.used -= r.tokens
			r.done = true
			if r.stream != nil {
				r.stream.End()
			}
		}
		delete(m.finishes, m.now)
		m.startWaiting()
		for _, r := range m.retries[m.now] {
			r.retried = true
			m.attempt(r)
		}
		delete(m.retries, m.now)
		for n := m.poisson(m.load(s) * m.perSecond * modelStep.Seconds()); n > 0; n-- {
			r := m.newRequest()
			m.requests = append(m.requests, r)
			m.attempt(r)
		}
		m.control()
		m.occupancy[int(s)] += (m.used + m.backlog) / (m.capacity * m.working) * modelStep.Seconds()
	}
	return m
}

func (m *model) poisson(mean float64) int {
	n := 0
	for t := m.rng.ExpFloat64(); t < mean; t += m.rng.ExpFloat64() {
		n++
	}
	return n
}

// attempt makes a caller's first or second attempt.
func (m *model) attempt(r *modelRequest) {
	r.host = m.anyHost()
	remaining := r.timeout - (m.now - r.at)
	q := Request{Service: modelService, Route: fmt.Sprint(r.rank), Rank: r.rank, Account: fmt.Sprint(r.account), Tokens: r.tokens, Remaining: remaining}
	d := Decision{Admitted: true}
	if !m.off {
		d, r.stream = r.host.c.Admit(q)
	}
	if d.Admitted {
		accepted := m.accept(r)
		if !m.off {
			r.host.c.RecordSend(modelService, !accepted)
		}
		if accepted {
			r.admitted = r.admitted || !r.retried
			return
		}
		r.rejected = true
		d.RetryAfter = 300 * time.Millisecond // what callers were told before
		if !m.off {
			r.stream.Cancel()
			d = r.host.c.RefuseFull(q)
		}
		r.stream = nil
	}
	if r.retried {
		r.refusedAgain = true
		return
	}
	// Callers wait for at most a third of their remaining time, and retry once.
	if d.RetryAfter <= remaining/3 {
		at := m.now + max(modelStep, d.RetryAfter.Round(modelStep))
		m.retries[at] = append(m.retries[at], r)
	}
}

// accept gives a request to the endpoints, and reports whether they take it.
func (m *model) accept(r *modelRequest) bool {
	fits := m.capacity * realCapacity * m.working
	if m.backlog == 0 && m.used+r.tokens <= fits {
		m.start(r)
		return true
	}
	if m.backlog+r.tokens > maxBacklog*fits {
		return false
	}
	m.waiting[r.rank] = append(m.waiting[r.rank], r)
	m.backlog += r.tokens
	m.startWaiting()
	return true
}

func (m *model) start(r *modelRequest) {
	m.used += r.tokens
	r.started = m.now
	r.onTime = m.now+r.prefill-r.at <= modelRoutes[r.rank].goal
	end := m.now + r.duration().Round(modelStep)
	m.finishes[end] = append(m.finishes[end], r)
}

// startWaiting starts the streams that fit, the more urgent first.
func (m *model) startWaiting() {
	for rank := range m.waiting {
		for len(m.waiting[rank]) > 0 {
			r := m.waiting[rank][0]
			if m.used+r.tokens > m.capacity*realCapacity*m.working {
				return
			}
			m.waiting[rank] = m.waiting[rank][1:]
			m.backlog -= r.tokens
			m.start(r)
		}
	}
}

// loseEndpoints makes a part of the endpoints stop responding. Their streams miss their pause
// goal and wait for another path, before new ones of their rank.
func (m *model) loseEndpoints(part float64) {
	m.working -= part
	for _, at := range slices.Sorted(maps.Keys(m.finishes)) {
		list := m.finishes[at]
		kept := list[:0]
		for _, r := range list {
			if m.rng.Float64() >= part {
				kept = append(kept, r)
				continue
			}
			r.onTime = false
			m.used -= r.tokens
			m.backlog += r.tokens
			r.answer = int((at - m.now) / tokenTime)
			m.waiting[r.rank] = append([]*modelRequest{r}, m.waiting[r.rank]...)
		}
		m.finishes[at] = kept
	}
}

// control lets hosts call the leader every 0.4 s, and the leader allocate every 0.2 s.
func (m *model) control() {
	if m.off {
		return
	}
	if m.now%(200*time.Millisecond) == 0 && !m.noLeader {
		present := 0
		for _, h := range m.hosts {
			if h.up {
				present++
			}
		}
		if al, ok := m.leader.Allocate(modelService, m.capacity*m.known, present); ok {
			m.history = append(m.history, modelAllocation{at: m.now, list: AllocationsFromWire(AllocationsToWire([]Allocation{al}))})
			if began := al.Shortage > 0; began != m.shortage {
				m.shortage = began // completes the long polls early
				for _, h := range m.hosts {
					h.nextCall = min(h.nextCall, m.now+time.Duration(m.rng.IntN(5))*modelStep)
				}
			}
		}
	}
	for _, h := range m.hosts {
		if !h.up || m.now < h.nextCall {
			continue
		}
		h.nextCall = m.now + 400*time.Millisecond
		reports := h.c.TakeReports() // lost if the leader can't be reached
		if m.noLeader || h.cutOff {
			continue
		}
		m.leader.Observe(h.name, reports)
		for i := len(m.history) - 1; i >= 0; i-- {
			if al := m.history[i]; m.now-al.at >= m.oldest {
				if al.at > h.applied {
					h.c.Apply(h.known(al.list), m.now-al.at)
					h.applied = al.at
				}
				break
			}
		}
	}
}

// newLeader lets another replica lead, which knows nothing.
func (m *model) newLeader() {
	m.noLeader = false
	m.leader.Reset()
	m.history = nil
}

// known returns allocations as the host's release reads them.
func (h *modelHost) known(list []Allocation) []Allocation {
	if !h.noTables {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		list[i].Classes = slices.Clone(list[i].Classes)
		for k := range list[i].Classes {
			list[i].Classes[k].Others = nil
		}
	}
	return list
}
