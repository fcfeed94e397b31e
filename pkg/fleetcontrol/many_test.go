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
	It("are asked in turn, no faster than the leader can", func() {
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
		Expect(probes).To(HaveLen(3000), "each had its turn")
		for _, n := range probes {
			Expect(n).To(BeNumerically("<=", 2))
		}
	})

	It("are spread to the other replicas many at a time", func() {
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

	It("come as one list for all hosts, which is never older than what a host knows", func() {
		withServer(func(string) (placement.Report, error) { return placement.Report{}, nil }, func(s *Server, _ *group.Group) {
			for i := range 3 * maxChangedEntries {
				s.table.Announce(engineEndpoint(i, 1, fleet.Range{To: 8}))
			}
			first := s.endpointList.get(s.table, startTime, 0)
			Expect(first.version).To(Equal(s.table.Version()))
			s.table.Announce(engineEndpoint(0, 2, fleet.Range{To: 9}))
			Expect(s.endpointList.get(s.table, startTime.Add(listLifetime-1), 0)).To(Equal(first), "it serves a while")
			Expect(s.endpointList.get(s.table, startTime.Add(listLifetime-1), first.version+1).version).To(Equal(s.table.Version()))
			s.table.Announce(engineEndpoint(0, 3, fleet.Range{To: 10}))
			Expect(s.endpointList.get(s.table, startTime.Add(time.Hour), 0).version).To(Equal(s.table.Version()))
		})
	})

	It("are told row by row where few changed, as a list where many did, and later where no link has room", func() {
		cases := []struct {
			changed int
			epoch   uint64
			room    bool
			rows    int
			whole   bool
		}{
			{changed: maxChangedEntries, epoch: 7, room: true, rows: maxChangedEntries},
			{changed: maxChangedEntries, epoch: 7, room: false, rows: maxChangedEntries},
			{changed: maxChangedEntries + 1, epoch: 7, room: true, whole: true},
			{changed: maxChangedEntries + 1, epoch: 7, room: false},
			{changed: 1, epoch: 5, room: true, whole: true},
			{changed: 1, epoch: 5, room: false},
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
				if !k.room {
					s.endpointList.rate = rate.NewLimiter(0, 0)
				}
				q := &rpc.SyncRequest{Epoch: k.epoch, EndpointsVersion: held, EndpointsDigest: 1}
				reply := &rpc.SyncReply{Epoch: 7}
				s.addEndpoints(q, reply, startTime)
				name := fmt.Sprint(k)
				Expect(reply.GetEndpoints()).To(HaveLen(k.rows), name)
				Expect(reply.GetWhole()).To(Equal(k.whole), name)
				if k.rows > 0 || k.whole {
					Expect(reply.GetEndpointsVersion()).To(Equal(s.table.Version()), name)
					Expect(reply.GetEpoch()).To(BeEquivalentTo(7), name)
					return
				}
				Expect(reply.GetEndpointsVersion()).To(Equal(held), name)
				Expect(reply.GetEpoch()).To(Equal(k.epoch), "the host must still be told")
			})
		}
	})

	It("that leave are told ahead of the list where no link has room for it", func() {
		cases := []struct {
			epoch uint64
			ago   time.Duration
			told  int
		}{
			{epoch: 7, ago: 0, told: 1},
			{epoch: 5, ago: 0, told: 1},
			{epoch: 7, ago: 2 * leaveReportPeriod, told: 0},
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
				s.addEndpoints(q, reply, s.cfg.Timer.Now().Add(k.ago))
				Expect(reply.GetEndpoints()).To(HaveLen(k.told), fmt.Sprint(k))
				if k.told > 0 {
					Expect(reply.GetEndpoints()[0].GetId()).To(Equal(engineName(3)))
					Expect(reply.GetEndpoints()[0].GetLeaving()).To(BeTrue())
				}
				Expect(reply.GetWhole()).To(BeFalse())
				Expect(reply.GetEndpointsVersion()).To(Equal(held), "the rest must still be told")
			})
		}
	})
})
