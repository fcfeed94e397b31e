package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// ratedCalendar is a calendar on a host on which a constant number of tokens of service s finish
// in a second.
type ratedCalendar struct {
	*Calendar
	rate float64
}

func (c *ratedCalendar) Book(r Refusal) (time.Duration, bool) {
	if r.Service == "s" {
		r.FinishRate = c.rate
	}
	return c.Calendar.Book(r)
}

func (c *ratedCalendar) Redeem(service string, rank int) bool {
	return c.Calendar.Redeem(service, rank, c.rate)
}

// withCalendar runs f on an empty calendar at the beginning of a slot.
func withCalendar(rate float64, f func(c *ratedCalendar, advance func(d time.Duration))) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(&ratedCalendar{
		Calendar: NewCalendar(clock, seeded(1)),
		rate:     rate,
	}, clock.Advance)
}

func refusalOf(service string, rank int, tokens float64, shortage, remaining time.Duration) Refusal {
	return Refusal{
		Service:   service,
		Rank:      rank,
		Tokens:    tokens,
		Shortage:  shortage,
		Remaining: remaining,
	}
}

var _ = ginkgo.Describe("a booked time", func() {
	ginkgo.It("is within a third of the remaining time, and not before the end of the shortage", func() {
		r := rand.New(rand.NewPCG(1, 1))
		withCalendar(10000, func(c *ratedCalendar, advance func(time.Duration)) {
			booked := 0
			for range 5000 {
				advance(time.Duration(r.IntN(4)) * 50 * time.Millisecond)
				remaining := time.Duration(r.Int64N(int64(30 * time.Second)))
				shortage := time.Duration(r.Int64N(int64(3 * time.Second)))
				after, ok := c.Book(refusalOf("s", 1, 1+r.Float64()*50, shortage, remaining))
				if ok {
					booked++
					Expect(after).To(BeNumerically("<=", remaining/3), "remaining %v", remaining)
					Expect(after).To(BeNumerically("<", 9*time.Second))
					Expect(after).To(BeNumerically(">=", max(shortage, time.Second)))
					continue
				}
				Expect(after).To(BeNumerically(">=", max(shortage, time.Second, remaining/3)))
				Expect(after).To(BeNumerically("<", max(shortage, time.Second, remaining/3)+2*time.Second))
			}
			Expect(booked).To(BeNumerically(">", 1000))
		})
	})

	ginkgo.It("is promised only if there is time and space for it", func() {
		cases := []struct {
			name      string
			rate      float64
			shortage  time.Duration
			remaining time.Duration
			tokens    float64
			booked    bool
		}{
			{"space", 10000, 0, 6 * time.Second, 100, true},
			{"the waiting time ends before a slot begins", 10000, 0, 3 * time.Second, 100, false},
			{"the shortage ends after the waiting time", 10000, 2500 * time.Millisecond, 6 * time.Second, 100, false},
			{"the shortage ends within the waiting time", 10000, 1500 * time.Millisecond, 5900 * time.Millisecond, 100, true},
			{"the remaining time isn't known", 10000, 0, 0, 100, false},
			{"nothing finishes", 0, 0, 6 * time.Second, 100, false},
			{"a request above the part of two seconds", 1000, 0, 6 * time.Second, 400, false},
			{"a request that several slots have space for", 1000, 0, 6900 * time.Millisecond, 200, true},
		}
		for _, c := range cases {
			withCalendar(c.rate, func(calendar *ratedCalendar, _ func(time.Duration)) {
				_, ok := calendar.Book(refusalOf("s", 1, c.tokens, c.shortage, c.remaining))
				Expect(ok).To(Equal(c.booked), c.name)
			})
		}
	})

	// Guards against booked retries that any host takes for one of the many without a booking.
	ginkgo.It("leaves the retry a whole number of seconds, as no time without a booking need do", func() {
		r := rand.New(rand.NewPCG(2, 2))
		withCalendar(100000, func(c *ratedCalendar, advance func(time.Duration)) {
			booked := 0
			for range 2000 {
				advance(time.Duration(r.IntN(100)) * time.Millisecond)
				remaining := 5*time.Second + time.Duration(r.IntN(20000))*time.Millisecond
				after, ok := c.Book(refusalOf("s", 1, 10, 0, remaining))
				if !ok {
					continue
				}
				booked++
				onWay := time.Duration(r.IntN(int(markDelay/time.Millisecond))) * time.Millisecond
				Expect(isMarked(remaining - after - onWay)).To(BeTrue())
				Expect(isMarked(remaining - after - 500*time.Millisecond)).To(BeFalse())
			}
			Expect(booked).To(BeNumerically(">", 1500))
		})
	})

	// Guards against a caller that names a time-out of years: the search for its slot held the
	// lock of all decisions for seconds.
	ginkgo.It("is bounded, whatever time the caller has", func() {
		withCalendar(0, func(c *ratedCalendar, _ func(time.Duration)) {
			for _, remaining := range []time.Duration{24 * time.Hour, 365 * 24 * time.Hour, math.MaxInt64} {
				began := time.Now()
				for range 100 {
					after, _ := c.Book(refusalOf("s", 1, 100, 0, remaining))
					Expect(after).To(BeNumerically("<=", maxWait+unbookedSpread))
				}
				Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			}
		})
	})

	ginkgo.It("takes no more than the bookable part of the rate, over any time, on large and small hosts", func() {
		// Guards against slots whose leftover is carried twice, and against all hosts booking
		// the same slot when a shortage begins.
		for _, rate := range []float64{300, 1000, 10000, 200000} {
			withCalendar(rate, func(c *ratedCalendar, advance func(time.Duration)) {
				r := rand.New(rand.NewPCG(uint64(rate), 1))
				const seconds, tokens = 60, 100.0
				booked := map[int64]float64{} // by slot
				total, now := 0.0, time.Duration(0)
				for now < seconds*time.Second {
					for range 20 {
						shortage := time.Duration(r.Int64N(int64(1500 * time.Millisecond)))
						remaining := 6*time.Second + time.Duration(r.Int64N(int64(time.Second)))
						after, ok := c.Book(refusalOf("s", 1, tokens, shortage, remaining))
						if ok {
							booked[int64((now+after)/calendarSlot)] += tokens
							total += tokens
						}
					}
					advance(50 * time.Millisecond)
					now += 50 * time.Millisecond
				}
				part := bookedPart * rate
				Expect(total).To(BeNumerically("<=", part*(seconds+2)+1e-3), "rate %v", rate)
				Expect(total).To(BeNumerically(">=", 0.9*part*seconds-tokens), "rate %v", rate)
				for _, n := range booked {
					Expect(n).To(BeNumerically("<=", max(tokens, maxSlotParts*part/4)), "rate %v", rate)
				}
			})
		}
	})

	ginkgo.It("leaves what later slots have booked of the part of earlier ones", func() {
		withCalendar(1000, func(c *ratedCalendar, _ func(time.Duration)) {
			// The slots up to the one that starts in 1.75 s have a part of 300 tokens.
			late := refusalOf("s", 1, 285, 0, 6800*time.Millisecond)
			late.MinWait = 1700 * time.Millisecond
			_, ok := c.Book(late)
			Expect(ok).To(BeTrue())
			_, ok = c.Book(refusalOf("s", 1, 30, 0, 6*time.Second))
			Expect(ok).To(BeFalse())
			_, ok = c.Book(refusalOf("s", 1, 30, 0, 12*time.Second))
			Expect(ok).To(BeTrue(), "there is space in slots after that one")
		})
	})

	ginkgo.It("takes from one part of the rate for all ranks of a service", func() {
		// Guards against retries of several ranks that take a large part of the capacity, though
		// they are late.
		withCalendar(1000, func(c *ratedCalendar, _ func(time.Duration)) {
			fill := func(service string, rank int) int {
				booked := 0
				for range 100 {
					if _, ok := c.Book(refusalOf(service, rank, 100, 0, 6*time.Second)); ok {
						booked++
					}
				}
				return booked
			}
			Expect(fill("s", 1)).To(BeNumerically(">", 0))
			Expect(fill("s", 1)).To(BeZero())
			Expect(fill("s", 2)).To(BeZero())
			Expect(fill("other", 1)).To(BeZero(), "nothing of it finishes")
		})
	})

	ginkgo.It("is kept for a bounded number of services and ranks", func() {
		withCalendar(1000, func(c *ratedCalendar, advance func(time.Duration)) {
			for n := range 3 * maxCalendars {
				c.Book(refusalOf(fmt.Sprintf("s%d", n), 0, 100, 0, 6*time.Second))
			}
			Expect(len(c.books)).To(Equal(maxCalendars))
			advance(20 * time.Second)
			_, ok := c.Book(refusalOf("s", 1, 100, 0, 6*time.Second))
			Expect(ok).To(BeTrue())
			Expect(len(c.books)).To(Equal(1))
			for rank := range 3 * maxRanks {
				c.Redeem("s", rank)
			}
			Expect(len(c.books["s"].ranks)).To(Equal(maxRanks))
			advance(9 * time.Second)
			c.Redeem("s", 0)
			Expect(len(c.books["s"].ranks)).To(Equal(1))
		})
	})
})

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
