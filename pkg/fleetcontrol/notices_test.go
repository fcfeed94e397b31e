package fleetcontrol

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// countingEndpoints counts calls, and answers them with a notice.
type countingEndpoints struct {
	reports, orders int
	notice          fleet.Notice
	err             error
}

func (e *countingEndpoints) Place(context.Context, placement.Order, string, uint64) (placement.Outcome, error) {
	e.orders++
	if e.notice.Backoff > 0 {
		return placement.Rejected, &fleet.RejectedError{Status: 503, Notice: e.notice}
	}
	return placement.Accepted, nil
}

func (e *countingEndpoints) Report(context.Context, string, string) (placement.Report, error) {
	e.reports++
	return placement.Report{Notice: e.notice}, e.err
}

// withEndpointClient runs f on a client, and a table that holds the endpoint e1.
func withEndpointClient(e *countingEndpoints, f func(c *endpointClient, table *registry.Table, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	table := registry.New(clock, nil, time.Second)
	table.Announce(announcement(false, 1))
	f(newEndpointClient(e, table, permit.NewGranter(clock), clock, nil), table, clock)
}

// probeAndOrder sends e1 a probe and an order.
func probeAndOrder(c *endpointClient) {
	_, _ = c.Report(context.Background(), "e1", "127.0.2.1:80")                        // only the calls are counted
	_, _ = c.Place(context.Background(), placement.Order{ID: "e1"}, "127.0.2.1:80", 0) // the same
}

var _ = Describe("the leader's calls to endpoints in backoff", func() {
	const backoff = 3 * time.Second
	It("are not made, whether a probe, an order or the host's entry process received the notice", func() {
		cases := []struct {
			name    string
			receive func(c *endpointClient, e *countingEndpoints)
		}{
			{name: "a probe", receive: func(c *endpointClient, e *countingEndpoints) {
				e.notice, e.err = fleet.Notice{Backoff: backoff}, errors.New("status 503")
				_, _ = c.Report(context.Background(), "e1", "127.0.2.1:80") // the fake's error
			}},
			{name: "an order", receive: func(c *endpointClient, e *countingEndpoints) {
				e.notice = fleet.Notice{Backoff: backoff}
				_, _ = c.Place(context.Background(), placement.Order{ID: "e1"}, "127.0.2.1:80", 0) // the same
			}},
			{name: "the entry process", receive: func(c *endpointClient, _ *countingEndpoints) {
				c.entryBackoffs.Merge("e1", backoff)
			}},
		}
		for _, one := range cases {
			e := &countingEndpoints{}
			withEndpointClient(e, func(c *endpointClient, _ *registry.Table, clock *timer.Manual) {
				one.receive(c, e)
				*e = countingEndpoints{}
				for range 3 {
					probeAndOrder(c)
					clock.Advance(backoff / 4)
				}
				Expect(e.reports+e.orders).To(BeZero(), one.name)
				clock.Advance(backoff / 4)
				probeAndOrder(c)
				Expect(e.reports).To(Equal(1), one.name)
				Expect(e.orders).To(Equal(1), one.name)
			})
		}
	})

	// Guards against a notice that is booked on the incarnation that was asked, or lost.
	It("are not made to another incarnation that answered with the notice", func() {
		e := &countingEndpoints{err: &fleet.OtherIncarnationError{ID: "e1@2000", Notice: fleet.Notice{Leaving: true, Backoff: backoff}}}
		withEndpointClient(e, func(c *endpointClient, table *registry.Table, _ *timer.Manual) {
			newer := announcement(false, 1)
			newer.ID, newer.Address = "e1@2000", "127.0.2.9:80"
			table.Announce(newer)
			_, _ = c.Report(context.Background(), "e1@1000", "127.0.2.1:80") // the fake's error
			for id, leaving := range map[string]bool{"e1": false, "e1@2000": true} {
				got, _ := table.Get(id)
				Expect(got.Leaving).To(Equal(leaving), id)
			}
			_, err := c.Report(context.Background(), "e1@2000", "127.0.2.1:80")
			Expect(err).To(MatchError(errInBackoff))
			Expect(e.reports).To(Equal(1))
		})
	})

	It("don't mark an endpoint as silent if it rejects a probe with backoff", func() {
		backsOff := func(string) (placement.Report, error) {
			return placement.Report{Notice: fleet.Notice{Backoff: backoff}}, errors.New("report: status 503")
		}
		probes := 0
		withServer(func(id string) (placement.Report, error) { probes++; return backsOff(id) }, func(s *Server, g *group.Group) {
			s.table.Announce(announcement(false, 1))
			for range 3 {
				s.probeSuspected([]string{"e1"})
				g.Wait()
				s.cfg.Timer.(*timer.Manual).Advance(suspectProbeInterval)
			}
			e, _ := s.table.Get("e1")
			Expect(e.Silent).To(BeFalse())
			Expect(probes).To(Equal(1))
		})
	})

	It("share backoffs between the processes of one host, and with no other host", func() {
		withServer(nil, func(s *Server, _ *group.Group) {
			s.cfg.IP = "10.0.0.1"
			s.endpointClient.observe("e2", fleet.Notice{Backoff: backoff})
			cases := []struct {
				address string
				same    bool
			}{
				{"10.0.0.1:80", true},
				{"10.0.0.2:80", false},
				{"", false},
			}
			for _, c := range cases {
				q := &rpc.SyncRequest{
					Host:    &rpc.FleetHost{Name: "h", CallerAddress: c.address},
					Resting: []*rpc.Resting{{Endpoint: "e1" + c.address, LeftMs: 2000}},
				}
				s.observeNotices(q)
				Expect(s.endpointClient.inBackoff("e1"+c.address)).To(Equal(c.same), c.address)
				reply := &rpc.SyncReply{}
				s.addBackoffs(q, reply)
				Expect(len(reply.GetResting())).To(Equal(map[bool]int{true: 1}[c.same]), c.address)
			}
			reply := &rpc.SyncReply{}
			s.addBackoffs(&rpc.SyncRequest{Host: &rpc.FleetHost{CallerAddress: "10.0.0.1:80"}}, reply)
			Expect(reply.GetResting()[0].GetEndpoint()).To(Equal("e2"), "a backoff received from the entry process isn't sent back")
		})
	})
})

var _ = Describe("an endpoint's leave notice", func() {
	It("reaches the table from probes, with a status or without", func() {
		for _, err := range []error{nil, placement.ErrNoReport, errors.New("report: status 500")} {
			withEndpointClient(&countingEndpoints{notice: fleet.Notice{Leaving: true}, err: err}, func(c *endpointClient, table *registry.Table, _ *timer.Manual) {
				probeAndOrder(c)
				e, _ := table.Get("e1")
				Expect(e.Leaving).To(BeTrue())
			})
		}
	})

	It("is accepted from entry hosts, by a new leader as well, although heartbeats say otherwise", func() {
		withCluster(func(c *cluster) {
			oldLeader := c.leader()
			other := c.otherHost(oldLeader)
			for n, ip := range []string{oldLeader, other} {
				Eventually(func() error {
					return c.hosts[ip].server.Announce(context.Background(), announcement(false, uint64(10*n+1)))
				}, "5s", "50ms").Should(Succeed())
				Eventually(func() bool {
					return c.reportLeaving("a").Leaving
				}, "5s", "50ms").Should(BeTrue())
				Expect(c.hosts[ip].server.Announce(context.Background(), announcement(false, uint64(10*n+2)))).To(Succeed())
				Expect(c.reportLeaving("b").Leaving).To(BeTrue(), "a heartbeat doesn't revoke it")
				if n == 0 {
					c.stop(oldLeader)
				}
			}
		})
	})
})

// reportLeaving reports to the leader as an entry host that e1 is leaving, and returns the
// leader's entry for e1.
func (c *cluster) reportLeaving(name string) fleet.Endpoint {
	s := c.hosts[c.leader()].server
	_, err := s.Sync(context.Background(), &rpc.SyncRequest{
		Host:    &rpc.FleetHost{Name: name},
		Leaving: []string{"e1"},
	})
	if err != nil {
		return fleet.Endpoint{}
	}
	e, _ := s.table.Get("e1")
	return e
}
