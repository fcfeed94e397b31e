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

func limitSet(n float64) fleet.Limit {
	return fleet.Limit{Status: fleet.LimitSet, PerSecond: n}
}

var noLimit = fleet.Limit{Status: fleet.LimitNone}

// withHolder runs f on a book of a host that knows of no limit.
func withHolder(f func(h *Holder, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(NewHolder(clock, 1), clock)
}

// withGranted is withBook where endpoint e has a limit that the leader of term 1 knows of, and
// n permits.
func withGranted(n int, f func(h *Holder, clock *timer.Manual)) {
	withHolder(func(h *Holder, clock *timer.Manual) {
		h.Observe("e", "s", limitSet(8), clock.Now())
		h.Acknowledge(1, h.TakeReport().LimitReports)
		h.ApplyChanges(1, 1, true, []LimitChange{{Key: EndpointKey("e"), Service: "s", PerSecond: 8}})
		h.AddPermits(1, Counts{EndpointKey("e"): n}, clock.Now().Add(Lifetime))
		f(h, clock)
	})
}

var _ = Describe("a host's permits", func() {
	It("are needed for endpoints that have a limit, one for each call", func() {
		withGranted(2, func(h *Holder, _ *timer.Manual) {
			Expect(h.TryAcquire("other")).To(BeTrue())
			for range 2 {
				Expect(h.MayCall("e")).To(BeTrue())
				Expect(h.TryAcquire("e")).To(BeTrue())
			}
			Expect(h.MayCall("e")).To(BeFalse())
			Expect(h.TryAcquire("e")).To(BeFalse())
		})
	})

	It("are taken all or none", func() {
		withGranted(1, func(h *Holder, clock *timer.Manual) {
			h.Observe("f", "s", limitSet(1), clock.Now())
			Expect(h.TryAcquire("e", "f")).To(BeFalse())
			Expect(h.TryAcquire("e", "other")).To(BeTrue())
		})
	})

	It("are over after their time, and told as unused once, to the leader that lent them", func() {
		withGranted(3, func(h *Holder, clock *timer.Manual) {
			Expect(h.TryAcquire("e")).To(BeTrue())
			clock.Advance(Lifetime)
			Expect(h.TryAcquire("e")).To(BeFalse())
			Expect(h.TakeReport().Unused).To(Equal(Counts{EndpointKey("e"): 2}))
			Expect(h.TakeReport().Unused).To(BeEmpty())
		})
		withGranted(3, func(h *Holder, clock *timer.Manual) {
			h.ApplyChanges(2, 1, true, []LimitChange{{Key: EndpointKey("e"), Service: "s"}})
			Expect(h.TryAcquire("e")).To(BeTrue(), "it is valid still")
			clock.Advance(Lifetime)
			Expect(h.TakeReport().Unused).To(BeEmpty())
		})
	})

	It("are needed by whichever start of the endpoint is there", func() {
		withGranted(1, func(h *Holder, _ *timer.Manual) {
			Expect(h.TryAcquire(fleet.IncarnationID("e", 1234))).To(BeTrue())
			Expect(h.TryAcquire(fleet.IncarnationID("e", 9999))).To(BeFalse())
		})
	})

	It("are needed for each of two starts of one endpoint on a path", func() {
		withGranted(1, func(h *Holder, _ *timer.Manual) {
			Expect(h.TryAcquire(fleet.IncarnationID("e", 1), fleet.IncarnationID("e", 2))).To(BeFalse())
			Expect(h.TryAcquire("e")).To(BeTrue())
		})
	})

	It("are wanted while requests come often enough, in turn, and not where the last ones weren't used", func() {
		withGranted(1, func(h *Holder, clock *timer.Manual) {
			wanted := func() []uint32 {
				h.CountRequest("s")
				h.CountRequest("s")
				return h.TakeReport().Demands[0].Wanted
			}
			Expect(wanted()).To(BeEmpty(), "one is held")
			clock.Advance(Lifetime)
			Expect(wanted()).To(BeEmpty(), "there was no use for it")
			clock.Advance(unusedPause)
			Expect(wanted()).To(Equal([]uint32{EndpointKey("e")}))
			h.AddPermits(1, Counts{EndpointKey("e"): 1}, clock.Now().Add(Lifetime))
			Expect(h.TryAcquire("e")).To(BeTrue())
			Expect(wanted()).To(Equal([]uint32{EndpointKey("e")}))
			clock.Advance(time.Minute)
			h.CountRequest("s")
			Expect(h.TakeReport().Demands[0].Wanted).To(BeEmpty(), "once in a minute")
			Expect(h.TakeReport().Demands).NotTo(BeEmpty())
			clock.Advance(time.Minute)
			Expect(h.TakeReport().Demands).To(BeEmpty())
		})
	})

	It("are wanted for some of many endpoints at a time, each in its turn", func() {
		withHolder(func(h *Holder, clock *timer.Manual) {
			seen := map[uint32]bool{}
			for n := range 5 * maxWanted {
				h.Observe(string(rune('a'+n%26))+string(rune('a'+n/26)), "s", limitSet(8), clock.Now())
			}
			for range 5 {
				h.CountRequest("s")
				h.CountRequest("s")
				list := h.TakeReport().Demands[0].Wanted
				Expect(len(list)).To(Equal(maxWanted))
				for _, key := range list {
					seen[key] = true
				}
			}
			Expect(len(seen)).To(Equal(5 * maxWanted))
		})
	})
})

var _ = Describe("what a host hears of a limit", func() {
	It("is news if it is new or falls, and else told with the next call", func() {
		withHolder(func(h *Holder, clock *timer.Manual) {
			cases := []struct {
				limit fleet.Limit
				news  bool
				told  float64
			}{
				{limitSet(8), true, 8},
				{limitSet(8), false, 8},
				{fleet.Limit{}, false, 8},
				{limitSet(7), false, 7},
				{limitSet(3), true, 3},
				{limitSet(9), false, 9},
			}
			for _, c := range cases {
				Expect(h.Observe("e", "s", c.limit, clock.Now())).To(Equal(c.news), "%v", c)
				Expect(h.PendingReports()[0].PerSecond).To(Equal(c.told), "%v", c)
				Expect(h.MayCall("e")).To(BeFalse())
			}
		})
	})

	It("doesn't end it here: an answer without one is told, if its call was sent after the limit was known", func() {
		withGranted(0, func(h *Holder, clock *timer.Manual) {
			sent := clock.Now()
			clock.Advance(time.Second)
			h.Observe("e", "s", limitSet(8), clock.Now())
			h.Acknowledge(1, h.PendingReports())
			Expect(h.Observe("e", "s", noLimit, sent)).To(BeFalse())
			Expect(h.PendingReports()).To(BeEmpty())
			clock.Advance(time.Second)
			Expect(h.Observe("e", "s", noLimit, clock.Now())).To(BeTrue())
			Expect(h.PendingReports()[0].PerSecond).To(BeNumerically("<", 0))
			Expect(h.MayCall("e")).To(BeFalse())
			h.Acknowledge(1, h.PendingReports())
			Expect(h.Observe("e", "s", noLimit, clock.Now())).To(BeFalse(), "that was told at once just now")
			Expect(h.PendingReports()).To(HaveLen(1), "it is told with the next call")
			h.Observe("e", "s", limitSet(8), sent)
			Expect(h.PendingReports()[0].PerSecond).To(Equal(8.0), "one that names it goes before")
		})
	})

	It("is over here where it came and went before anybody was told", func() {
		withHolder(func(h *Holder, clock *timer.Manual) {
			h.Observe("e", "s", limitSet(8), clock.Now())
			clock.Advance(time.Second)
			h.Observe("e", "s", noLimit, clock.Now())
			Expect(h.HasLimit("e")).To(BeFalse())
			Expect(h.PendingReports()).To(BeEmpty())
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
			withGranted(1, func(h *Holder, clock *timer.Manual) {
				clock.Advance(Lifetime / 2)
				if c.hear {
					h.Observe("e", "s", limitSet(8), clock.Now())
				}
				h.ApplyChanges(c.term, 2, c.whole, c.list)
				Expect(h.HasLimit("e")).To(Equal(c.limited), c.name)
				clock.Advance(reReportSpread)
				Expect(len(h.PendingReports()) > 0).To(Equal(c.retold), c.name)
			})
		}
	})

	It("is told to a new leader within a second and a call, whichever host it is", func() {
		for seed := range uint64(50) {
			withGranted(0, func(h *Holder, clock *timer.Manual) {
				h.seed = seed
				h.ApplyChanges(2, 1, true, nil)
				told := false
				for range 4 {
					told = told || len(h.TakeReport().LimitReports) > 0
					clock.Advance(400 * time.Millisecond) // the call is held
					h.ApplyChanges(2, 1, false, nil)
				}
				Expect(told).To(BeTrue(), "seed %d", seed)
			})
		}
	})

	It("is learnt from the leader as well", func() {
		withHolder(func(h *Holder, clock *timer.Manual) {
			h.ApplyChanges(1, 1, false, []LimitChange{{Key: EndpointKey("e"), Service: "s", PerSecond: 8}})
			Expect(h.MayCall("e")).To(BeFalse())
			h.ApplyChanges(2, 0, true, nil)
			Expect(h.MayCall("e")).To(BeFalse(), "the next leader doesn't know, and is told")
			clock.Advance(reReportSpread)
			Expect(h.PendingReports()[0].Service).To(Equal("s"))
		})
	})
})
