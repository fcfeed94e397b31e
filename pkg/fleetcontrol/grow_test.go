package fleetcontrol

import (
	"context"
	"os"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a cluster that tolerates two disk losses", func() {
	It("adds later hosts as replicas, and survives two lost disks after a stop of all", func() {
		withCluster(func(c *cluster) {
			c.losses = 2
			more := []string{"127.0.1.4", "127.0.1.5", "127.0.1.6"}
			for _, ip := range more {
				c.start(ip, true)
			}
			Eventually(func() int {
				return len(c.hosts[c.leader()].server.replica.Members())
			}, "15s", "50ms").Should(Equal(6))
			Eventually(func() int {
				return len(c.hosts[c.leader()].server.replica.Voters())
			}, "15s", "50ms").Should(Equal(5), "three can't lose two")
			c.replaceConfig(c.leader(), document(5, "a"))
			all := append(append([]string{}, c.ips...), more...)
			for _, ip := range all {
				c.stop(ip)
			}
			c.wipe(all[0])
			c.wipe(all[5])
			for _, ip := range all {
				c.start(ip, false)
			}
			Eventually(func() uint64 {
				doc, err := c.hosts[c.leader()].server.Newest(context.Background(), &rpc.Empty{})
				if err != nil {
					return 0
				}
				return doc.GetVersion()
			}, "15s", "50ms").Should(Equal(uint64(5)))
		})
	})
})

var _ = Describe("a control host without a disk", func() {
	It("learns the replicas after a stop of all even if it is the only seed itself", func() {
		withCluster(func(c *cluster) {
			const ip = "127.0.1.9"
			c.diskless = ip
			for _, one := range c.ips {
				c.stop(one)
			}
			c.seeds = []string{ip}
			c.start(ip, false)
			for _, one := range c.ips {
				c.start(one, false)
			}
			Eventually(func() string {
				_, _, leader := c.hosts[ip].server.replica.Leads(context.Background())
				return leader
			}, "10s", "20ms").ShouldNot(BeEmpty())
		})
	})

	It("is no replica, knows the leader, and forwards calls to it", func() {
		withCluster(func(c *cluster) {
			const ip = "127.0.1.9"
			c.diskless = ip
			c.start(ip, false)
			Eventually(func() string {
				_, _, leader := c.hosts[ip].server.replica.Leads(context.Background())
				return leader
			}, "10s", "20ms").ShouldNot(BeEmpty())
			c.replaceConfig(ip, document(4, "a"))
			text, err := c.hosts[ip].server.Read(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(Equal(document(4, "a")))
			_, err = os.Stat(c.dataFolder(ip))
			Expect(os.IsNotExist(err)).To(BeTrue())
			Expect(c.hosts[c.leader()].server.replica.Members()).To(HaveLen(3))
		})
	})
})
