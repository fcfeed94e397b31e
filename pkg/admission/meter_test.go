package admission

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// withMeter runs f on a meter that reports demand for service s by account.
func withMeter(f func(m *Meter, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	m := NewMeter(clock)
	m.SetByAccount([]Allocation{{Service: "s", ByAccount: true}})
	f(m, clock)
}

var _ = ginkgo.Describe("a host's reports", func() {
	ginkgo.It("tell the tokens in flight, and the finished ones since the start, without cancelled streams", func() {
		withMeter(func(m *Meter, _ *timer.Manual) {
			first, second, third := m.Begin("s", 100), m.Begin("s", 30), m.Begin("s", 7)
			Expect(m.TakeReports()).To(Equal([]Report{{Service: "s", InFlight: 137, Demand: []Demand{}}}))
			first.End()
			third.Cancel()
			// Repeated calls must not count twice: several parts of the gateway may end a stream.
			first.End()
			first.Cancel()
			third.End()
			Expect(m.TakeReports()).To(Equal([]Report{{Service: "s", InFlight: 30, Finished: 100, Demand: []Demand{}}}))
			second.End()
			Expect(m.TakeReports()).To(Equal([]Report{{Service: "s", InFlight: 0, Finished: 130, Demand: []Demand{}}}))
			Expect(m.InFlight("s")).To(BeZero())
		})
	})

	ginkgo.It("count what finished in the last second, without cancelled streams", func() {
		withMeter(func(m *Meter, clock *timer.Manual) {
			Expect(m.FinishRate("other")).To(BeZero())
			for range 30 {
				m.Begin("s", 10).End()
				m.Begin("s", 10).Cancel()
				clock.Advance(100 * time.Millisecond)
			}
			Expect(m.FinishRate("s")).To(BeNumerically("~", 100, 10))
			clock.Advance(time.Second)
			Expect(m.FinishRate("s")).To(BeZero())
		})
	})

	ginkgo.It("have no tokens in flight without streams, in spite of rounding", func() {
		withMeter(func(m *Meter, _ *timer.Manual) {
			streams := []*Stream{}
			for n := range 1000 {
				streams = append(streams, m.Begin("s", 0.1*float64(n)))
			}
			for _, s := range streams {
				s.End()
			}
			Expect(m.InFlight("s")).To(Equal(0.0))
		})
	})

	ginkgo.It("tell demand by class and account once, in the order of admission, for each service", func() {
		withMeter(func(m *Meter, _ *timer.Manual) {
			m.Offer("s", Class{Rank: 1, Late: true}, 7, 10)
			m.Offer("s", Class{Rank: 1}, 7, 20)
			m.Offer("s", Class{Rank: 0}, 9, 30)
			m.Offer("s", Class{Rank: 1}, 7, 40)
			m.Offer("other", Class{Rank: 1}, 7, 5)
			reports := m.TakeReports()
			Expect(reports).To(HaveLen(2))
			Expect(reports[0].Demand).To(Equal([]Demand{{Class: Class{Rank: 1}, Account: 0, Tokens: 5, Streams: 1}}))
			Expect(reports[1].Demand).To(Equal([]Demand{
				{Class: Class{Rank: 0}, Account: 9, Tokens: 30, Streams: 1},
				{Class: Class{Rank: 1}, Account: 7, Tokens: 60, Streams: 2},
				{Class: Class{Rank: 1, Late: true}, Account: 7, Tokens: 10, Streams: 1},
			}))
			Expect(m.TakeReports()[1].Demand).To(BeEmpty())
		})
	})

	ginkgo.It("don't tell accounts once the leader no longer asks for them", func() {
		withMeter(func(m *Meter, _ *timer.Manual) {
			m.SetByAccount(nil)
			m.Offer("s", Class{}, 7, 10)
			m.Offer("s", Class{}, 8, 10)
			Expect(m.TakeReports()[0].Demand).To(Equal([]Demand{{Account: 0, Tokens: 20, Streams: 2}}))
		})
	})

	ginkgo.It("have at most 32 demands: the largest, and the others of each class together", func() {
		cases := []struct {
			name     string
			ranks    int
			accounts int
			own      int // entries that are of one account
		}{
			{name: "all fit", ranks: 4, accounts: 8, own: 32},
			{name: "one too many", ranks: 3, accounts: 11, own: 29},
			{name: "1,200 accounts", ranks: 3, accounts: 1200, own: 29},
			{name: "as many classes as entries", ranks: 32, accounts: 3, own: 0},
			{name: "more classes than entries", ranks: 100, accounts: 3, own: 0},
		}
		for _, c := range cases {
			withMeter(func(m *Meter, _ *timer.Manual) {
				sum, streams, largest := 0.0, 0, map[uint32]bool{}
				for rank := range c.ranks {
					for n := range c.accounts {
						tokens := float64(1 + n)
						account := uint32(1 + rank*10000 + n)
						m.Offer("s", Class{Rank: rank}, account, tokens)
						sum += tokens
						streams++
						largest[account] = n >= c.accounts-10 // 29 entries for 3 classes
					}
				}
				demand := m.TakeReports()[0].Demand
				Expect(len(demand)).To(BeNumerically("<=", maxDemands), c.name)
				own := 0
				for _, d := range demand {
					sum -= d.Tokens
					streams -= d.Streams
					if d.Account != 0 {
						own++
						Expect(largest[d.Account] || c.own == 32).To(BeTrue(), "%s: account %d", c.name, d.Account)
					}
				}
				Expect(own).To(Equal(c.own), c.name)
				Expect(sum).To(BeNumerically("~", 0, 1e-6), c.name)
				Expect(streams).To(BeZero(), c.name)
			})
		}
	})

	ginkgo.It("scale demand that wasn't reported for over a second", func() {
		// Guards against refusals after 5 s without a leader, whose demand the next leader
		// would take for that of one second.
		cases := []struct {
			period time.Duration
			tokens float64
		}{
			{400 * time.Millisecond, 1000},
			{time.Second, 1000},
			{4 * time.Second, 250},
		}
		for _, c := range cases {
			withMeter(func(m *Meter, clock *timer.Manual) {
				m.TakeReports()
				for range 10 {
					m.Offer("s", Class{}, 7, 100)
				}
				clock.Advance(c.period)
				d := m.TakeReports()[0].Demand[0]
				Expect(d.Tokens).To(BeNumerically("~", c.tokens, 1e-9))
				Expect(d.Streams).To(BeNumerically(">=", int(c.tokens/100)))
			})
		}
	})

	ginkgo.It("leave out a service that has been idle, and count a bounded number of accounts", func() {
		withMeter(func(m *Meter, _ *timer.Manual) {
			m.Begin("s", 10).End()
			for range idleReports {
				Expect(m.TakeReports()).To(HaveLen(1))
			}
			Expect(m.TakeReports()).To(BeEmpty())
			Expect(m.services).To(BeEmpty())
			m.SetByAccount([]Allocation{{Service: "s", ByAccount: true}})
			for account := range uint32(3 * maxDemandKeys) {
				m.Offer("s", Class{}, account+1, 1)
			}
			Expect(len(m.services["s"].demand)).To(BeNumerically("<=", maxDemandKeys+1))
		})
	})

	ginkgo.It("are right under concurrent use", func() {
		withMeter(func(m *Meter, _ *timer.Manual) {
			group := sync.WaitGroup{}
			tokens := make([]float64, 8)
			for i := range tokens {
				group.Go(func() {
					for range 500 {
						m.Offer("s", Class{Rank: i % 3}, uint32(i), 1)
						m.Begin("s", 1).End()
						for _, r := range m.TakeReports() {
							for _, d := range r.Demand {
								tokens[i] += d.Tokens
							}
						}
					}
				})
			}
			group.Wait()
			sum := 0.0
			for _, n := range tokens {
				sum += n
			}
			Expect(sum).To(Equal(4000.0))
			Expect(m.TakeReports()[0].Finished).To(Equal(4000.0))
		})
	})
})
