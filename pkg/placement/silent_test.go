package placement_test

import (
	"fmt"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// coverTwice announces ten endpoints that hold every layer once, and ten that do so again.
func (f *fixture) coverTwice() {
	f.cover()
	for i := range 10 {
		f.announce(fmt.Sprintf("f%d", i), fmt.Sprintf("10.0.1.%d:80", i), fleet.Range{From: 8 * i, To: 8*i + 8})
	}
}

// silence marks endpoints as silent.
func (f *fixture) silence(prefix string, n int) {
	for i := range n {
		f.table.MarkSilent(fmt.Sprint(prefix, i))
	}
}

// hear makes endpoints send a heartbeat.
func (f *fixture) hear(prefix string, from, to int) {
	for i := from; i < to; i++ {
		e, _ := f.table.Get(fmt.Sprint(prefix, i))
		e.Sequence++
		f.table.Announce(e)
	}
}

const round = 300 * time.Millisecond // between two rounds of the leader

// pass reconciles in each round for a time.
func (f *fixture) pass(d time.Duration) {
	for range d / round {
		f.reconcile()
		f.clock.Advance(round)
	}
	f.reconcile()
}

var _ = Describe("a controller whose endpoints are silent for a second", func() {
	It("fills the layers of one that accepts no connection at once", func() {
		withController(func(f *fixture) {
			f.coverTwice()
			f.reconcile()
			f.table.MarkGone("f0")
			f.silence("e", 1)
			f.reconcile()
			Expect(f.client.sent()).To(HaveLen(1))
			Expect(f.client.sent()[0].Layers).To(Equal(fleet.Range{From: 0, To: 8}))
		})
	})

	// Guards against weights that are loaded anew because an endpoint paused.
	It("keeps the layers of one that accepts connections, unless it stays silent or accepts none any more", func() {
		withController(func(f *fixture) {
			f.coverTwice()
			f.reconcile()
			f.table.MarkGone("f0")
			f.table.MarkPaused("e0")
			f.pass(1800 * time.Millisecond)
			Expect(f.client.sent()).To(BeEmpty())
			f.hear("e", 0, 1)
			f.table.MarkPaused("e0")
			f.pass(1800 * time.Millisecond)
			Expect(f.client.sent()).To(BeEmpty())
			f.pass(round)
			Expect(f.client.sent()).To(HaveLen(1))
		})
		withController(func(f *fixture) {
			f.coverTwice()
			f.table.MarkGone("f0")
			f.table.MarkPaused("e0")
			f.reconcile()
			Expect(f.client.sent()).To(BeEmpty())
			f.table.MarkSilent("e0")
			f.reconcile()
			Expect(f.client.sent()).To(HaveLen(1))
		})
	})

	// Guards against weights that are loaded anew after all endpoints have paused.
	It("moves no layers while most are silent, nor while they are heard again one after the other", func() {
		for _, silent := range []int{10, 6} { // of 10 in each copy
			withController(func(f *fixture) {
				f.coverTwice()
				f.reconcile()
				f.silence("e", silent)
				f.silence("f", silent)
				f.pass(1200 * time.Millisecond)
				for i := range silent {
					f.hear("e", i, i+1)
					f.hear("f", i, i+1)
					f.clock.Advance(50 * time.Millisecond)
					f.reconcile()
				}
				Expect(f.client.sent()).To(BeEmpty(), "%d of 10 silent", silent)
			})
		}
	})

	It("fills the layers of most of them if they stay silent", func() {
		withController(func(f *fixture) {
			f.coverTwice()
			f.reconcile()
			f.silence("e", 6)
			f.silence("f", 6)
			f.pass(1800 * time.Millisecond)
			Expect(f.client.sent()).To(BeEmpty())
			f.pass(round)
			Expect(f.client.sent()).NotTo(BeEmpty())
		})
	})

	It("fills the layers of half of them at once, if these accept no connection", func() {
		withController(func(f *fixture) {
			f.coverTwice()
			f.announce("spare0", "10.0.2.0:80", fleet.Range{})
			f.silence("e", 1)
			f.silence("f", 5)
			f.reconcile()
			Expect(f.ordersTo("spare")).To(Equal(1))
		})
	})

	// Guards against weights that are loaded anew because a restarted leader has heard of some
	// endpoints before the others.
	It("moves no layers while endpoints read from disk answer one after the other", func() {
		withController(func(f *fixture) {
			f.coverTwice()
			list := f.table.All()
			withController(func(f *fixture) {
				f.table.Restore(list)
				for i := range 10 {
					f.reconcile()
					f.hear("e", i, i+1)
					f.hear("f", i, i+1)
					f.clock.Advance(50 * time.Millisecond)
				}
				f.reconcile()
				Expect(f.client.sent()).To(BeEmpty())
			})
		})
	})

	// Guards against an endpoint that joins after a pause of all and is taken for one of the first.
	It("keeps a new endpoint for a gap after all were silent", func() {
		withController(func(f *fixture) {
			f.cover()
			f.reconcile()
			f.clock.Advance(time.Minute)
			f.hear("e", 0, 10)
			f.silence("e", 10)
			f.pass(3 * time.Second)
			f.hear("e", 0, 10)
			f.announce("new", "10.0.0.50:80", fleet.Range{})
			f.reconcile()
			Expect(f.client.sent()).To(BeEmpty())
		})
	})
})
