package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a shortage", func() {
	// poll makes a call that waits for changes.
	poll := func(x *admissionFixture, q *rpc.SyncRequest) chan *rpc.SyncReply {
		q.EndpointsVersion = x.server.table.Version()
		q.Epoch = epochOf(admissionTerm, x.server.settled(admissionTerm))
		done := make(chan *rpc.SyncReply, 1)
		background(func() {
			reply, _ := x.server.Sync(context.Background(), q) // a failure shows in the reply
			done <- reply
		})
		return done
	}

	It("completes long polls early when it begins and when it ends, and not in between", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.server.granter.BeginTerm(admissionTerm)
			x.report(1)
			x.update()
			request := func() *rpc.SyncRequest {
				q := admissionRequest(0, 600)
				q.LimitsTerm = admissionTerm
				return q
			}
			steps := []struct {
				name  string
				next  admission.Allocation
				early bool
			}{
				{name: "enough for all", next: admission.Allocation{Capacity: 8000, InFlight: 10}},
				{name: "begins", next: shortage(0), early: true},
				{name: "lasts", next: shortage(200 * time.Millisecond)},
				{name: "ends", next: admission.Allocation{Capacity: 8000, InFlight: 20}, early: true},
				{name: "is over", next: admission.Allocation{Capacity: 8000, InFlight: 30}},
			}
			for _, step := range steps {
				waiters := x.clock.Waiters()
				done := poll(x, request())
				Eventually(x.clock.Waiters, "5s").Should(BeNumerically(">", waiters))
				x.clock.Advance(2 * time.Millisecond) // the batching delay
				Consistently(done, "30ms").ShouldNot(Receive(), step.name)
				x.allocator.set(step.next)
				x.update()
				if !step.early {
					Consistently(done, "30ms").ShouldNot(Receive(), step.name)
					x.clock.Advance(callInterval)
				}
				var reply *rpc.SyncReply
				Eventually(done, "5s").Should(Receive(&reply), step.name)
				Expect(reply.GetConfirmed()).To(BeTrue(), step.name)
				Expect(reply.GetAdmissionValid()).To(BeTrue(), step.name)
				Expect(reply.GetAdmission()[0].GetClasses()).To(HaveLen(len(step.next.Classes)), step.name)
			}
		})
	})

	It("that began between two calls of a host ends the second one early", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(1)
			x.update()
			q := admissionRequest(0, 600)
			Expect(x.reply(q).GetAdmissionValid()).To(BeTrue())
			x.allocator.set(shortage(0))
			x.update()
			Expect(x.server.admission.hasChanges(q, admissionTerm, x.clock.Now())).To(BeTrue())
			x.reply(q)
			Expect(x.server.admission.hasChanges(q, admissionTerm, x.clock.Now())).To(BeFalse())
		})
	})

	It("is logged when it begins and ends, with what operators need to judge it, and measured", func() {
		withAdmission(func(x *admissionFixture) {
			x.settle()
			x.report(1)
			x.update()
			x.report(2) // 600 tokens each
			x.allocator.set(shortage(0))
			x.update()
			Eventually(x.out.String, "5s").Should(ContainSubstring(`"event":"admission_changed"`))
			for _, text := range []string{
				`"service":"models"`, `"shortage":"begins"`, `"capacity_tokens":8000`, `"in_flight_tokens":9000`, `"demand_tokens":1200`,
				`"shares":"rank 0: 1.000, rank 1 (accounts apart: 1): 0.500, rank 1 late: 0.000"`,
			} {
				Expect(x.out.String()).To(ContainSubstring(text))
			}
			x.allocator.set(shortage(2 * time.Second))
			x.update()
			Expect(x.gauge("admission_capacity_tokens")).To(BeEquivalentTo(8000))
			Expect(x.gauge("admission_in_flight_tokens")).To(BeEquivalentTo(9000))
			Expect(x.gauge("admission_shortage_ms")).To(BeEquivalentTo(2000))
			Expect(x.out.String()).NotTo(ContainSubstring(`"shortage_ms":2000`), "only changes are logged")
			x.allocator.set(admission.Allocation{Capacity: 8000, InFlight: 10})
			x.update()
			Eventually(x.out.String, "5s").Should(ContainSubstring(`"shortage":"ends","shortage_ms":2000`))
			Expect(x.gauge("admission_shortage_ms")).To(BeZero())
		})
	})

	It("has a demand that is that of the last second", func() {
		w := &demandWindow{}
		for range 3 * demandSlots {
			w.add(10)
			w.advance()
		}
		Expect(w.sum()).To(Equal(10.0 * (demandSlots - 1)))
		for range demandSlots {
			w.advance()
		}
		Expect(w.sum()).To(BeZero())
	})
})
