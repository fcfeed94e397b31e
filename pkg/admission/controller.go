package admission

import (
	"cmp"
	"slices"
	"time"
)

// Request is a caller's request for a new stream.
type Request struct {
	Service   string
	Route     string
	Rank      int
	Account   string // name of the client account
	Tokens    float64
	Remaining time.Duration // until the caller's time-out; 0 if it isn't known
	// Interrupted is set for a stream that was interrupted and continues. It is never refused.
	Interrupted bool
}

// Controller is an entry host's part of admission control. It is safe for concurrent use.
//
// Invariant: each request is counted as demand once, whether it is admitted or not.
type Controller struct {
	meter    *Meter
	gate     *Gate
	detector *Detector
}

// NewController returns a controller that admits everything until it gets allocations. It
// serializes its calls of random.
func NewController(clock Clock, random Random) *Controller {
	return &Controller{
		meter:    NewMeter(clock),
		gate:     NewGate(clock, random),
		detector: NewDetector(clock),
	}
}

// Admit decides about a request and, if it is admitted, counts its stream as running until the
// caller ends or cancels it. The stream is nil if the request is refused.
func (c *Controller) Admit(r Request) (Decision, *Stream) {
	d := c.Decide(r)
	if !d.Admitted {
		return d, nil
	}
	return d, c.Begin(r.Service, r.Tokens)
}

// Decide decides about a request. It must be called once for each.
func (c *Controller) Decide(r Request) Decision {
	q := c.query(r)
	if !r.Interrupted && c.detector.Observe(r.Service, r.Route, r.Remaining) {
		q.Due = isMarked(r.Remaining) && c.gate.Redeem(r.Service, r.Rank, q.FinishRate)
		q.Class.Late = !q.Due
	}
	c.meter.Offer(q.Service, q.Class, q.Account, q.Tokens)
	d := c.gate.Decide(q)
	if !d.Admitted {
		c.detector.NoteRefusal(r.Service)
	}
	return d
}

// RefuseFull returns the refusal of a request that was admitted, but for which there is no path
// without full endpoints. Its stream must be cancelled.
func (c *Controller) RefuseFull(r Request) Decision {
	c.detector.NoteRefusal(r.Service)
	return c.gate.RefuseFull(c.query(r))
}

func (c *Controller) query(r Request) Query {
	return Query{
		Service: r.Service,
		Class: Class{
			Rank: r.Rank,
		},
		Account:     AccountKey(r.Account),
		Tokens:      r.Tokens,
		Remaining:   r.Remaining,
		FinishRate:  c.meter.FinishRate(r.Service),
		MinWait:     c.detector.MinWait(r.Service, r.Route, r.Remaining),
		Interrupted: r.Interrupted,
	}
}

// Begin counts an admitted stream as running until it is ended or cancelled.
func (c *Controller) Begin(service string, tokens float64) *Stream {
	return c.meter.Begin(service, tokens)
}

// RecordSend notes a send to an endpoint, and whether it was rejected for lack of capacity.
func (c *Controller) RecordSend(service string, rejected bool) {
	c.gate.RecordSend(service, rejected)
}

// TakeReports returns what to report to the leader since the previous call.
func (c *Controller) TakeReports() []Report {
	return c.meter.TakeReports()
}

// Apply replaces all allocations by those of a leader's reply, made age ago. The leader must
// have confirmed that it leads.
func (c *Controller) Apply(list []Allocation, age time.Duration) {
	c.meter.SetByAccount(list)
	c.gate.Apply(list, age)
	for _, a := range list {
		if a.Shortage > 0 {
			c.detector.NoteRefusal(a.Service) // other hosts refuse, and callers come here
		}
	}
}

// Status is what a host knows of a service's admission.
type Status struct {
	Service      string
	HostInFlight float64 // tokens of this host's streams
	// RejectedRatio is the fraction of this host's sends that endpoints rejected in the last
	// second.
	RejectedRatio float64
	// Allocated says that the leader has sent an allocation; the other fields are of that.
	Allocated bool
	Age       time.Duration
	Capacity  float64
	InFlight  float64 // tokens, of all hosts
	Shortage  time.Duration
	Classes   []ClassShare // as they apply now
}

// Status returns the state of each service, by name.
func (c *Controller) Status() []Status {
	list := c.gate.status()
	for i := range list {
		list[i].HostInFlight = c.meter.InFlight(list[i].Service)
	}
	return list
}

func (g *Gate) status() []Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	out := make([]Status, 0, len(g.services))
	for name, s := range g.services {
		status := Status{
			Service:       name,
			RejectedRatio: s.rejectedRatio(now),
		}
		if a := s.allocation; a != nil {
			status.Allocated = true
			status.Age = a.age(now)
			status.Capacity = a.allocation.Capacity
			status.InFlight = a.allocation.InFlight
			status.Shortage = a.shortage(now)
			status.Classes = a.currentShares(now)
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b Status) int {
		return cmp.Compare(a.Service, b.Service)
	})
	return out
}

// currentShares returns the shares as they apply at the allocation's age.
func (h *heldAllocation) currentShares(now time.Time) []ClassShare {
	age := h.age(now)
	out := make([]ClassShare, 0, len(h.allocation.Classes))
	for _, c := range h.allocation.Classes {
		current := ClassShare{
			Class: c.Class,
			Share: grown(c.Share, age),
		}
		for _, a := range c.Accounts {
			current.Accounts = append(current.Accounts, AccountShare{
				Account: a.Account,
				Share:   grown(a.Share, age),
			})
		}
		out = append(out, current)
	}
	return out
}
