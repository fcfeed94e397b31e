package fleetentry

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// grantingControl answers every request for permits with reply and records the requests.
type grantingControl struct {
	*fakeControl
	mu       sync.Mutex
	reply    *rpc.BorrowReply
	requests []*rpc.BorrowRequest
}

func (c *grantingControl) Borrow(_ context.Context, q *rpc.BorrowRequest) (*rpc.BorrowReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, q)
	return c.reply, nil
}

func (c *grantingControl) requestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// withGrantingControl runs f with a client of a leader that answers requests for permits
// with reply. The client knows the rate limit of e1.
func withGrantingControl(reply *rpc.BorrowReply, f func(client *ControlClient, holder *permit.Holder, c *grantingControl, clock *timer.Manual)) {
	c := &grantingControl{fakeControl: &fakeControl{}, reply: reply}
	withFleetServer(c, func(address string) {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		holder := permit.NewHolder(clock, 1)
		sources := newTestSources(clock)
		sources.Permits = holder
		client.SetSources(sources)
		first := confirmedReply(3)
		first.LimitsTerm = 1
		first.LimitsVersion = 1
		first.Limits = []*rpc.Limit{{Endpoint: permit.EndpointKey("e1"), Service: "s", PerSecond: 8}}
		client.applyReply(address, first, clock.Now())
		f(client, holder, c, clock)
	})
}

var _ = Describe("an entry host's rate limits and permits", func() {
	It("are reported with each call: observed limits, demand and unused permits; again if a call got no reply", func() {
		withGrantingControl(nil, func(client *ControlClient, holder *permit.Holder, _ *grantingControl, clock *timer.Manual) {
			holder.Observe("e1", "s", fleet.RateLimit{Status: fleet.LimitSet, PerSecond: 7}, clock.Now())
			holder.CountRequest("s")
			holder.CountRequest("s")
			q := client.syncRequest("10.0.0.9:80")
			Expect(q.GetLimitsTerm()).To(Equal(uint64(1)))
			Expect(q.GetLimitsVersion()).To(Equal(uint64(1)))
			Expect(q.GetLimitWords()[0].GetPerSecond()).To(Equal(7.0))
			Expect(q.GetDemands()[0].GetRequests()).To(Equal(uint32(2)))
			Expect(q.GetDemands()[0].GetWanted()).To(Equal([]uint32{permit.EndpointKey("e1")}))
			q = client.syncRequest("10.0.0.9:80")
			Expect(q.GetLimitWords()).To(HaveLen(1), "the previous call got no reply")
			reply := confirmedReply(3)
			reply.LimitsTerm = 1
			reply.LimitsVersion = 2
			client.applyReply("c", reply, clock.Now())
			Expect(client.syncRequest("10.0.0.9:80").GetLimitWords()).To(BeEmpty())
		})
	})

	It("allow calls for the lifetime of a permit, counted from when it was granted", func() {
		withGrantingControl(nil, func(client *ControlClient, holder *permit.Holder, _ *grantingControl, clock *timer.Manual) {
			sent := clock.Now()
			clock.Advance(800 * time.Millisecond) // the leader held the call open for 300 ms of it
			reply := confirmedReply(3)
			reply.LimitsTerm = 1
			reply.HeldMs = 300
			reply.Permits = permit.Counts{permit.EndpointKey("e1"): 2}.ToWire()
			client.applyReply("c", reply, sent)
			Expect(holder.TryAcquire("e1")).To(BeTrue())
			clock.Advance(permit.Lifetime - 500*time.Millisecond)
			Expect(holder.TryAcquire("e1")).To(BeFalse())
		})
	})

	It("are requested from the leader, which says when a permit is available if none is now", func() {
		cases := []struct {
			name        string
			reply       *rpc.BorrowReply
			lost        bool
			availableIn time.Duration
			interval    time.Duration
		}{
			{name: "granted", reply: &rpc.BorrowReply{Confirmed: true, Term: 1, Permits: permit.Counts{permit.EndpointKey("e1"): 1}.ToWire()}},
			{name: "none available", reply: &rpc.BorrowReply{Confirmed: true, Term: 1, DueMs: 700, GapMs: 1400}, availableIn: 700 * time.Millisecond, interval: 1400 * time.Millisecond},
			{name: "granted by a replica that isn't the leader", reply: &rpc.BorrowReply{Permits: permit.Counts{permit.EndpointKey("e1"): 1}.ToWire()}, availableIn: permitRetryDelay},
			{name: "no leader", lost: true, availableIn: noLeaderRetryAfter},
		}
		for _, c := range cases {
			withGrantingControl(c.reply, func(client *ControlClient, holder *permit.Holder, _ *grantingControl, _ *timer.Manual) {
				if c.lost {
					client.syncFailed("c", "", nil)
				}
				permits := client.RequestPermits(context.Background(), []string{"e1"}, true, 5, 0)
				Expect(permits.AvailableIn).To(Equal(c.availableIn), c.name)
				Expect(permits.Interval).To(Equal(c.interval), c.name)
				Expect(holder.TryAcquire("e1")).To(Equal(c.availableIn == 0), c.name)
			})
		}
	})

	It("are reported to the leader as soon as a limit is observed, and with the next call if that fails", func() {
		withGrantingControl(&rpc.BorrowReply{Confirmed: true, Term: 1}, func(client *ControlClient, holder *permit.Holder, c *grantingControl, clock *timer.Manual) {
			g := group.New(context.Background())
			defer g.Stop()
			g.Go(client.reportObservedLimits)
			holder.Observe("e2", "s", fleet.RateLimit{Status: fleet.LimitSet, PerSecond: 2}, clock.Now())
			client.ReportLimits()
			Eventually(c.requestCount, "5s").Should(Equal(1))
			Expect(c.requests[0].GetWords()[0].GetEndpoint()).To(Equal(permit.EndpointKey("e2")))
			Eventually(holder.PendingReports, "5s").Should(BeEmpty())
		})
		withGrantingControl(&rpc.BorrowReply{}, func(client *ControlClient, holder *permit.Holder, c *grantingControl, clock *timer.Manual) {
			g := group.New(context.Background())
			defer g.Stop()
			g.Go(client.reportObservedLimits)
			holder.Observe("e2", "s", fleet.RateLimit{Status: fleet.LimitSet, PerSecond: 2}, clock.Now())
			client.ReportLimits()
			Eventually(c.requestCount, "5s").Should(Equal(1))
			Expect(client.syncRequest("10.0.0.9:80").GetLimitWords()).To(HaveLen(1))
		})
	})
})
