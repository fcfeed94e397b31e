package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func seeded(seed uint64) Random {
	return rand.New(rand.NewPCG(seed, 1))
}

// withGate runs f on a gate without allocations.
func withGate(f func(g *Gate, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(NewGate(clock, seeded(1)), clock)
}

// shareOfRank returns an allocation of service s with one class.
func shareOfRank(rank int, share float64, accounts ...AccountShare) Allocation {
	return Allocation{
		Service:  "s",
		Capacity: 1000,
		Shortage: time.Second,
		Classes: []ClassShare{
			{Class: Class{Rank: rank}, Share: share, Accounts: accounts},
		},
	}
}

// queryOf returns a request for 100 tokens of service s.
func queryOf(rank int, account uint32) Query {
	return Query{
		Service: "s",
		Class: Class{
			Rank: rank,
		},
		Account:   account,
		Tokens:    100,
		Remaining: 6 * time.Second,
	}
}

// admittedOf returns how many of n requests are admitted.
func admittedOf(g *Gate, n int, q Query) int {
	admitted := 0
	for range n {
		if g.Decide(q).Admitted {
			admitted++
		}
	}
	return admitted
}

var _ = ginkgo.Describe("the gate, with a valid allocation", func() {
	ginkgo.It("admits the share of each class and account within one request, in any order of requests", func() {
		// Guards against credits that are shared between classes or accounts, and against
		// rounding errors that add up.
		shares := []float64{0, 0.1, 1.0 / 3, 0.5, 0.9, 0.999, 1}
		for seed := range uint64(20) {
			withGate(func(g *Gate, _ *timer.Manual) {
				allocation := Allocation{Service: "s", Shortage: time.Second}
				for rank := range 3 {
					c := ClassShare{Class: Class{Rank: rank, Late: rank == 1}, Share: shares[rank]}
					for i, share := range shares {
						c.Accounts = append(c.Accounts, AccountShare{Account: uint32(i + 1), Share: share})
					}
					allocation.Classes = append(allocation.Classes, c)
				}
				g.Apply([]Allocation{allocation}, 0)
				r := rand.New(rand.NewPCG(seed, 2))
				requests, admitted := map[Query]float64{}, map[Query]float64{}
				for range 5000 {
					c := allocation.Classes[r.IntN(3)]
					q := queryOf(0, uint32(1+r.IntN(len(shares))))
					q.Class = c.Class
					requests[q]++
					if g.Decide(q).Admitted {
						admitted[q]++
					}
				}
				for q, n := range requests {
					want := n * shares[q.Account-1]
					Expect(admitted[q]).To(BeNumerically("~", want, 1.000001), "%+v", q)
				}
			})
		}
	})

	ginkgo.It("admits the right sum over 450 hosts that see one request of an account each", func() {
		// Guards against credits that start at the same value on each host: all hosts would
		// then admit their one request, or all refuse it.
		for _, share := range []float64{0.02, 0.2, 0.5, 0.8} {
			const hosts, rounds = 450, 10
			admitted := 0
			clock := timer.NewManual(time.Unix(1000, 0))
			for round := range rounds {
				for host := range hosts {
					g := NewGate(clock, seeded(uint64(round*hosts+host)))
					g.Apply([]Allocation{shareOfRank(1, share)}, 0)
					admitted += admittedOf(g, 1, queryOf(1, 7))
				}
			}
			want := hosts * rounds * share
			deviation := math.Sqrt(want * (1 - share))
			Expect(float64(admitted)).To(BeNumerically("~", want, 3*deviation), "share %v", share)
		}
	})

	ginkgo.It("never refuses accounts that ask for less than the level", func() {
		withGate(func(g *Gate, clock *timer.Manual) {
			g.Apply([]Allocation{shareOfRank(1, 1, AccountShare{Account: 7, Share: 0.1})}, 0)
			must := queryOf(1, 8)
			must.Interrupted = true
			for range 1000 {
				Expect(g.Decide(must).Admitted).To(BeTrue())
				Expect(g.Decide(queryOf(1, 8)).Admitted).To(BeTrue())
				g.Decide(queryOf(1, 7))
				clock.Advance(time.Millisecond)
			}
		})
	})

	ginkgo.It("never refuses them because of what was charged in advance while their share was lower", func() {
		withGate(func(g *Gate, _ *timer.Manual) {
			g.Apply([]Allocation{shareOfRank(1, 0.1)}, 0)
			must := queryOf(1, 8)
			must.Interrupted = true
			admittedOf(g, 50, must)
			g.Apply([]Allocation{shareOfRank(1, 1)}, 0)
			Expect(admittedOf(g, 5, queryOf(1, 8))).To(Equal(5))
		})
	})

	ginkgo.It("says why it refuses, by which share, and how old the figures are", func() {
		cases := []struct {
			name    string
			account uint32
			class   Class
			share   float64
			reason  Reason
			text    string
		}{
			{"a rank without capacity", 1, Class{Rank: 1}, 0, ReasonRank, "no capacity for rank 1"},
			{"an account with a lower share than its class", 2, Class{Rank: 0}, 0, ReasonAccount, "the account is over its share"},
			{"a class that isn't listed, behind one that is limited", 1, Class{Rank: 1, Late: true}, 0, ReasonRank, "no capacity for rank 1"},
		}
		for _, c := range cases {
			withGate(func(g *Gate, clock *timer.Manual) {
				g.Apply([]Allocation{{
					Service:  "s",
					Shortage: 1500 * time.Millisecond,
					Classes: []ClassShare{
						{Class: Class{Rank: 0}, Share: 1, Accounts: []AccountShare{{Account: 2, Share: 0}}},
						{Class: Class{Rank: 1}, Share: 0},
					},
				}}, 300*time.Millisecond)
				clock.Advance(200 * time.Millisecond)
				q := queryOf(0, c.account)
				q.Class = c.class
				d := g.Decide(q)
				Expect(d.Admitted).To(BeFalse(), c.name)
				Expect(d.Reason).To(Equal(c.reason), c.name)
				Expect(d.Reason.Text(q.Class.Rank)).To(Equal(c.text), c.name)
				Expect(d.Share).To(Equal(c.share), c.name)
				Expect(d.Allocated).To(BeTrue())
				Expect(d.Age).To(Equal(500 * time.Millisecond))
				Expect(d.Shortage).To(Equal(2 * time.Second))
				Expect(d.RetryAfter).To(BeNumerically(">=", time.Second))
			})
		}
		Expect(FullText(20, 25)).To(Equal("all endpoints of layers 20 to 25 are full"))
	})

	// Guards against a rank that is asked for rarely and is refused while others of its urgency
	// aren't: late requests are limited at a lower occupancy.
	ginkgo.It("admits a rank that isn't listed behind late requests that are limited", func() {
		withGate(func(g *Gate, _ *timer.Manual) {
			g.Apply([]Allocation{{
				Service:  "s",
				Shortage: time.Second,
				Classes:  []ClassShare{{Class: Class{Rank: 0}, Share: 1}, {Class: Class{Rank: 0, Late: true}, Share: 0.4}},
			}}, 0)
			Expect(admittedOf(g, 20, queryOf(1, 1))).To(Equal(20))
			late := queryOf(1, 1)
			late.Class.Late = true
			Expect(admittedOf(g, 20, late)).To(BeZero())
		})
	})

	ginkgo.It("treats a class that isn't listed by those in front of it", func() {
		cases := []struct {
			name  string
			first float64 // share of rank 1
			class Class
			share float64
		}{
			{"in front of all", 0.5, Class{Rank: 0, Late: true}, 1},
			{"behind one that is served in full", 1, Class{Rank: 2}, 1},
			{"behind one that is limited", 0.5, Class{Rank: 2}, 0},
		}
		for _, c := range cases {
			withGate(func(g *Gate, _ *timer.Manual) {
				g.Apply([]Allocation{shareOfRank(1, c.first)}, 0)
				q := queryOf(0, 1)
				q.Class = c.class
				Expect(g.Decide(q).Share).To(Equal(c.share), c.name)
			})
		}
	})

	ginkgo.It("ignores what this host's endpoints reject, since the allocation includes it", func() {
		withGate(func(g *Gate, _ *timer.Manual) {
			g.Apply([]Allocation{{Service: "s"}}, 0)
			for range 100 {
				g.RecordSend("s", true)
			}
			admittedOf(g, 1, queryOf(0, 1))
			Expect(admittedOf(g, 100, queryOf(2, 1))).To(Equal(100))
		})
	})

	ginkgo.It("admits interrupted and due requests at any share, and charges them to the others of the account", func() {
		for _, set := range []func(q *Query){
			func(q *Query) { q.Interrupted = true },
			func(q *Query) { q.Due = true },
		} {
			withGate(func(g *Gate, _ *timer.Manual) {
				g.Apply([]Allocation{shareOfRank(1, 0.5)}, 0)
				must := queryOf(1, 8)
				set(&must)
				ahead := admittedOf(g, 20, must)
				Expect(ahead).To(Equal(20))
				// A debt of 1 is made up for by 2 requests, and the next credit takes 2 more.
				Expect(admittedOf(g, 3, queryOf(1, 8))).To(BeZero())
				Expect(admittedOf(g, 100, queryOf(1, 8))).To(BeNumerically("~", 50, 1))
				Expect(admittedOf(g, 100, queryOf(1, 9))).To(BeNumerically("~", 50, 1))
			})
		}
	})

	ginkgo.It("books for each account in proportion to what it is admitted", func() {
		// Guards against an account that asks for ten times its share and so has most of the
		// refusals: its retries would go ahead of the other accounts' requests.
		withGate(func(g *Gate, clock *timer.Manual) {
			g.Apply([]Allocation{shareOfRank(1, 0.5, AccountShare{Account: 7, Share: 0.05}, AccountShare{Account: 8, Share: 0.7})}, 0)
			refused, booked := map[uint32]float64{}, map[uint32]float64{}
			for n := range 20000 {
				q := queryOf(1, 7+uint32(n%3))
				q.FinishRate = 1e9
				if d := g.Decide(q); !d.Admitted {
					refused[q.Account]++
					if d.Booked {
						booked[q.Account]++
					}
				}
			}
			Expect(booked[7] / refused[7]).To(BeNumerically("~", 0.05/0.95, 0.01))
			Expect(booked[8]).To(Equal(refused[8]))
			Expect(booked[9]).To(Equal(refused[9]))
			clock.Advance(6500 * time.Millisecond)
			q := queryOf(1, 7)
			q.FinishRate = 1e9
			q.Remaining = 29600 * time.Millisecond // the shortage is expected to last for 7.5 s more
			for range 20 {
				if d := g.Decide(q); !d.Admitted {
					Expect(d.Booked).To(BeTrue(), "the shares are out of date")
				}
			}
			g.Apply([]Allocation{shareOfRank(1, 0)}, 0)
			Expect(g.Decide(q).Booked).To(BeTrue())
			q.Class.Late = true
			Expect(g.Decide(q).Admitted).To(BeFalse())
			Expect(g.Decide(q).Booked).To(BeFalse(), "callers retry once")
		})
	})

	ginkgo.It("holds the state of a bounded number of classes and accounts, for 10 s after the last use", func() {
		withGate(func(g *Gate, clock *timer.Manual) {
			g.Apply([]Allocation{shareOfRank(1, 0.5)}, 0)
			for account := range uint32(3 * maxCredits) {
				g.Decide(queryOf(1, account))
				Expect(len(g.credits.byKey)).To(BeNumerically("<=", maxCredits))
			}
			Expect(g.credits.order.Len()).To(Equal(len(g.credits.byKey)))
			clock.Advance(creditRetention - time.Second)
			g.Apply([]Allocation{shareOfRank(1, 0.5)}, 0)
			g.Decide(queryOf(1, 3*maxCredits-1))
			Expect(len(g.credits.byKey)).To(Equal(maxCredits))
			clock.Advance(time.Second)
			g.Apply([]Allocation{shareOfRank(1, 0.5)}, 0)
			g.Decide(queryOf(1, 3*maxCredits-1))
			Expect(len(g.credits.byKey)).To(Equal(1))
		})
	})

	ginkgo.It("replaces all allocations, and forgets services that are no longer used", func() {
		withGate(func(g *Gate, clock *timer.Manual) {
			g.Apply([]Allocation{shareOfRank(1, 0)}, 0)
			Expect(g.Decide(queryOf(1, 1)).Admitted).To(BeFalse())
			g.Apply(nil, 0)
			Expect(g.Decide(queryOf(1, 1)).Admitted).To(BeTrue())
			clock.Advance(serviceRetention + time.Second)
			g.Apply(nil, 0)
			Expect(g.services).To(BeEmpty())
		})
	})

	ginkgo.It("is safe for concurrent use", func() {
		withGate(func(g *Gate, clock *timer.Manual) {
			group := sync.WaitGroup{}
			for i := range 8 {
				group.Go(func() {
					for n := range 300 {
						g.Apply([]Allocation{shareOfRank(1, 0.5)}, 0)
						g.Decide(queryOf(n%3, uint32(i)))
						g.RecordSend("s", n%2 == 0)
						g.Redeem("s", 1, 100)
						g.RefuseFull(queryOf(1, 1))
						g.status()
						clock.Advance(time.Millisecond)
					}
				})
			}
			group.Wait()
		})
	})
})
