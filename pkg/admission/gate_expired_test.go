package admission

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the gate, without a valid allocation", func() {
	ginkgo.It("applies shares for 6 s, which then grow to 1 over 3 s", func() {
		cases := []struct {
			age      time.Duration
			share    float64
			shortage time.Duration
		}{
			{0, 0.4, time.Second},
			{6 * time.Second, 0.4, 7 * time.Second},
			{7500 * time.Millisecond, 0.7, 8500 * time.Millisecond},
			{9 * time.Second, 1, 0},
			{time.Hour, 1, 0},
		}
		for _, received := range []time.Duration{0, 400 * time.Millisecond} {
			for _, c := range cases {
				withGate(func(g *Gate, clock *timer.Manual) {
					age := min(received, c.age)
					g.Apply([]Allocation{shareOfRank(1, 0.4)}, age)
					clock.Advance(c.age - age)
					d := g.Decide(queryOf(1, 1))
					Expect(d.Share).To(BeNumerically("~", c.share, 1e-9), "%v", c.age)
					Expect(d.Age).To(Equal(c.age))
					Expect(d.Shortage).To(Equal(c.shortage), "%v", c.age)
					Expect(g.status()[0].Classes[0].Share).To(BeNumerically("~", c.share, 1e-9))
				})
			}
		}
	})

	ginkgo.It("admits everything if there never was one", func() {
		withGate(func(g *Gate, _ *timer.Manual) {
			for rank := range 9 {
				Expect(admittedOf(g, 100, queryOf(rank, 1))).To(Equal(100))
			}
			Expect(g.Decide(queryOf(1, 1)).Allocated).To(BeFalse())
		})
	})

	ginkgo.It("refuses the fraction that endpoints reject, of every rank but the most urgent", func() {
		cases := []struct {
			name      string
			age       time.Duration // of the allocation; 0 if there is none
			sends     int
			rejected  int
			since     time.Duration
			rank      int
			wantShare float64
		}{
			{name: "never received: most urgent", sends: 40, rejected: 20, rank: 1, wantShare: 1},
			{name: "never received: less urgent", sends: 40, rejected: 20, rank: 2, wantShare: 0.5},
			{name: "expired: most urgent", age: 9 * time.Second, sends: 40, rejected: 10, rank: 1, wantShare: 1},
			{name: "expired: less urgent", age: 9 * time.Second, sends: 40, rejected: 10, rank: 2, wantShare: 0.75},
			{name: "while shares grow", age: 7500 * time.Millisecond, sends: 40, rejected: 10, rank: 2, wantShare: 0.6 * 0.75},
			{name: "over a second ago", sends: 40, rejected: 20, since: 1100 * time.Millisecond, rank: 2, wantShare: 1},
			{name: "too few sends to tell", sends: 4, rejected: 4, rank: 2, wantShare: 1},
			{name: "never everyone", sends: 40, rejected: 40, rank: 2, wantShare: 0.1},
		}
		for _, c := range cases {
			withGate(func(g *Gate, clock *timer.Manual) {
				if c.age > 0 {
					// Class 2 has a share of 0.2: at 7.5 s, 0.2 + 0.8/2 = 0.6 applies.
					g.Apply([]Allocation{{
						Service:  "s",
						Shortage: time.Second,
						Classes:  []ClassShare{{Class: Class{Rank: 1}, Share: 1}, {Class: Class{Rank: 2}, Share: 0.2}},
					}}, 0)
					clock.Advance(c.age)
				}
				g.Decide(queryOf(1, 1))
				for n := range c.sends {
					g.RecordSend("s", n < c.rejected)
				}
				clock.Advance(c.since)
				d := g.Decide(queryOf(c.rank, 1))
				Expect(d.Share).To(BeNumerically("~", c.wantShare, 1e-9), c.name)
				if c.wantShare < 1 {
					Expect(admittedOf(g, 200, queryOf(c.rank, 1))).To(BeNumerically("~", 200*c.wantShare, 2), c.name)
				} else {
					Expect(admittedOf(g, 200, queryOf(c.rank, 1))).To(Equal(200), c.name)
				}
			})
		}
	})

	ginkgo.It("says that it refuses by what endpoints reject", func() {
		withGate(func(g *Gate, _ *timer.Manual) {
			g.Decide(queryOf(0, 1))
			for range 40 {
				g.RecordSend("s", true)
			}
			d := Decision{Admitted: true}
			for range 100 {
				if d = g.Decide(queryOf(1, 1)); !d.Admitted {
					break
				}
			}
			Expect(d.Reason).To(Equal(ReasonObserved))
			Expect(d.Reason.Text(1)).To(Equal("endpoints reject requests for lack of capacity"))
		})
	})

	ginkgo.It("takes the lowest rank of the last seconds as the most urgent", func() {
		withGate(func(g *Gate, clock *timer.Manual) {
			observe := func() {
				for range 40 {
					g.RecordSend("s", true)
				}
			}
			g.Decide(queryOf(0, 1))
			clock.Advance(2 * time.Second)
			observe()
			Expect(g.Decide(queryOf(1, 1)).Share).To(BeNumerically("<", 1))
			clock.Advance(2 * urgentPeriod)
			observe()
			Expect(g.Decide(queryOf(1, 1)).Share).To(Equal(1.0), "rank 0 is no longer asked for")
		})
	})
})
