package registry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startedEndpoint is an endpoint that tells when it started.
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

var _ = Describe("incarnations that tell when they started", func() {
	It("are ordered by that, whatever arrives first and from wherever", func() {
		for _, later := range []int64{2000, 999_999_999} {
			withTable(func(t *Table, clock *timer.Manual) {
				t.Announce(startedEndpoint("i", later, 1))
				old := startedEndpoint("i", 1000, 70)
				old.LastHeartbeat = clock.Now().Add(time.Second) // another replica's word
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

	It("replace each other though the endpoint comes back at another address", func() {
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

	It("end by the endpoint's own id where its last word tells no start", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(startedEndpoint("i", 1000, 1))
			Expect(t.MarkGone("i").ID).To(Equal(fleet.IncarnationID("i", 1000)))
			Expect(usableIDs(t)).To(BeEmpty())
			clock.Advance(time.Second)
			t.Announce(startedEndpoint("i", 2000, 1))
			Expect(usableIDs(t)).To(HaveLen(1))
		})
	})

	It("don't come back by another replica's older word after the last one", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.MarkGone("i") // never heard of here
			old := startedEndpoint("i", 1000, 9)
			old.LastHeartbeat = clock.Now().Add(-time.Second)
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

// What was seen: a leader gave orders to an endpoint that had ended 3 s before, and
// again for 9 s, each refused as meant for another; paths over its layers failed.
// How it came about: the address had a new incarnation, which answered the leader's
// question to the old one 1 ms before the leader learnt of the new one by another
// replica's word, 10 ms old. What caused it: answers counted as heartbeats, so the old
// one seemed to have been heard of later than the new one, and stayed.
// What proved it: the leader's log shows the new one's layers under both names.
var _ = Describe("an endpoint that ended while another at its address answers questions", func() {
	It("is ended by the first word of the other", func() {
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

	It("isn't forgotten while it answers, though no heartbeat arrives", func() {
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
