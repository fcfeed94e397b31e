package admission

import (
	"fmt"
	"sync"
	"time"
)

const (
	// trustedAge is the age up to which an allocation is applied as it is: a leader may be
	// missing for 5 s, and its successor allocates once hosts have called it twice, 0.4 s apart.
	// If shares grow earlier, the accounts that ask for most get most of the capacity.
	trustedAge = 6 * time.Second
	// growthTime is the time over which the shares of an older allocation grow to 1.
	growthTime = 3 * time.Second
	// minSends is the number of sends in the last second below which the host doesn't refuse by
	// its own observations: of one or two sends, all may be rejected by chance.
	minSends = 5
	// maxRejectedRatio bounds what is refused by own observations, so that never everyone is.
	maxRejectedRatio = 0.9
	// urgentPeriod is half the time for which a rank counts as asked for on this host, longer
	// than the leader's second because a host sees few requests.
	urgentPeriod = 2500 * time.Millisecond
	// serviceRetention is how long the state of a service without allocation is kept after
	// its last use.
	serviceRetention = time.Minute
)

// Reason is why a request is refused.
type Reason int

// The reasons for which requests are refused.
const (
	ReasonNone     Reason = iota // not refused
	ReasonRank                   // the rank's part of the capacity is used up
	ReasonAccount                // the client account asks for more than its share
	ReasonObserved               // without a valid allocation: endpoints reject this host's requests
	ReasonFull                   // each path needs an endpoint that has just rejected a request
)

// Text returns the reason in words, for a request of the given rank.
func (r Reason) Text(rank int) string {
	switch r {
	case ReasonRank:
		return fmt.Sprintf("no capacity for rank %d", rank)
	case ReasonAccount:
		return "the account is over its share"
	case ReasonObserved:
		return "endpoints reject requests for lack of capacity"
	case ReasonFull:
		return "all endpoints are full"
	}
	return ""
}

// FullText returns ReasonFull in words with the layers, first to last, for which all
// endpoints are full.
func FullText(first, last int) string {
	return fmt.Sprintf("all endpoints of layers %d to %d are full", first, last)
}

// Query is a request for a new stream that is to be decided about.
type Query struct {
	Service   string
	Class     Class
	Account   uint32 // AccountKey
	Tokens    float64
	Remaining time.Duration // until the caller's time-out; 0 if it isn't known
	// MinWait is the time from which on a retry is recognized as late.
	MinWait time.Duration
	// FinishRate is how many tokens of the service finish on this host in a second.
	FinishRate float64
	// Due is set for a late request that has a booked time. It goes ahead of the others of
	// its rank.
	Due bool
	// Interrupted is set for a stream that was interrupted and continues. It is never refused.
	Interrupted bool
}

// Decision says whether a request is admitted.
type Decision struct {
	Admitted bool
	Reason   Reason
	Class    Class   // of the request
	Share    float64 // that applied
	// Allocated says that the leader has sent an allocation for the service, Age ago.
	Allocated bool
	Age       time.Duration
	Shortage  time.Duration // how long the shortage has lasted
	// RetryAfter is when a refused caller should retry. Booked says that capacity is set
	// aside for it then.
	RetryAfter time.Duration
	Booked     bool
}

// Gate decides by the leader's allocations which requests are admitted. It is safe for
// concurrent use.
//
// Invariant: of the requests of a class and account, it admits the sum of their shares,
// within one request, apart from interrupted and due ones in excess of that.
type Gate struct {
	clock    Clock
	calendar *Calendar
	random   Random // used under mu

	mu       sync.Mutex
	credits  *creditCache
	services map[string]*gatedService
}

// gatedService is the state of one service.
type gatedService struct {
	allocation *heldAllocation // nil if there is none
	sends      window
	rejected   window
	usedAt     time.Time
	// lowestRank is the lowest rank asked for since periodStart, previousLowest the one of the
	// period before.
	lowestRank     int
	previousLowest int
	periodStart    time.Time
}

// noRank is above all ranks.
const noRank = 1 << 30

// NewGate returns a gate without allocations, which admits everything. It serializes its calls
// of random.
func NewGate(clock Clock, random Random) *Gate {
	return &Gate{
		clock:    clock,
		calendar: NewCalendar(clock, random),
		random:   random,
		credits:  newCreditCache(random),
		services: map[string]*gatedService{},
	}
}

func (g *Gate) service(name string, now time.Time) *gatedService {
	s := g.services[name]
	if s == nil {
		s = &gatedService{
			lowestRank:     noRank,
			previousLowest: noRank,
			periodStart:    now,
		}
		g.services[name] = s
	}
	s.usedAt = now
	return s
}

// Apply replaces all allocations by those of a leader's reply, made age ago.
func (g *Gate) Apply(list []Allocation, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, s := range g.services {
		s.allocation = nil
	}
	for _, a := range list {
		g.service(a.Service, now).allocation = newHeldAllocation(a, now.Add(-max(0, age)))
	}
	for name, s := range g.services {
		if s.allocation == nil && now.Sub(s.usedAt) > serviceRetention {
			delete(g.services, name)
		}
	}
}

