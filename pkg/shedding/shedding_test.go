package shedding

import (
	"fmt"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShedding(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "shedding")
}

// withTracker runs f on a tracker without full endpoints.
func withTracker(f func(t *Tracker, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(New(clock), clock)
}

// entryOf returns the entry that hosts report of an endpoint.
func entryOf(id string, remaining time.Duration) Entry {
	return Entry{
		Key:       fleet.LoadKey(id),
		Remaining: remaining,
	}
}

var _ = ginkgo.Describe("a full endpoint", func() {
	ginkgo.It("stays full for longer with each rejection that follows soon after the end", func() {
		const ms = time.Millisecond
		cases := []struct {
			name  string
			after []time.Duration // of each rejection, from the one before
			want  time.Duration   // after the last rejection
		}{
			{"one rejection", []time.Duration{0}, initialFullTime},
			{"while it is full", []time.Duration{0, 100 * ms, 100 * ms}, initialFullTime},
			{"at the end", []time.Duration{0, 250 * ms}, 2 * initialFullTime},
			{"just within the window", []time.Duration{0, 499 * ms}, 2 * initialFullTime},
			{"after the window", []time.Duration{0, 500 * ms}, initialFullTime},
			{"twice soon after the end", []time.Duration{0, 300 * ms, 600 * ms}, maxFullTime},
			{"often: no longer than the maximum", []time.Duration{0, 300 * ms, 600 * ms, 1100 * ms, 1100 * ms}, maxFullTime},
		}
		for _, c := range cases {
			withTracker(func(t *Tracker, clock *timer.Manual) {
				for _, after := range c.after {
					clock.Advance(after)
					t.Record("p")
				}
				Expect(t.Remaining("p")).To(Equal(c.want), c.name)
				Expect(t.Remaining("q")).To(BeZero(), c.name)
				clock.Advance(c.want)
				Expect(t.Remaining("p")).To(BeZero(), c.name)
				Expect(t.List()).To(BeEmpty(), c.name)
			})
		}
	})

	ginkgo.It("is no longer full once it accepts a request that was sent after the rejection", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			before := clock.Now()
			clock.Advance(time.Millisecond)
			t.Record("p")
			clock.Advance(10 * time.Millisecond)
			t.Accepted("p", before)
			Expect(t.Remaining("p")).To(Equal(240*time.Millisecond), "the request may have taken the last capacity")
			t.Accepted("p", clock.Now())
			Expect(t.Remaining("p")).To(BeZero())
			Expect(t.List()).To(BeEmpty())
			clock.Advance(300 * time.Millisecond)
			t.Record("p")
			Expect(t.Remaining("p")).To(Equal(initialFullTime), "the rejections don't follow each other")
		})
	})

	ginkgo.It("is not full again by reports of rejections before the accepted request", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			t.Record("p")
			clock.Advance(10 * time.Millisecond)
			t.Accepted("p", clock.Now())
			t.Accepted("p", clock.Now())
			t.Merge([]Entry{entryOf("p", 240*time.Millisecond+mergeSlack)})
			Expect(t.Remaining("p")).To(BeZero())
			t.Merge([]Entry{entryOf("p", 500*time.Millisecond)})
			Expect(t.Remaining("p")).To(Equal(500*time.Millisecond), "another host was rejected later")
		})
	})

	ginkgo.It("is known to other hosts for the time that is left, which no report prolongs beyond the maximum", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			t.Merge([]Entry{
				entryOf("p", 400*time.Millisecond),
				entryOf("q", time.Hour),
				entryOf("r", 0),
				entryOf("s", -time.Second),
			})
			Expect(t.Remaining("p")).To(Equal(400 * time.Millisecond))
			Expect(t.Remaining("q")).To(Equal(maxFullTime))
			Expect(t.Remaining("r")).To(BeZero())
			Expect(t.Remaining("s")).To(BeZero())
			t.Merge([]Entry{entryOf("q", 300*time.Millisecond)})
			Expect(t.Remaining("q")).To(Equal(maxFullTime), "a shorter time doesn't end it earlier")
		})
	})

	ginkgo.It("is reported by the host that was rejected, not by those that were told of it", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			t.Record("p")
			t.Merge([]Entry{entryOf("p", 800*time.Millisecond), entryOf("q", 300*time.Millisecond)})
			Expect(t.List()).To(Equal([]Entry{entryOf("p", initialFullTime)}))
			Expect(t.All()).To(Equal([]Entry{entryOf("p", 800*time.Millisecond), entryOf("q", 300*time.Millisecond)}))
			clock.Advance(initialFullTime)
			Expect(t.List()).To(BeEmpty())
		})
	})

	ginkgo.It("is reported if it stays full for longest, where there are many", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			for i := range 2 * MaxSent {
				t.Record(fmt.Sprint("e", i))
				clock.Advance(time.Millisecond)
			}
			for _, c := range []struct {
				list []Entry
				want int
			}{
				{t.List(), MaxReported},
				{t.All(), MaxSent},
			} {
				Expect(c.list).To(HaveLen(c.want))
				for i, e := range c.list {
					Expect(e).To(Equal(entryOf(fmt.Sprint("e", 2*MaxSent-1-i), initialFullTime-time.Duration(i+1)*time.Millisecond)))
				}
			}
		})
	})

	ginkgo.It("leaves nothing behind once it has no effect any longer", func() {
		withTracker(func(t *Tracker, clock *timer.Manual) {
			Expect(t.HasAny()).To(BeFalse())
			t.Record("p")
			t.Merge([]Entry{entryOf("q", time.Second)})
			Expect(t.HasAny()).To(BeTrue())
			clock.Advance(3 * time.Second)
			Expect(t.HasAny()).To(BeFalse())
			Expect(t.entries).To(BeEmpty())
		})
	})
})
