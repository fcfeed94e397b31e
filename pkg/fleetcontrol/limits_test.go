package fleetcontrol

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const limitTerm = 3

// withLimit runs f on a leader that received the limit of an endpoint e1 long ago.
func withLimit(perSecond float64, f func(s *Server, clock *timer.Manual)) {
	withServer(nil, func(s *Server, _ *group.Group) {
		clock := s.cfg.Timer.(*timer.Manual)
		s.leadership = &fixedLeadership{term: limitTerm, machine: state.New(claimWindow.Milliseconds())}
		s.recordLeading(limitTerm, clock.Now())
		s.granter.BeginTerm(limitTerm)
		s.observeTestLimit(perSecond, clock.Now())
		clock.Advance(10 * time.Second)
		f(s, clock)
	})
}

func (s *Server) observeTestLimit(perSecond float64, at time.Time) {
	s.granter.Observe([]permit.LimitReport{{Key: permit.EndpointKey("e1"), Service: "s", PerSecond: perSecond, SentAt: at, ReceivedAt: at}})
}

// demandRequest is a host's call with a demand for permits to e1.
func demandRequest(requests uint32) *rpc.SyncRequest {
	q := syncRequest(1, true)
	q.LimitsTerm = limitTerm
	q.Demands = []*rpc.Demand{{Service: "s", Requests: requests, Wanted: []uint32{permit.EndpointKey("e1")}}}
	return q
}

func borrowRequest(wait time.Duration) *rpc.BorrowRequest {
	return &rpc.BorrowRequest{Host: "h1", Endpoints: []uint32{permit.EndpointKey("e1")}, WaitMs: uint32(wait.Milliseconds())}
}

var _ = Describe("the leader's permits", func() {
	It("come with the limits that a host lacks, and match its demand", func() {
		withLimit(8, func(s *Server, _ *timer.Manual) {
			reply := &rpc.SyncReply{}
			s.addLimits(demandRequest(4), reply, limitTerm)
			Expect(reply.GetLimits()[0].GetEndpoint()).To(Equal(permit.EndpointKey("e1")))
			Expect(reply.GetLimitsTerm()).To(Equal(uint64(limitTerm)))
			Expect(permit.CountsFromWire(reply.GetPermits())).To(Equal(permit.Counts{permit.EndpointKey("e1"): 4}))
			q := demandRequest(4)
			q.LimitsVersion = reply.GetLimitsVersion()
			again := &rpc.SyncReply{}
			s.addLimits(q, again, limitTerm)
			Expect(again.GetLimits()).To(BeEmpty())
			Expect(again.GetLimitsWhole()).To(BeFalse())
		})
	})

	It("take limit reports and unused permits from hosts into account", func() {
		withLimit(8, func(s *Server, clock *timer.Manual) {
			for s.granter.Grant(permit.Demand{Service: "s", Requests: 50, Wanted: []uint32{permit.EndpointKey("e1")}}).Total() > 0 {
			}
			clock.Advance(2 * permit.Lifetime)
			s.granter.ChargeProbe(permit.EndpointKey("e1"))
			q := demandRequest(0)
			q.Unused = permit.Counts{permit.EndpointKey("e1"): 3}.ToWire()
			q.LimitWords = []*rpc.LimitWord{{Endpoint: permit.EndpointKey("e2"), Service: "s", PerSecond: 4}}
			s.observeLimits(q, limitTerm)
			Expect(s.granter.Size()).To(Equal(2))
		})
	})

	It("are granted at once or after a short wait, or the answer says when they will be available", func() {
		withLimit(8, func(s *Server, _ *timer.Manual) {
			reply, err := s.Borrow(context.Background(), borrowRequest(0))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetConfirmed()).To(BeTrue())
			Expect(permit.CountsFromWire(reply.GetPermits()).Total()).To(Equal(1))
		})
		withLimit(0.5, func(s *Server, clock *timer.Manual) {
			s.hosts.observe(clock.Now(), syncRequest(1, true))
			s.hosts.observe(clock.Now(), syncRequest(2, true))
			first, _ := s.Borrow(context.Background(), borrowRequest(0)) // a failure shows in the permits
			Expect(permit.CountsFromWire(first.GetPermits()).Total()).To(Equal(1))
			reply, err := s.Borrow(context.Background(), borrowRequest(0))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetPermits()).To(BeNil())
			Expect(reply.GetDueMs()).To(BeNumerically(">", 0))
			Expect(reply.GetGapMs()).To(Equal(uint32(4000)), "two hosts share one permit per 2 s")
		})
		withLimit(8, func(s *Server, clock *timer.Manual) {
			for s.granter.Grant(permit.Demand{Service: "s", Requests: 50, Wanted: []uint32{permit.EndpointKey("e1")}}).Total() > 0 {
			}
			clock.Advance(permit.Lifetime)
			s.granter.ChargeProbe(permit.EndpointKey("e1"))
			for { // take permits until the next one isn't available yet
				waiter := s.granter.Enqueue([]uint32{permit.EndpointKey("e1")}, true, 5)
				_, wait := s.granter.TryGrant(waiter)
				s.granter.Dequeue(waiter)
				if wait > 0 {
					break
				}
			}
			done := make(chan *rpc.BorrowReply, 1)
			background(func() {
				reply, _ := s.Borrow(context.Background(), borrowRequest(maxBorrowWait)) // a failure shows in the permits
				done <- reply
			})
			Eventually(func() bool {
				clock.Advance(10 * time.Millisecond)
				select {
				case reply := <-done:
					Expect(permit.CountsFromWire(reply.GetPermits()).Total()).To(Equal(1))
					return true
				default:
					return false
				}
			}, "5s", "1ms").Should(BeTrue())
		})
	})

	It("are not granted by a replica that doesn't lead", func() {
		withLimit(8, func(s *Server, _ *timer.Manual) {
			s.leadership = s.replica
			reply, err := s.Borrow(context.Background(), borrowRequest(0))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetConfirmed()).To(BeFalse())
			Expect(reply.GetPermits()).To(BeNil())
		})
	})

	It("end a long poll early if there is a limit that the host lacks", func() {
		withLimit(8, func(s *Server, _ *timer.Manual) {
			q := demandRequest(1)
			q.Epoch = epochOf(limitTerm, false)
			machine := s.leadership.(*fixedLeadership).machine
			Expect(s.hasChanges(q, limitTerm, machine)).To(BeTrue())
			_, version, _ := s.granter.ChangesSince(0, 0, 0)
			q.LimitsVersion = version
			q.EndpointsVersion = s.table.Version()
			Expect(s.hasChanges(q, limitTerm, machine)).To(BeFalse())
		})
	})
})

