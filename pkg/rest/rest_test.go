package rest

import (
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rest")
}

// withBook runs f on a book without rests.
func withBook(f func(b *Tracker, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(New(clock), clock)
}

var _ = Describe("a rest", func() {
	It("lasts as long as the longest that was asked for, and no longer", func() {
		withBook(func(b *Tracker, clock *timer.Manual) {
			b.Record("p", 3*time.Second)
			clock.Advance(time.Second)
			b.Record("p", time.Second)
			Expect(b.Remaining("p")).To(Equal(2 * time.Second))
			b.Record("p", 5*time.Second)
			Expect(b.Remaining("p")).To(Equal(5 * time.Second))
			Expect(b.Remaining("q")).To(BeZero())
			clock.Advance(5 * time.Second)
			Expect(b.Remaining("p")).To(BeZero())
			Expect(b.Active()).To(BeEmpty())
		})
	})

	It("allows one call in spite of it, not at its begin, and not again when it is drawn out", func() {
		withBook(func(b *Tracker, clock *timer.Manual) {
			Expect(b.TryAcquire("p")).To(BeTrue(), "it doesn't rest")
			b.Record("p", 3*time.Second)
			Expect(b.TryAcquire("p")).To(BeFalse())
			clock.Advance(tryAfter)
			Expect(b.MayCall("p")).To(BeTrue())
			Expect(b.TryAcquire("p")).To(BeTrue())
			Expect(b.TryAcquire("p")).To(BeFalse())
			b.Record("p", 3*time.Second)
			clock.Advance(tryAfter)
			Expect(b.TryAcquire("p")).To(BeFalse(), "in no rest may it be twice")
			clock.Advance(3 * time.Second)
			b.Record("p", 3*time.Second)
			clock.Advance(tryAfter)
			Expect(b.TryAcquire("p")).To(BeTrue(), "it was free meanwhile")
		})
	})

	It("is of the start that asked for it, or of one that was there by then", func() {
		cases := []struct {
			name    string
			asked   string
			born    time.Duration // of the next start, from when the rest was asked for
			holds   bool
			nothing bool // the endpoint doesn't tell when it started
		}{
			{name: "started later", asked: fleet.IncarnationID("p", 5), born: 2 * time.Second},
			{name: "had started by then, and the host didn't know", asked: fleet.IncarnationID("p", 5), born: -2 * time.Second, holds: true},
			{name: "clocks differ a little", asked: fleet.IncarnationID("p", 5), born: bornSlack / 2, holds: true},
			{name: "tells no start", asked: "p", nothing: true, holds: true},
		}
		for _, c := range cases {
			withBook(func(b *Tracker, clock *timer.Manual) {
				b.Record(c.asked, time.Hour)
				next := fleet.IncarnationID("p", clock.Wall().Add(c.born).UnixMilli())
				if c.nothing {
					next = "p"
				}
				Expect(b.Remaining(next) > 0).To(Equal(c.holds), c.name)
				b.Record(next, time.Minute)
				Expect(b.Remaining(next) > time.Minute).To(Equal(c.holds), c.name)
				Expect(b.Len()).To(Equal(1), c.name)
			})
		}
	})

	It("is forgotten once it is over, however many there were", func() {
		withBook(func(b *Tracker, clock *timer.Manual) {
			for n := range 3200 {
				b.Record(string(rune('a'+n)), time.Duration(1+n%3)*time.Second)
			}
			clock.Advance(4 * time.Second)
			b.Record("p", time.Second)
			Expect(b.Len()).To(Equal(1))
		})
	})
})

func BenchmarkLeft(b *testing.B) {
	book := New(timer.NewSystem())
	book.Record("p", time.Hour)
	for b.Loop() {
		book.Remaining("q")
	}
}
