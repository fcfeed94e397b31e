package fleetcontrol

import (
	"context"
	"encoding/json"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the leader's allocations", func() {
	It("cover services of engines whose requests differ in rank, and no others", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(10)
			x.update()
			Expect(x.allocator.capacities).To(HaveLen(1))
			Expect(x.allocator.capacities).To(HaveKey("models"))
			Expect(x.allocator.hosts).To(Equal(10))
			reply := x.reply(admissionRequest(1, 0))
			Expect(reply.GetAdmissionValid()).To(BeTrue())
			Expect(reply.GetAdmission()).To(HaveLen(1))
			Expect(reply.GetAdmission()[0].GetService()).To(Equal("models"))
		})
	})

	// Hosts would go on refusing by the allocation that they hold.
	It("end for a service whose requests no longer differ in rank", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(1)
			x.allocator.set(shortage(time.Second))
			x.update()
			Expect(x.reply(admissionRequest(0, 0)).GetAdmission()).To(HaveLen(1))
			held := x.server.admission.Changed()
			commitConfig(x.machine, admissionConfig(2, false))
			x.update()
			reply := x.reply(admissionRequest(0, 0))
			Expect(reply.GetAdmissionValid()).To(BeTrue())
			Expect(reply.GetAdmission()).To(BeEmpty())
			Expect(held).To(BeClosed())
			Expect(x.gauge("admission_shortage_ms")).To(BeZero())
		})
	})

	It("use the capacity of the endpoints as it is now", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(1)
			for i := range 2 {
				x.server.table.Announce(wholeEngine(i))
			}
			x.update()
			both := x.allocator.capacities["models"]
			Expect(both).To(BeNumerically(">", 0))
			x.server.table.MarkSilent(engineName(1))
			x.update()
			Expect(x.allocator.capacities["models"]).To(Equal(both / 2))
			x.server.table.MarkAnswered(engineName(1))
			x.update()
			Expect(x.allocator.capacities["models"]).To(Equal(both), "with the next allocation after it is heard")
		})
	})

	// With the reports of a few hosts only, the leader would see little demand and admit all.
	It("of a new leader wait until every host has had time to call, and 0.9 have reported", func() {
		withAdmission(func(x *admissionFixture) {
			x.report(10)
			x.update()
			Expect(x.reply(admissionRequest(1, 0)).GetAdmissionValid()).To(BeFalse(), "other hosts may not have called yet")
			x.settle()
			for i := range 10 { // hosts of an older version call, too
				x.server.hosts.observe(x.clock.Now(), syncRequest(10+i, true))
			}
			x.update()
			Expect(x.reply(admissionRequest(1, 0)).GetAdmissionValid()).To(BeFalse(), "10 of 20 have reported")
			x.report(18)
			x.update()
			Expect(x.reply(admissionRequest(1, 0)).GetAdmissionValid()).To(BeTrue())
		})
	})

	It("of a new leader follow the reports of its hosts", func() {
		withAdmission(func(x *admissionFixture) {
			x.server.admission.allocator = admission.NewAllocator(x.clock)
			x.server.table.Announce(wholeEngine(1))
			const hosts = 20
			call := func(n int) *rpc.SyncReply {
				q := admissionRequest(n, 400_000)
				q.Admission[0].InFlightTokens = 60_000 // 20 of them hold more than 1,000,000
				q.WaitMs = 0
				reply, err := x.server.Sync(context.Background(), q)
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.GetConfirmed()).To(BeTrue())
				return reply
			}
			for range 4 { // 1.6 s, in which a fifth of the hosts call without a report
				for n := range hosts * 8 / 10 {
					Expect(call(n).GetAdmissionValid()).To(BeFalse())
				}
				for n := hosts * 8 / 10; n < hosts; n++ {
					x.server.hosts.observe(x.clock.Now(), syncRequest(n, true))
				}
				x.clock.Advance(callInterval)
				x.update()
			}
			for range 3 {
				for n := range hosts {
					call(n)
				}
				x.clock.Advance(callInterval)
				x.update()
			}
			reply := call(1)
			Expect(reply.GetAdmissionValid()).To(BeTrue())
			Expect(reply.GetAdmission()).To(HaveLen(1))
			Expect(reply.GetAdmission()[0].GetInFlightTokens()).To(Equal(uint32(hosts * 60_000)))
			Expect(reply.GetAdmission()[0].GetClasses()).NotTo(BeEmpty(), "20 hosts ask for 20 times the capacity a second")
		})
	})

	It("are made by the leader of a cluster, and by the next one after it has stopped", func() {
		withCluster(func(c *cluster) {
			text, err := json.Marshal(admissionConfig(1, true))
			Expect(err).NotTo(HaveOccurred())
			ip := c.leader()
			c.replaceConfig(ip, text)
			valid := func() bool {
				q := admissionRequest(1, 600)
				q.WaitMs = 100
				reply, err := c.hosts[ip].server.Sync(context.Background(), q)
				return err == nil && reply.GetConfirmed() && reply.GetAdmissionValid()
			}
			Eventually(valid, "10s", "50ms").Should(BeTrue())
			c.stop(ip)
			ip = c.leader()
			Expect(valid()).To(BeFalse(), "the new leader doesn't know all hosts yet")
			Eventually(valid, "10s", "50ms").Should(BeTrue())
		})
	})

	It("are withheld again when too few of the hosts have reported, or the configuration can't be read", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(10)
			x.update()
			Expect(x.reply(admissionRequest(1, 0)).GetAdmissionValid()).To(BeTrue())
			x.server.hosts.observe(x.clock.Now(), syncRequest(11, true))
			x.server.hosts.observe(x.clock.Now(), syncRequest(12, true))
			x.update()
			Expect(x.reply(admissionRequest(1, 0)).GetAdmissionValid()).To(BeFalse())
			x.report(13)
			x.update()
			Expect(x.reply(admissionRequest(2, 0)).GetAdmissionValid()).To(BeTrue())
			commit(x.machine, 2, []byte("not a configuration"))
			x.update()
			Expect(x.reply(admissionRequest(3, 0)).GetAdmissionValid()).To(BeFalse())
		})
	})

	// Hosts trust an allocation for 2 s; a reply may be lost meanwhile.
	It("that limit nothing go with some of the replies only, but always at least once a second", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(1)
			x.update()
			var sent []bool
			for range 8 {
				sent = append(sent, x.reply(admissionRequest(0, 0)).GetAdmissionValid())
				x.clock.Advance(callInterval)
				x.update()
			}
			Expect(sent).To(Equal([]bool{true, true, false, false, true, false, false, true}))
			x.allocator.set(admission.Allocation{Capacity: 8000, InFlight: 5000, ByAccount: true})
			x.update()
			for range 3 {
				Expect(x.reply(admissionRequest(0, 0)).GetAdmission()[0].GetByAccount()).To(BeTrue())
			}
			x.allocator.set(admission.Allocation{Capacity: 8000, InFlight: 100})
			x.update()
			for range idleRepeats {
				Expect(x.reply(admissionRequest(0, 0)).GetAdmissionValid()).To(BeTrue(), "accounts need no longer be told apart")
			}
			Expect(x.reply(admissionRequest(0, 0)).GetAdmissionValid()).To(BeFalse())
		})
	})

	// A leader whose updates stall would send old shares as if they were new.
	It("aren't sent once they are old", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(1)
			x.allocator.set(shortage(time.Second))
			x.update()
			x.clock.Advance(maxAllocationAge)
			Expect(x.server.admission.hasChanges(admissionRequest(0, 0), admissionTerm, x.clock.Now())).To(BeTrue())
			Expect(x.reply(admissionRequest(1, 0)).GetAdmissionValid()).To(BeTrue())
			x.clock.Advance(1)
			Expect(x.server.admission.hasChanges(admissionRequest(0, 0), admissionTerm, x.clock.Now())).To(BeFalse(), "the host would call again at once")
			Expect(x.reply(admissionRequest(1, 0)).GetAdmissionValid()).To(BeFalse())
		})
	})

	It("aren't sent by a replica that lost the lead, and start anew in the next term", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(1)
			x.allocator.set(shortage(time.Second))
			x.update()
			q := admissionRequest(0, 600)
			q.WaitMs = 0
			reply, err := x.server.Sync(context.Background(), q)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetAdmission()).To(HaveLen(1))
			x.loseLead()
			lost, err := x.server.Sync(context.Background(), q)
			Expect(err).NotTo(HaveOccurred())
			Expect(lost.GetConfirmed()).To(BeFalse())
			Expect(lost.GetAdmissionValid()).To(BeFalse())
			Expect(lost.GetAdmission()).To(BeEmpty())
			x.update()
			Expect(x.allocator.resets).To(BeNumerically(">", 0))
			Expect(x.allocator.reported).To(BeEmpty())
			Expect(x.gauge("admission_shortage_ms")).To(BeZero())
			x.lead(admissionTerm + 1)
			Expect(x.reply(q).GetAdmissionValid()).To(BeFalse())
			x.settle()
			x.server.hosts.observe(x.clock.Now(), q)
			x.update()
			Expect(x.reply(q).GetAdmissionValid()).To(BeFalse(), "the host hasn't reported to this leader")
			x.report(1)
			x.update()
			Expect(x.reply(q).GetAdmissionValid()).To(BeTrue())
		})
	})

	// A reply that was prepared while the replica led may be confirmed only if it still leads.
	It("aren't in the reply to a call that was held while the replica lost the lead", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(1)
			x.allocator.set(shortage(time.Second))
			x.update()
			q := admissionRequest(0, 600)
			reply := x.server.syncReply(q, admissionTerm, x.machine, x.clock.Now())
			Expect(reply.GetAdmissionValid()).To(BeTrue())
			x.loseLead()
			confirmed := x.server.confirm(context.Background(), reply, admissionTerm, x.clock.Now())
			Expect(confirmed.GetConfirmed()).To(BeFalse())
			Expect(confirmed.GetAdmissionValid()).To(BeFalse())
			Expect(confirmed.GetAdmission()).To(BeEmpty())
		})
	})

	It("don't mix the reports of two terms, even if the replica never noticed that it lost the lead", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(10)
			x.update()
			Expect(x.reply(admissionRequest(1, 0)).GetAdmissionValid()).To(BeTrue())
			x.lead(admissionTerm + 1)
			Expect(x.reply(admissionRequest(2, 0)).GetAdmissionValid()).To(BeFalse(), "allocated in the earlier term")
			x.settle()
			x.report(1)
			x.update()
			Expect(x.allocator.reported).To(HaveLen(1))
			x.server.admission.observe(admissionRequest(3, 600), admissionTerm)
			Expect(x.allocator.reported).To(HaveLen(1), "a report to the earlier term")
		})
	})

	It("leave a host of an older version as it is", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(20)
			old := syncRequest(1, true)
			x.server.admission.observe(old, admissionTerm)
			Expect(x.allocator.reported["h1"]).NotTo(BeEmpty(), "what it reported before isn't replaced by nothing")
			x.allocator.set(shortage(time.Second))
			x.update()
			reply := x.reply(old)
			Expect(reply.GetAdmissionValid()).To(BeFalse())
			Expect(reply.GetAdmission()).To(BeEmpty())
			Expect(x.server.admission.hasChanges(old, admissionTerm, x.clock.Now())).To(BeFalse())
		})
	})

	// A host without requests counts among those that have reported, or the leader would wait
	// for it forever.
	It("count a host that has nothing to report", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			q := syncRequest(1, true)
			q.Admission = []*rpc.AdmissionReport{{}}
			x.server.hosts.observe(x.clock.Now(), q)
			x.server.admission.observe(q, admissionTerm)
			x.update()
			Expect(x.allocator.reported).To(HaveKey("h1"))
			Expect(x.reply(q).GetAdmissionValid()).To(BeTrue())
		})
	})

	It("forget a host that is gone", func() {
		withAdmission(func(x *admissionFixture) {
			x.report(3)
			x.server.admission.sent["h1"] = sentAllocations{version: 1}
			x.clock.Advance(hostTimeout)
			x.server.hosts.touch(x.clock.Now(), "h0")
			x.server.expireHosts(x.clock.Now())
			Expect(x.allocator.reported).To(HaveLen(3))
			x.clock.Advance(1)
			x.server.expireHosts(x.clock.Now())
			Expect(x.allocator.reported).To(HaveLen(1))
			Expect(x.allocator.reported).To(HaveKey("h0"))
			Expect(x.server.admission.sent).To(BeEmpty())
		})
	})
})
