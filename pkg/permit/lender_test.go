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

// withLender runs f on a lender of term 1.
func withLender(f func(l *Granter, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	l := NewGranter(clock)
	l.BeginTerm(1)
	f(l, clock)
}

// say has an endpoint of service s name a limit now.
func (l *Granter) say(id string, limit float64) []LimitChange {
	now := l.clock.Now()
	return l.Observe([]LimitReport{{Key: EndpointKey(id), Service: "s", PerSecond: limit, SentAt: now, ReceivedAt: now}})
}

// limitOf returns the limit that stands; below 0: none.
func (l *Granter) limitOf(id string) float64 {
	if a := l.accounts[EndpointKey(id)]; a != nil {
		return a.limit
	}
	return -1
}

// ask is a host's demand for permits to an endpoint.
func ask(requests int, ids ...string) Demand {
	d := Demand{Service: "s", Requests: requests}
	for _, id := range ids {
		d.Wanted = append(d.Wanted, EndpointKey(id))
	}
	return d
}

var _ = Describe("the leader's permits", func() {
	It("begin after a pause, and come at the rate of the limit", func() {
		withLender(func(l *Granter, clock *timer.Manual) {
			l.say("e", 8)
			Expect(l.Grant(ask(5, "e"))).To(BeEmpty())
			clock.Advance(pauseTime)
			Expect(l.Grant(ask(5, "e"))).To(BeEmpty())
			sum := 0
			for range 100 {
				clock.Advance(100 * time.Millisecond)
				sum += l.Grant(ask(5, "e")).Total()
			}
			Expect(sum).To(BeNumerically("~", 80, 1))
		})
	})

	It("are lent by demand, and those that weren't used again", func() {
		withLender(func(l *Granter, clock *timer.Manual) {
			l.say("e", 10)
			clock.Advance(10 * time.Second)
			l.Grant(ask(90))
			Expect(l.Grant(ask(10, "e"))).To(Equal(Counts{EndpointKey("e"): 1}), "a tenth of the requests")
			first := l.Grant(ask(1000, "e")).Total()
			Expect(l.Grant(ask(1000, "e")).Total()).To(BeZero())
			l.ReturnUnused(2, Counts{EndpointKey("e"): first})
			Expect(l.accounts[EndpointKey("e")].credit).To(BeNumerically("<", 1), "of another term")
			l.ReturnUnused(1, Counts{EndpointKey("e"): first})
			Expect(l.accounts[EndpointKey("e")].credit).To(BeNumerically(">=", first))
		})
	})

	It("aren't more and more where they are lent again and again, and not used", func() {
		withLender(func(l *Granter, clock *timer.Manual) {
			const step = 50 * time.Millisecond
			l.say("e", 8)
			lent := []int{}
			for range 400 {
				clock.Advance(step)
				lent = append(lent, l.Grant(ask(1000, "e")).Total())
				out := 0
				for i := range lent {
					if age := step * time.Duration(len(lent)-1-i); age < Lifetime {
						out += lent[i]
					} else if age == Lifetime {
						l.ReturnUnused(1, Counts{EndpointKey("e"): lent[i]})
					}
				}
				Expect(out).To(BeNumerically("<=", int(8*outTime.Seconds())+outMore))
			}
		})
	})

	It("go to who waits for one first, by priority", func() {
		withLender(func(l *Granter, clock *timer.Manual) {
			l.say("e", 1)
			clock.Advance(pauseTime)
			late := l.Enqueue([]uint32{EndpointKey("e")}, true, 5)
			urgent := l.Enqueue([]uint32{EndpointKey("e")}, true, 1)
			_, due := l.TryGrant(late)
			Expect(due).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
			_, due = l.TryGrant(urgent)
			Expect(due).To(BeNumerically("~", time.Second, 10*time.Millisecond))
			clock.Advance(1010 * time.Millisecond)
			Expect(l.Grant(ask(5, "e"))).To(BeEmpty(), "others wait for it")
			_, due = l.TryGrant(late)
			Expect(due).NotTo(BeZero())
			lent, _ := l.TryGrant(urgent)
			Expect(lent).To(Equal(Counts{EndpointKey("e"): 1}))
			l.Dequeue(urgent)
			clock.Advance(time.Second)
			lent, _ = l.TryGrant(late)
			Expect(lent).To(Equal(Counts{EndpointKey("e"): 1}))
		})
	})

	It("are lent for each endpoint of a path or for none, and for any one of a service", func() {
		withLender(func(l *Granter, clock *timer.Manual) {
			l.say("e", 1)
			l.say("f", 0.1)
			clock.Advance(3 * time.Second)
			both := []uint32{EndpointKey("e"), EndpointKey("f"), EndpointKey("no limit")}
			path := l.Enqueue(both, true, 5)
			lent, due := l.TryGrant(path)
			Expect(lent).To(BeNil())
			Expect(due).To(BeNumerically(">", 5*time.Second))
			l.Dequeue(path)
			lent, _ = l.TryGrant(l.Enqueue(both[:2], false, 5))
			Expect(lent).To(Equal(Counts{EndpointKey("e"): 1}))
			lent, due = l.TryGrant(l.Enqueue(both[2:], false, 5))
			Expect(lent).To(BeEmpty())
			Expect(due).To(Equal(lookAgain), "it isn't known here")
		})
	})

	It("are spent by questions, which are asked the less often the less an endpoint takes", func() {
		withLender(func(l *Granter, clock *timer.Manual) {
			cases := []struct {
				limit float64
				pause time.Duration
			}{
				{8, 500 * time.Millisecond},
				{1, 4 * time.Second},
				{0, 80 * time.Second},
			}
			Expect(l.ProbeInterval(EndpointKey("e0"))).To(BeZero())
			for n, c := range cases {
				id := fmt.Sprint("e", n)
				l.say(id, c.limit)
				Expect(l.ProbeInterval(EndpointKey(id))).To(Equal(c.pause))
				before := l.accounts[EndpointKey(id)].credit
				l.ChargeProbe(EndpointKey(id))
				Expect(l.accounts[EndpointKey(id)].credit).To(Equal(before - 1))
			}
			clock.Advance(time.Second)
		})
	})

	It("tell which endpoints take less than is asked for", func() {
		withLender(func(l *Granter, _ *timer.Manual) {
			l.say("e", 8)
			Expect(l.BelowDemand(EndpointKey("e"))).To(BeFalse())
			l.Grant(ask(9))
			Expect(l.BelowDemand(EndpointKey("e"))).To(BeTrue())
			Expect(l.BelowDemand(EndpointKey("other"))).To(BeFalse())
		})
	})

	It("begin anew with a term", func() {
		withLender(func(l *Granter, clock *timer.Manual) {
			l.say("e", 8)
			clock.Advance(time.Minute)
			l.BeginTerm(2)
			Expect(l.Size()).To(BeZero())
			Expect(l.Grant(ask(5, "e"))).To(BeEmpty())
			l.say("e", 8)
			Expect(l.Grant(ask(5, "e"))).To(BeEmpty())
			l.BeginTerm(1)
			Expect(l.Size()).To(Equal(1), "a late call of the term before changes nothing")
		})
	})
})

var _ = Describe("limits as the leader hears of them", func() {
	// Times are seconds since the first word.
	type word struct{ sent, heard, limit float64 }
	cases := []struct {
		name  string
		words []word
		limit float64 // below 0: none
		at    float64
	}{
		{name: "named", words: []word{{0, 0, 8}}, limit: 8, at: 1},
		{name: "falls", words: []word{{0, 0, 8}, {0.1, 0.2, 4}}, limit: 4, at: 1},
		{name: "falls by a late word", words: []word{{0, 1, 8}, {0.1, 0.9, 4}}, limit: 4, at: 1},
		{name: "doesn't fall by a word that is older", words: []word{{0, 0, 8}, {1, 1.1, 8}, {0.2, 0.3, 4}}, limit: 8, at: 2},
		{name: "told by a host that heard it long ago", words: []word{{-300, -299, 8}}, limit: 8, at: 1},
		{name: "rises", words: []word{{0, 0, 4}, {0.5, 0.6, 8}}, limit: 8, at: 1},
		{name: "doesn't rise by a word that may be older", words: []word{{0, 0.6, 4}, {0.5, 0.8, 8}}, limit: 4, at: 1},
		{name: "over", words: []word{{0, 0, 8}, {1, 1.1, -1}, {2.1, 2.2, -1}}, limit: -1, at: 3},
		{name: "not over yet", words: []word{{0, 0, 8}, {1, 1.1, -1}, {2, 2.2, -1}}, limit: 8, at: 3},
		{name: "not over by an answer that began before it was named", words: []word{{0, 0.5, 8}, {0.4, 0.7, -1}, {1.5, 1.6, -1}}, limit: 8, at: 3},
		{name: "not over, since it is named again", words: []word{{0, 0, 8}, {1, 1.1, -1}, {1.2, 1.3, 8}, {2.2, 2.3, -1}}, limit: 8, at: 3},
		{name: "not over by two that cross", words: []word{{0, 0, 8}, {1, 1.1, -1}, {0.9, 1.2, 8}, {2.2, 2.3, -1}}, limit: 8, at: 3},
		{name: "over though an older word comes later", words: []word{{0, 0, 8}, {1, 1.1, -1}, {0.2, 0.3, 8}, {2.2, 2.3, -1}}, limit: -1, at: 3},
		{name: "0 counts as hardly any", words: []word{{0, 0, 0}}, limit: leastLimit, at: 1},
		{name: "forgotten where nothing is heard", words: []word{{0, 0, 8}}, limit: -1, at: 121},
	}
	for _, c := range cases {
		It("stand as they were named last: "+c.name, func() {
			withLender(func(l *Granter, clock *timer.Manual) {
				start := clock.Now()
				at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
				for _, w := range c.words {
					clock.Advance(max(0, at(w.heard).Sub(clock.Now())))
					l.Observe([]LimitReport{{Key: EndpointKey("e"), Service: "s", PerSecond: w.limit, SentAt: at(w.sent), ReceivedAt: at(w.heard)}})
				}
				clock.Advance(max(0, at(c.at).Sub(clock.Now())))
				l.Expire()
				Expect(l.limitOf("e")).To(Equal(c.limit))
			})
		})
	}

	It("are told as what changed, or all where that isn't known", func() {
		withLender(func(l *Granter, clock *timer.Manual) {
			const other = 1 // no digest
			list, version, whole := l.ChangesSince(0, 0, other)
			Expect(list).To(BeEmpty())
			Expect(whole).To(BeTrue())
			changed := l.Changed()
			l.say("e", 8)
			Expect(changed).To(BeClosed())
			Expect(l.UpToDate(1, version)).To(BeFalse())
			list, next, whole := l.ChangesSince(1, version, other)
			Expect(list).To(HaveLen(1))
			Expect(whole).To(BeFalse())
			Expect(l.UpToDate(1, next)).To(BeTrue())
			list, _, whole = l.ChangesSince(1, next, other)
			Expect(list).To(BeEmpty())
			Expect(whole).To(BeFalse())
			list, _, whole = l.ChangesSince(7, next, other)
			Expect(list).To(HaveLen(1))
			Expect(whole).To(BeTrue())
			clock.Advance(forgetTime + time.Second)
			Expect(l.Expire()).To(HaveLen(1))
			list, _, whole = l.ChangesSince(1, next, other)
			Expect(list[0].Removed).To(BeTrue())
			Expect(whole).To(BeFalse())
			list, _, whole = l.ChangesSince(7, 0, l.digest)
			Expect(list).To(BeEmpty(), "the same ones, of another term")
			Expect(whole).To(BeFalse())
			for n := range changesKept {
				l.say(fmt.Sprint("e", n), 8)
			}
			list, _, whole = l.ChangesSince(1, next, other)
			Expect(list).To(HaveLen(changesKept))
			Expect(whole).To(BeTrue())
		})
	})
})

// Whatever is asked for, spent and given back: if each permit is used in the worst moment,
// no 4 s hold more than one and a half times what the limit allows, and 5.
func TestFuzzSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		l := NewGranter(clock)
		l.BeginTerm(1)
		limit := rapid.SampledFrom([]float64{0.05, 0.3, 1, 2, 8, 37.5, 300}).Draw(t, "limit")
		l.say("e", limit)
		start := clock.Now()
		type lot struct {
			at   time.Duration
			n    int
			lent bool // as permits, which may be used later
		}
		var lots []lot
		term := uint64(1)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			now := clock.Now().Sub(start)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				loan := l.Enqueue([]uint32{EndpointKey("e")}, rapid.Bool().Draw(t, "each"), 5)
				if lent, due := l.TryGrant(loan); due == 0 {
					lots = append(lots, lot{at: now, n: lent.Total(), lent: true})
				}
				l.Dequeue(loan)
			case 1: // what is over and unused comes back
				for i := range lots {
					if one := &lots[i]; one.lent && one.n > 0 && now-one.at >= Lifetime {
						back := rapid.IntRange(0, one.n).Draw(t, "back")
						one.n -= back
						l.ReturnUnused(term, Counts{EndpointKey("e"): back})
					}
				}
			case 2:
				if l.accounts[EndpointKey("e")].credit > 0 { // questions have a pause of their own
					l.ChargeProbe(EndpointKey("e"))
					lots = append(lots, lot{at: now, n: 1})
				}
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "leader") == 0 {
					term++
					l.BeginTerm(term)
					l.say("e", limit)
					for i := range lots {
						lots[i].lent = false // nothing of before is taken back
					}
				}
			case 4:
				l.say("e", limit)
			default:
				n := rapid.IntRange(1, 500).Draw(t, "requests")
				lots = append(lots, lot{at: now, n: l.Grant(ask(n, "e")).Total(), lent: true})
			}
		}
		for _, first := range lots {
			sum := 0
			for _, one := range lots {
				if one.at >= first.at && one.at <= first.at+4*time.Second+Lifetime {
					sum += one.n
				}
			}
			if most := int(6*max(limit, leastLimit) + 5); sum > most {
				t.Fatalf("%d in 4 s from %v, allowed %d: %+v", sum, first.at, most, lots)
			}
		}
	})
}

func BenchmarkLend(b *testing.B) {
	clock := timer.NewManual(time.Unix(1000, 0))
	l := NewGranter(clock)
	l.BeginTerm(1)
	d := Demand{Service: "s", Requests: 40}
	for n := range 1600 {
		id := fmt.Sprint("e", n)
		l.say(id, 8)
		if n < mostWanted {
			d.Wanted = append(d.Wanted, EndpointKey(id))
		}
	}
	for b.Loop() {
		clock.Advance(time.Millisecond)
		l.Grant(d)
	}
}

func BenchmarkNews(b *testing.B) {
	clock := timer.NewManual(time.Unix(1000, 0))
	book := NewHolder(clock, 1)
	for n := range 1600 {
		book.Observe(fmt.Sprint("e", n), "s", named(8), clock.Now())
	}
	book.Acknowledge(0, book.PendingReports())
	for b.Loop() {
		clock.Advance(time.Millisecond)
		book.CountRequest("s")
		book.TakeReport()
	}
}
