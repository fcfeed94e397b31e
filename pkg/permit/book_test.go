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
	return fleet.Limit{Status: fleet.LimitSet, PerSecond: n}
}

var none = fleet.Limit{Status: fleet.LimitNone}

// withBook runs f on a book of a host that knows of no limit.
func withBook(f func(b *Holder, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(NewHolder(clock, 1), clock)
}

// granted is withBook where endpoint e has a limit that the leader of term 1 knows of, and
// n permits.
func granted(n int, f func(b *Holder, clock *timer.Manual)) {
	withBook(func(b *Holder, clock *timer.Manual) {
		b.Observe("e", "s", named(8), clock.Now())
		b.Acknowledge(1, b.TakeReport().LimitReports)
		b.ApplyChanges(1, 1, true, []LimitChange{{Key: EndpointKey("e"), Service: "s", PerSecond: 8}})
		b.AddPermits(1, Counts{EndpointKey("e"): n}, clock.Now().Add(Lifetime))
		f(b, clock)
	})
}

var _ = Describe("a host's permits", func() {
	It("are needed for endpoints that have a limit, one for each call", func() {
		granted(2, func(b *Holder, _ *timer.Manual) {
			Expect(b.TryAcquire("other")).To(BeTrue())
			for range 2 {
				Expect(b.MayCall("e")).To(BeTrue())
				Expect(b.TryAcquire("e")).To(BeTrue())
			}
			Expect(b.MayCall("e")).To(BeFalse())
			Expect(b.TryAcquire("e")).To(BeFalse())
		})
	})

	It("are taken all or none", func() {
		granted(1, func(b *Holder, clock *timer.Manual) {
			b.Observe("f", "s", named(1), clock.Now())
			Expect(b.TryAcquire("e", "f")).To(BeFalse())
			Expect(b.TryAcquire("e", "other")).To(BeTrue())
		})
	})

	It("are over after their time, and told as unused once, to the leader that lent them", func() {
		granted(3, func(b *Holder, clock *timer.Manual) {
			Expect(b.TryAcquire("e")).To(BeTrue())
			clock.Advance(Lifetime)
			Expect(b.TryAcquire("e")).To(BeFalse())
			Expect(b.TakeReport().Unused).To(Equal(Counts{EndpointKey("e"): 2}))
			Expect(b.TakeReport().Unused).To(BeEmpty())
		})
		granted(3, func(b *Holder, clock *timer.Manual) {
			b.ApplyChanges(2, 1, true, []LimitChange{{Key: EndpointKey("e"), Service: "s"}})
			Expect(b.TryAcquire("e")).To(BeTrue(), "it is valid still")
			clock.Advance(Lifetime)
			Expect(b.TakeReport().Unused).To(BeEmpty())
		})
	})

	It("are needed by whichever start of the endpoint is there", func() {
		granted(1, func(b *Holder, _ *timer.Manual) {
			Expect(b.TryAcquire(fleet.IncarnationID("e", 1234))).To(BeTrue())
			Expect(b.TryAcquire(fleet.IncarnationID("e", 9999))).To(BeFalse())
		})
	})

	It("are needed for each of two starts of one endpoint on a path", func() {
		granted(1, func(b *Holder, _ *timer.Manual) {
			Expect(b.TryAcquire(fleet.IncarnationID("e", 1), fleet.IncarnationID("e", 2))).To(BeFalse())
			Expect(b.TryAcquire("e")).To(BeTrue())
		})
	})

	It("are wanted while requests come often enough, in turn, and not where the last ones weren't used", func() {
		granted(1, func(b *Holder, clock *timer.Manual) {
			wanted := func() []uint32 {
				b.CountRequest("s")
				b.CountRequest("s")
				return b.TakeReport().Demands[0].Wanted
			}
			Expect(wanted()).To(BeEmpty(), "one is held")
			clock.Advance(Lifetime)
			Expect(wanted()).To(BeEmpty(), "there was no use for it")
			clock.Advance(idleFirst)
			Expect(wanted()).To(Equal([]uint32{EndpointKey("e")}))
			b.AddPermits(1, Counts{EndpointKey("e"): 1}, clock.Now().Add(Lifetime))
			Expect(b.TryAcquire("e")).To(BeTrue())
			Expect(wanted()).To(Equal([]uint32{EndpointKey("e")}))
			clock.Advance(time.Minute)
			b.CountRequest("s")
			Expect(b.TakeReport().Demands[0].Wanted).To(BeEmpty(), "once in a minute")
			Expect(b.TakeReport().Demands).NotTo(BeEmpty())
			clock.Advance(time.Minute)
			Expect(b.TakeReport().Demands).To(BeEmpty())
		})
	})

	It("are wanted for some of many endpoints at a time, each in its turn", func() {
		withBook(func(b *Holder, clock *timer.Manual) {
			seen := map[uint32]bool{}
			for n := range 5 * mostWanted {
				b.Observe(string(rune('a'+n%26))+string(rune('a'+n/26)), "s", named(8), clock.Now())
			}
			for range 5 {
				b.CountRequest("s")
				b.CountRequest("s")
				list := b.TakeReport().Demands[0].Wanted
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
		withBook(func(b *Holder, clock *timer.Manual) {
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
				Expect(b.Observe("e", "s", c.limit, clock.Now())).To(Equal(c.news), "%v", c)
				Expect(b.PendingReports()[0].PerSecond).To(Equal(c.told), "%v", c)
				Expect(b.MayCall("e")).To(BeFalse())
			}
		})
	})

	It("doesn't end it here: an answer without one is told, if its call was sent after the limit was known", func() {
		granted(0, func(b *Holder, clock *timer.Manual) {
			sent := clock.Now()
			clock.Advance(time.Second)
			b.Observe("e", "s", named(8), clock.Now())
			b.Acknowledge(1, b.PendingReports())
			Expect(b.Observe("e", "s", none, sent)).To(BeFalse())
			Expect(b.PendingReports()).To(BeEmpty())
			clock.Advance(time.Second)
			Expect(b.Observe("e", "s", none, clock.Now())).To(BeTrue())
			Expect(b.PendingReports()[0].PerSecond).To(BeNumerically("<", 0))
			Expect(b.MayCall("e")).To(BeFalse())
			b.Acknowledge(1, b.PendingReports())
			Expect(b.Observe("e", "s", none, clock.Now())).To(BeFalse(), "that was told at once just now")
			Expect(b.PendingReports()).To(HaveLen(1), "it is told with the next call")
			b.Observe("e", "s", named(8), sent)
			Expect(b.PendingReports()[0].PerSecond).To(Equal(8.0), "one that names it goes before")
		})
	})

	It("is over here where it came and went before anybody was told", func() {
		withBook(func(b *Holder, clock *timer.Manual) {
			b.Observe("e", "s", named(8), clock.Now())
			clock.Advance(time.Second)
			b.Observe("e", "s", none, clock.Now())
			Expect(b.HasLimit("e")).To(BeFalse())
			Expect(b.PendingReports()).To(BeEmpty())
		})
	})

	It("stays until the leader says that it is over, and was told of the newest word", func() {
		cases := []struct {
			name    string
			hear    bool // the limit, after the last call
			term    uint64
			whole   bool
			list    []LimitChange
			limited bool
			retold  bool
		}{
			{name: "nothing changed", term: 1, limited: true},
			{name: "over", term: 1, list: []LimitChange{{Key: EndpointKey("e"), Removed: true}}},
			{name: "over, and named anew", hear: true, term: 1, list: []LimitChange{{Key: EndpointKey("e"), Removed: true}}, limited: true, retold: true},
			{name: "a whole list without it", term: 1, whole: true},
			{name: "a new leader that doesn't know of it", term: 2, whole: true, limited: true, retold: true},
			{name: "a new leader that knows the same", term: 2, limited: true},
			{name: "a new leader that knows of it", term: 2, whole: true, list: []LimitChange{{Key: EndpointKey("e"), Service: "s"}}, limited: true},
		}
		for _, c := range cases {
			granted(1, func(b *Holder, clock *timer.Manual) {
				clock.Advance(Lifetime / 2)
				if c.hear {
					b.Observe("e", "s", named(8), clock.Now())
				}
				b.ApplyChanges(c.term, 2, c.whole, c.list)
				Expect(b.HasLimit("e")).To(Equal(c.limited), c.name)
				clock.Advance(retellTime)
				Expect(len(b.PendingReports()) > 0).To(Equal(c.retold), c.name)
			})
		}
	})

	It("is told to a new leader within a second and a call, whichever host it is", func() {
		for seed := range uint64(50) {
			granted(0, func(b *Holder, clock *timer.Manual) {
				b.seed = seed
				b.ApplyChanges(2, 1, true, nil)
				told := false
				for range 4 {
					told = told || len(b.TakeReport().LimitReports) > 0
					clock.Advance(400 * time.Millisecond) // the call is held
					b.ApplyChanges(2, 1, false, nil)
				}
				Expect(told).To(BeTrue(), "seed %d", seed)
			})
		}
	})

	It("is learnt from the leader as well", func() {
		withBook(func(b *Holder, clock *timer.Manual) {
			b.ApplyChanges(1, 1, false, []LimitChange{{Key: EndpointKey("e"), Service: "s", PerSecond: 8}})
			Expect(b.MayCall("e")).To(BeFalse())
			b.ApplyChanges(2, 0, true, nil)
			Expect(b.MayCall("e")).To(BeFalse(), "the next leader doesn't know, and is told")
			clock.Advance(retellTime)
			Expect(b.PendingReports()[0].Service).To(Equal("s"))
		})
	})
})
