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
func withLender(f func(l *Lender, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	l := NewLender(clock)
	l.Enter(1)
	f(l, clock)
}

// say has an endpoint of service s name a limit now.
func (l *Lender) say(id string, limit float64) []Change {
	now := l.clock.Now()
	return l.Hear([]Word{{Key: Key(id), Service: "s", PerSecond: limit, Sent: now, Heard: now}})
}

// limitOf returns the limit that stands; below 0: none.
func (l *Lender) limitOf(id string) float64 {
	if a := l.accounts[Key(id)]; a != nil {
		return a.limit
	}
	return -1
}

// ask is a host's demand for permits to an endpoint.
func ask(requests int, ids ...string) Demand {
	d := Demand{Service: "s", Requests: requests}
	for _, id := range ids {
		d.Wanted = append(d.Wanted, Key(id))
	}
	return d
}

var _ = Describe("the leader's permits", func() {
	It("begin after a pause, and come at the rate of the limit", func() {
		withLender(func(l *Lender, clock *timer.Manual) {
			l.say("e", 8)
			Expect(l.Lend(ask(5, "e"))).To(BeEmpty())
			clock.Advance(pauseTime)
			Expect(l.Lend(ask(5, "e"))).To(BeEmpty())
			sum := 0
			for range 100 {
				clock.Advance(100 * time.Millisecond)
				sum += l.Lend(ask(5, "e")).Sum()
			}
			Expect(sum).To(BeNumerically("~", 80, 1))
		})
	})

	It("are lent by demand, and those that weren't used again", func() {
		withLender(func(l *Lender, clock *timer.Manual) {
			l.say("e", 10)
			clock.Advance(10 * time.Second)
			l.Lend(ask(90))
			Expect(l.Lend(ask(10, "e"))).To(Equal(Table{Key("e"): 1}), "a tenth of the requests")
			first := l.Lend(ask(1000, "e")).Sum()
			Expect(l.Lend(ask(1000, "e")).Sum()).To(BeZero())
			l.Unused(2, Table{Key("e"): first})
			Expect(l.accounts[Key("e")].credit).To(BeNumerically("<", 1), "of another term")
			l.Unused(1, Table{Key("e"): first})
			Expect(l.accounts[Key("e")].credit).To(BeNumerically(">=", first))
		})
	})

	It("aren't more and more where they are lent again and again, and not used", func() {
		withLender(func(l *Lender, clock *timer.Manual) {
			const step = 50 * time.Millisecond
			l.say("e", 8)
			lent := []int{}
			for range 400 {
				clock.Advance(step)
				lent = append(lent, l.Lend(ask(1000, "e")).Sum())
				out := 0
				for i := range lent {
					if age := step * time.Duration(len(lent)-1-i); age < Valid {
						out += lent[i]
					} else if age == Valid {
						l.Unused(1, Table{Key("e"): lent[i]})
					}
				}
				Expect(out).To(BeNumerically("<=", int(8*outTime.Seconds())+outMore))
			}
		})
	})

	It("go to who waits for one first, by priority", func() {
		withLender(func(l *Lender, clock *timer.Manual) {
			l.say("e", 1)
			clock.Advance(pauseTime)
			late := l.Queue([]uint32{Key("e")}, true, 5)
			urgent := l.Queue([]uint32{Key("e")}, true, 1)
			_, due := l.Try(late)
			Expect(due).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
			_, due = l.Try(urgent)
			Expect(due).To(BeNumerically("~", time.Second, 10*time.Millisecond))
			clock.Advance(1010 * time.Millisecond)
			Expect(l.Lend(ask(5, "e"))).To(BeEmpty(), "others wait for it")
			_, due = l.Try(late)
			Expect(due).NotTo(BeZero())
			lent, _ := l.Try(urgent)
			Expect(lent).To(Equal(Table{Key("e"): 1}))
			l.Leave(urgent)
			clock.Advance(time.Second)
			lent, _ = l.Try(late)
			Expect(lent).To(Equal(Table{Key("e"): 1}))
		})
	})

	It("are lent for each endpoint of a path or for none, and for any one of a service", func() {
		withLender(func(l *Lender, clock *timer.Manual) {
			l.say("e", 1)
			l.say("f", 0.1)
			clock.Advance(3 * time.Second)
			both := []uint32{Key("e"), Key("f"), Key("no limit")}
			path := l.Queue(both, true, 5)
			lent, due := l.Try(path)
			Expect(lent).To(BeNil())
			Expect(due).To(BeNumerically(">", 5*time.Second))
			l.Leave(path)
			lent, _ = l.Try(l.Queue(both[:2], false, 5))
			Expect(lent).To(Equal(Table{Key("e"): 1}))
			lent, due = l.Try(l.Queue(both[2:], false, 5))
			Expect(lent).To(BeEmpty())
			Expect(due).To(Equal(lookAgain), "it isn't known here")
		})
	})

	It("are spent by questions, which are asked the less often the less an endpoint takes", func() {
		withLender(func(l *Lender, clock *timer.Manual) {
			cases := []struct {
				limit float64
				pause time.Duration
			}{
				{8, 500 * time.Millisecond},
				{1, 4 * time.Second},
				{0, 80 * time.Second},
			}
			Expect(l.AskPause(Key("e0"))).To(BeZero())
			for n, c := range cases {
				id := fmt.Sprint("e", n)
				l.say(id, c.limit)
				Expect(l.AskPause(Key(id))).To(Equal(c.pause))
				before := l.accounts[Key(id)].credit
				l.Spend(Key(id))
				Expect(l.accounts[Key(id)].credit).To(Equal(before - 1))
			}
			clock.Advance(time.Second)
		})
	})

	It("tell which endpoints take less than is asked for", func() {
		withLender(func(l *Lender, _ *timer.Manual) {
			l.say("e", 8)
			Expect(l.Short(Key("e"))).To(BeFalse())
			l.Lend(ask(9))
			Expect(l.Short(Key("e"))).To(BeTrue())
			Expect(l.Short(Key("other"))).To(BeFalse())
		})
	})

	It("begin anew with a term", func() {
		withLender(func(l *Lender, clock *timer.Manual) {
			l.say("e", 8)
			clock.Advance(time.Minute)
			l.Enter(2)
			Expect(l.Size()).To(BeZero())
			Expect(l.Lend(ask(5, "e"))).To(BeEmpty())
			l.say("e", 8)
			Expect(l.Lend(ask(5, "e"))).To(BeEmpty())
			l.Enter(1)
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
			withLender(func(l *Lender, clock *timer.Manual) {
				start := clock.Now()
				at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
				for _, w := range c.words {
					clock.Advance(max(0, at(w.heard).Sub(clock.Now())))
					l.Hear([]Word{{Key: Key("e"), Service: "s", PerSecond: w.limit, Sent: at(w.sent), Heard: at(w.heard)}})
				}
				clock.Advance(max(0, at(c.at).Sub(clock.Now())))
				l.Sweep()
				Expect(l.limitOf("e")).To(Equal(c.limit))
			})
		})
	}

	It("are told as what changed, or all where that isn't known", func() {
		withLender(func(l *Lender, clock *timer.Manual) {
			const other = 1 // no digest
			list, version, whole := l.Since(0, 0, other)
			Expect(list).To(BeEmpty())
			Expect(whole).To(BeTrue())
			changed := l.Changed()
			l.say("e", 8)
			Expect(changed).To(BeClosed())
			Expect(l.Holds(1, version)).To(BeFalse())
			list, next, whole := l.Since(1, version, other)
			Expect(list).To(HaveLen(1))
			Expect(whole).To(BeFalse())
			Expect(l.Holds(1, next)).To(BeTrue())
			list, _, whole = l.Since(1, next, other)
			Expect(list).To(BeEmpty())
			Expect(whole).To(BeFalse())
			list, _, whole = l.Since(7, next, other)
			Expect(list).To(HaveLen(1))
			Expect(whole).To(BeTrue())
			clock.Advance(forgetTime + time.Second)
			Expect(l.Sweep()).To(HaveLen(1))
			list, _, whole = l.Since(1, next, other)
			Expect(list[0].Over).To(BeTrue())
			Expect(whole).To(BeFalse())
			list, _, whole = l.Since(7, 0, l.digest)
			Expect(list).To(BeEmpty(), "the same ones, of another term")
			Expect(whole).To(BeFalse())
			for n := range changesKept {
				l.say(fmt.Sprint("e", n), 8)
			}
			list, _, whole = l.Since(1, next, other)
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
		l := NewLender(clock)
		l.Enter(1)
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
				loan := l.Queue([]uint32{Key("e")}, rapid.Bool().Draw(t, "each"), 5)
				if lent, due := l.Try(loan); due == 0 {
					lots = append(lots, lot{at: now, n: lent.Sum(), lent: true})
				}
				l.Leave(loan)
			case 1: // what is over and unused comes back
				for i := range lots {
					if one := &lots[i]; one.lent && one.n > 0 && now-one.at >= Valid {
						back := rapid.IntRange(0, one.n).Draw(t, "back")
						one.n -= back
						l.Unused(term, Table{Key("e"): back})
					}
				}
			case 2:
				if l.accounts[Key("e")].credit > 0 { // questions have a pause of their own
					l.Spend(Key("e"))
					lots = append(lots, lot{at: now, n: 1})
				}
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "leader") == 0 {
					term++
					l.Enter(term)
					l.say("e", limit)
					for i := range lots {
						lots[i].lent = false // nothing of before is taken back
					}
				}
			case 4:
				l.say("e", limit)
			default:
				n := rapid.IntRange(1, 500).Draw(t, "requests")
				lots = append(lots, lot{at: now, n: l.Lend(ask(n, "e")).Sum(), lent: true})
			}
		}
		for _, first := range lots {
			sum := 0
			for _, one := range lots {
				if one.at >= first.at && one.at <= first.at+4*time.Second+Valid {
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
	l := NewLender(clock)
	l.Enter(1)
	d := Demand{Service: "s", Requests: 40}
	for n := range 1600 {
		id := fmt.Sprint("e", n)
		l.say(id, 8)
		if n < mostWanted {
			d.Wanted = append(d.Wanted, Key(id))
		}
	}
	for b.Loop() {
		clock.Advance(time.Millisecond)
		l.Lend(d)
	}
}

func BenchmarkNews(b *testing.B) {
	clock := timer.NewManual(time.Unix(1000, 0))
	book := NewBook(clock, 1)
	for n := range 1600 {
		book.Hear(fmt.Sprint("e", n), "s", named(8), clock.Now())
	}
	book.Told(0, book.Words())
	for b.Loop() {
		clock.Advance(time.Millisecond)
		book.Ask("s")
		book.News()
	}
}
