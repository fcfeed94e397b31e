package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func announcement(leaving bool, sequence uint64) fleet.Endpoint {
	return fleet.Endpoint{
		ID:       "e1",
		Service:  "s",
		Address:  "127.0.2.1:80",
		Leaving:  leaving,
		Sequence: sequence,
	}
}

func (c *cluster) knownEndpoints(ip string) func() []fleet.Endpoint {
	return func() []fleet.Endpoint {
		return c.hosts[ip].server.table.All()
	}
}

var _ = Describe("endpoint announcements", func() {
	It("reach every replica; a leave announcement reaches the leader before it is acknowledged", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			other := c.otherHost(lead)
			s := c.hosts[other].server
			Expect(s.Announce(context.Background(), announcement(false, 1))).To(Succeed())
			Eventually(c.knownEndpoints(lead), "5s", "10ms").Should(HaveLen(1))
			Expect(s.Announce(context.Background(), announcement(true, 2))).To(Succeed())
			Expect(c.knownEndpoints(lead)()[0].Leaving).To(BeTrue())
		})
	})

	It("of a leave are not acknowledged by a replica that reaches no other", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			alone := c.otherHost(lead)
			for _, ip := range c.ips {
				if ip != alone {
					c.stop(ip)
				}
			}
			s := c.hosts[alone].server
			Expect(s.Announce(context.Background(), announcement(true, 2))).To(MatchError(ErrNoMajority))
			Expect(s.Deregister(context.Background(), "e1")).To(MatchError(ErrNoMajority))
		})
	})

	It("of a leave are not acknowledged by two of five replicas, even if one leads, since the others may elect another leader", func() {
		withCluster(func(c *cluster) {
			c.losses = 2
			extra := []string{"127.0.1.4", "127.0.1.5"}
			for _, ip := range extra {
				c.start(ip, true)
			}
			lead := c.leader()
			Eventually(func() int { return len(c.hosts[lead].server.replica.Voters()) }, "15s", "50ms").Should(Equal(5))
			s := c.hosts[lead].server
			Expect(s.Announce(context.Background(), announcement(true, 2))).To(Succeed())
			left := 5
			for _, ip := range append(append([]string{}, c.ips...), extra...) {
				if ip != lead && left > 2 {
					c.stop(ip)
					left--
				}
			}
			Expect(s.Announce(context.Background(), announcement(true, 3))).To(MatchError(ErrNoMajority))
			Expect(s.Deregister(context.Background(), "e1")).To(MatchError(ErrNoMajority))
		})
	})

	// Guards against a leave that only a replica without a vote knows: the next leader needn't.
	It("of a leave are not acknowledged by a leader and a learner", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			c.replaceConfig(lead, document(3, "a"))
			c.startReplacement(3)
			s := c.hosts[lead].server
			Expect(s.replica.Members()).To(HaveLen(4))
			Expect(s.Announce(context.Background(), announcement(true, 2))).To(Succeed())
			Expect(c.hosts[replacementIP].server.table.All()).To(HaveLen(1), "a learner is told as well")
			for _, ip := range c.ips {
				if ip != lead {
					c.stop(ip)
				}
			}
			Expect(s.Announce(context.Background(), announcement(true, 3))).To(MatchError(ErrNoMajority))
		})
	})

	It("of a leave are not acknowledged by a leader that reaches no other replica, even while its lease is valid", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			s := c.hosts[lead].server
			Expect(s.Announce(context.Background(), announcement(true, 2))).To(Succeed())
			for _, ip := range c.ips {
				if ip != lead {
					c.stop(ip)
				}
			}
			machine, _, _ := s.replica.Leads(context.Background())
			Expect(machine).NotTo(BeNil(), "the lease is valid for 0.27 s")
			Expect(s.Announce(context.Background(), announcement(true, 3))).To(MatchError(ErrNoMajority))
			Expect(s.Deregister(context.Background(), "e1")).To(MatchError(ErrNoMajority))
		})
	})

	It("reach entry hosts with a confirmed answer that ends the long poll early", func() {
		withCluster(func(c *cluster) {
			lead := c.hosts[c.leader()].server
			q := &rpc.SyncRequest{
				Host:   &rpc.FleetHost{Name: "h", Ready: true, CallerAddress: "127.0.3.1:80"},
				WaitMs: 100,
			}
			var first *rpc.SyncReply
			Eventually(func() bool {
				reply, err := lead.Sync(context.Background(), q)
				first = reply
				return err == nil && reply.GetConfirmed()
			}, "5s", "20ms").Should(BeTrue())
			q.Epoch = first.GetEpoch()
			q.EndpointsVersion = first.GetEndpointsVersion()
			q.EndpointsDigest = fleet.EndpointsDigest(nil)
			q.WaitMs = 1000
			began := time.Now()
			Expect(lead.Announce(context.Background(), announcement(true, 1))).To(Succeed())
			reply, err := lead.Sync(context.Background(), q)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetConfirmed()).To(BeTrue())
			Expect(reply.GetEndpoints()).To(HaveLen(1))
			Expect(reply.GetEndpoints()[0].GetLeaving()).To(BeTrue())
			Expect(time.Since(began)).To(BeNumerically("<", 900*time.Millisecond))
		})
	})

	It("share the calls with configurations, of which a host gets few during a burst, and the newest in time", func() {
		withCluster(func(c *cluster) {
			ip := c.leader()
			lead := c.hosts[ip].server
			q := &rpc.SyncRequest{
				Host:   &rpc.FleetHost{Name: "h"},
				WaitMs: 50,
			}
			received := 0
			poll := func() bool {
				reply, err := lead.Sync(context.Background(), q)
				if err != nil || !reply.GetConfirmed() {
					return false
				}
				q.Epoch = reply.GetEpoch()
				q.EndpointsVersion = reply.GetEndpointsVersion()
				if d := reply.GetDocument(); d != nil {
					received++
					q.DocumentVersion = d.GetVersion()
				}
				if p := reply.GetPatch(); p != nil {
					received++
					Expect(p.GetBase()).To(Equal(q.GetDocumentVersion()))
					q.DocumentVersion = p.GetVersion()
				}
				return q.GetDocumentVersion() == reply.GetNewest()
			}
			began := time.Now()
			for v := uint64(1); v <= 20; v++ {
				c.replaceConfig(ip, document(v, "a"))
				poll()
			}
			Eventually(poll, "5s").Should(BeTrue())
			Expect(q.DocumentVersion).To(BeEquivalentTo(20))
			Expect(received).To(BeNumerically("<=", 3+int(time.Since(began)/documentInterval)))
		})
	})

	It("are not confirmed by a replica that doesn't lead", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			reply, err := c.hosts[c.otherHost(lead)].server.Sync(context.Background(), &rpc.SyncRequest{
				Host: &rpc.FleetHost{Name: "h"},
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetConfirmed()).To(BeFalse())
			Expect(reply.GetLeader()).To(Equal(c.hosts[lead].server.replica.address()))
		})
	})
})

