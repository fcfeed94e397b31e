package fleetcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// largeConfiguration has many routes, whose names compress badly.
func largeConfiguration(version uint64) []byte {
	cfg := &fleet.Configuration{
		Version: version,
		Services: []fleet.Service{{
			Name: "s",
		}},
	}
	for i := range 1500 {
		n := uint64(i) * 0x9e3779b97f4a7c15
		cfg.Routes = append(cfg.Routes, fleet.Route{
			Name:    fmt.Sprintf("r%x", n),
			Host:    "h",
			Prefix:  fmt.Sprintf("/%x/", n*n),
			Timeout: time.Second,
			Split: []fleet.Share{{
				Service: "s",
				Weight:  1,
			}},
		})
	}
	text, err := json.Marshal(cfg)
	Expect(err).NotTo(HaveOccurred())
	return text
}

var _ = Describe("a configuration of many routes", func() {
	It("is sent as a patch to hosts that hold the previous version, and otherwise comes from another replica", func() {
		withCluster(func(c *cluster) {
			ip := c.leader()
			lead := c.hosts[ip].server
			ask := func(q *rpc.SyncRequest) *rpc.SyncReply {
				var got *rpc.SyncReply
				Eventually(func() bool {
					reply, err := lead.Sync(context.Background(), q)
					got = reply
					return err == nil && reply.GetConfirmed()
				}, "5s", "20ms").Should(BeTrue())
				return got
			}
			c.replaceConfig(ip, largeConfiguration(7))
			withheld := ask(&rpc.SyncRequest{Host: &rpc.FleetHost{Name: "a"}, AskOthers: true})
			Expect(withheld.GetNewest()).To(BeEquivalentTo(7))
			Expect(withheld.GetDocument()).To(BeNil())
			Expect(withheld.GetPatch()).To(BeNil())
			Expect(ask(&rpc.SyncRequest{Host: &rpc.FleetHost{Name: "b"}}).GetDocument()).NotTo(BeNil(), "the host could not get it from another replica")

			other := c.hosts[c.otherHost(ip)].server
			var first *rpc.StandingReply
			Eventually(func() uint64 {
				reply, err := other.Standing(context.Background(), &rpc.StandingRequest{})
				Expect(err).NotTo(HaveOccurred())
				first = reply
				return reply.GetDocument().GetVersion()
			}, "5s", "10ms").Should(BeEquivalentTo(7))
			content, err := fleet.Unpack(first.GetDocument().GetContent())
			Expect(err).NotTo(HaveOccurred())
			Expect(content).To(Equal(largeConfiguration(7)))

			Eventually(func() error {
				_, _, err := other.history.Patch(1, 7)
				return err
			}).Should(Succeed())
			c.replaceConfig(ip, largeConfiguration(9))
			patched := ask(&rpc.SyncRequest{Host: &rpc.FleetHost{Name: "c"}, DocumentVersion: 7, AskOthers: true})
			Expect(patched.GetPatch().GetBase()).To(BeEquivalentTo(7))
			Expect(len(patched.GetPatch().GetPatch())).To(BeNumerically("<", 500))
			next, err := fleet.ApplyPatch(content, patched.GetPatch().GetPatch())
			Expect(err).NotTo(HaveOccurred())
			Expect(next).To(Equal(largeConfiguration(9)))
			Expect(fleet.ContentDigest(next)).To(Equal(patched.GetPatch().GetDigest()))

			none, err := lead.Standing(context.Background(), &rpc.StandingRequest{Held: 9})
			Expect(err).NotTo(HaveOccurred())
			Expect(none.GetDocument() == nil && none.GetPatch() == nil).To(BeTrue())
		})
	})

	It("can be patched by every replica, since any may lead next", func() {
		withCluster(func(c *cluster) {
			ip := c.leader()
			c.replaceConfig(ip, largeConfiguration(7))
			for _, one := range c.ips {
				s := c.hosts[one].server
				Eventually(func() uint64 {
					_, machine := s.replica.current()
					return machine.Document().GetVersion()
				}, "5s", "10ms").Should(BeEquivalentTo(7))
			}
			time.Sleep(2 * leadInterval) // each records the committed configuration once per leadInterval
			c.replaceConfig(ip, largeConfiguration(9))
			for _, one := range c.ips {
				s := c.hosts[one].server
				Eventually(func() uint64 {
					reply, err := s.Standing(context.Background(), &rpc.StandingRequest{Held: 7})
					Expect(err).NotTo(HaveOccurred())
					Expect(reply.GetDocument()).To(BeNil())
					return reply.GetPatch().GetVersion()
				}, "5s", "10ms").Should(BeEquivalentTo(9))
			}
		})
	})
})
