package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// reporter makes ten hosts report to an allocator, in step.
type reporter struct {
	a        *Allocator
	clock    *timer.Manual
	finished float64 // of each host so far
}

const (
	reporterHosts  = 10
	reportInterval = 400 * time.Millisecond
)

func newReporter() *reporter {
	clock := timer.NewManual(time.Unix(1000, 0))
	return &reporter{
		a:     NewAllocator(clock),
		clock: clock,
	}
}

// round advances the time by 0.4 s and makes every host report a tenth of the tokens in
// flight, and of the tokens a second that finish and that callers ask for.
func (r *reporter) round(inFlight, finished float64, demand ...Demand) {
	r.clock.Advance(reportInterval)
	r.finished += finished * reportInterval.Seconds() / reporterHosts
	part := make([]Demand, len(demand))
	for i, d := range demand {
		d.Tokens *= reportInterval.Seconds() / reporterHosts
		part[i] = d
	}
	for n := range reporterHosts {
		r.a.Observe(fmt.Sprint("h", n), []Report{{Service: "s", InFlight: inFlight / reporterHosts, Finished: r.finished, Demand: part}})
	}
}

// rounds makes several rounds with the same figures.
func (r *reporter) rounds(n int, inFlight, finished float64, demand ...Demand) {
	for range n {
		r.round(inFlight, finished, demand...)
	}
}

// allocate allocates a capacity of 1,000 tokens.
func (r *reporter) allocate() Allocation {
	al, ok := r.a.Allocate("s", 1000, reporterHosts)
	ExpectWithOffset(1, ok).To(BeTrue())
	return al
}

// wanted returns a demand in tokens a second.
func wanted(rank int, account uint32, tokens float64) Demand {
	return Demand{Class: Class{Rank: rank}, Account: account, Tokens: tokens}
}

