package admission

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("late requests", func() {
	// redeemed returns how many of n late requests are due.
	redeemed := func(c *ratedCalendar, rank, n int) int {
		due := 0
		for range n {
			if c.Redeem("s", rank) {
				due++
			}
		}
		return due
	}

	ginkgo.It("are due as far as the bookings of slots that have begun allow, and the overdraft", func() {
		cases := []struct {
			name string
			wait time.Duration // after the start of the booked slot
			due  int
		}{
			{"before the slot", -50 * time.Millisecond, minOverdraft},
			{"in the slot", 100 * time.Millisecond, minOverdraft + 4},
			{"in the next slot", 350 * time.Millisecond, minOverdraft + 4},
			{"a second later", time.Second, minOverdraft + 3},
			{"much later", 20 * time.Second, minOverdraft},
		}
		for _, c := range cases {
			// A slot's part is 220 tokens, of which a slot takes up to two.
			withCalendar(220*4/bookedPart, func(calendar *ratedCalendar, advance func(time.Duration)) {
				for range 4 {
					after, ok := calendar.Book(refusalOf("s", 1, 100, 0, 4100*time.Millisecond))
					Expect(ok).To(BeTrue())
					Expect(after).To(BeNumerically(">=", time.Second))
					Expect(after).To(BeNumerically("<", 1250*time.Millisecond))
				}
				advance(time.Second + c.wait)
				Expect(redeemed(calendar, 2, 100)).To(Equal(minOverdraft), "another rank")
				Expect(redeemed(calendar, 1, 100)).To(Equal(c.due), c.name)
				Expect(redeemed(calendar, 1, 100)).To(BeZero(), c.name)
			})
		}
	})

	ginkgo.It("are due no more often than what is booked, in a flood of callers that name a short time", func() {
		for _, rate := range []float64{0, 1000, 20000} {
			withCalendar(rate, func(c *ratedCalendar, advance func(time.Duration)) {
				due, booked := 0, 0
				for range 600 {
					if _, ok := c.Book(refusalOf("s", 1, 100, 0, 6*time.Second)); ok {
						booked++
					}
					due += redeemed(c, 1, 20)
					advance(50 * time.Millisecond)
				}
				begun := c.books["s"].ranks[1].begun
				Expect(due).To(BeNumerically("<=", float64(booked)+minOverdraft+overdraftPart*begun+1), "rate %v", rate)
				Expect(due).To(BeNumerically(">=", float64(booked)-8*bookedPart*rate/100), "rate %v", rate)
			})
		}
	})

	ginkgo.It("get no booking if none is to be promised", func() {
		withCalendar(10000, func(c *ratedCalendar, _ func(time.Duration)) {
			r := refusalOf("s", 1, 100, 0, 6*time.Second)
			r.Unpromised = true
			_, ok := c.Book(r)
			Expect(ok).To(BeFalse())
		})
	})

	ginkgo.It("are recognized: no time is booked at which a retry has as much left as a first attempt", func() {
		withCalendar(10000, func(c *ratedCalendar, _ func(time.Duration)) {
			cases := []struct {
				minWait time.Duration
				booked  bool
			}{
				{0, true},
				{1700 * time.Millisecond, true},
				{2100 * time.Millisecond, false},
			}
			for _, cs := range cases {
				r := refusalOf("s", 1, 100, 0, 6800*time.Millisecond)
				r.MinWait = cs.minWait
				for range 3 {
					after, ok := c.Book(r)
					Expect(ok).To(Equal(cs.booked))
					Expect(after).To(BeNumerically(">=", cs.minWait))
				}
			}
		})
		withDetector(func(d *Detector, _ *timer.Manual) {
			d.NoteRefusal("s")
			for _, remaining := range []time.Duration{8500 * time.Millisecond, 10 * time.Second} {
				minWait := d.MinWait("s", "r", remaining)
				Expect(minWait).To(BeNumerically("<", remaining/3))
				Expect(d.Observe("s", "r", remaining-minWait)).To(BeTrue())
				Expect(d.Observe("s", "r", remaining-minWait+450*time.Millisecond)).To(BeFalse())
			}
			Expect(d.MinWait("s", "r", time.Second)).To(BeZero())
			// A host that knows too little of a route assumes that callers may have started with
			// 0.85 of the time of this one: other hosts may know.
			Expect(d.MinWait("s", "other", time.Second)).To(BeNumerically("~", 277500*time.Microsecond, time.Microsecond))
		})
	})

	ginkgo.It("and bookings are safe for concurrent use", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		c := NewCalendar(clock, seeded(1))
		d := NewDetector(clock)
		group := sync.WaitGroup{}
		for range 8 {
			group.Go(func() {
				for range 300 {
					c.Book(refusalOf("s", 1, 10, 0, 6*time.Second))
					c.Redeem("s", 1, 1000)
					d.Observe("s", "r", time.Second)
					d.NoteRefusal("s")
					clock.Advance(time.Millisecond)
				}
			})
		}
		group.Wait()
	})
})

