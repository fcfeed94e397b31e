package permit

import (
	"fmt"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// withGranter runs f on a granter in term 1.
func withGranter(f func(g *Granter, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	g := NewGranter(clock)
	g.BeginTerm(1)
	f(g, clock)
}

// report applies a report, made now, that an endpoint of service s has a limit.
func (g *Granter) report(id string, limit float64) []LimitChange {
	now := g.clock.Now()
	return g.Observe([]LimitReport{{Key: EndpointKey(id), Service: "s", PerSecond: limit, SentAt: now, ReceivedAt: now}})
}

// limitOf returns an endpoint's limit; below 0 if it has none.
func (g *Granter) limitOf(id string) float64 {
	if l := g.limiters[EndpointKey(id)]; l != nil {
		return l.limit
	}
	return -1
}

// demandOf returns a host's demand, with the endpoints to which it wants permits.
func demandOf(requests int, ids ...string) Demand {
	d := Demand{Service: "s", Requests: requests}
	for _, id := range ids {
		d.Wanted = append(d.Wanted, EndpointKey(id))
	}
	return d
}

var _ = Describe("permits that the leader grants", func() {
	It("start after a pause, and then follow the rate of the limit", func() {
		withGranter(func(g *Granter, clock *timer.Manual) {
			g.report("e", 8)
			Expect(g.Grant(demandOf(5, "e"))).To(BeEmpty())
			clock.Advance(grantPause)
			Expect(g.Grant(demandOf(5, "e"))).To(BeEmpty())
			sum := 0
			for range 100 {
				clock.Advance(100 * time.Millisecond)
				sum += g.Grant(demandOf(5, "e")).Total()
			}
			Expect(sum).To(BeNumerically("~", 80, 1))
		})
	})

	It("are in proportion to demand, and unused ones are granted again", func() {
		withGranter(func(g *Granter, clock *timer.Manual) {
			g.report("e", 10)
			clock.Advance(10 * time.Second)
			g.Grant(demandOf(90))
			Expect(g.Grant(demandOf(10, "e"))).To(Equal(Counts{EndpointKey("e"): 1}), "a tenth of the demand")
			first := g.Grant(demandOf(1000, "e")).Total()
			Expect(g.Grant(demandOf(1000, "e")).Total()).To(BeZero())
			g.ReturnUnused(2, Counts{EndpointKey("e"): first})
			Expect(g.limiters[EndpointKey("e")].tokens).To(BeNumerically("<", 1), "permits of another term don't count")
			g.ReturnUnused(1, Counts{EndpointKey("e"): first})
			Expect(g.limiters[EndpointKey("e")].tokens).To(BeNumerically(">=", first))
		})
	})

	It("don't accumulate while they are granted again and again and expire unused", func() {
		withGranter(func(g *Granter, clock *timer.Manual) {
			const step = 50 * time.Millisecond
			g.report("e", 8)
			granted := []int{}
			for range 400 {
				clock.Advance(step)
				granted = append(granted, g.Grant(demandOf(1000, "e")).Total())
				outstanding := 0
				for i := range granted {
					if age := step * time.Duration(len(granted)-1-i); age < Lifetime {
						outstanding += granted[i]
					} else if age == Lifetime {
						g.ReturnUnused(1, Counts{EndpointKey("e"): granted[i]})
					}
				}
				Expect(outstanding).To(BeNumerically("<=", int(8*outstandingTime.Seconds())+outstandingExtra))
			}
		})
	})

	It("go to waiters first, by priority", func() {
		withGranter(func(g *Granter, clock *timer.Manual) {
			g.report("e", 1)
			clock.Advance(grantPause)
			late := g.Enqueue([]uint32{EndpointKey("e")}, true, 5)
			urgent := g.Enqueue([]uint32{EndpointKey("e")}, true, 1)
			_, wait := g.TryGrant(late)
			Expect(wait).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
			_, wait = g.TryGrant(urgent)
			Expect(wait).To(BeNumerically("~", time.Second, 10*time.Millisecond))
			clock.Advance(1010 * time.Millisecond)
			Expect(g.Grant(demandOf(5, "e"))).To(BeEmpty(), "waiters come first")
			_, wait = g.TryGrant(late)
			Expect(wait).NotTo(BeZero())
			granted, _ := g.TryGrant(urgent)
			Expect(granted).To(Equal(Counts{EndpointKey("e"): 1}))
			g.Dequeue(urgent)
			clock.Advance(time.Second)
			granted, _ = g.TryGrant(late)
			Expect(granted).To(Equal(Counts{EndpointKey("e"): 1}))
		})
	})

	It("are for each endpoint of a path or for none, or for any one endpoint of a service", func() {
		withGranter(func(g *Granter, clock *timer.Manual) {
			g.report("e", 1)
			g.report("f", 0.1)
			clock.Advance(3 * time.Second)
			both := []uint32{EndpointKey("e"), EndpointKey("f"), EndpointKey("no limit")}
			path := g.Enqueue(both, true, 5)
			granted, wait := g.TryGrant(path)
			Expect(granted).To(BeNil())
			Expect(wait).To(BeNumerically(">", 5*time.Second))
			g.Dequeue(path)
			granted, _ = g.TryGrant(g.Enqueue(both[:2], false, 5))
			Expect(granted).To(Equal(Counts{EndpointKey("e"): 1}))
			granted, wait = g.TryGrant(g.Enqueue(both[2:], false, 5))
			Expect(granted).To(BeEmpty())
			Expect(wait).To(Equal(retryInterval), "the endpoint has no limiter")
		})
	})

	It("are used up by probes, which are the rarer the lower the limit is", func() {
		withGranter(func(g *Granter, clock *timer.Manual) {
			cases := []struct {
				limit float64
				pause time.Duration
			}{
				{8, 500 * time.Millisecond},
				{1, 4 * time.Second},
				{0, 80 * time.Second},
			}
			Expect(g.ProbeInterval(EndpointKey("e0"))).To(BeZero())
			for n, c := range cases {
				id := fmt.Sprint("e", n)
				g.report(id, c.limit)
				Expect(g.ProbeInterval(EndpointKey(id))).To(Equal(c.pause))
				before := g.limiters[EndpointKey(id)].tokens
				g.ChargeProbe(EndpointKey(id))
				Expect(g.limiters[EndpointKey(id)].tokens).To(Equal(before - 1))
			}
			clock.Advance(time.Second)
		})
	})

	It("show which endpoints have limits below the demand", func() {
		withGranter(func(g *Granter, _ *timer.Manual) {
			g.report("e", 8)
			Expect(g.BelowDemand(EndpointKey("e"))).To(BeFalse())
			g.Grant(demandOf(9))
			Expect(g.BelowDemand(EndpointKey("e"))).To(BeTrue())
			Expect(g.BelowDemand(EndpointKey("other"))).To(BeFalse())
		})
	})

	It("start from nothing in a new term", func() {
		withGranter(func(g *Granter, clock *timer.Manual) {
			g.report("e", 8)
			clock.Advance(time.Minute)
			g.BeginTerm(2)
			Expect(g.Size()).To(BeZero())
			Expect(g.Grant(demandOf(5, "e"))).To(BeEmpty())
			g.report("e", 8)
			Expect(g.Grant(demandOf(5, "e"))).To(BeEmpty())
			g.BeginTerm(1)
			Expect(g.Size()).To(Equal(1), "a delayed call of the previous term changes nothing")
		})
	})
})

var _ = Describe("limits that are reported to the leader", func() {
	// Times are seconds since the start.
	type observation struct{ sentAt, receivedAt, limit float64 }
	cases := []struct {
		name    string
		reports []observation
		limit   float64 // below 0 if there is none
		at      float64
	}{
		{name: "reported", reports: []observation{{0, 0, 8}}, limit: 8, at: 1},
		{name: "falls", reports: []observation{{0, 0, 8}, {0.1, 0.2, 4}}, limit: 4, at: 1},
		{name: "falls by a delayed report", reports: []observation{{0, 1, 8}, {0.1, 0.9, 4}}, limit: 4, at: 1},
		{name: "doesn't fall by an older report", reports: []observation{{0, 0, 8}, {1, 1.1, 8}, {0.2, 0.3, 4}}, limit: 8, at: 2},
		{name: "reported by a host that observed it long ago", reports: []observation{{-300, -299, 8}}, limit: 8, at: 1},
		{name: "rises", reports: []observation{{0, 0, 4}, {0.5, 0.6, 8}}, limit: 8, at: 1},
		{name: "doesn't rise by a report that may be older", reports: []observation{{0, 0.6, 4}, {0.5, 0.8, 8}}, limit: 4, at: 1},
		{name: "removed", reports: []observation{{0, 0, 8}, {1, 1.1, -1}, {2.1, 2.2, -1}}, limit: -1, at: 3},
		{name: "not removed yet", reports: []observation{{0, 0, 8}, {1, 1.1, -1}, {2, 2.2, -1}}, limit: 8, at: 3},
		{name: "not removed by the answer to a call that was sent before the limit was reported", reports: []observation{{0, 0.5, 8}, {0.4, 0.7, -1}, {1.5, 1.6, -1}}, limit: 8, at: 3},
		{name: "not removed, since it is reported again", reports: []observation{{0, 0, 8}, {1, 1.1, -1}, {1.2, 1.3, 8}, {2.2, 2.3, -1}}, limit: 8, at: 3},
		{name: "not removed by two calls that overlap", reports: []observation{{0, 0, 8}, {1, 1.1, -1}, {0.9, 1.2, 8}, {2.2, 2.3, -1}}, limit: 8, at: 3},
		{name: "removed although an older report arrives in between", reports: []observation{{0, 0, 8}, {1, 1.1, -1}, {0.2, 0.3, 8}, {2.2, 2.3, -1}}, limit: -1, at: 3},
		{name: "0 counts as the minimum", reports: []observation{{0, 0, 0}}, limit: minLimit, at: 1},
		{name: "expired without reports", reports: []observation{{0, 0, 8}}, limit: -1, at: 121},
	}
	for _, c := range cases {
		It("follow the latest report: "+c.name, func() {
			withGranter(func(g *Granter, clock *timer.Manual) {
				start := clock.Now()
				at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
				for _, o := range c.reports {
					clock.Advance(max(0, at(o.receivedAt).Sub(clock.Now())))
					g.Observe([]LimitReport{{Key: EndpointKey("e"), Service: "s", PerSecond: o.limit, SentAt: at(o.sentAt), ReceivedAt: at(o.receivedAt)}})
				}
				clock.Advance(max(0, at(c.at).Sub(clock.Now())))
				g.Expire()
				Expect(g.limitOf("e")).To(Equal(c.limit))
			})
		})
	}

	It("are passed on as changes, or as a full list if the changes aren't kept", func() {
		withGranter(func(g *Granter, clock *timer.Manual) {
			const other = 1 // differs from every digest
			list, version, full := g.ChangesSince(0, 0, other)
			Expect(list).To(BeEmpty())
			Expect(full).To(BeTrue())
			changed := g.Changed()
			g.report("e", 8)
			Expect(changed).To(BeClosed())
			Expect(g.UpToDate(1, version)).To(BeFalse())
			list, next, full := g.ChangesSince(1, version, other)
			Expect(list).To(HaveLen(1))
			Expect(full).To(BeFalse())
			Expect(g.UpToDate(1, next)).To(BeTrue())
			list, _, full = g.ChangesSince(1, next, other)
			Expect(list).To(BeEmpty())
			Expect(full).To(BeFalse())
			list, _, full = g.ChangesSince(7, next, other)
			Expect(list).To(HaveLen(1))
			Expect(full).To(BeTrue())
			clock.Advance(limitExpiry + time.Second)
			Expect(g.Expire()).To(HaveLen(1))
			list, _, full = g.ChangesSince(1, next, other)
			Expect(list[0].Removed).To(BeTrue())
			Expect(full).To(BeFalse())
			list, _, full = g.ChangesSince(7, 0, g.digest)
			Expect(list).To(BeEmpty(), "the same limits, of another term")
			Expect(full).To(BeFalse())
			for n := range maxChanges {
				g.report(fmt.Sprint("e", n), 8)
			}
			list, _, full = g.ChangesSince(1, next, other)
			Expect(list).To(HaveLen(maxChanges))
			Expect(full).To(BeTrue())
		})
	})
})

// TestFuzzSum checks that, whatever is granted, charged and returned, and however late in its
// lifetime each permit is used, no 4 s hold more calls than 1.5 times the limit's, plus 5.
func TestFuzzSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		g := NewGranter(clock)
		g.BeginTerm(1)
		limit := rapid.SampledFrom([]float64{0.05, 0.3, 1, 2, 8, 37.5, 300}).Draw(t, "limit")
		g.report("e", limit)
		start := clock.Now()
		type batch struct {
			at      time.Duration
			n       int
			granted bool // as permits, which may be used later and returned
		}
		var batches []batch
		term := uint64(1)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			now := clock.Now().Sub(start)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				w := g.Enqueue([]uint32{EndpointKey("e")}, rapid.Bool().Draw(t, "each"), 5)
				if granted, wait := g.TryGrant(w); wait == 0 {
					batches = append(batches, batch{at: now, n: granted.Total(), granted: true})
				}
				g.Dequeue(w)
			case 1: // some expired permits are returned unused
				for i := range batches {
					if b := &batches[i]; b.granted && b.n > 0 && now-b.at >= Lifetime {
						returned := rapid.IntRange(0, b.n).Draw(t, "returned")
						b.n -= returned
						g.ReturnUnused(term, Counts{EndpointKey("e"): returned})
					}
				}
			case 2:
				if g.limiters[EndpointKey("e")].tokens > 0 { // ProbeInterval keeps the leader from probing more often
					g.ChargeProbe(EndpointKey("e"))
					batches = append(batches, batch{at: now, n: 1})
				}
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "leader") == 0 {
					term++
					g.BeginTerm(term)
					g.report("e", limit)
					for i := range batches {
						batches[i].granted = false // permits of the previous term aren't taken back
					}
				}
			case 4:
				g.report("e", limit)
			default:
				n := rapid.IntRange(1, 500).Draw(t, "requests")
				batches = append(batches, batch{at: now, n: g.Grant(demandOf(n, "e")).Total(), granted: true})
			}
		}
		for _, first := range batches {
			sum := 0
			for _, b := range batches {
				if b.at >= first.at && b.at <= first.at+4*time.Second+Lifetime {
					sum += b.n
				}
			}
			if allowed := int(6*max(limit, minLimit) + 5); sum > allowed {
				t.Fatalf("%d in 4 s from %v, allowed %d: %+v", sum, first.at, allowed, batches)
			}
		}
	})
}

func BenchmarkGrant(b *testing.B) {
	clock := timer.NewManual(time.Unix(1000, 0))
	g := NewGranter(clock)
	g.BeginTerm(1)
	d := Demand{Service: "s", Requests: 40}
	for n := range 1600 {
		id := fmt.Sprint("e", n)
		g.report(id, 8)
		if n < maxWanted {
			d.Wanted = append(d.Wanted, EndpointKey(id))
		}
	}
	for b.Loop() {
		clock.Advance(time.Millisecond)
		g.Grant(d)
	}
}

func BenchmarkTakeReport(b *testing.B) {
	clock := timer.NewManual(time.Unix(1000, 0))
	holder := NewHolder(clock, 1)
	for n := range 1600 {
		holder.Observe(fmt.Sprint("e", n), "s", limitSet(8), clock.Now())
	}
	holder.Acknowledge(0, holder.PendingReports())
	for b.Loop() {
		clock.Advance(time.Millisecond)
		holder.CountRequest("s")
		holder.TakeReport()
	}
}