var _ = Describe("the leader's calls to endpoints with rate limits", func() {
	It("are made less often, in proportion to the limit", func() {
		cases := []struct {
			limit  float64
			probes int // in 8 s
		}{
			{8, 8},
			{1, 2},
			{0.05, 1},
		}
		for _, c := range cases {
			probes := 0
			withServer(func(string) (placement.Report, error) { probes++; return placement.Report{}, nil }, func(s *Server, g *group.Group) {
				clock := s.cfg.Timer.(*timer.Manual)
				s.granter.BeginTerm(limitTerm)
				s.observeTestLimit(c.limit, clock.Now())
				s.table.Announce(announcement(false, 1))
				e, _ := s.table.Get("e1")
				for range 80 {
					s.probe(e, probeInterval, "survey")
					g.Wait()
					clock.Advance(100 * time.Millisecond)
				}
				Expect(probes).To(Equal(c.probes), "%v", c.limit)
			})
		}
	})

	It("use permits, for probes and orders alike", func() {
		withEndpointClient(&countingEndpoints{}, func(c *endpointClient, _ *registry.Table, clock *timer.Manual) {
			availableIn := func() time.Duration {
				waiter := c.granter.Enqueue([]uint32{permit.EndpointKey("e1")}, true, 5)
				defer c.granter.Dequeue(waiter)
				_, wait := c.granter.TryGrant(waiter)
				return wait
			}
			c.granter.BeginTerm(limitTerm)
			c.observeLimit("e1", fleet.RateLimit{Status: fleet.LimitSet, PerSecond: 0.5}, clock.Now())
			clock.Advance(6 * time.Second) // enough for two and a half permits
			probeAndOrder(c)
			Expect(availableIn()).To(BeNumerically("~", time.Second, 10*time.Millisecond))
		})
	})

	It("apply the limit in every answer, and its removal", func() {
		e := &countingEndpoints{notice: fleet.Notice{Limit: fleet.RateLimit{Status: fleet.LimitSet, PerSecond: 8}}}
		withEndpointClient(e, func(c *endpointClient, _ *registry.Table, clock *timer.Manual) {
			c.granter.BeginTerm(limitTerm)
			_, _ = c.Report(context.Background(), "e1", "127.0.2.1:80") // only the notice counts
			Expect(c.granter.Size()).To(Equal(1))
			e.notice.Limit = fleet.RateLimit{}
			_, _ = c.Report(context.Background(), "e1", "127.0.2.1:80") // the same
			clock.Advance(5 * time.Second)
			c.granter.Expire()
			Expect(c.granter.Size()).To(Equal(1), "an unknown limit removes nothing")
			e.notice.Limit = fleet.RateLimit{Status: fleet.LimitNone}
			for range 2 {
				_, _ = c.Report(context.Background(), "e1", "127.0.2.1:80") // the same
				clock.Advance(5 * time.Second)
			}
			Expect(c.granter.Size()).To(BeZero())
		})
	})

	It("count an endpoint as below demand if its limit is lower than the demand on its service", func() {
		withLimit(8, func(s *Server, _ *timer.Manual) {
			Expect(s.belowDemand("e1")).To(BeFalse())
			s.addLimits(demandRequest(20), &rpc.SyncReply{}, limitTerm)
			Expect(s.belowDemand("e1")).To(BeTrue())
			Expect(s.belowDemand("e2")).To(BeFalse())
		})
	})
})
