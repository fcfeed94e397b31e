package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}

const interval = time.Second

func withTable(f func(t *Table, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(New(clock, nil, interval), clock)
}

func endpoint(id string, sequence uint64) fleet.Endpoint {
	return fleet.Endpoint{
		ID:       id,
		Service:  "s",
		Address:  "10.0.0.1:80",
		Sequence: sequence,
	}
}

var _ = Describe("the table of endpoints", func() {
	It("keeps the highest sequence, whatever comes late", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			e := endpoint("a", 5)
			e.Layers = fleet.Range{From: 0, To: 8}
			Expect(t.Announce(e)).To(BeTrue())
			Expect(t.Announce(endpoint("a", 4))).To(BeFalse())
			Expect(t.All()[0].Layers.To).To(Equal(8))
		})
	})

	It("never takes back that an endpoint leaves or has ended", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			e := endpoint("a", 1)
			e.Leaving = true
			t.Announce(e)
			t.Announce(endpoint("a", 2))
			Expect(t.All()[0].Leaving).To(BeTrue())
			t.MarkGone("a")
			t.Announce(endpoint("a", 9))
			Expect(t.All()[0].Usable()).To(BeFalse())
		})
	})

	It("keeps an incarnation that ended before it was ever announced", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			t.MarkGone("late")
			t.Announce(endpoint("late", 1))
			Expect(t.All()[0].Usable()).To(BeFalse())
		})
	})

	It("takes no heartbeat of an earlier incarnation that was held back until another came at its address", func() {
		cases := []struct {
			name     string
			late     uint64        // sequence of the one that comes late
			silent   time.Duration // since the other's last heartbeat
			takes    bool
			replaced bool
		}{
			{name: "held back by a cut", late: 40, silent: interval, takes: false},
			{name: "a new incarnation after a crash", late: 1, silent: interval, takes: true, replaced: true},
			{name: "the other is gone itself", late: 40, silent: 2 * interval, takes: true, replaced: true},
		}
		for _, c := range cases {
			withTable(func(t *Table, clock *timer.Manual) {
				t.Announce(endpoint("new", 3))
				clock.Advance(c.silent)
				Expect(t.Announce(endpoint("old", c.late))).To(Equal(c.takes), c.name)
				byID := map[string]fleet.Endpoint{}
				for _, e := range t.All() {
					byID[e.ID] = e
				}
				old := byID["old"]
				Expect(old.Address != "" && old.Usable()).To(Equal(c.takes), c.name)
				another := byID["new"]
				Expect(another.Usable()).To(Equal(!c.replaced), c.name)
			})
		}
	})

	It("takes what is known to have ended, whoever is at its address", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			t.Announce(endpoint("new", 3))
			gone := endpoint("old", 40)
			gone.Gone = true
			t.Merge([]fleet.Endpoint{gone})
			Expect(t.All()).To(HaveLen(2))
		})
	})

	It("names the endpoints whose heartbeats are late, without judging them", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("a", 1))
			clock.Advance(4 * interval)
			Expect(t.Sweep()).To(HaveLen(1))
			Expect(t.All()[0].Silent).To(BeFalse())
		})
	})

	It("takes a loss back with the next heartbeat or answer", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("a", 1))
			t.MarkSilent("a")
			Expect(t.All()[0].Silent).To(BeTrue())
			clock.Advance(time.Millisecond)
			t.Announce(endpoint("a", 2))
			Expect(t.All()[0].Silent).To(BeFalse())
			t.MarkSilent("a")
			t.UpdateStatus("a", Status{Slowdown: 1})
			Expect(t.All()[0].Silent).To(BeFalse())
		})
	})

	It("keeps that an endpoint loads over heartbeats that can't tell it", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			e := endpoint("a", 1)
			t.Announce(e)
			t.UpdateStatus("a", Status{Busy: true, Slowdown: 1})
			t.Announce(endpoint("a", 2))
			Expect(t.All()[0].Loading).To(BeTrue())
			done := endpoint("a", 3)
			done.Layers = fleet.Range{From: 0, To: 4}
			t.Announce(done)
			Expect(t.All()[0].Loading).To(BeFalse())
		})
	})

	It("takes an endpoint that was ordered to hold other layers for loading at once", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			e := endpoint("a", 1)
			e.Layers = fleet.Range{From: 0, To: 4}
			t.Announce(e)
			_, known := t.ChangesSince(0)
			t.MarkReassigned("a", 1)
			list, _ := t.ChangesSince(known)
			Expect(list).To(HaveLen(1), "entry hosts learn of it")
			Expect(list[0].Loading).To(BeTrue())
			Expect(list[0].Layers.Len()).To(Equal(0))
			Expect(list[0].Orders).To(BeEquivalentTo(1))
			t.MarkReassigned("unknown", 1)
			Expect(t.All()).To(HaveLen(1))
		})
	})

	It("tells which endpoints it learnt of lately that they leave, the newest first", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			for _, id := range []string{"a", "b", "c"} {
				e := endpoint(id, 1)
				e.Address = id + ":80"
				t.Announce(e)
			}
			leaving := func(age time.Duration) []string {
				list := []string{}
				for _, e := range t.LeavingSince(clock.Now().Add(-age)) {
					list = append(list, e.ID)
				}
				return list
			}
			Expect(leaving(time.Hour)).To(BeEmpty())
			e := endpoint("a", 2)
			e.Leaving = true
			t.Announce(e)
			clock.Advance(5 * time.Second)
			e.Sequence = 3
			t.Announce(e) // a heartbeat of one that leaves is no news
			t.MarkGone("b")
			Expect(leaving(time.Second)).To(Equal([]string{"b"}))
			Expect(leaving(10 * time.Second)).To(Equal([]string{"b", "a"}))
			clock.Advance(forgetAfter)
			t.MarkGone("c")
			Expect(leaving(time.Hour)).To(Equal([]string{"c", "b"}), "the older one is forgotten")
		})
	})

	It("tells what changed only where that is little", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			for _, id := range []string{"a", "b", "c"} {
				e := endpoint(id, 1)
				e.Address = id + ":80"
				t.Announce(e)
			}
			cases := []struct {
				known uint64
				most  int
				rows  int
				few   bool
			}{
				{known: 0, most: 3, rows: 3, few: true},
				{known: 0, most: 2, rows: 0, few: false},
				{known: 2, most: 1, rows: 1, few: true},
				{known: 3, most: 0, rows: 0, few: true},
			}
			for _, k := range cases {
				list, version, few := t.ChangesUpTo(k.known, k.most)
				Expect(list).To(HaveLen(k.rows))
				Expect(few).To(Equal(k.few))
				Expect(version).To(BeEquivalentTo(3))
			}
		})
	})

	It("takes recalled endpoints for silent until they answer, and drops those without a heartbeat", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			known := endpoint("known", 1)
			known.Address = "10.0.0.9:80"
			t.Announce(known)
			other := endpoint("b", 7)
			other.Address = "10.0.0.2:80"
			Expect(t.HasRestored()).To(BeFalse())
			Expect(t.Restore([]fleet.Endpoint{known, endpoint("a", 5), other})).To(Equal(2))
			Expect(t.HasRestored()).To(BeTrue())
			e, _ := t.Get("a")
			Expect(e.Silent).To(BeTrue())
			Expect(t.Announced()).To(HaveLen(1), "nothing is passed on that no heartbeat told of")
			t.UpdateStatus("a", Status{Layers: fleet.Range{From: 0, To: 4}, Slowdown: 1})
			t.MarkAnswered("b")
			for _, id := range []string{"a", "b"} {
				e, _ = t.Get(id)
				Expect(e.Silent).To(BeFalse(), id)
			}
			clock.Advance(time.Minute + time.Second)
			Expect(t.Sweep()).To(BeEmpty(), "recalled ones have no heartbeat that could be late")
			Expect(t.Announce(endpoint("a", 3))).To(BeTrue(), "other replicas must learn that it is there")
			Expect(t.DropRestored()).To(Equal(1))
			_, there := t.Get("a")
			Expect(there).To(BeTrue())
			_, there = t.Get("b")
			Expect(there).To(BeFalse())
		})
	})

	It("ends a recalled incarnation at the address of a new one", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			t.Restore([]fleet.Endpoint{endpoint("old", 5)})
			t.Announce(endpoint("new", 1))
			e, _ := t.Get("old")
			Expect(e.Gone).To(BeTrue())
		})
	})

	It("tells what changed since a version, and wakes who waits", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			t.Announce(endpoint("a", 1))
			_, known := t.ChangesSince(0)
			changed := t.Changed()
			other := endpoint("b", 1)
			other.Address = "10.0.0.2:80"
			t.Announce(other)
			Expect(changed).To(BeClosed())
			list, _ := t.ChangesSince(known)
			Expect(list).To(HaveLen(1))
			Expect(list[0].ID).To(Equal("b"))
		})
	})

	It("ends the earlier incarnation at the address of a new one", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("old", 7))
			t.MarkSilent("old")
			clock.Advance(time.Millisecond)
			t.Announce(endpoint("new", 1))
			t.UpdateStatus("old", Status{Slowdown: 1})
			for _, e := range t.All() {
				Expect(e.Usable()).To(Equal(e.ID == "new"), e.ID)
			}
		})
	})

	It("forgets what was not heard of for long", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("a", 1))
			clock.Advance(forgetAfter + time.Second)
			t.Sweep()
			Expect(t.All()).To(BeEmpty())
		})
	})
})