// withDetector runs f on a detector that has seen first attempts with 8.5 to 10 s left.
func withDetector(f func(d *Detector, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	d := NewDetector(clock)
	for range 20 {
		for _, seconds := range []float64{10, 9.2, 8.5} {
			d.Observe("s", "r", time.Duration(seconds*float64(time.Second)))
		}
		clock.Advance(500 * time.Millisecond)
	}
	f(d, clock)
}

var _ = ginkgo.Describe("the detector", func() {
	const timeout = 10 * time.Second

	ginkgo.It("recognizes retries of callers whose first remaining time is 0.85 to 1 of the time-out", func() {
		for seed := range uint64(20) {
			clock := timer.NewManual(time.Unix(1000, 0))
			d := NewDetector(clock)
			r := rand.New(rand.NewPCG(seed, 1))
			first := func() time.Duration {
				return time.Duration((0.85 + 0.15*r.Float64()) * float64(timeout))
			}
			for range 100 {
				Expect(d.Observe("s", "r", first())).To(BeFalse())
				clock.Advance(100 * time.Millisecond)
			}
			// A long shortage: retries must not lower what counts as a first attempt's time.
			for range 600 {
				d.NoteRefusal("s")
				Expect(d.Observe("s", "r", first())).To(BeFalse())
				retry := first() - time.Duration((2.5+0.5*r.Float64())*float64(time.Second))
				Expect(d.Observe("s", "r", retry)).To(BeTrue())
				clock.Advance(100 * time.Millisecond)
			}
		}
	})

	ginkgo.It("learns only while no refusal is less than 8 s old", func() {
		cases := []struct {
			name  string
			after time.Duration // since the refusal
			late  bool
		}{
			{"at once", 0, true},
			{"after 7.9 s", 7900 * time.Millisecond, true},
			{"after 8 s: the callers' time-out has changed", 8 * time.Second, false},
		}
		for _, c := range cases {
			withDetector(func(d *Detector, clock *timer.Manual) {
				d.NoteRefusal("other")
				d.NoteRefusal("s")
				clock.Advance(c.after)
				d.NoteRefusal("other")
				Expect(d.Observe("s", "r", 5*time.Second)).To(Equal(c.late), c.name)
				Expect(d.Observe("s", "r", 7600*time.Millisecond)).To(Equal(c.late), c.name)
				Expect(d.Observe("s", "r", 7700*time.Millisecond)).To(BeFalse(), c.name)
			})
		}
	})

	ginkgo.It("keeps the earlier value while there are no first attempts", func() {
		withDetector(func(d *Detector, clock *timer.Manual) {
			for range 60 {
				d.NoteRefusal("s")
				Expect(d.Observe("s", "r", 7*time.Second)).To(BeTrue())
				Expect(d.Observe("s", "r", 8*time.Second)).To(BeFalse())
				clock.Advance(time.Second)
			}
		})
	})

	ginkgo.It("forgets a lower value after 10 s with enough other requests", func() {
		withDetector(func(d *Detector, clock *timer.Manual) {
			d.Observe("s", "r", time.Second)
			Expect(d.Observe("s", "r", 2*time.Second)).To(BeFalse())
			for range 11 {
				clock.Advance(time.Second)
				d.Observe("s", "r", 9*time.Second)
			}
			Expect(d.Observe("s", "r", 8200*time.Millisecond)).To(BeFalse())
			d.NoteRefusal("s")
			Expect(d.Observe("s", "r", 7*time.Second)).To(BeTrue())
		})
	})

	ginkgo.It("takes nobody as late on a route with few first attempts, nor without a known time", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		d := NewDetector(clock)
		for range minFirst - 1 {
			Expect(d.Observe("s", "r", 10*time.Second)).To(BeFalse())
		}
		d.NoteRefusal("s")
		Expect(d.Observe("s", "r", time.Second)).To(BeFalse())
		Expect(d.Observe("s", "new", time.Second)).To(BeFalse())
		withDetector(func(d *Detector, _ *timer.Manual) {
			d.NoteRefusal("s")
			Expect(d.Observe("s", "r", 0)).To(BeFalse())
			Expect(d.Observe("s", "r", time.Second)).To(BeTrue())
			Expect(d.Observe("s", "other", time.Second)).To(BeFalse())
		})
	})

	ginkgo.It("holds a bounded number of routes, times and services", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		d := NewDetector(clock)
		for n := range 3 * maxRoutes {
			d.Observe("s", fmt.Sprintf("r%d", n), time.Second)
			clock.Advance(time.Millisecond)
		}
		Expect(len(d.routes)).To(Equal(maxRoutes))
		Expect(d.routes).To(HaveKey(routeKey{service: "s", route: fmt.Sprintf("r%d", 3*maxRoutes-1)}))
		for range 1000 {
			d.Observe("s", "r", time.Second)
			clock.Advance(3 * time.Second)
			d.NoteRefusal("other")
		}
		Expect(len(d.routes[routeKey{service: "s", route: "r"}].slots)).To(BeNumerically("<=", minFirst+1))
		for n := range 1000 {
			d.NoteRefusal(fmt.Sprintf("s%d", n))
			clock.Advance(time.Second)
		}
		Expect(len(d.refusedAt)).To(BeNumerically("<=", 9))
	})
})
