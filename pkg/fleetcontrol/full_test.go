package fleetcontrol

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/shedding"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// fullRequest is the call of host n, which reports endpoints that stay full for a time.
func fullRequest(n int, remaining time.Duration, keys ...uint32) *rpc.SyncRequest {
	q := syncRequest(n, true)
	q.Admission = []*rpc.AdmissionReport{{}}
	for _, key := range keys {
		q.Full = append(q.Full, &rpc.FullEndpoint{
			Endpoint: key,
			LeftMs:   uint32(remaining.Milliseconds()),
		})
	}
	return q
}

// remainingTimes returns the remaining times of full endpoints, by key.
func remainingTimes(list []*rpc.FullEndpoint) map[uint32]time.Duration {
	times := map[uint32]time.Duration{}
	for _, e := range list {
		times[e.GetEndpoint()] = time.Duration(e.GetLeftMs()) * time.Millisecond
	}
	return times
}

// numberedKeys returns n keys from first on.
func numberedKeys(first, n int) []uint32 {
	keys := make([]uint32, n)
	for i := range keys {
		keys[i] = uint32(first + i)
	}
	return keys
}

var _ = Describe("full endpoints", func() {
	at := func(d time.Duration) time.Time { return startTime.Add(d) }

	It("are passed on to other hosts with the time that remains", func() {
		f := newFullEndpoints()
		f.observe(at(0), fullRequest(1, 900*time.Millisecond, 7))
		Expect(remainingTimes(f.forHost(at(200*time.Millisecond), "h2"))).To(Equal(map[uint32]time.Duration{7: 700 * time.Millisecond}))
		Expect(f.forHost(at(900*time.Millisecond-minFullTime+1), "h3")).To(BeEmpty(), "too short to be of use")
		Expect(f.forHost(at(time.Hour), "h3")).To(BeEmpty())
	})

	// A host that hears its own report back would take it for another rejection.
	It("aren't sent back to the only host that reported them", func() {
		f := newFullEndpoints()
		f.observe(at(0), fullRequest(1, 900*time.Millisecond, 7))
		Expect(f.forHost(at(0), "h1")).To(BeEmpty())
		f.observe(at(0), fullRequest(2, 500*time.Millisecond, 7))
		f.observe(at(0), fullRequest(3, 300*time.Millisecond, 7))
		later := at(fullListInterval)
		Expect(remainingTimes(f.forHost(later, "h1"))).To(Equal(map[uint32]time.Duration{7: 450 * time.Millisecond}), "by the second host")
		Expect(remainingTimes(f.forHost(later, "h2"))).To(Equal(map[uint32]time.Duration{7: 850 * time.Millisecond}))
		Expect(remainingTimes(f.forHost(later, "h4"))).To(Equal(map[uint32]time.Duration{7: 850 * time.Millisecond}))
	})

	It("are sent to a host once, and again if they stay full for longer", func() {
		f := newFullEndpoints()
		f.observe(at(0), fullRequest(1, 900*time.Millisecond, 7))
		Expect(f.forHost(at(0), "h2")).To(HaveLen(1))
		Expect(f.forHost(at(200*time.Millisecond), "h2")).To(BeEmpty())
		f.observe(at(400*time.Millisecond), fullRequest(3, 500*time.Millisecond+fullRepeatSlack, 7))
		Expect(f.forHost(at(400*time.Millisecond), "h2")).To(BeEmpty(), "the same rejection as another host saw it")
		f.observe(at(500*time.Millisecond), fullRequest(3, time.Second, 7))
		Expect(remainingTimes(f.forHost(at(500*time.Millisecond), "h2"))).To(Equal(map[uint32]time.Duration{7: time.Second}))
	})

	It("are at most as many as a reply may hold, those that stay full for longest", func() {
		f := newFullEndpoints()
		for n := range 8 {
			remaining := time.Duration(300+50*n) * time.Millisecond
			f.observe(at(0), fullRequest(n, remaining, numberedKeys(100*n, shedding.MaxReported)...))
		}
		list := f.forHost(at(0), "h99")
		Expect(list).To(HaveLen(shedding.MaxSent))
		for _, e := range list {
			Expect(e.GetEndpoint()).To(BeNumerically(">=", 600), "by the two hosts with the longest times")
		}
		own := f.forHost(at(0), "h7")
		Expect(own).To(HaveLen(shedding.MaxSent))
		for _, e := range own {
			Expect(e.GetEndpoint()).To(And(BeNumerically(">=", 500), BeNumerically("<", 700)), "without its own reports")
		}
	})

	It("take 11 bytes each at most", func() {
		q := fullRequest(1, time.Second, numberedKeys(1<<31, shedding.MaxReported)...)
		Expect(proto.Size(&rpc.SyncRequest{Full: q.GetFull()})).To(BeNumerically("<=", 11*shedding.MaxReported))
	})

	It("that a faulty host reports are bounded in number and time", func() {
		f := newFullEndpoints()
		f.observe(at(0), fullRequest(1, time.Hour, numberedKeys(0, 10*shedding.MaxReported)...))
		list := f.forHost(at(0), "h2")
		Expect(list).To(HaveLen(shedding.MaxReported))
		Expect(list[0].GetLeftMs()).To(BeEquivalentTo(maxFullTime.Milliseconds()))
		f.observe(at(0), fullRequest(3, 0, 7777))
		Expect(remainingTimes(f.forHost(at(fullListInterval), "h4"))).NotTo(HaveKey(uint32(7777)))
	})

	It("of a host that is gone are dropped, and all when the replica doesn't lead", func() {
		f := newFullEndpoints()
		f.observe(at(0), fullRequest(1, time.Second, 7))
		f.observe(at(0), fullRequest(2, time.Second, 8))
		f.forget([]string{"h1"})
		Expect(remainingTimes(f.forHost(at(0), "h3"))).To(Equal(map[uint32]time.Duration{8: time.Second}))
		f.reset()
		Expect(f.forHost(at(0), "h4")).To(BeEmpty())
		Expect(f.hosts).To(BeEmpty())
	})

	It("go with the leader's replies, also if no service is under admission control, but not to hosts of older versions", func() {
		withAdmission(func(x *admissionFixture) {
			commitConfig(x.machine, admissionConfig(2, false))
			call := func(q *rpc.SyncRequest) []*rpc.FullEndpoint {
				x.server.full.observe(x.clock.Now(), q)
				return x.server.syncReply(q, admissionTerm, x.machine, x.clock.Now()).GetFull()
			}
			Expect(call(fullRequest(1, time.Second, 7))).To(BeEmpty())
			Expect(call(fullRequest(2, time.Second))).To(HaveLen(1))
			Expect(call(syncRequest(3, true))).To(BeEmpty())
			x.loseLead()
			x.update()
			x.lead(admissionTerm + 1)
			Expect(call(fullRequest(4, time.Second))).To(BeEmpty(), "reported to the leader of an earlier term")
		})
	})
})
