package fleetcontrol

import (
	"context"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a replica that lost its disk", func() {
	It("joins under a new id, receives the log, and knows the leader", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			c.replaceConfig(lead, document(3, "a"))
			wiped := c.otherHost(lead)
			c.stop(wiped)
			c.wipe(wiped)
			c.start(wiped, false)
			Eventually(func() string {
				_, _, leader := c.hosts[wiped].server.replica.Leads(context.Background())
				return leader
			}, "10s", "20ms").ShouldNot(BeEmpty())
			Eventually(func() uint64 {
				_, machine := c.hosts[wiped].server.replica.current()
				return machine.Document().GetVersion()
			}, "10s", "20ms").Should(Equal(uint64(3)))
		})
	})

	It("doesn't help to form a majority without the committed configuration after a stop of all", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			c.replaceConfig(lead, document(3, "a"))
			for _, ip := range c.ips {
				c.stop(ip)
			}
			c.wipe(lead)
			for _, ip := range c.ips {
				c.start(ip, false)
			}
			next := c.leader()
			Eventually(func() uint64 {
				doc, err := c.hosts[next].server.Newest(context.Background(), &rpc.Empty{})
				if err != nil {
					return 0
				}
				return doc.GetVersion()
			}, "10s", "50ms").Should(Equal(uint64(3)))
		})
	})
})
