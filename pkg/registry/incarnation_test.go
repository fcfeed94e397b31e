package registry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// started is an endpoint that tells when it started.
func started(own string, born int64, sequence uint64) fleet.Endpoint {
	e := endpoint(fleet.IncarnationID(own, born), sequence)
	e.Born = born
	return e
}

func usableIDs(t *Table) []string {
	ids := []string{}
	for _, e := range t.All() {
		if e.Usable() {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

var _ = Describe("incarnations that tell when they started", func() {
	It("are ordered by that, whatever arrives first and from wherever", func() {
		for _, later := range []int64{2000, 999_999_999} {
			withTable(func(t *Table, clock *timer.Manual) {
				t.Announce(started("i", later, 1))
				old := started("i", 1000, 70)
				old.HeardAt = clock.Now().Add(time.Second) // another replica's word
				t.Merge([]fleet.Endpoint{old})
				Expect(usableIDs(t)).To(Equal([]string{fleet.IncarnationID("i", later)}))
			})
			withTable(func(t *Table, clock *timer.Manual) {
				t.Announce(started("i", 1000, 70))
				next := started("i", later, 1)
				next.HeardAt = clock.Now().Add(-time.Second)
				t.Merge([]fleet.Endpoint{next})
				Expect(usableIDs(t)).To(Equal([]string{fleet.IncarnationID("i", later)}))
			})
		}
	})

	It("end by the endpoint's own id where its last word tells no start", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(started("i", 1000, 1))
			Expect(t.Gone("i").ID).To(Equal(fleet.IncarnationID("i", 1000)))
			Expect(usableIDs(t)).To(BeEmpty())
			clock.Advance(time.Second)
			t.Announce(started("i", 2000, 1))
			Expect(usableIDs(t)).To(HaveLen(1))
		})
	})

	It("don't come back by another replica's older word after the last one", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Gone("i") // never heard of here
			old := started("i", 1000, 9)
			old.HeardAt = clock.Now().Add(-time.Second)
			t.Merge([]fleet.Endpoint{old})
			Expect(usableIDs(t)).To(BeEmpty())
		})
	})
})

var _ = Describe("an entry that holds the address of an endpoint of another service", func() {
	It("ends it only once nothing was heard of it for as long as addresses rest", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("real", 5))
			other := endpoint("other", 1)
			other.Service = "nowhere"
			clock.Advance(interval)
			t.Announce(other)
			Expect(usableIDs(t)).To(ContainElement("real"))
		})
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("real", 5))
			other := endpoint("other", 1)
			other.Service = "another"
			clock.Advance(2 * interval)
			t.Announce(other)
			Expect(usableIDs(t)).To(Equal([]string{"other"}))
		})
	})
})
