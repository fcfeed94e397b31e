package registry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an announcement that contradicts those of the same incarnation", func() {
	changes := []struct {
		name   string
		change func(e *fleet.Endpoint)
	}{
		{"service", func(e *fleet.Endpoint) { e.Service = "other" }},
		{"address", func(e *fleet.Endpoint) { e.Address = "10.0.0.9:80" }},
		{"failure domain", func(e *fleet.Endpoint) { e.Domain = "elsewhere" }},
	}

	// Guards against another program's heartbeat, by which requests were sent to an endpoint of
	// another service, and its own service lost it.
	It("changes nothing while the endpoint goes on, whatever its sequence", func() {
		for _, c := range changes {
			withTable(func(t *Table, clock *timer.Manual) {
				for n := uint64(1); n <= 20; n++ {
					t.Announce(endpoint("a", n))
					for k := range uint64(contradictionsToBelieve + 1) {
						other := endpoint("a", 1_700_000_000_000+n)
						c.change(&other)
						if k > 0 { // the same one again, from other replicas
							t.Merge([]fleet.Endpoint{other})
							continue
						}
						t.Announce(other)
					}
					clock.Advance(interval)
					e, _ := t.Get("a")
					Expect(identityOf(&e)).To(Equal(identity{service: "s", address: "10.0.0.1:80"}), c.name)
					Expect(e.Sequence).To(Equal(n))
					Expect(e.Usable()).To(BeTrue())
				}
			})
		}
	})

	It("is believed once several came in a row: the first of all may have been another program's", func() {
		for _, c := range changes {
			withTable(func(t *Table, clock *timer.Manual) {
				other := endpoint("a", 1_700_000_000_000)
				c.change(&other)
				t.Announce(other)
				for n := uint64(1); n <= contradictionsToBelieve; n++ {
					clock.Advance(interval)
					t.Announce(endpoint("a", n))
				}
				e, _ := t.Get("a")
				Expect(identityOf(&e)).To(Equal(identity{service: "s", address: "10.0.0.1:80"}), c.name)
				Expect(t.Announce(endpoint("a", contradictionsToBelieve+1))).To(BeFalse(), "nothing that others must learn")
				e, _ = t.Get("a")
				Expect(e.Sequence).To(BeEquivalentTo(contradictionsToBelieve + 1))
			})
		}
	})

	It("is believed in that the endpoint is leaving", func() {
		for _, c := range changes {
			withTable(func(t *Table, _ *timer.Manual) {
				t.Announce(endpoint("a", 1))
				other := endpoint("a", 2)
				c.change(&other)
				other.Leaving = true
				Expect(t.Announce(other)).To(BeTrue())
				e, _ := t.Get("a")
				Expect(e.Leaving).To(BeTrue(), c.name)
				Expect(identityOf(&e)).To(Equal(identity{service: "s", address: "10.0.0.1:80"}), c.name)
			})
		}
	})

	It("is no announcement that says only that the endpoint is gone", func() {
		withTable(func(t *Table, _ *timer.Manual) {
			t.Announce(endpoint("a", 1))
			t.Merge([]fleet.Endpoint{{ID: "a", Gone: true, Leaving: true, LastHeartbeat: time.Unix(1000, 0)}})
			e, _ := t.Get("a")
			Expect(e.Gone).To(BeTrue())
		})
	})
})
