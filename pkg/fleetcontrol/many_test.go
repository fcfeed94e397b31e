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
		s := newSurvey()
		var list []fleet.Endpoint
		for i := range 3000 {
			list = append(list, engine(i, 1, fleet.Range{}))
		}
		asked := map[string]int{}
		now := start
		round := func() (n int) {
			for _, e := range s.longestAgo(append([]fleet.Endpoint(nil), list...)) {
				if s.due(e.ID, now, loadingInterval) {
					asked[e.ID]++
					n++
				}
			}
			return n
		}
		Expect(round()).To(Equal(questionBurst))
		const rounds = 24
		for range rounds {
			now = now.Add(judgeInterval)
			Expect(round()).To(BeNumerically("<=", int(questionRate*judgeInterval.Seconds())+1))
		}
		Expect(asked).To(HaveLen(3000), "each had its turn")
		for _, n := range asked {
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
					e := engine(i, 1, fleet.Range{})
					e.Leaving = true
					Expect(s.Announce(ctx, e)).To(Succeed())
				})
			}
			g.Wait()
			for _, one := range c.ips {
				Expect(c.knows(one)()).To(HaveLen(many), "each leave was acknowledged")
			}
			Expect(s.cfg.Metrics.Counter("spread_calls").Count()).To(BeNumerically("<", many/4))
		})
	})

	It("come as one list for all hosts, which is never older than what a host knows", func() {
		withServer(func(string) (placement.Report, error) { return placement.Report{}, nil }, func(s *Server, _ *group.Group) {
			for i := range 3 * manyRows {
				s.table.Announce(engine(i, 1, fleet.Range{To: 8}))
			}
			first := s.listing.of(s.table, start, 0)
			Expect(first.version).To(Equal(s.table.Version()))
			s.table.Announce(engine(0, 2, fleet.Range{To: 9}))
			Expect(s.listing.of(s.table, start.Add(listKeep-1), 0)).To(Equal(first), "it serves a while")
			Expect(s.listing.of(s.table, start.Add(listKeep-1), first.version+1).version).To(Equal(s.table.Version()))
			s.table.Announce(engine(0, 3, fleet.Range{To: 10}))
			Expect(s.listing.of(s.table, start.Add(time.Hour), 0).version).To(Equal(s.table.Version()))
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
			{changed: manyRows, epoch: 7, room: true, rows: manyRows},
			{changed: manyRows, epoch: 7, room: false, rows: manyRows},
			{changed: manyRows + 1, epoch: 7, room: true, whole: true},
			{changed: manyRows + 1, epoch: 7, room: false},
			{changed: 1, epoch: 5, room: true, whole: true},
			{changed: 1, epoch: 5, room: false},
		}
		for _, k := range cases {
			withServer(nil, func(s *Server, _ *group.Group) {
				for i := range 2 * manyRows {
					s.table.Announce(engine(i, 1, fleet.Range{}))
				}
				held := s.table.Version()
				for i := range k.changed {
					s.table.Announce(engine(i, 2, fleet.Range{To: 8}))
				}
				if !k.room {
					s.listing.rate = rate.NewLimiter(0, 0)
				}
				q := &rpc.SyncRequest{Epoch: k.epoch, EndpointsVersion: held, EndpointsDigest: 1}
				reply := &rpc.SyncReply{Epoch: 7}
				s.tellEndpoints(q, reply, start)
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
			{epoch: 7, ago: 2 * leaveKeep, told: 0},
		}
		for _, k := range cases {
			withServer(nil, func(s *Server, _ *group.Group) {
				for i := range 2 * manyRows {
					s.table.Announce(engine(i, 1, fleet.Range{}))
				}
				held := s.table.Version()
				for i := range 2 * manyRows {
					s.table.Announce(engine(i, 2, fleet.Range{To: 8}))
				}
				leaves := engine(3, 3, fleet.Range{To: 8})
				leaves.Leaving = true
				s.table.Announce(leaves)
				s.listing.rate = rate.NewLimiter(0, 0)
				q := &rpc.SyncRequest{Epoch: k.epoch, EndpointsVersion: held, EndpointsDigest: 1}
				reply := &rpc.SyncReply{Epoch: 7}
				s.tellEndpoints(q, reply, s.cfg.Timer.Now().Add(k.ago))
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
