package registry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// foreign returns an announcement for another service, with the address of endpoint("real", n).
func foreign(startedAt int64, sequence uint64) fleet.Endpoint {
	e := startedEndpoint("other", startedAt, sequence)
	e.Service = "another"
	return e
}

var _ = Describe("an announcement with the address of an endpoint of another service", func() {
	// Guards against another program's heartbeats that end sound endpoints for as long as these run: a
	// replica that receives few of an endpoint's heartbeats took it for silent.
	It("doesn't end that endpoint, however long ago this replica received a heartbeat of it", func() {
		for _, silence := range []time.Duration{0, interval, 2 * interval, 10 * interval, forgetAfter} {
			withTable(func(t *Table, clock *timer.Manual) {
				real := startedEndpoint("real", 1000, 5)
				t.Announce(real)
				clock.Advance(silence)
				for n := uint64(1); n <= 3; n++ {
					t.Announce(foreign(2000, n))
				}
				Expect(usableIDs(t)).To(ContainElement(real.ID), silence.String())
				real.Sequence = 50
				t.Announce(real)
				list, _ := t.ChangesSince(0)
				leader := New(clock, nil, interval)
				leader.Merge(list)
				Expect(usableIDs(leader)).To(ContainElement(real.ID), silence.String())
			})
		}
	})

	// Guards against a sound endpoint that is unknown to a replica which has just started, and whose
	// heartbeats count as late ones of an ended incarnation while another program claims its address.
	It("doesn't make the heartbeats of that endpoint count as late", func() {
		for _, startedAt := range []int64{0, 1000} {
			withTable(func(t *Table, clock *timer.Manual) {
				for n := uint64(1); n <= 4; n++ {
					t.Announce(foreign(2*startedAt, n))
					clock.Advance(interval / 2)
					e := startedEndpoint("real", startedAt, 500+n)
					t.Announce(e)
					Expect(usableIDs(t)).To(ContainElement(e.ID))
				}
			})
		}
	})

	It("marks it silent once its own heartbeats are late, until the next one, whatever answers there", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			real := endpoint("real", 5)
			t.Announce(real)
			silent := func() bool {
				e, _ := t.Get("real")
				return e.Silent
			}
			for n := uint64(1); n <= 3; n++ {
				clock.Advance(interval)
				t.Announce(foreign(0, n))
				Expect(t.Sweep()).To(BeEmpty())
				Expect(silent()).To(BeFalse())
			}
			clock.Advance(interval / 2)
			t.MarkPaused("real")
			clock.Advance(interval / 2)
			t.Announce(foreign(0, 4))
			Expect(t.Sweep()).To(BeEmpty(), "it need not be probed")
			Expect(silent()).To(BeTrue())
			_, accepting := t.Silence("real")
			Expect(accepting).To(BeFalse(), "it is the other that accepts connections")
			t.MarkAnswered("real")
			t.UpdateStatus("real", Status{Slowdown: 1})
			Expect(silent()).To(BeTrue(), "the other may have answered")
			real.Sequence = 6
			t.Announce(real)
			Expect(silent()).To(BeFalse())
			t.Sweep()
			Expect(silent()).To(BeFalse())
			Expect(usableIDs(t)).To(ConsistOf("real", "other"))
		})
	})

	It("leaves it to the probes if the other isn't heard any more either", func() {
		withTable(func(t *Table, clock *timer.Manual) {
			t.Announce(endpoint("real", 5))
			clock.Advance(2 * interval)
			t.Announce(foreign(0, 1))
			clock.Advance((silentHeartbeats + occupantHeartbeats) * interval)
			Expect(t.Sweep()).To(HaveLen(2))
			t.MarkSilent("real")
			t.MarkAnswered("real")
			e, _ := t.Get("real")
			Expect(e.Silent).To(BeFalse())
		})
	})
})
