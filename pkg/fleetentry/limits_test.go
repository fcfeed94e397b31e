package fleetentry

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rest"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lendingControl lends by a script, and remembers what it was told.
type lendingControl struct {
	*fakeControl
	mu    sync.Mutex
	reply *rpc.BorrowReply
	asked []*rpc.BorrowRequest
}

func (c *lendingControl) Borrow(_ context.Context, q *rpc.BorrowRequest) (*rpc.BorrowReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, q)
	return c.reply, nil
}

func (c *lendingControl) borrows() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.asked)
}

// withLending runs f on a follower of a leader that lends by reply, and knows of e1's limit.
func withLending(reply *rpc.BorrowReply, f func(follower *ControlClient, book *permit.Holder, c *lendingControl, clock *timer.Manual)) {
	c := &lendingControl{fakeControl: &fakeControl{}, reply: reply}
	withFleet(c, func(address string) {
		clock := timer.NewManual(time.Unix(1000, 0))
		follower := newFollower(clock)
		book := permit.NewHolder(clock, 1)
		follower.SetSources(&fakeLoads{}, quarantine.NewEnforcer(clock), rest.New(clock), book)
		first := confirmed(3)
		first.LimitsTerm = 1
		first.LimitsVersion = 1
		first.Limits = []*rpc.Limit{{Endpoint: permit.EndpointKey("e1"), Service: "s", PerSecond: 8}}
		follower.take(address, first, clock.Now())
		f(follower, book, c, clock)
	})
}

var _ = Describe("an entry host's dealings with limits", func() {
	It("tells words, demand and unused permits with each call, and what wasn't taken again", func() {
		withLending(nil, func(f *ControlClient, book *permit.Holder, _ *lendingControl, clock *timer.Manual) {
			book.Observe("e1", "s", fleet.Limit{Status: fleet.LimitSet, PerSecond: 7}, clock.Now())
			book.CountRequest("s")
			book.CountRequest("s")
			q := f.request("10.0.0.9:80")
			Expect(q.GetLimitsTerm()).To(Equal(uint64(1)))
			Expect(q.GetLimitsVersion()).To(Equal(uint64(1)))
			Expect(q.GetLimitWords()[0].GetPerSecond()).To(Equal(7.0))
			Expect(q.GetDemands()[0].GetRequests()).To(Equal(uint32(2)))
			Expect(q.GetDemands()[0].GetWanted()).To(Equal([]uint32{permit.EndpointKey("e1")}))
			q = f.request("10.0.0.9:80")
			Expect(q.GetLimitWords()).To(HaveLen(1), "the call before got no answer")
			reply := confirmed(3)
			reply.LimitsTerm = 1
			reply.LimitsVersion = 2
			f.take("c", reply, clock.Now())
			Expect(f.request("10.0.0.9:80").GetLimitWords()).To(BeEmpty())
		})
	})

	It("uses permits for their time, counted from when they were lent", func() {
		withLending(nil, func(f *ControlClient, book *permit.Holder, _ *lendingControl, clock *timer.Manual) {
			sent := clock.Now()
			clock.Advance(800 * time.Millisecond) // of which the leader held the call 300
			reply := confirmed(3)
			reply.LimitsTerm = 1
			reply.HeldMs = 300
			reply.Permits = permit.Counts{permit.EndpointKey("e1"): 2}.ToWire()
			f.take("c", reply, sent)
			Expect(book.TryAcquire("e1")).To(BeTrue())
			clock.Advance(permit.Lifetime - 500*time.Millisecond)
			Expect(book.TryAcquire("e1")).To(BeFalse())
		})
	})

	It("borrows from the leader, and tells when there will be a permit where there is none", func() {
		cases := []struct {
			name  string
			reply *rpc.BorrowReply
			lost  bool
			due   time.Duration
			gap   time.Duration
		}{
			{name: "lent", reply: &rpc.BorrowReply{Confirmed: true, Term: 1, Permits: permit.Counts{permit.EndpointKey("e1"): 1}.ToWire()}},
			{name: "none", reply: &rpc.BorrowReply{Confirmed: true, Term: 1, DueMs: 700, GapMs: 1400}, due: 700 * time.Millisecond, gap: 1400 * time.Millisecond},
			{name: "not by who doesn't lead", reply: &rpc.BorrowReply{Permits: permit.Counts{permit.EndpointKey("e1"): 1}.ToWire()}, due: askAgain},
			{name: "no leader", lost: true, due: leaderDue},
		}
		for _, c := range cases {
			withLending(c.reply, func(f *ControlClient, book *permit.Holder, _ *lendingControl, _ *timer.Manual) {
				if c.lost {
					f.missed("c", "", nil)
				}
				loan := f.RequestPermits(context.Background(), []string{"e1"}, true, 5, 0)
				Expect(loan.AvailableIn).To(Equal(c.due), c.name)
				Expect(loan.Interval).To(Equal(c.gap), c.name)
				Expect(book.TryAcquire("e1")).To(Equal(c.due == 0), c.name)
			})
		}
	})

	It("tells the leader at once of a limit that it heard of, and later if it couldn't", func() {
		withLending(&rpc.BorrowReply{Confirmed: true, Term: 1}, func(f *ControlClient, book *permit.Holder, c *lendingControl, clock *timer.Manual) {
			g := group.New(context.Background())
			defer g.Stop()
			g.Go(f.tellHeard)
			book.Observe("e2", "s", fleet.Limit{Status: fleet.LimitSet, PerSecond: 2}, clock.Now())
			f.ReportLimits()
			Eventually(c.borrows, "5s").Should(Equal(1))
			Expect(c.asked[0].GetWords()[0].GetEndpoint()).To(Equal(permit.EndpointKey("e2")))
			Eventually(book.PendingReports, "5s").Should(BeEmpty())
		})
		withLending(&rpc.BorrowReply{}, func(f *ControlClient, book *permit.Holder, c *lendingControl, clock *timer.Manual) {
			g := group.New(context.Background())
			defer g.Stop()
			g.Go(f.tellHeard)
			book.Observe("e2", "s", fleet.Limit{Status: fleet.LimitSet, PerSecond: 2}, clock.Now())
			f.ReportLimits()
			Eventually(c.borrows, "5s").Should(Equal(1))
			Expect(f.request("10.0.0.9:80").GetLimitWords()).To(HaveLen(1))
		})
	})
})
