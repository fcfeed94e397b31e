package permit

import (
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPermit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "permit")
}

func named(n float64) fleet.Limit {
	return fleet.Limit{Says: fleet.LimitNamed, PerSecond: n}
}

var none = fleet.Limit{Says: fleet.LimitNone}

// withBook runs f on a book of a host that knows of no limit.
func withBook(f func(b *Book, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(NewBook(clock, 1), clock)
}

// granted is withBook where endpoint e has a limit that the leader of term 1 knows of, and
// n permits.
func granted(n int, f func(b *Book, clock *timer.Manual)) {
	withBook(func(b *Book, clock *timer.Manual) {
		b.Hear("e", "s", named(8), clock.Now())
		b.Told(1, b.News().Words)
		b.Install(1, 1, true, []Change{{Key: Key("e"), Service: "s", PerSecond: 8}})
		b.Grant(1, Table{Key("e"): n}, clock.Now().Add(Valid))
		f(b, clock)
	})
}

var _ = Describe("a host's permits", func() {
	It("are needed for endpoints that have a limit, one for each call", func() {
		granted(2, func(b *Book, _ *timer.Manual) {
			Expect(b.Take("other")).To(BeTrue())
			for range 2 {
				Expect(b.May("e")).To(BeTrue())
				Expect(b.Take("e")).To(BeTrue())
			}
			Expect(b.May("e")).To(BeFalse())
			Expect(b.Take("e")).To(BeFalse())
		})
	})

	It("are taken all or none", func() {
		granted(1, func(b *Book, clock *timer.Manual) {
			b.Hear("f", "s", named(1), clock.Now())
			Expect(b.Take("e", "f")).To(BeFalse())
			Expect(b.Take("e", "other")).To(BeTrue())
		})
	})

	It("are over after their time, and told as unused once, to the leader that lent them", func() {
		granted(3, func(b *Book, clock *timer.Manual) {
			Expect(b.Take("e")).To(BeTrue())
			clock.Advance(Valid)
			Expect(b.Take("e")).To(BeFalse())
			Expect(b.News().Unused).To(Equal(Table{Key("e"): 2}))
			Expect(b.News().Unused).To(BeEmpty())
		})
		granted(3, func(b *Book, clock *timer.Manual) {
			b.Install(2, 1, true, []Change{{Key: Key("e"), Service: "s"}})
			Expect(b.Take("e")).To(BeTrue(), "it is valid still")
			clock.Advance(Valid)
			Expect(b.News().Unused).To(BeEmpty())
		})
	})

	It("are needed by whichever start of the endpoint is there", func() {
		granted(1, func(b *Book, _ *timer.Manual) {
			Expect(b.Take(fleet.IncarnationID("e", 1234))).To(BeTrue())
			Expect(b.Take(fleet.IncarnationID("e", 9999))).To(BeFalse())
		})
	})

	It("are needed for each of two starts of one endpoint on a path", func() {
		granted(1, func(b *Book, _ *timer.Manual) {
			Expect(b.Take(fleet.IncarnationID("e", 1), fleet.IncarnationID("e", 2))).To(BeFalse())
			Expect(b.Take("e")).To(BeTrue())
		})
	})

	It("are wanted while requests come often enough, in turn, and not where the last ones weren't used", func() {
		granted(1, func(b *Book, clock *timer.Manual) {
			wanted := func() []uint32 {
				b.Ask("s")
				b.Ask("s")
				return b.News().Demands[0].Wanted
			}
			Expect(wanted()).To(BeEmpty(), "one is held")
			clock.Advance(Valid)
			Expect(wanted()).To(BeEmpty(), "there was no use for it")
			clock.Advance(idleFirst)
			Expect(wanted()).To(Equal([]uint32{Key("e")}))
			b.Grant(1, Table{Key("e"): 1}, clock.Now().Add(Valid))
			Expect(b.Take("e")).To(BeTrue())
			Expect(wanted()).To(Equal([]uint32{Key("e")}))
			clock.Advance(time.Minute)
			b.Ask("s")
			Expect(b.News().Demands[0].Wanted).To(BeEmpty(), "once in a minute")
			Expect(b.News().Demands).NotTo(BeEmpty())
			clock.Advance(time.Minute)
			Expect(b.News().Demands).To(BeEmpty())
		})
	})

	It("are wanted for some of many endpoints at a time, each in its turn", func() {
		withBook(func(b *Book, clock *timer.Manual) {
			seen := map[uint32]bool{}
			for n := range 5 * mostWanted {
				b.Hear(string(rune('a'+n%26))+string(rune('a'+n/26)), "s", named(8), clock.Now())
			}
			for range 5 {
				b.Ask("s")
				b.Ask("s")
				list := b.News().Demands[0].Wanted
				Expect(len(list)).To(Equal(mostWanted))
				for _, key := range list {
					seen[key] = true
				}
			}
			Expect(len(seen)).To(Equal(5 * mostWanted))
		})
	})
})

var _ = Describe("what a host hears of a limit", func() {
	It("is news if it is new or falls, and else told with the next call", func() {
		withBook(func(b *Book, clock *timer.Manual) {
			cases := []struct {
				limit fleet.Limit
				news  bool
				told  float64
			}{
				{named(8), true, 8},
				{named(8), false, 8},
				{fleet.Limit{}, false, 8},
				{named(7), false, 7},
				{named(3), true, 3},
				{named(9), false, 9},
			}
			for _, c := range cases {
				Expect(b.Hear("e", "s", c.limit, clock.Now())).To(Equal(c.news), "%v", c)
				Expect(b.Words()[0].PerSecond).To(Equal(c.told), "%v", c)
				Expect(b.May("e")).To(BeFalse())
			}
		})
	})

	It("doesn't end it here: an answer without one is told, if its call was sent after the limit was known", func() {
		granted(0, func(b *Book, clock *timer.Manual) {
			sent := clock.Now()
			clock.Advance(time.Second)
			b.Hear("e", "s", named(8), clock.Now())
			b.Told(1, b.Words())
			Expect(b.Hear("e", "s", none, sent)).To(BeFalse())
			Expect(b.Words()).To(BeEmpty())
			clock.Advance(time.Second)
			Expect(b.Hear("e", "s", none, clock.Now())).To(BeTrue())
			Expect(b.Words()[0].PerSecond).To(BeNumerically("<", 0))
			Expect(b.May("e")).To(BeFalse())
			b.Told(1, b.Words())
			Expect(b.Hear("e", "s", none, clock.Now())).To(BeFalse(), "that was told at once just now")
			Expect(b.Words()).To(HaveLen(1), "it is told with the next call")
			b.Hear("e", "s", named(8), sent)
			Expect(b.Words()[0].PerSecond).To(Equal(8.0), "one that names it goes before")
		})
	})

	It("is over here where it came and went before anybody was told", func() {
		withBook(func(b *Book, clock *timer.Manual) {
			b.Hear("e", "s", named(8), clock.Now())
			clock.Advance(time.Second)
			b.Hear("e", "s", none, clock.Now())
			Expect(b.Limited("e")).To(BeFalse())
			Expect(b.Words()).To(BeEmpty())
		})
	})

	It("stays until the leader says that it is over, and was told of the newest word", func() {
		cases := []struct {
			name    string
			hear    bool // the limit, after the last call
			term    uint64
			whole   bool
			list    []Change
			limited bool
			retold  bool
		}{
			{name: "nothing changed", term: 1, limited: true},
			{name: "over", term: 1, list: []Change{{Key: Key("e"), Over: true}}},
			{name: "over, and named anew", hear: true, term: 1, list: []Change{{Key: Key("e"), Over: true}}, limited: true, retold: true},
			{name: "a whole list without it", term: 1, whole: true},
			{name: "a new leader that doesn't know of it", term: 2, whole: true, limited: true, retold: true},
			{name: "a new leader that knows the same", term: 2, limited: true},
			{name: "a new leader that knows of it", term: 2, whole: true, list: []Change{{Key: Key("e"), Service: "s"}}, limited: true},
		}
		for _, c := range cases {
			granted(1, func(b *Book, clock *timer.Manual) {
				clock.Advance(Valid / 2)
				if c.hear {
					b.Hear("e", "s", named(8), clock.Now())
				}
				b.Install(c.term, 2, c.whole, c.list)
				Expect(b.Limited("e")).To(Equal(c.limited), c.name)
				clock.Advance(retellTime)
				Expect(len(b.Words()) > 0).To(Equal(c.retold), c.name)
			})
		}
	})

	It("is told to a new leader within a second and a call, whichever host it is", func() {
		for seed := range uint64(50) {
			granted(0, func(b *Book, clock *timer.Manual) {
				b.seed = seed
				b.Install(2, 1, true, nil)
				told := false
				for range 4 {
					told = told || len(b.News().Words) > 0
					clock.Advance(400 * time.Millisecond) // the call is held
					b.Install(2, 1, false, nil)
				}
				Expect(told).To(BeTrue(), "seed %d", seed)
			})
		}
	})

	It("is learnt from the leader as well", func() {
		withBook(func(b *Book, clock *timer.Manual) {
			b.Install(1, 1, false, []Change{{Key: Key("e"), Service: "s", PerSecond: 8}})
			Expect(b.May("e")).To(BeFalse())
			b.Install(2, 0, true, nil)
			Expect(b.May("e")).To(BeFalse(), "the next leader doesn't know, and is told")
			clock.Advance(retellTime)
			Expect(b.Words()[0].Service).To(Equal("s"))
		})
	})
})
