package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
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
