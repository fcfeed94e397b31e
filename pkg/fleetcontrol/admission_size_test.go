package fleetcontrol

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/shedding"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

const (
	// maxAdmissionBytes is what admission control may add to a host's control traffic in a
	// second of a shortage, and maxIdleBytes what it may add to a call without one.
	maxAdmissionBytes = 2048
	maxIdleBytes      = 50
	callsPerSecond    = float64(time.Second) / float64(callInterval)
)

// trafficCase is a deployment and its load.
type trafficCase struct {
	name      string
	hosts     int
	engines   int
	accounts  int
	perSecond float64 // streams that all callers ask for
	demand    float64 // tokens that they ask for in a second, as a part of the capacity
	// rejections is how many requests the endpoints reject in a second, of all hosts.
	rejections float64
	occupancy  float64 // of the endpoints
	shortage   bool
}

func (k *trafficCase) capacity() float64 {
	const tokensPerEngine = 1e6
	return tokensPerEngine * float64(k.engines)
}

// traffic is the bytes that admission control and full endpoints add for a host.
type traffic struct {
	reports     int
	full        int
	allocations int
	fullReplies int
	calls       int
}

func (t *traffic) add(q *rpc.SyncRequest, reply *rpc.SyncReply) {
	t.reports += proto.Size(&rpc.SyncRequest{Admission: q.GetAdmission()})
	t.full += proto.Size(&rpc.SyncRequest{Full: q.GetFull()})
	t.allocations += proto.Size(&rpc.SyncReply{Admission: reply.GetAdmission(), AdmissionValid: reply.GetAdmissionValid()})
	t.fullReplies += proto.Size(&rpc.SyncReply{Full: reply.GetFull()})
	t.calls++
}

// perCall returns the bytes of a call on average.
func (t *traffic) perCall() float64 {
	return float64(t.reports+t.full+t.allocations+t.fullReplies) / float64(t.calls)
}

func (t *traffic) String() string {
	n := float64(t.calls)
	return fmt.Sprintf("a call: report %.0f, full %.0f, allocation %.0f, full of others %.0f bytes; together %.0f bytes a call, %.0f a second",
		float64(t.reports)/n, float64(t.full)/n, float64(t.allocations)/n, float64(t.fullReplies)/n, t.perCall(), callsPerSecond*t.perCall())
}

// trafficHost is an entry host with its counts of what callers ask it for.
type trafficHost struct {
	meter   *admission.Meter
	tracker *shedding.Tracker
	request *rpc.SyncRequest
}

// measureTraffic runs a load for some seconds and returns the traffic of a host in the second
// half of it.
func measureTraffic(k trafficCase) (t traffic) {
	withAdmission(func(x *admissionFixture) {
		random := rand.New(rand.NewPCG(1, uint64(k.hosts)))
		x.server.admission.allocator = admission.NewAllocator(x.clock)
		for i := range k.engines {
			x.server.table.Announce(wholeEngine(i))
		}
		hosts := make([]*trafficHost, k.hosts)
		for i := range hosts {
			hosts[i] = &trafficHost{
				meter:   admission.NewMeter(x.clock),
				tracker: shedding.New(x.clock),
				request: syncRequest(i, true),
			}
			hosts[i].request.WaitMs = 0
			hosts[i].meter.Begin("models", k.occupancy*k.capacity()/float64(k.hosts))
		}
		const rounds = 16
		for round := range rounds {
			for _, h := range hosts {
				h.offer(k, random)
			}
			x.clock.Advance(allocateInterval / 2) // the rejections are somewhat older than the call
			for _, h := range hosts {
				h.prepare()
				reply := x.server.syncReplyAfterObserving(h.request, x.clock.Now())
				if reply.GetAdmissionValid() {
					h.meter.SetByAccount(admission.AllocationsFromWire(reply.GetAdmission()))
				}
				if round < rounds/2 {
					continue
				}
				t.add(h.request, reply)
				if k.shortage {
					Expect(reply.GetAdmission()[0].GetClasses()).NotTo(BeEmpty(), k.name)
				}
			}
			x.clock.Advance(allocateInterval / 2)
			x.update()
			x.clock.Advance(allocateInterval)
			x.update()
		}
	})
	return t
}

// offer makes callers ask a host for the streams of one call's interval. A few accounts send
// most of them.
func (h *trafficHost) offer(k trafficCase, random *rand.Rand) {
	share := callInterval.Seconds() / float64(k.hosts)
	for range poisson(k.perSecond*share, random) {
		account := int(float64(k.accounts) * math.Pow(random.Float64(), 2))
		class := admission.Class{
			Rank: random.IntN(3),
			Late: k.shortage && random.IntN(4) == 0,
		}
		h.meter.Offer("models", class, admission.AccountKey(fmt.Sprint("account", account)), (0.5+random.Float64())*k.demand*k.capacity()/k.perSecond)
	}
	for range poisson(k.rejections*share, random) {
		h.tracker.Record(engineName(random.IntN(k.engines)))
	}
}

// prepare sets what the host reports with its next call.
func (h *trafficHost) prepare() {
	h.request.Admission = admission.ReportsToWire(h.meter.TakeReports())
	if len(h.request.Admission) == 0 {
		h.request.Admission = []*rpc.AdmissionReport{{}}
	}
	h.request.Full = nil
	for _, e := range h.tracker.List() {
		h.request.Full = append(h.request.Full, &rpc.FullEndpoint{
			Endpoint: e.Key,
			LeftMs:   uint32(e.Remaining.Milliseconds()),
		})
	}
}

// syncReplyAfterObserving is a call without the time for which it is held open.
func (s *Server) syncReplyAfterObserving(q *rpc.SyncRequest, now time.Time) *rpc.SyncReply {
	s.hosts.observe(now, q)
	s.admission.observe(q, admissionTerm)
	s.full.observe(now, q)
	reply := &rpc.SyncReply{}
	s.admission.addTo(reply, q, admissionTerm, now)
	s.addFull(q, reply, now)
	return reply
}

// poisson returns how many of many rare events happen if mean of them do on average.
func poisson(mean float64, random *rand.Rand) int {
	n, p, limit := 0, random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= random.Float64()
	}
	return n
}

var _ = Describe("the traffic of admission control", func() {
	It("is bounded for each host, whatever the number of hosts", func() {
		cases := []trafficCase{
			{name: "69 hosts, enough for all", hosts: 69, engines: 98, accounts: 24, perSecond: 300, demand: 0.1, occupancy: 0.4},
			{name: "450 hosts, enough for all", hosts: 450, engines: 3200, accounts: 1200, perSecond: 15_000, demand: 0.1, occupancy: 0.4},
			{name: "69 hosts, a shortage", hosts: 69, engines: 98, accounts: 24, perSecond: 1800, demand: 1, rejections: 390, occupancy: 1.1, shortage: true},
			{name: "450 hosts, a shortage", hosts: 450, engines: 3200, accounts: 1200, perSecond: 46_000, demand: 1, rejections: 2500, occupancy: 1.1, shortage: true},
		}
		for _, k := range cases {
			t := measureTraffic(k)
			GinkgoWriter.Printf("%s: %s\n", k.name, &t)
			if k.shortage {
				Expect(callsPerSecond*t.perCall()).To(BeNumerically("<", maxAdmissionBytes), k.name)
				continue
			}
			Expect(t.perCall()).To(BeNumerically("<", maxIdleBytes), k.name)
		}
	})
})
