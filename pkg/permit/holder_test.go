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

func limitSet(n float64) fleet.RateLimit {
	return fleet.RateLimit{Status: fleet.LimitSet, PerSecond: n}
}

var noLimit = fleet.RateLimit{Status: fleet.LimitNone}

// withHolder runs f on the holder of a host that knows of no limit.
func withHolder(f func(h *Holder, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(NewHolder(clock, 1), clock)
}

// withGranted runs f on a holder with n permits for endpoint e, whose limit the leader of term 1
// knows.
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
	It("are required for endpoints that have a limit, one for each call", func() {
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

	It("are acquired all or none", func() {
		withGranted(1, func(h *Holder, clock *timer.Manual) {
			h.Observe("f", "s", limitSet(1), clock.Now())
			Expect(h.TryAcquire("e", "f")).To(BeFalse())
			Expect(h.TryAcquire("e", "other")).To(BeTrue())
		})
	})

	It("expire, and are reported as unused once, to the leader that granted them", func() {
		withGranted(3, func(h *Holder, clock *timer.Manual) {
			Expect(h.TryAcquire("e")).To(BeTrue())
			clock.Advance(Lifetime)
			Expect(h.TryAcquire("e")).To(BeFalse())
			Expect(h.TakeReport().Unused).To(Equal(Counts{EndpointKey("e"): 2}))
			Expect(h.TakeReport().Unused).To(BeEmpty())
		})
		withGranted(3, func(h *Holder, clock *timer.Manual) {
			h.ApplyChanges(2, 1, true, []LimitChange{{Key: EndpointKey("e"), Service: "s"}})
			Expect(h.TryAcquire("e")).To(BeTrue(), "it hasn't expired")
			clock.Advance(Lifetime)
			Expect(h.TakeReport().Unused).To(BeEmpty())
		})
	})

	It("are required for any incarnation of the endpoint", func() {
		withGranted(1, func(h *Holder, _ *timer.Manual) {
			Expect(h.TryAcquire(fleet.IncarnationID("e", 1234))).To(BeTrue())
			Expect(h.TryAcquire(fleet.IncarnationID("e", 9999))).To(BeFalse())
		})
	})

	It("are required for each of two incarnations of one endpoint on a path", func() {
		withGranted(1, func(h *Holder, _ *timer.Manual) {
			Expect(h.TryAcquire(fleet.IncarnationID("e", 1), fleet.IncarnationID("e", 2))).To(BeFalse())
			Expect(h.TryAcquire("e")).To(BeTrue())
		})
	})

	It("are wanted while requests arrive often enough, in turn, except where the last ones expired unused", func() {
		withGranted(1, func(h *Holder, clock *timer.Manual) {
			wanted := func() []uint32 {
				h.CountRequest("s")
				h.CountRequest("s")
				return h.TakeReport().Demands[0].Wanted
			}
			Expect(wanted()).To(BeEmpty(), "a permit is held")
			clock.Advance(Lifetime)
			Expect(wanted()).To(BeEmpty(), "the last one expired unused")
			clock.Advance(unusedPause)
			Expect(wanted()).To(Equal([]uint32{EndpointKey("e")}))
			h.AddPermits(1, Counts{EndpointKey("e"): 1}, clock.Now().Add(Lifetime))
			Expect(h.TryAcquire("e")).To(BeTrue())
			Expect(wanted()).To(Equal([]uint32{EndpointKey("e")}))
			clock.Advance(time.Minute)
			h.CountRequest("s")
			Expect(h.TakeReport().Demands[0].Wanted).To(BeEmpty(), "one request in a minute")
			Expect(h.TakeReport().Demands).NotTo(BeEmpty())
			clock.Advance(time.Minute)
			Expect(h.TakeReport().Demands).To(BeEmpty())
		})
	})

	It("are wanted for a bounded number of endpoints at a time, in turn", func() {
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

var _ = Describe("a limit that a host observes", func() {
	It("is urgent if it is new or falls, and otherwise reported with the next call", func() {
		withHolder(func(h *Holder, clock *timer.Manual) {
			cases := []struct {
				limit    fleet.RateLimit
				urgent   bool
				reported float64
			}{
				{limitSet(8), true, 8},
				{limitSet(8), false, 8},
				{fleet.RateLimit{}, false, 8},
				{limitSet(7), false, 7},
				{limitSet(3), true, 3},
				{limitSet(9), false, 9},
			}
			for _, c := range cases {
				Expect(h.Observe("e", "s", c.limit, clock.Now())).To(Equal(c.urgent), "%v", c)
				Expect(h.PendingReports()[0].PerSecond).To(Equal(c.reported), "%v", c)
				Expect(h.MayCall("e")).To(BeFalse())
			}
		})
	})

	It("isn't removed by the host: an answer without a limit is reported, if its call was sent after the limit was known", func() {
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
			Expect(h.Observe("e", "s", noLimit, clock.Now())).To(BeFalse(), "one was urgent just now")
			Expect(h.PendingReports()).To(HaveLen(1), "it is reported with the next call")
			h.Observe("e", "s", limitSet(8), sent)
			Expect(h.PendingReports()[0].PerSecond).To(Equal(8.0), "a report with a limit takes precedence")
		})
	})

	It("is removed if it came and went before a leader learned of it", func() {
		withHolder(func(h *Holder, clock *timer.Manual) {
			h.Observe("e", "s", limitSet(8), clock.Now())
			clock.Advance(time.Second)
			h.Observe("e", "s", noLimit, clock.Now())
			Expect(h.HasLimit("e")).To(BeFalse())
			Expect(h.PendingReports()).To(BeEmpty())
		})
	})

	It("stays until the leader that has the newest report removes it", func() {
		cases := []struct {
			name       string
			renewed    bool // a report with the limit after the last call
			term       uint64
			full       bool
			list       []LimitChange
			limited    bool
			reReported bool
		}{
			{name: "no change", term: 1, limited: true},
			{name: "removed", term: 1, list: []LimitChange{{Key: EndpointKey("e"), Removed: true}}},
			{name: "removed, and reported again", renewed: true, term: 1, list: []LimitChange{{Key: EndpointKey("e"), Removed: true}}, limited: true, reReported: true},
			{name: "a full list without it", term: 1, full: true},
			{name: "a new leader that lacks it", term: 2, full: true, limited: true, reReported: true},
			{name: "a new leader with the same limits", term: 2, limited: true},
			{name: "a new leader that has it", term: 2, full: true, list: []LimitChange{{Key: EndpointKey("e"), Service: "s"}}, limited: true},
		}
		for _, c := range cases {
			withGranted(1, func(h *Holder, clock *timer.Manual) {
				clock.Advance(Lifetime / 2)
				if c.renewed {
					h.Observe("e", "s", limitSet(8), clock.Now())
				}
				h.ApplyChanges(c.term, 2, c.full, c.list)
				Expect(h.HasLimit("e")).To(Equal(c.limited), c.name)
				clock.Advance(reReportSpread)
				Expect(len(h.PendingReports()) > 0).To(Equal(c.reReported), c.name)
			})
		}
	})

	It("is reported to a new leader within a second and one call, by every host", func() {
		for seed := range uint64(50) {
			withGranted(0, func(h *Holder, clock *timer.Manual) {
				h.seed = seed
				h.ApplyChanges(2, 1, true, nil)
				reported := false
				for range 4 {
					reported = reported || len(h.TakeReport().LimitReports) > 0
					clock.Advance(400 * time.Millisecond) // the duration of a long poll
					h.ApplyChanges(2, 1, false, nil)
				}
				Expect(reported).To(BeTrue(), "seed %d", seed)
			})
		}
	})

	It("is learned from the leader as well", func() {
		withHolder(func(h *Holder, clock *timer.Manual) {
			h.ApplyChanges(1, 1, false, []LimitChange{{Key: EndpointKey("e"), Service: "s", PerSecond: 8}})
			Expect(h.MayCall("e")).To(BeFalse())
			h.ApplyChanges(2, 0, true, nil)
			Expect(h.MayCall("e")).To(BeFalse(), "the next leader lacks it, and gets a report")
			clock.Advance(reReportSpread)
			Expect(h.PendingReports()[0].Service).To(Equal("s"))
		})
	})
})
