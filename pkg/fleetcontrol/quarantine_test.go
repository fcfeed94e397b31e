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

const guilty = 7

// tell sends ends of one request to whoever leads, until that took them.
func (c *cluster) tell(name string, ends ...*rpc.EndedSend) *rpc.SyncReply {
	var got *rpc.SyncReply
	Eventually(func() bool {
		reply, err := c.hosts[c.leader()].server.Sync(context.Background(), &rpc.SyncRequest{
			Host:  &rpc.FleetHost{Name: name},
			Ended: ends,
		})
		got = reply
		return err == nil && reply.GetConfirmed()
	}, "10s", "20ms").Should(BeTrue())
	return got
}

// end is an end of an endpoint under the guilty request.
func end(endpoint uint32) *rpc.EndedSend {
	return &rpc.EndedSend{Fingerprint: guilty, Endpoint: endpoint, Early: true, AfterMs: 100}
}

// holds reports whether the leader tells that the guilty request is held.
func (c *cluster) holds() bool {
	for _, s := range c.tell("asker").GetSuspects() {
		if s.GetFingerprint() == guilty && s.GetHeldMs() > 0 {
			return true
		}
	}
	return false
}

var _ = Describe("a request under which endpoints end", func() {
	It("is held for all hosts once several have told of three ends, and after the loss of a leader and of a disk", func() {
		withCluster(func(c *cluster) {
			c.tell("a", end(1))
			c.tell("b", end(2), end(1))
			Consistently(c.holds, "500ms", "100ms").Should(BeFalse())
			c.tell("c", end(3))
			Eventually(c.holds, "1s", "50ms").Should(BeTrue(), "well within the time of contact")
			lost := c.leader()
			c.stop(lost)
			Eventually(c.holds, "5s", "50ms").Should(BeTrue())
			c.wipe(lost)
			c.start(lost, false)
			Eventually(c.holds, "5s", "50ms").Should(BeTrue())
		})
	})

	It("is found by a leader that comes new, from what hosts tell it again", func() {
		withCluster(func(c *cluster) {
			host := quarantine.NewEnforcer(timer.NewSystem())
			host.RecordCrash(quarantine.Crash{Fingerprint: guilty, Endpoint: 1, BeforeResponse: true})
			host.RecordCrash(quarantine.Crash{Fingerprint: guilty, Endpoint: 2, BeforeResponse: true})
			tellAll := func() {
				term := uint64(c.tell("a").GetEpoch() / 2)
				ends, _ := host.Unreported(term)
				var list []*rpc.EndedSend
				for _, e := range ends {
					list = append(list, end(e.Endpoint))
				}
				c.tell("a", list...)
				host.Acknowledge(term, ends, 0)
			}
			tellAll()
			lost := c.leader()
			c.stop(lost)
			c.tell("b", end(3))
			Consistently(c.holds, "500ms", "100ms").Should(BeFalse())
			tellAll()
			Eventually(c.holds, "2s", "50ms").Should(BeTrue())
		})
	})

	It("is found though the leader had no lease for a moment in between, but not by what it was told in another term", func() {
		withLeaders(func(lead func(term uint64) *Server, _ *timer.Manual) {
			for _, c := range []struct {
				term  uint64
				found int
			}{{3, 1}, {4, 0}} {
				s := lead(3)
				leads := s.leadership.(*fixedLead)
				machine := leads.machine
				s.hearEnds(&rpc.SyncRequest{Ended: []*rpc.EndedSend{end(1), end(2)}}, machine, 3)
				leads.machine = nil // in the same term hosts don't tell again
				s.judgeOnce(context.Background())
				leads.machine = machine
				leads.term = c.term
				s.hearEnds(&rpc.SyncRequest{Ended: []*rpc.EndedSend{end(3)}}, machine, c.term)
				found := s.court.suspects.Detect(func(quarantine.Fingerprint) bool { return false })
				Expect(found).To(HaveLen(c.found))
			}
		})
	})

	It("is held for ten minutes", func() {
		withCluster(func(c *cluster) {
			c.tell("a", end(1), end(2), end(3))
			Eventually(c.holds, "2s", "50ms").Should(BeTrue())
			_, machine := c.hosts[c.leader()].server.replica.current()
			Expect(machine.Quarantine()).To(HaveLen(1))
			left := time.Until(time.UnixMilli(machine.Quarantine()[0].UntilMS))
			Expect(left).To(BeNumerically("~", 10*time.Minute, time.Minute))
		})
	})
})
