package backoff

import (
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBackoff(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backoff")
}

// withTracker runs f on a tracker without backoffs.
func withTracker(f func(t *Tracker, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(New(clock), clock)
}

var _ = Describe("a backoff", func() {
	It("lasts as long as the longest that was asked for, and no longer", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			t.Record("p", 3*time.Second)
			clock.Advance(time.Second)
			t.Record("p", time.Second)
			Expect(t.Remaining("p")).To(Equal(2 * time.Second))
			t.Record("p", 5*time.Second)
			Expect(t.Remaining("p")).To(Equal(5 * time.Second))
			Expect(t.Remaining("q")).To(BeZero())
			clock.Advance(5 * time.Second)
			Expect(t.Remaining("p")).To(BeZero())
			Expect(t.Active()).To(BeEmpty())
		})
	})

	It("allows one call while it lasts, not at its start, and not again when it is extended", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			Expect(t.TryAcquire("p")).To(BeTrue(), "it isn't in backoff")
			t.Record("p", 3*time.Second)
			Expect(t.TryAcquire("p")).To(BeFalse())
			clock.Advance(probeDelay)
			Expect(t.MayCall("p")).To(BeTrue())
			Expect(t.TryAcquire("p")).To(BeTrue())
			Expect(t.TryAcquire("p")).To(BeFalse())
			t.Record("p", 3*time.Second)
			clock.Advance(probeDelay)
			Expect(t.TryAcquire("p")).To(BeFalse(), "no second call during one backoff")
			clock.Advance(3 * time.Second)
			t.Record("p", 3*time.Second)
			clock.Advance(probeDelay)
			Expect(t.TryAcquire("p")).To(BeTrue(), "it was out of backoff in between")
		})
	})

	It("allows the calls to several endpoints only together, and again if they were not made", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			t.Record("p", 3*time.Second)
			t.Record("q", 3*time.Second)
			clock.Advance(probeDelay)
			Expect(t.TryAcquire("q")).To(BeTrue())
			Expect(t.TryAcquire("p", "q")).To(BeFalse(), "the call to q was made")
			Expect(t.TryAcquire("p", "free")).To(BeTrue(), "the call to p was not")
			t.Release("p", "free")
			Expect(t.TryAcquire("p")).To(BeTrue())
			Expect(t.TryAcquire("p")).To(BeFalse())
			Expect(t.TryAcquire("q")).To(BeFalse())
		})
	})

	It("applies to the incarnation that asked for it, or to one that had started by then", func() {
		cases := []struct {
			name        string
			requestedBy string
			startedAt   time.Duration // of the next incarnation, from when the backoff was asked for
			applies     bool
			noStart     bool // the endpoint's id doesn't include a start time
		}{
			{name: "started later", requestedBy: fleet.IncarnationID("p", 5), startedAt: 2 * time.Second},
			{name: "had started by then, unknown to the host", requestedBy: fleet.IncarnationID("p", 5), startedAt: -2 * time.Second, applies: true},
			{name: "clocks differ a little", requestedBy: fleet.IncarnationID("p", 5), startedAt: clockSlack / 2, applies: true},
			{name: "no start time", requestedBy: "p", noStart: true, applies: true},
		}
		for _, c := range cases {
			withTracker(func(t *Tracker, clock *timer.Manual) {
				t.Record(c.requestedBy, time.Hour)
				next := fleet.IncarnationID("p", clock.Wall().Add(c.startedAt).UnixMilli())
				if c.noStart {
					next = "p"
				}
				Expect(t.Remaining(next) > 0).To(Equal(c.applies), c.name)
				t.Record(next, time.Minute)
				Expect(t.Remaining(next) > time.Minute).To(Equal(c.applies), c.name)
				Expect(t.Len()).To(Equal(1), c.name)
			})
		}
	})

	It("is dropped once it has expired, however many there were", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			for n := range 3200 {
				t.Record(string(rune('a'+n)), time.Duration(1+n%3)*time.Second)
			}
			clock.Advance(4 * time.Second)
			t.Record("p", time.Second)
			Expect(t.Len()).To(Equal(1))
		})
	})
})

func BenchmarkRemaining(b *testing.B) {
	tracker := New(timer.NewSystem())
	tracker.Record("p", time.Hour)
	for b.Loop() {
		tracker.Remaining("q")
	}
}
