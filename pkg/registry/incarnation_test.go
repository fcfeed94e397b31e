package registry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startedEndpoint returns an incarnation with a start time.
func startedEndpoint(own string, startedAt int64, sequence uint64) fleet.Endpoint {
	e := endpoint(fleet.IncarnationID(own, startedAt), sequence)
	e.StartedAt = startedAt
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

var _ = Describe("incarnations with start times", func() {
	It("are ordered by them, whatever arrives first and from any replica", func() {
		for _, later := range []int64{2000, 999_999_999} {
			withTable(func(t *Table, clock *timer.Manual) {
				t.Announce(startedEndpoint("i", later, 1))
				old := startedEndpoint("i", 1000, 70)
				old.LastHeartbeat = clock.Now().Add(time.Second) // passed on by another replica
				t.Merge([]fleet.Endpoint{old})
				Expect(usableIDs(t)).To(Equal([]string{fleet.IncarnationID("i", later)}))
			})
			withTable(func(t *Table, clock *timer.Manual) {
				t.Announce(startedEndpoint("i", 1000, 70))
				next := startedEndpoint("i", later, 1)
				next.LastHeartbeat = clock.Now().Add(-time.Second)
				t.Merge([]fleet.Endpoint{next})
				Expect(usableIDs(t)).To(Equal([]string{fleet.IncarnationID("i", later)}))
			})
		}
	})

	It("replace each other even if the endpoint comes back at another address", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			next := startedEndpoint("i", 2000, 1)
			next.Address = "10.0.0.9:80"
			t.Announce(startedEndpoint("i", 1000, 70))
			t.Announce(next)
			Expect(usableIDs(t)).To(Equal([]string{next.ID}))
			t.Announce(startedEndpoint("i", 1500, 3)) // late
			Expect(usableIDs(t)).To(Equal([]string{next.ID}))
		})
	})

	It("are marked gone by the endpoint's own id if its deregistration has no start time", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(startedEndpoint("i", 1000, 1))
			Expect(t.MarkGone("i").ID).To(Equal(fleet.IncarnationID("i", 1000)))
			Expect(usableIDs(t)).To(BeEmpty())
			clock.Advance(time.Second)
			t.Announce(startedEndpoint("i", 2000, 1))
			Expect(usableIDs(t)).To(HaveLen(1))
		})
	})

	It("don't come back by an older announcement from another replica after the deregistration", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.MarkGone("i") // not known to this replica
			old := startedEndpoint("i", 1000, 9)
			old.LastHeartbeat = clock.Now().Add(-time.Second)
			t.Merge([]fleet.Endpoint{old})
			Expect(usableIDs(t)).To(BeEmpty())
		})
	})
})

// Guards against keeping an old incarnation whose address a new one has taken: answers to status
// queries, which the new one may give in its place, must not count as its heartbeats.
var _ = Describe("an endpoint that is gone while another at its address answers status queries", func() {
	It("is marked gone by the first announcement of the other", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("old", 11))
			clock.Advance(2 * interval)
			t.MarkSilent("old")
			clock.Advance(interval)
			next := endpoint("new", 1)
			next.LastHeartbeat = clock.Now()
			clock.Advance(10 * time.Millisecond)
			t.UpdateStatus("old", Status{Layers: fleet.Range{From: 0, To: 8}})
			clock.Advance(time.Millisecond)
			t.Merge([]fleet.Endpoint{next})
			Expect(usableIDs(t)).To(Equal([]string{"new"}))
		})
	})

	It("isn't dropped while it answers, though no heartbeat arrives", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("a", 1))
			for range 2 * int(forgetAfter/interval) {
				clock.Advance(interval)
				t.UpdateStatus("a", Status{})
				Expect(t.Sweep()).To(BeEmpty())
			}
			Expect(usableIDs(t)).To(Equal([]string{"a"}))
		})
	})
})
