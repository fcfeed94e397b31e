package admission

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func requestOf(rank int, account string) Request {
	return Request{
		Service:   "s",
		Route:     "r",
		Rank:      rank,
		Account:   account,
		Tokens:    100,
		Remaining: 6 * time.Second,
	}
}

// withController runs f on a controller that has seen first attempts of rank 1 with 6 s left.
func withController(f func(c *Controller, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	c := NewController(clock, seeded(1))
	c.Apply([]Allocation{{Service: "s", ByAccount: true}}, 0)
	for range 200 {
		d, stream := c.Admit(requestOf(1, "a"))
		Expect(d.Admitted).To(BeTrue())
		stream.End()
		clock.Advance(5 * time.Millisecond)
	}
	c.TakeReports()
	f(c, clock)
}

// lateOf returns how many of n requests with 4 s left are late and not due.
func lateOf(c *Controller, n int) int {
	late := 0
	for range n {
		r := requestOf(1, "a")
		r.Remaining = 4 * time.Second
		if c.Decide(r).Class.Late {
			late++
		}
	}
	return late
}

func refuseAll() []Allocation {
	return []Allocation{{
		Service:   "s",
		Capacity:  1000,
		InFlight:  1200,
		ByAccount: true,
		Shortage:  400 * time.Millisecond,
		Classes:   []ClassShare{{Class: Class{Rank: 1}, Share: 0}},
	}}
}

var _ = ginkgo.Describe("the controller", func() {
	// Guards against late requests without a booking, which are several times as many as those
	// with one, and would use the bookings up.
	ginkgo.It("takes a late request as due only if its remaining time is that of a booked one", func() {
		withController(func(c *Controller, _ *timer.Manual) {
			c.Apply(refuseAll(), 0)
			for _, tt := range []struct {
				remaining time.Duration
				due       bool
			}{
				{4 * time.Second, true},
				{4*time.Second - markDelay, true},
				{4*time.Second - markDelay - time.Millisecond, false},
				{3500 * time.Millisecond, false},
				{4*time.Second + 2*markLead, false},
			} {
				r := requestOf(1, "a")
				r.Remaining = tt.remaining
				Expect(!c.Decide(r).Class.Late).To(Equal(tt.due), "%v", tt.remaining)
			}
		})
	})

	ginkgo.It("counts each request as demand once, refused or not, and admitted streams until they end", func() {
		withController(func(c *Controller, _ *timer.Manual) {
			_, stream := c.Admit(requestOf(1, "a"))
			c.Apply(refuseAll(), 0)
			d, none := c.Admit(requestOf(1, "a"))
			Expect(d.Admitted).To(BeFalse())
			Expect(none).To(BeNil())
			interrupted := requestOf(1, "a")
			interrupted.Interrupted = true
			interrupted.Remaining = time.Second
			d, continued := c.Admit(interrupted)
			Expect(d.Admitted).To(BeTrue())
			Expect(c.TakeReports()).To(Equal([]Report{{
				Service:  "s",
				InFlight: 200,
				Finished: 200 * 100,
				Demand:   []Demand{{Class: Class{Rank: 1}, Account: AccountKey("a"), Tokens: 300, Streams: 3}},
			}}))
			stream.End()
			continued.Cancel()
			Expect(c.TakeReports()[0]).To(Equal(Report{Service: "s", Finished: 201 * 100, Demand: []Demand{}}))
		})
	})

	ginkgo.It("admits a refused caller that returns at its booked time, and late ones up to the overdraft", func() {
		withController(func(c *Controller, clock *timer.Manual) {
			c.Apply(refuseAll(), 0)
			first := c.Decide(requestOf(1, "a"))
			Expect(first.Booked).To(BeTrue())
			Expect(first.RetryAfter).To(BeNumerically("<=", 2*time.Second))
			clock.Advance(first.RetryAfter)
			c.Apply(refuseAll(), 0)
			c.TakeReports()
			again := requestOf(1, "a")
			again.Remaining -= first.RetryAfter
			for range 1 + minOverdraft {
				d := c.Decide(again)
				Expect(d.Admitted).To(BeTrue())
				Expect(d.Class).To(Equal(Class{Rank: 1}))
			}
			for range 3 {
				d := c.Decide(again)
				Expect(d.Admitted).To(BeFalse())
				Expect(d.Booked).To(BeFalse())
				Expect(d.Class).To(Equal(Class{Rank: 1, Late: true}))
			}
			Expect(c.TakeReports()[0].Demand).To(Equal([]Demand{
				{Class: Class{Rank: 1}, Account: AccountKey("a"), Tokens: 900, Streams: 9},
				{Class: Class{Rank: 1, Late: true}, Account: AccountKey("a"), Tokens: 300, Streams: 3},
			}))
		})
	})

	ginkgo.It("recognizes late requests when only other hosts have refused", func() {
		// Guards against retries that count as first attempts on a host which has refused
		// nothing itself: from then on no late request would be recognized.
		withController(func(c *Controller, _ *timer.Manual) {
			c.Apply([]Allocation{{Service: "s", Shortage: time.Second}}, 0)
			Expect(lateOf(c, minOverdraft+2)).To(Equal(2))
		})
	})

	ginkgo.It("gives callers for which all endpoints are full a time by the calendar", func() {
		withController(func(c *Controller, _ *timer.Manual) {
			_, stream := c.Admit(requestOf(1, "a"))
			stream.Cancel()
			d := c.RefuseFull(requestOf(1, "a"))
			Expect(d.Admitted).To(BeFalse())
			Expect(d.Reason).To(Equal(ReasonFull))
			Expect(d.Booked).To(BeTrue())
			Expect(d.RetryAfter).To(BeNumerically("<=", 2*time.Second))
			Expect(lateOf(c, minOverdraft+2)).To(Equal(2), "callers may be retrying now")
		})
	})

	ginkgo.It("returns the state of each service", func() {
		withController(func(c *Controller, clock *timer.Manual) {
			c.Apply(refuseAll(), 100*time.Millisecond)
			c.Begin("s", 70)
			c.Begin("other", 30)
			c.RecordSend("other", false)
			for range 6 {
				c.RecordSend("other", true)
				c.RecordSend("other", false)
			}
			clock.Advance(300 * time.Millisecond)
			Expect(c.Status()).To(Equal([]Status{
				{
					Service:       "other",
					HostInFlight:  30,
					RejectedRatio: 6.0 / 13,
				},
				{
					Service:      "s",
					HostInFlight: 70,
					Allocated:    true,
					Age:          400 * time.Millisecond,
					Capacity:     1000,
					InFlight:     1200,
					Shortage:     800 * time.Millisecond,
					Classes:      []ClassShare{{Class: Class{Rank: 1}, Share: 0}},
				},
			}))
		})
	})

	ginkgo.It("is safe for concurrent use", func() {
		withController(func(c *Controller, clock *timer.Manual) {
			group := sync.WaitGroup{}
			for range 8 {
				group.Go(func() {
					for n := range 200 {
						c.Apply([]Allocation{shareOfRank(1, 0.5)}, 0)
						if _, stream := c.Admit(requestOf(n%3, "a")); stream != nil {
							stream.End()
						}
						c.RecordSend("s", true)
						c.RefuseFull(requestOf(1, "b"))
						c.TakeReports()
						c.Status()
						clock.Advance(time.Millisecond)
					}
				})
			}
			group.Wait()
			Expect(c.meter.InFlight("s")).To(BeZero())
		})
	})
})
