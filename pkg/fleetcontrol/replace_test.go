package fleetcontrol

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// replacementIP is the address of a control host that isn't an initial member.
const replacementIP = "127.0.1.4"

// startReplacement starts a fourth control host, and waits until it holds the log.
func (c *cluster) startReplacement(version uint64) {
	c.start(replacementIP, false)
	Eventually(func() uint64 {
		if _, machine := c.hosts[replacementIP].server.replica.current(); machine != nil {
			return machine.Document().GetVersion()
		}
		return 0
	}, "10s", "20ms").Should(Equal(version), c.describe)
}

// newest returns the version of the configuration that a leader reads back, or 0.
func (c *cluster) newest() uint64 {
	for _, h := range c.hosts {
		if doc, err := h.server.Newest(context.Background(), &rpc.Empty{}); err == nil {
			return doc.GetVersion()
		}
	}
	return 0
}

// Guards against a replica that is gone and still counts for a majority, so that the loss of one
// disk right after its removal leaves no majority for good.
var _ = Describe("a control host that was replaced", func() {
	// loseDiskAfter removes a host by end, and loses the disk of another one after a time.
	loseDiskAfter := func(removesLeader, losesLeader bool, end func(c *cluster, ip string), after time.Duration) {
		withCluster(func(c *cluster) {
			lead := c.leader()
			c.replaceConfig(lead, document(3, "a"))
			c.startReplacement(3)
			c.sleep(context.Background(), time.Second)
			removed := lead
			if !removesLeader {
				removed = c.otherHost(lead)
			}
			end(c, removed)
			c.sleep(context.Background(), after)
			next := c.leader()
			lost := next
			if !losesLeader {
				lost = c.otherHost(next)
			}
			c.stop(lost)
			c.wipe(lost)
			c.start(lost, false)
			Eventually(c.newest, "10s", "50ms").Should(Equal(uint64(3)), c.describe)
			c.replaceConfig(lost, document(5, "b"))
		})
	}
	for _, one := range []struct {
		name          string
		removesLeader bool
		losesLeader   bool
	}{
		{"a follower is removed, and a follower's disk is lost", false, false},
		{"a follower is removed, and the leader's disk is lost", false, true},
		{"the leader is removed, and a follower's disk is lost", true, false},
		{"the leader is removed, and the next leader's disk is lost", true, true},
	} {
		It("no longer counts when a disk is lost a second after it is gone: "+one.name, func() {
			loseDiskAfter(one.removesLeader, one.losesLeader, (*cluster).stop, time.Second)
		})

		It("no longer counts when it has announced its stop, and a disk is lost at once: "+one.name, func() {
			loseDiskAfter(one.removesLeader, one.losesLeader, func(c *cluster, ip string) {
				c.announceStop(ip)
				c.stop(ip)
			}, 0)
		})
	}
})

// Guards against a new replica that counts for a majority before it can be reached: beside a
// lost one that still counts, the change that adds it can't be committed, and none after it.
var _ = Describe("a new control host", func() {
	for _, one := range []struct {
		name         string
		losesLeader  bool
		startedAfter time.Duration
	}{
		{"0.3 s after a follower", false, 300 * time.Millisecond},
		{"0.3 s after the leader", true, 300 * time.Millisecond},
		{"at once after a follower", false, 0},
		{"1.2 s after a follower", false, 1200 * time.Millisecond},
	} {
		It("takes the place of one that was lost right before it came: "+one.name, func() {
			withCluster(func(c *cluster) {
				lead := c.leader()
				c.replaceConfig(lead, document(3, "a"))
				lost := lead
				if !one.losesLeader {
					lost = c.otherHost(lead)
				}
				c.stop(lost)
				time.Sleep(one.startedAfter)
				c.startReplacement(3)
				c.replaceConfig(replacementIP, document(5, "b"))
				Eventually(func() []string {
					return c.hosts[c.leader()].server.replica.Voters()
				}, "5s", "20ms").Should(And(HaveLen(3), ContainElement(ContainSubstring(replacementIP+":")), Not(ContainElement(ContainSubstring(lost+":")))), c.describe)
			})
		})
	}
})

// Guards against a new member that becomes the leader without the leaves that the others
// acknowledged while it wasn't reached.
var _ = Describe("a learner that becomes a member", func() {
	It("learns the endpoints that it wasn't told of", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			c.replaceConfig(lead, document(3, "a"))
			c.startReplacement(3)
			c.hosts[lead].server.table.Announce(announcement(true, 2))
			Consistently(c.hosts[replacementIP].server.table.All, "300ms", "20ms").Should(BeEmpty())
			c.stop(c.otherHost(lead))
			Eventually(c.hosts[replacementIP].server.table.All, "5s", "20ms").Should(HaveLen(1))
			Expect(c.hosts[replacementIP].server.table.All()[0].Leaving).To(BeTrue())
		})
	})
})

var _ = Describe("a control host that stops as planned", func() {
	It("waits for nothing, and stays a member, if no other can take its place", func() {
		withCluster(func(c *cluster) {
			lead := c.leader()
			c.replaceConfig(lead, document(3, "a"))
			for _, ip := range c.ips {
				began := time.Now()
				c.announceStop(ip)
				Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
			}
			Consistently(func() []string {
				return c.hosts[lead].server.replica.Voters()
			}, "300ms", "20ms").Should(HaveLen(3))
		})
	})
})

// announceStop lets a host announce its stop, as its process does on SIGTERM.
func (c *cluster) announceStop(ip string) {
	g := group.New(context.Background())
	defer g.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	g.Go(func(ctx context.Context) {
		defer GinkgoRecover()
		c.sleep(ctx, time.Second)
		cancel()
	})
	c.hosts[ip].server.AnnounceStop(ctx)
}

// sleep waits for d or the end of ctx, not counting the time for which the disk or the
// processors stall: no replica can commit anything then.
func (c *cluster) sleep(ctx context.Context, d time.Duration) {
	const interval, maxCounted = 5 * time.Millisecond, 20 * time.Millisecond
	f, err := os.CreateTemp("", filepath.Base(c.folder))
	Expect(err).NotTo(HaveOccurred())
	defer func() {
		Expect(f.Close()).To(Succeed())
		Expect(os.Remove(f.Name())).To(Succeed())
	}()
	for d > 0 && ctx.Err() == nil {
		began := time.Now()
		time.Sleep(interval)
		_, err := f.WriteAt([]byte{0}, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Sync()).To(Succeed())
		d -= min(time.Since(began), maxCounted)
	}
}
