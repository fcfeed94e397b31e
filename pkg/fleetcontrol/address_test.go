package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Another program announced endpoints of a service that no configuration names, with the addresses
// of sound endpoints. Replicas that receive few heartbeats of an endpoint took these for silent, and
// so for replaced; they marked them gone, and told the leader so with the next heartbeat. Gone is
// never reset: a route to that service was never served. The reports' senders and the leader's log
// (endpoint_gone of ids whose heartbeats went on) showed it.
var _ = Describe("announcements of another program with the address of a sound endpoint", func() {
	// Guards against sound endpoints that end because another program names their addresses.
	It("leave it usable at every replica, whichever gets its heartbeats", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			e := announcement(false, 0)
			e.ID, e.StartedAt = fleet.IncarnationID("e1", 1000), 1000
			announce := func(ip string) {
				e.Sequence++
				Expect(c.hosts[ip].server.Announce(context.Background(), e)).To(Succeed())
			}
			usable := func(ip string) bool {
				one, _ := c.hosts[ip].server.table.Get(e.ID)
				return one.Usable()
			}
			receiver := c.otherHost(lead)
			announce(receiver)
			for _, ip := range c.ips {
				Eventually(c.knownEndpoints(ip), "5s", "10ms").Should(HaveLen(1))
			}
			for end := time.Now().Add(3 * c.heartbeat); time.Now().Before(end); time.Sleep(c.heartbeat / 2) {
				announce(receiver) // the others hear nothing of it
			}
			for _, ip := range c.ips {
				other := announcement(false, 1)
				other.ID, other.StartedAt, other.Service = fleet.IncarnationID("w", 2000), 2000, "of-another-program"
				Expect(c.hosts[ip].server.Announce(context.Background(), other)).To(Succeed())
			}
			for _, ip := range c.ips {
				announce(ip)
				Expect(usable(ip)).To(BeTrue())
			}
			Consistently(func() bool { return usable(lead) }, 2*propagateInterval, "20ms").Should(BeTrue())
		})
	})
})