// RecordSend notes a send to an endpoint, and whether it was rejected for lack of capacity.
func (g *Gate) RecordSend(service string, rejected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	s := g.service(service, now)
	s.sends.add(now, 1)
	if rejected {
		s.rejected.add(now, 1)
	}
}

// Decide decides about a request. Of a refused one it books the time of the retry if there is
// space.
func (g *Gate) Decide(q Query) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	s := g.service(q.Service, now)
	s.noteRank(q.Class.Rank, now)
	d := s.decision(q, now)
	d.Admitted = g.admit(q, d.Share, now)
	if d.Admitted {
		d.Reason = ReasonNone
		return d
	}
	g.book(q, &d, now)
	return d
}

// admit charges a request to the credit of its class and account, and reports whether it is
// admitted.
func (g *Gate) admit(q Query, share float64, now time.Time) bool {
	if share >= 1 {
		return true
	}
	c := g.credits.get(creditKey{
		service: q.Service,
		class:   q.Class,
		account: q.Account,
	}, now)
	return c.charge(share, q.Due || q.Interrupted)
}

// RefuseFull returns the refusal of a request that was admitted, but that found no path
// without full endpoints.
func (g *Gate) RefuseFull(q Query) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	d := g.service(q.Service, now).decision(q, now)
	d.Reason = ReasonFull
	g.book(q, &d, now)
	return d
}

// book sets after what time the caller of a refused request should retry.
func (g *Gate) book(q Query, d *Decision, now time.Time) {
	d.RetryAfter, d.Booked = g.calendar.Book(Refusal{
		Service:    q.Service,
		Rank:       q.Class.Rank,
		Tokens:     q.Tokens,
		Shortage:   d.Shortage,
		Remaining:  q.Remaining,
		MinWait:    q.MinWait,
		FinishRate: q.FinishRate,
		Unpromised: !g.mayBook(q, now),
	})
}

// mayBook draws whether a refused request may get a booking. Callers retry once, so that late
// ones get none. An account over its share has most of the refusals. Its chance is lower, so
// that its bookings are in proportion to what it is admitted, as those of the class are.
func (g *Gate) mayBook(q Query, now time.Time) bool {
	a := g.services[q.Service].allocation
	if q.Class.Late {
		return false
	}
	if a == nil || a.age(now) > trustedAge {
		return true
	}
	own, ofAccount := a.share(q.Class, q.Account)
	class, _ := a.share(q.Class, 0)
	return !ofAccount || class >= 1 || g.random.Float64() < odds(own)/odds(class)
}

// odds returns how many requests are admitted for each one that is refused.
func odds(share float64) float64 {
	return share / (1 - share)
}

// Redeem reports whether a late request is due, and uses up a booking if so.
func (g *Gate) Redeem(service string, rank int, finishRate float64) bool {
	return g.calendar.Redeem(service, rank, finishRate)
}

// decision returns the share that applies to a request, with the reason for which it may be
// refused.
func (s *gatedService) decision(q Query, now time.Time) Decision {
	d := Decision{
		Class:  q.Class,
		Share:  1,
		Reason: ReasonObserved,
	}
	isTrusted := false
	if a := s.allocation; a != nil {
		d.Allocated = true
		d.Age = a.age(now)
		d.Shortage = a.shortage(now)
		isTrusted = d.Age <= trustedAge
		var ofAccount bool
		d.Share, ofAccount = a.share(q.Class, q.Account)
		d.Share = grown(d.Share, d.Age)
		switch {
		case d.Share >= 1:
		case ofAccount:
			d.Reason = ReasonAccount
		default:
			d.Reason = ReasonRank
		}
	}
	if !isTrusted && q.Class.Rank > s.mostUrgent(now) {
		d.Share *= 1 - s.rejectedRatio(now)
	}
	return d
}

// grown returns a share that was allocated age ago as it applies now.
func grown(share float64, age time.Duration) float64 {
	if age <= trustedAge {
		return share
	}
	return share + (1-share)*min(1, float64(age-trustedAge)/float64(growthTime))
}

// rejectedRatio returns the fraction of the last second's sends that endpoints rejected.
func (s *gatedService) rejectedRatio(now time.Time) float64 {
	sends := s.sends.sum(now)
	if sends < minSends {
		return 0
	}
	return min(maxRejectedRatio, s.rejected.sum(now)/sends)
}

func (s *gatedService) noteRank(rank int, now time.Time) {
	s.turnPeriod(now)
	s.lowestRank = min(s.lowestRank, rank)
}

// mostUrgent returns the lowest rank that callers have recently asked for.
func (s *gatedService) mostUrgent(now time.Time) int {
	s.turnPeriod(now)
	return min(s.lowestRank, s.previousLowest)
}

func (s *gatedService) turnPeriod(now time.Time) {
	elapsed := now.Sub(s.periodStart)
	if elapsed < urgentPeriod {
		return
	}
	s.previousLowest = noRank
	if elapsed < 2*urgentPeriod {
		s.previousLowest = s.lowestRank
	}
	s.lowestRank = noRank
	s.periodStart = now
}
