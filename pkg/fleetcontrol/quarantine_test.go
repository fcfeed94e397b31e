package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const crashFingerprint = 7

// reportCrashes sends crashes to the leader as an entry host, until a leader confirms.
func (c *cluster) reportCrashes(name string, crashes ...*rpc.EndedSend) *rpc.SyncReply {
	var got *rpc.SyncReply
	Eventually(func() bool {
		reply, err := c.hosts[c.leader()].server.Sync(context.Background(), &rpc.SyncRequest{
			Host:  &rpc.FleetHost{Name: name},
			Ended: crashes,
		})
		got = reply
		return err == nil && reply.GetConfirmed()
	}, "10s", "20ms").Should(BeTrue())
	return got
}

// crashOf returns a crash of an endpoint that had the crash-causing request.
func crashOf(endpoint uint32) *rpc.EndedSend {
	return &rpc.EndedSend{Fingerprint: crashFingerprint, Endpoint: endpoint, Early: true, AfterMs: 100}
}

// quarantined reports whether the leader's answer quarantines the crash-causing request.
func (c *cluster) quarantined() bool {
	for _, s := range c.reportCrashes("asker").GetSuspects() {
		if s.GetFingerprint() == crashFingerprint && s.GetHeldMs() > 0 {
			return true
		}
	}
	return false
}

var _ = Describe("a request under which endpoints crash", func() {
	It("is quarantined for all hosts after three crashes reported by several, and stays so when a leader and a disk are lost", func() {
		withCluster(func(c *cluster) {
			c.reportCrashes("a", crashOf(1))
			c.reportCrashes("b", crashOf(2), crashOf(1))
			Consistently(c.quarantined, "500ms", "100ms").Should(BeFalse())
			c.reportCrashes("c", crashOf(3))
			Eventually(c.quarantined, "1s", "50ms").Should(BeTrue(), "within a second of the third crash")
			oldLeader := c.leader()
			c.stop(oldLeader)
			Eventually(c.quarantined, "5s", "50ms").Should(BeTrue())
			c.wipe(oldLeader)
			c.start(oldLeader, false)
			Eventually(c.quarantined, "5s", "50ms").Should(BeTrue())
		})
	})

	It("is detected by a new leader, from the crashes that hosts report again", func() {
		withCluster(func(c *cluster) {
			enforcer := quarantine.NewEnforcer(timer.NewSystem())
			enforcer.RecordCrash(quarantine.Crash{Fingerprint: crashFingerprint, Endpoint: 1, BeforeResponse: true})
			enforcer.RecordCrash(quarantine.Crash{Fingerprint: crashFingerprint, Endpoint: 2, BeforeResponse: true})
			reportAll := func() {
				term := uint64(c.reportCrashes("a").GetEpoch() / 2)
				crashes, _ := enforcer.Unreported(term)
				var list []*rpc.EndedSend
				for _, e := range crashes {
					list = append(list, crashOf(e.Endpoint))
				}
				c.reportCrashes("a", list...)
				enforcer.Acknowledge(term, crashes, 0)
			}
			reportAll()
			oldLeader := c.leader()
			c.stop(oldLeader)
			c.reportCrashes("b", crashOf(3))
			Consistently(c.quarantined, "500ms", "100ms").Should(BeFalse())
			reportAll()
			Eventually(c.quarantined, "2s", "50ms").Should(BeTrue())
		})
	})

	It("is detected although the leader lost its lease for a moment, but not from crashes reported in another term", func() {
		withLeaders(func(lead func(term uint64) *Server, _ *timer.Manual) {
			for _, c := range []struct {
				term  uint64
				found int
			}{{3, 1}, {4, 0}} {
				s := lead(3)
				leadership := s.leadership.(*fixedLeadership)
				machine := leadership.machine
				s.observeCrashes(&rpc.SyncRequest{Ended: []*rpc.EndedSend{crashOf(1), crashOf(2)}}, machine, 3)
				leadership.machine = nil // hosts don't report again within a term
				s.updateQuarantine(context.Background())
				leadership.machine = machine
				leadership.term = c.term
				s.observeCrashes(&rpc.SyncRequest{Ended: []*rpc.EndedSend{crashOf(3)}}, machine, c.term)
				found := s.coordinator.detector.Detect(func(quarantine.Fingerprint) bool { return false })
				Expect(found).To(HaveLen(c.found))
			}
		})
	})

	It("is quarantined for ten minutes", func() {
		withCluster(func(c *cluster) {
			c.reportCrashes("a", crashOf(1), crashOf(2), crashOf(3))
			Eventually(c.quarantined, "2s", "50ms").Should(BeTrue())
			_, machine := c.hosts[c.leader()].server.replica.current()
			Expect(machine.Quarantine()).To(HaveLen(1))
			left := time.Until(time.UnixMilli(machine.Quarantine()[0].UntilMS))
			Expect(left).To(BeNumerically("~", 10*time.Minute, time.Minute))
		})
	})
})