var _ = Describe("a configuration", func() {
	It("is the same on every host if different ones with the same version were submitted", func() {
		withCluster(func(c *cluster) {
			done := make(chan error, len(c.ips))
			for i, ip := range c.ips {
				background(func() {
					done <- c.hosts[ip].server.Replace(context.Background(), document(9, string(rune('a'+i))))
				})
			}
			for range c.ips {
				<-done // one that got an error may have been committed or not
			}
			var first []byte
			for _, ip := range c.ips {
				var text []byte
				Eventually(func() error {
					var err error
					text, err = c.hosts[ip].server.Read(context.Background())
					return err
				}, "10s", "50ms").Should(Succeed())
				if first == nil {
					first = text
				}
				Expect(text).To(Equal(first))
			}
		})
	})

	It("of an older or the same version is acknowledged without effect, and an invalid one is refused", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			c.replaceConfig(lead, document(9, "a"))
			for _, text := range [][]byte{document(9, "b"), document(4, "c")} {
				c.replaceConfig(c.otherHost(lead), text)
				now, err := c.hosts[lead].server.Read(context.Background())
				Expect(err).NotTo(HaveOccurred())
				Expect(now).To(Equal(document(9, "a")))
			}
			err := c.hosts[lead].server.Replace(context.Background(), document(10, "a")[:40])
			Expect(err).To(BeAssignableToTypeOf(&InvalidError{}))
		})
	})
})