var _ = ginkgo.Describe("the allocation of a service's capacity", func() {
	cases := []struct {
		name     string
		inFlight float64
		finished float64
		demand   []Demand
		shares   []float64 // none without a shortage
	}{
		{"no shortage: occupancy is low", 800, 100, []Demand{wanted(0, 0, 300)}, nil},
		{"a shortage is expected within the reaction time", 800, 100, []Demand{wanted(0, 0, 1000)}, []float64{0.3}},
		{"no shortage: demand is low", 950, 200, []Demand{wanted(0, 0, 50), wanted(1, 0, 100)}, nil},
		{"as much as finishes at the target", 1000, 200, []Demand{wanted(1, 0, 0.001), wanted(2, 0, 400)}, []float64{1, 0.5}},
		{"more below the target", 900, 200, []Demand{wanted(1, 0, 0.001), wanted(2, 0, 400)}, []float64{1, 0.625}},
		{"less above it", 1050, 200, []Demand{wanted(1, 0, 0.001), wanted(2, 0, 400)}, []float64{1, 0.4375}},
		{"at least half of what finishes", 1400, 200, []Demand{wanted(1, 0, 0.001), wanted(2, 0, 400)}, []float64{1, 0.25}},
		{"at least a twentieth of the capacity", 1400, 10, []Demand{wanted(1, 0, 0.001), wanted(2, 0, 400)}, []float64{1, 0.125}},
		{"the most urgent rank has a higher target", 1100, 200, []Demand{wanted(0, 0, 240), wanted(1, 0, 400)}, []float64{1, 0}},
		{"the most urgent rank may fill the capacity by itself", 1400, 200, []Demand{wanted(1, 0, 149), wanted(2, 0, 400)}, []float64{1, 0}},
		{"and no more", 1400, 200, []Demand{wanted(1, 0, 1000.0/3), wanted(2, 0, 400)}, []float64{0.5, 0}},
		{"late requests fill less, and leave the rest to later ranks", 1000, 200,
			[]Demand{wanted(1, 0, 0.001), {Class: Class{Rank: 2, Late: true}, Tokens: 400}, wanted(3, 0, 100)}, []float64{1, 0.3125, 0.75}},
		{"whichever that is", 1200, 200, []Demand{wanted(2, 0, 400)}, []float64{0.5}},
	}
	for _, c := range cases {
		ginkgo.It("follows occupancy, what finishes and demand: "+c.name, func() {
			r := newReporter()
			r.rounds(5, c.inFlight, c.finished, c.demand...)
			al := r.allocate()
			Expect(al.InFlight).To(BeNumerically("~", c.inFlight, 1e-6))
			Expect(al.Capacity).To(Equal(1000.0))
			Expect(al.Classes).To(HaveLen(len(c.shares)))
			Expect(al.Shortage > 0).To(Equal(c.shares != nil))
			for i, share := range c.shares {
				Expect(al.Classes[i].Share).To(BeNumerically("~", share, 0.001), fmt.Sprint(al.Classes[i]))
			}
		})
	}

	ginkgo.It("follows the average of what finishes, which repeats what was admitted before", func() {
		// Guards against occupancy that swings with the length of streams as its period.
		r := newReporter()
		r.round(1000, 200)
		for range 20 {
			r.round(1000, 200, wanted(1, 0, 0.001), wanted(2, 0, 400))
			r.allocate()
		}
		for range 3 {
			r.round(1000, 110, wanted(1, 0, 0.001), wanted(2, 0, 400))
			Expect(r.allocate().Classes[1].Share).To(BeNumerically(">", 0.45))
		}
	})

	// In 1.2 s the averages move by a ninth: of what finishes from 200 to 211, and of what is in
	// flight, without what waits, from 1,000 to 1,023 if 1,200 are.
	unexpected := []struct {
		inFlight float64
		rate     float64 // admitted of rank 2
	}{
		{1000, 211 + unexpectedPart*(300-211)},
		{1250, 211.0*1200/1023 - 250/2}, // 250 above the target
	}
	for _, c := range unexpected {
		ginkgo.It(fmt.Sprintf("follows a part of what finishes beyond the average, unless streams wait: %v in flight", c.inFlight), func() {
			// Guards against capacity that isn't used after a burst, when most streams end soon.
			r := newReporter()
			r.round(1000, 200)
			for range 20 {
				r.round(1000, 200, wanted(1, 0, 0.001), wanted(2, 0, 400))
				r.allocate()
			}
			r.rounds(3, c.inFlight, 300, wanted(1, 0, 0.001), wanted(2, 0, 400))
			Expect(r.allocate().Classes[1].Share).To(BeNumerically("~", c.rate/400, 0.01))
		})
	}

	ginkgo.It("falls within 1 s when nothing finishes any more", func() {
		r := newReporter()
		r.round(1000, 200)
		for range 20 {
			r.round(1000, 200, wanted(1, 0, 0.001), wanted(2, 0, 400))
			r.allocate()
		}
		r.rounds(3, 1000, 0, wanted(1, 0, 0.001), wanted(2, 0, 400))
		Expect(r.allocate().Classes[1].Share).To(BeNumerically("~", 0.125, 0.001))
	})

	ginkgo.It("gives each account its part, whoever asks for more", func() {
		r := newReporter()
		r.rounds(5, 1200, 300, wanted(0, 1, 2000), wanted(0, 2, 100), wanted(0, 3, 100))
		c := r.allocate().Classes[0]
		Expect(c.shareOf(1)).To(BeNumerically("~", 0.05, 0.001))
		Expect(c.shareOf(2)).To(BeNumerically("~", 1, 1e-9))
	})

	ginkgo.It("asks for demand by account before a shortage begins", func() {
		for _, c := range []struct {
			inFlight  float64
			byAccount bool
		}{{590, false}, {600, true}, {1100, true}} {
			r := newReporter()
			r.rounds(3, c.inFlight, 100)
			Expect(r.allocate().ByAccount).To(Equal(c.byAccount), fmt.Sprint(c))
		}
	})

	ginkgo.It("says how long a shortage has lasted, which ends 1 s after the last limit", func() {
		r := newReporter()
		r.rounds(5, 1200, 200, wanted(1, 0, 400))
		Expect(r.allocate().Shortage).To(Equal(firstShortage))
		r.rounds(5, 1200, 200, wanted(1, 0, 400))
		Expect(r.allocate().Shortage).To(Equal(2 * time.Second))
		r.rounds(2, 500, 200, wanted(1, 0, 10))
		al := r.allocate()
		Expect(al.Classes).To(HaveLen(1))
		Expect(al.Classes[0].Share).To(Equal(1.0), "not limited, but the shortage hasn't ended")
		r.rounds(1, 500, 200, wanted(1, 0, 10))
		al = r.allocate()
		Expect(al.Classes).To(BeEmpty())
		Expect(al.Shortage).To(BeZero())
	})

	ginkgo.It("limits nothing without capacity, because no request finds a path then", func() {
		r := newReporter()
		r.rounds(5, 1000, 200, wanted(0, 0, 400))
		al, ok := r.a.Allocate("s", 0, reporterHosts)
		Expect(ok).To(BeTrue())
		Expect(al.Classes).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("the leader's sums", func() {
	ginkgo.It("aren't used until nine of ten hosts have reported twice", func() {
		r := newReporter()
		_, ok := r.a.Allocate("s", 1000, 0)
		Expect(ok).To(BeFalse())
		r.round(1000, 200)
		_, ok = r.a.Allocate("s", 1000, reporterHosts)
		Expect(ok).To(BeFalse(), "what finishes a second isn't known")
		r.round(1000, 200)
		for _, c := range []struct {
			hosts int
			ok    bool
		}{{10, true}, {11, true}, {12, false}} {
			_, ok = r.a.Allocate("s", 1000, c.hosts)
			Expect(ok).To(Equal(c.ok), fmt.Sprint(c))
		}
		r.a.Reset()
		_, ok = r.a.Allocate("s", 1000, 1)
		Expect(ok).To(BeFalse())
	})

	ginkgo.It("contain hosts that report nothing of the service, whose streams have ended", func() {
		r := newReporter()
		r.rounds(3, 1000, 200)
		r.a.Observe("h0", nil)
		Expect(r.allocate().InFlight).To(BeNumerically("~", 900, 1e-6))
	})

	ginkgo.It("drop the tokens of a host that is forgotten or silent for 1.2 s", func() {
		r := newReporter()
		r.rounds(3, 1000, 200)
		r.a.Forget("h0")
		al, ok := r.a.Allocate("s", 1000, reporterHosts-1)
		Expect(ok).To(BeTrue())
		Expect(al.InFlight).To(BeNumerically("~", 900, 1e-6))
		r.clock.Advance(hostExpiry - time.Millisecond)
		r.a.Observe("h1", []Report{{Service: "s", InFlight: 70}})
		al, _ = r.a.Allocate("s", 1000, reporterHosts-1)
		Expect(al.InFlight).To(BeNumerically("~", 870, 1e-6))
		r.clock.Advance(time.Millisecond)
		al, _ = r.a.Allocate("s", 1000, reporterHosts-1)
		Expect(al.InFlight).To(BeNumerically("~", 70, 1e-6))
	})

	ginkgo.It("leave the part of present hosts that can't be heard, which hold their shares", func() {
		r := newReporter()
		r.rounds(6, 1000, 200, wanted(0, 0, 100), wanted(1, 0, 200))
		before := r.allocate().Classes
		Expect(before[1].Share).To(BeNumerically("~", 0.5, 0.01))
		for call := range 8 { // six of the ten hosts go on as before
			r.clock.Advance(reportInterval)
			for n := range 6 {
				r.a.Observe(fmt.Sprint("h", n), []Report{{Service: "s", InFlight: 100, Finished: r.finished + 8*float64(call+1), Demand: []Demand{wanted(0, 0, 4), wanted(1, 0, 8)}}})
			}
		}
		after := r.allocate().Classes
		Expect(after[1].Share).To(BeNumerically("~", before[1].Share, 0.01))
	})

	// Tokens a second that are taken to have finished. In the last call each of the ten hosts
	// reports 8 more than before, but for h0.
	finished := []struct {
		name string
		last float64 // h0's count, less 1,000
		rate float64
	}{
		{"the others' count", 8, 200},
		{"after a restart the count begins from 0", -1000 + 4, (240 - 4) / 1.2},
	}
	for _, c := range finished {
		ginkgo.It("contain what has finished since the previous call: "+c.name, func() {
			clock := timer.NewManual(time.Unix(1000, 0))
			a := NewAllocator(clock)
			for call := range 4 {
				for n := range reporterHosts {
					count := 1000 + 8*float64(call-2)
					if n == 0 && call == 3 {
						count = 1000 + c.last
					}
					a.Observe(fmt.Sprint("h", n), []Report{{Service: "s", InFlight: 100, Finished: count, Demand: []Demand{wanted(1, 0, 16)}}})
				}
				clock.Advance(reportInterval)
			}
			clock.Advance(-reportInterval)
			al, ok := a.Allocate("s", 1000, reporterHosts)
			Expect(ok).To(BeTrue())
			Expect(al.InFlight).To(BeNumerically("~", 1000, 1e-6))
			Expect(a.services["s"].demand.finished * a.coverage.perSecond(reporterHosts)).To(BeNumerically("~", c.rate, 1e-6))
		})
	}

	ginkgo.It("don't contain what finished before the first report to this leader", func() {
		r := newReporter()
		r.finished = 1e6
		r.rounds(2, 1200, 200, wanted(1, 0, 400))
		Expect(r.allocate().Classes[0].Share).To(BeNumerically("~", 0.5, 0.001))
	})

	ginkgo.It("lose no finished tokens with a lost call, nor count a long pause as 1 s", func() {
		r := newReporter()
		r.rounds(5, 1200, 200, wanted(1, 0, 400))
		full := r.allocate().Classes[0].Share
		r.clock.Advance(reportInterval)
		r.finished += 200 * reportInterval.Seconds() / reporterHosts
		r.round(1200, 200, wanted(1, 0, 400))
		Expect(r.allocate().Classes[0].Share).To(BeNumerically(">=", full))
		for _, pause := range []time.Duration{3 * time.Second, 30 * time.Second} {
			r.clock.Advance(pause)
			r.finished += 200 * pause.Seconds() / reporterHosts
			r.round(1000, 200, wanted(1, 0, 400))
			Expect(r.a.services["s"].demand.finished * r.a.coverage.perSecond(reporterHosts)).To(BeNumerically("~", 200, 1))
		}
	})

	ginkgo.It("don't swing when the calls of all hosts are in step", func() {
		r := newReporter()
		r.rounds(10, 1000, 200, wanted(1, 0, 800))
		for range 10 {
			r.round(1000, 200, wanted(1, 0, 800))
			for range 2 {
				Expect(r.allocate().Classes[0].Share).To(BeNumerically("~", 0.375, 0.001))
				r.clock.Advance(reportInterval / 4)
			}
			r.clock.Advance(-reportInterval / 2)
		}
	})

	ginkgo.It("hold nothing of reports that are older than the window", func() {
		r := newReporter()
		for range 100 {
			r.rounds(1, 1000, 0.3, wanted(1, 7, 0.1), wanted(2, 8, 0.7))
		}
		r.clock.Advance(sumWindow)
		r.allocate()
		d := r.a.services["s"].demand
		Expect(d.sums).To(BeEmpty())
		Expect(d.reports).To(BeEmpty())
		Expect(d.finished).To(BeZero())
		Expect(r.a.coverage.spans).To(BeEmpty())
		Expect(r.a.coverage.sum).To(BeZero())
	})
})

// fullSize makes 450 hosts report four times, each with 32 demands of 1,200 accounts.
func fullSize(a *Allocator, clock *timer.Manual) {
	const hosts, accounts, demands, calls = 450, 1200, 32, 4
	r := rand.New(rand.NewPCG(1, 1))
	for call := range calls {
		for n := range hosts {
			report := Report{Service: "s", InFlight: 2e5, Finished: 1e4 * float64(call)}
			for range demands {
				report.Demand = append(report.Demand, Demand{
					Class:   ClassAt(r.IntN(6)),
					Account: uint32(1 + r.IntN(accounts)),
					Tokens:  1000,
				})
			}
			a.Observe(fmt.Sprint("h", n), []Report{report})
		}
		clock.Advance(reportInterval)
	}
}

// BenchmarkAllocate measures one allocation, with the capacity of 3,200 endpoints computed
// anew, from the reports of 450 hosts on 1,200 accounts.
func BenchmarkAllocate(b *testing.B) {
	clock := timer.NewManual(time.Unix(1000, 0))
	a := NewAllocator(clock)
	fullSize(a, clock)
	engine, endpoints := fullSizeEndpoints()
	for b.Loop() {
		if al, ok := a.Allocate("s", Capacity(engine, endpoints), 450); !ok || len(al.Classes) == 0 {
			b.Fatal("no shortage")
		}
	}
}

// BenchmarkObserve measures one call of one of 450 hosts.
func BenchmarkObserve(b *testing.B) {
	clock := timer.NewManual(time.Unix(1000, 0))
	a := NewAllocator(clock)
	fullSize(a, clock)
	report := []Report{{Service: "s"}}
	for n := range 32 {
		report[0].Demand = append(report[0].Demand, Demand{Class: ClassAt(n % 6), Account: uint32(n), Tokens: 1000})
	}
	names := make([]string, 450)
	for n := range names {
		names[n] = fmt.Sprint("h", n)
	}
	n := 0
	for b.Loop() {
		clock.Advance(reportInterval / 450)
		n++
		a.Observe(names[n%450], report)
	}
}