// model is the plain truth that tables converge to: the highest sequence, and
// whether any announcement said that the endpoint leaves.
type model struct {
	sequence uint64
	leaving  bool
}

// TestMergeAgrees checks that two tables which hear heartbeats in any order, late,
// twice or only from each other, come to agree with a plain model.
func TestMergeAgrees(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		tables := []*Table{New(clock, nil, interval), New(clock, nil, interval)}
		truth := map[string]*model{}
		n := rapid.IntRange(1, 40).Draw(rt, "steps")
		for range n {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(rt, "endpoint"))
			e := endpoint(id, uint64(rapid.IntRange(1, 9).Draw(rt, "sequence")))
			e.Address = id + ":80"
			e.Leaving = rapid.IntRange(0, 5).Draw(rt, "leaves") == 0
			tables[rapid.IntRange(0, 1).Draw(rt, "table")].Announce(e)
			m := truth[id]
			if m == nil {
				m = &model{}
				truth[id] = m
			}
			m.sequence = max(m.sequence, e.Sequence)
			m.leaving = m.leaving || e.Leaving
			if rapid.Bool().Draw(rt, "spread") {
				tables[1].Merge(tables[0].All())
			}
		}
		tables[0].Merge(tables[1].All())
		tables[1].Merge(tables[0].All())
		for _, table := range tables {
			for _, e := range table.All() {
				if e.Sequence != truth[e.ID].sequence || e.Leaving != truth[e.ID].leaving {
					rt.Fatalf("%s: sequence %d leaving %t, want %+v", e.ID, e.Sequence, e.Leaving, *truth[e.ID])
				}
			}
		}
	})
}
