package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxDemands bounds the demands of a report, at about 12 bytes each.
	maxDemands = 32
	// maxDemandKeys bounds the pairs of class and account that are counted between two
	// reports. Further accounts are counted under account 0.
	maxDemandKeys = 4096
	// demandPeriod is the period over which the leader sums demand. What was counted for
	// longer, because there was no leader to report to, is scaled down to this period:
	// otherwise the first report after 5 s without a leader shows five times the demand.
	demandPeriod = time.Second
	// idleReports is the number of reports without anything to tell (10 s of calls) after
	// which a service is no longer reported. A single report that shows no tokens in flight
	// could be lost.
	idleReports = 25
)

// Meter counts what callers ask this host for, and the streams that run. It is safe for
// concurrent use.
type Meter struct {
	clock Clock

	mu       sync.Mutex
	services map[string]*meteredService
}

// meteredService is the state of one service.
//
// Invariant: inFlight is the sum of the tokens of the streams that have begun and not ended,
// exactly 0 if there are none.
type meteredService struct {
	streams   int
	inFlight  float64
	finished  float64
	recent    window // of finished
	byAccount bool
	demand    map[demandKey]Demand
	since     time.Time // since when demand has been counted
	idle      int       // reports in a row that had nothing to tell
}

type demandKey struct {
	class   Class
	account uint32
}

// NewMeter returns a meter that has counted nothing.
func NewMeter(clock Clock) *Meter {
	return &Meter{
		clock:    clock,
		services: map[string]*meteredService{},
	}
}

func (m *Meter) service(name string) *meteredService {
	s := m.services[name]
	if s == nil {
		s = &meteredService{
			demand: map[demandKey]Demand{},
			since:  m.clock.Now(),
		}
		m.services[name] = s
	}
	return s
}

// Offer counts a request, whether it is admitted or not.
func (m *Meter) Offer(service string, class Class, account uint32, tokens float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(service)
	if !s.byAccount {
		account = 0
	}
	s.count(Demand{
		Class:   class,
		Account: account,
		Tokens:  tokens,
		Streams: 1,
	})
}

func (s *meteredService) count(d Demand) {
	key := demandKey{
		class:   d.Class,
		account: d.Account,
	}
	sum, ok := s.demand[key]
	if !ok && len(s.demand) >= maxDemandKeys {
		d.Account, key.account = 0, 0
		sum = s.demand[key]
	}
	d.Tokens += sum.Tokens
	d.Streams += sum.Streams
	s.demand[key] = d
}

// Begin counts a stream that has been admitted as running, until one of the returned
// stream's methods is called.
func (m *Meter) Begin(service string, tokens float64) *Stream {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(service)
	s.streams++
	s.inFlight += tokens
	return &Stream{
		meter:   m,
		service: s,
		tokens:  tokens,
	}
}

// SetByAccount tells by the leader's allocations for which services demand is reported by
// account.
func (m *Meter) SetByAccount(list []Allocation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.services {
		s.byAccount = false
	}
	for _, a := range list {
		if a.ByAccount {
			m.service(a.Service).byAccount = true
		}
	}
}

// InFlight returns the tokens of this host's running streams of a service.
func (m *Meter) InFlight(service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.services[service]; s != nil {
		return s.inFlight
	}
	return 0
}

// FinishRate returns the tokens of this host's streams of a service that finished in the last
// second.
func (m *Meter) FinishRate(service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.services[service]; s != nil {
		return s.recent.sum(m.clock.Now())
	}
	return 0
}

// TakeReports returns a report for each service, by name, and starts to count demand anew.
func (m *Meter) TakeReports() []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	reports := make([]Report, 0, len(m.services))
	for name, s := range m.services {
		if s.streams > 0 || len(s.demand) > 0 {
			s.idle = 0
		} else if s.idle++; s.idle > idleReports {
			delete(m.services, name)
			continue
		}
		reports = append(reports, Report{
			Service:  name,
			InFlight: s.inFlight,
			Finished: s.finished,
			Demand:   s.takeDemand(now),
		})
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Compare(a.Service, b.Service)
	})
	return reports
}

// takeDemand returns the demand since the previous call, at most maxDemands entries in the
// order of admission.
func (s *meteredService) takeDemand(now time.Time) []Demand {
	list := make([]Demand, 0, len(s.demand))
	for _, d := range s.demand {
		list = append(list, d)
	}
	if len(list) > maxDemands {
		list = aggregate(list)
	}
	slices.SortFunc(list, compareDemands)
	if counted := now.Sub(s.since); counted > demandPeriod {
		scale := float64(demandPeriod) / float64(counted)
		for i := range list {
			list[i].Tokens *= scale
			list[i].Streams = int(math.Ceil(scale * float64(list[i].Streams)))
		}
	}
	clear(s.demand)
	s.since = now
	return list
}

func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(a.Class.Index(), b.Class.Index()), cmp.Compare(a.Account, b.Account))
}

// aggregate shortens a list to maxDemands: the largest keep their own entry, the others are
// added up under account 0 of their class. If there are more classes than entries, the least
// urgent ones are added to the last that has one.
func aggregate(list []Demand) []Demand {
	classes := map[int]bool{}
	for _, d := range list {
		classes[d.Class.Index()] = true
	}
	order := make([]int, 0, len(classes))
	for index := range classes {
		order = append(order, index)
	}
	slices.Sort(order)
	order = order[:min(len(order), maxDemands)]
	last := ClassAt(order[len(order)-1])
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), compareDemands(a, b))
	})
	// Each class may need an entry for account 0.
	own := maxDemands - len(order)
	s := &meteredService{
		demand: make(map[demandKey]Demand, maxDemands),
	}
	for _, d := range list {
		if d.Class.Index() > last.Index() {
			d.Class = last
		}
		if d.Account != 0 && own > 0 {
			own--
		} else {
			d.Account = 0
		}
		s.count(d)
	}
	list = list[:0]
	for _, d := range s.demand {
		list = append(list, d)
	}
	return list
}

// Stream is an admitted stream. Only the first call of its methods has an effect. It is safe
// for concurrent use.
type Stream struct {
	meter   *Meter
	service *meteredService
	tokens  float64
	ended   bool // guarded by meter.mu
}

// End counts the stream's tokens as finished.
func (s *Stream) End() {
	s.end(true)
}

// Cancel removes a stream that no endpoint has run. Its tokens must not count as finished,
// because as much is admitted as finishes: rejected requests would sustain their own rate.
func (s *Stream) Cancel() {
	s.end(false)
}

func (s *Stream) end(ran bool) {
	s.meter.mu.Lock()
	defer s.meter.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.service.streams--
	s.service.inFlight -= s.tokens
	if s.service.streams == 0 {
		s.service.inFlight = 0 // without the rounding errors
	}
	if ran {
		s.service.finished += s.tokens
		s.service.recent.add(s.meter.clock.Now(), s.tokens)
	}
}
