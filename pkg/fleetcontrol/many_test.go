package fleetcontrol

import (
	"context"
	"fmt"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"
)

var _ = Describe("3,000 endpoints", func() {
	It("are probed in turn, within the probe rate", func() {
		s := newProbeSchedule()
		var list []fleet.Endpoint
		for i := range 3000 {
			list = append(list, engineEndpoint(i, 1, fleet.Range{}))
		}
		probes := map[string]int{}
		now := startTime
		round := func() (n int) {
			for _, e := range s.sortByLastProbe(append([]fleet.Endpoint(nil), list...)) {
				if s.due(e.ID, now, loadingProbeInterval) {
					probes[e.ID]++
					n++
				}
			}
			return n
		}
		Expect(round()).To(Equal(probeBurst))
		const rounds = 24
		for range rounds {
			now = now.Add(leadInterval)
			Expect(round()).To(BeNumerically("<=", int(probeRate*leadInterval.Seconds())+1))
		}
		Expect(probes).To(HaveLen(3000), "each was probed")
		for _, n := range probes {
			Expect(n).To(BeNumerically("<=", 2))
		}
	})

	It("are propagated to the other replicas in batches", func() {
		withCluster(func(c *cluster) {
			ip := c.leader()
			s := c.hosts[ip].server
			const many = 200
			g := group.New(context.Background())
			for i := range many {
				g.Go(func(ctx context.Context) {
					e := engineEndpoint(i, 1, fleet.Range{})
					e.Leaving = true
					Expect(s.Announce(ctx, e)).To(Succeed())
				})
			}
			g.Wait()
			for _, one := range c.ips {
				Expect(c.knownEndpoints(one)()).To(HaveLen(many), "each leave was acknowledged")
			}
			Expect(s.cfg.Metrics.Counter("spread_calls").Count()).To(BeNumerically("<", many/4))
		})
	})

	It("are sent to all hosts as one cached list, which is never older than what the host holds", func() {
		withServer(func(string) (placement.Report, error) { return placement.Report{}, nil }, func(s *Server, _ *group.Group) {
			for i := range 3 * maxChangedEntries {
				s.table.Announce(engineEndpoint(i, 1, fleet.Range{To: 8}))
			}
			first := s.endpointList.get(s.table, startTime, 0)
			Expect(first.version).To(Equal(s.table.Version()))
			s.table.Announce(engineEndpoint(0, 2, fleet.Range{To: 9}))
			Expect(s.endpointList.get(s.table, startTime.Add(listLifetime-1), 0)).To(Equal(first), "reused for listLifetime")
			Expect(s.endpointList.get(s.table, startTime.Add(listLifetime-1), first.version+1).version).To(Equal(s.table.Version()))
			s.table.Announce(engineEndpoint(0, 3, fleet.Range{To: 10}))
			Expect(s.endpointList.get(s.table, startTime.Add(time.Hour), 0).version).To(Equal(s.table.Version()))
		})
	})

	It("are sent one by one if few changed, as the full list if many did, and later if the bandwidth allowance is used up", func() {
		cases := []struct {
			changed int
			epoch   uint64
			allowed bool
			entries int
			full    bool
		}{
			{changed: maxChangedEntries, epoch: 7, allowed: true, entries: maxChangedEntries},
			{changed: maxChangedEntries, epoch: 7, allowed: false, entries: maxChangedEntries},
			{changed: maxChangedEntries + 1, epoch: 7, allowed: true, full: true},
			{changed: maxChangedEntries + 1, epoch: 7, allowed: false},
			{changed: 1, epoch: 5, allowed: true, full: true},
			{changed: 1, epoch: 5, allowed: false},
		}
		for _, k := range cases {
			withServer(nil, func(s *Server, _ *group.Group) {
				for i := range 2 * maxChangedEntries {
					s.table.Announce(engineEndpoint(i, 1, fleet.Range{}))
				}
				held := s.table.Version()
				for i := range k.changed {
					s.table.Announce(engineEndpoint(i, 2, fleet.Range{To: 8}))
				}
				if !k.allowed {
					s.endpointList.rate = rate.NewLimiter(0, 0)
				}
				q := &rpc.SyncRequest{Epoch: k.epoch, EndpointsVersion: held, EndpointsDigest: 1}
				reply := &rpc.SyncReply{Epoch: 7}
				s.addEndpoints(q, reply, startTime)
				name := fmt.Sprint(k)
				Expect(reply.GetEndpoints()).To(HaveLen(k.entries), name)
				Expect(reply.GetWhole()).To(Equal(k.full), name)
				if k.entries > 0 || k.full {
					Expect(reply.GetEndpointsVersion()).To(Equal(s.table.Version()), name)
					Expect(reply.GetEpoch()).To(BeEquivalentTo(7), name)
					return
				}
				Expect(reply.GetEndpointsVersion()).To(Equal(held), name)
				Expect(reply.GetEpoch()).To(Equal(k.epoch), "the change must still be sent later")
			})
		}
	})

	It("that are leaving are sent ahead of the full list if the bandwidth allowance is used up", func() {
		cases := []struct {
			epoch uint64
			age   time.Duration
			sent  int
		}{
			{epoch: 7, age: 0, sent: 1},
			{epoch: 5, age: 0, sent: 1},
			{epoch: 7, age: 2 * leaveReportPeriod, sent: 0},
		}
		for _, k := range cases {
			withServer(nil, func(s *Server, _ *group.Group) {
				for i := range 2 * maxChangedEntries {
					s.table.Announce(engineEndpoint(i, 1, fleet.Range{}))
				}
				held := s.table.Version()
				for i := range 2 * maxChangedEntries {
					s.table.Announce(engineEndpoint(i, 2, fleet.Range{To: 8}))
				}
				leaves := engineEndpoint(3, 3, fleet.Range{To: 8})
				leaves.Leaving = true
				s.table.Announce(leaves)
				s.endpointList.rate = rate.NewLimiter(0, 0)
				q := &rpc.SyncRequest{Epoch: k.epoch, EndpointsVersion: held, EndpointsDigest: 1}
				reply := &rpc.SyncReply{Epoch: 7}
				s.addEndpoints(q, reply, s.cfg.Timer.Now().Add(k.age))
				Expect(reply.GetEndpoints()).To(HaveLen(k.sent), fmt.Sprint(k))
				if k.sent > 0 {
					Expect(reply.GetEndpoints()[0].GetId()).To(Equal(engineName(3)))
					Expect(reply.GetEndpoints()[0].GetLeaving()).To(BeTrue())
				}
				Expect(reply.GetWhole()).To(BeFalse())
				Expect(reply.GetEndpointsVersion()).To(Equal(held), "the rest must still be sent later")
			})
		}
	})
})
