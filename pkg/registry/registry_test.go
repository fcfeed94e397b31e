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
	It("keeps the highest sequence, whatever arrives late", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			e := endpoint("a", 5)
			e.Layers = fleet.Range{From: 0, To: 8}
			Expect(t.Announce(e)).To(BeTrue())
			Expect(t.Announce(endpoint("a", 4))).To(BeFalse())
			Expect(t.All()[0].Layers.To).To(Equal(8))
		})
	})

	It("never resets that an endpoint is leaving or gone", func() {
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

	It("keeps an incarnation that was gone before it was ever announced", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			t.MarkGone("late")
			t.Announce(endpoint("late", 1))
			Expect(t.All()[0].Usable()).To(BeFalse())
		})
	})

	It("rejects a heartbeat of an earlier incarnation that was delayed until another announced itself at its address", func() {
		cases := []struct {
			name     string
			late     uint64        // sequence of the heartbeat that arrives late
			silent   time.Duration // since the other's last heartbeat
			accepted bool
			replaced bool
		}{
			{name: "delayed by a partition", late: 40, silent: interval, accepted: false},
			{name: "a new incarnation after a crash", late: 1, silent: interval, accepted: true, replaced: true},
			{name: "the other has crashed too", late: 40, silent: 2 * interval, accepted: true, replaced: true},
		}
		for _, c := range cases {
			withTable(func(t *Table, clock *timer.Manual) {
				t.Announce(endpoint("new", 3))
				clock.Advance(c.silent)
				Expect(t.Announce(endpoint("old", c.late))).To(Equal(c.accepted), c.name)
				byID := map[string]fleet.Endpoint{}
				for _, e := range t.All() {
					byID[e.ID] = e
				}
				old := byID["old"]
				Expect(old.Address != "" && old.Usable()).To(Equal(c.accepted), c.name)
				another := byID["new"]
				Expect(another.Usable()).To(Equal(!c.replaced), c.name)
			})
		}
	})

	It("accepts that an incarnation is gone, whichever is at its address", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			t.Announce(endpoint("new", 3))
			gone := endpoint("old", 40)
			gone.Gone = true
			t.Merge([]fleet.Endpoint{gone})
			Expect(t.All()).To(HaveLen(2))
		})
	})

	It("returns the endpoints whose heartbeats are late, without marking them silent", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("a", 1))
			clock.Advance(4 * interval)
			Expect(t.Sweep()).To(HaveLen(1))
			Expect(t.All()[0].Silent).To(BeFalse())
		})
	})

	It("resets silent with the next heartbeat or answer", func() {
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

	It("tells for how long an endpoint is silent, and whether it accepts connections", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("a", 1))
			t.MarkPaused("a")
			clock.Advance(interval)
			d, paused := t.Silence("a")
			Expect(d).To(Equal(interval))
			Expect(paused).To(BeTrue())
			t.MarkSilent("a")
			d, paused = t.Silence("a")
			Expect(d).To(Equal(interval), "it has been silent all the time")
			Expect(paused).To(BeFalse())
			t.Announce(endpoint("a", 2))
			d, paused = t.Silence("a")
			Expect(d).To(BeZero())
			Expect(paused).To(BeFalse())
			t.MarkSilent("a")
			d, _ = t.Silence("a")
			Expect(d).To(BeZero(), "it was heard in between")
		})
	})

	It("keeps that an endpoint is loading over heartbeats, which don't include it", func() {
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

	It("takes an endpoint that was ordered to hold other layers as loading at once", func() {
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

	It("lists the endpoints that were lately found to be leaving, the newest first", func() {
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
			t.Announce(e) // a further heartbeat of a leaving endpoint is no departure
			t.MarkGone("b")
			Expect(leaving(time.Second)).To(Equal([]string{"b"}))
			Expect(leaving(10 * time.Second)).To(Equal([]string{"b", "a"}))
			clock.Advance(forgetAfter)
			t.MarkGone("c")
			Expect(leaving(time.Hour)).To(Equal([]string{"c", "b"}), "the older one is forgotten")
		})
	})

	It("lists changes only up to a limit", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			for _, id := range []string{"a", "b", "c"} {
				e := endpoint(id, 1)
				e.Address = id + ":80"
				t.Announce(e)
			}
			cases := []struct {
				known    uint64
				limit    int
				entries  int
				complete bool
			}{
				{known: 0, limit: 3, entries: 3, complete: true},
				{known: 0, limit: 2, entries: 0, complete: false},
				{known: 2, limit: 1, entries: 1, complete: true},
				{known: 3, limit: 0, entries: 0, complete: true},
			}
			for _, k := range cases {
				list, version, complete := t.ChangesUpTo(k.known, k.limit)
				Expect(list).To(HaveLen(k.entries))
				Expect(complete).To(Equal(k.complete))
				Expect(version).To(BeEquivalentTo(3))
			}
		})
	})

	It("takes restored endpoints as silent until they answer, and drops those without a heartbeat", func() {
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
			Expect(t.Announced()).To(HaveLen(1), "only entries with a heartbeat are passed on")
			t.UpdateStatus("a", Status{Layers: fleet.Range{From: 0, To: 4}, Slowdown: 1})
			t.MarkAnswered("b")
			for _, id := range []string{"a", "b"} {
				e, _ = t.Get(id)
				Expect(e.Silent).To(BeFalse(), id)
			}
			clock.Advance(time.Minute + time.Second)
			Expect(t.Sweep()).To(BeEmpty(), "restored endpoints have no heartbeat that could be late")
			Expect(t.Announce(endpoint("a", 3))).To(BeTrue(), "other replicas must learn that it is running")
			Expect(t.DropRestored()).To(Equal(1))
			_, there := t.Get("a")
			Expect(there).To(BeTrue())
			_, there = t.Get("b")
			Expect(there).To(BeFalse())
		})
	})

	It("marks a restored incarnation gone when a new one has its address", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			t.Restore([]fleet.Endpoint{endpoint("old", 5)})
			t.Announce(endpoint("new", 1))
			e, _ := t.Get("old")
			Expect(e.Gone).To(BeTrue())
		})
	})

	It("lists the changes since a version, and wakes those who wait", func() {
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

	It("marks the earlier incarnation gone when a new one has its address", func() {
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

	It("drops endpoints without contact for long", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("a", 1))
			clock.Advance(forgetAfter + time.Second)
			t.Sweep()
			Expect(t.All()).To(BeEmpty())
		})
	})
})

// model is the state to which tables converge: the highest sequence, and whether any
// announcement said that the endpoint is leaving.
type model struct {
	sequence uint64
	leaving  bool
}

// TestMergeAgrees checks that two tables which receive heartbeats in any order, late, twice or
// only from each other, converge to the same state as a simple model.
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
			if rapid.Bool().Draw(rt, "propagate") {
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
