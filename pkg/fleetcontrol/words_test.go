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

// engines counts calls, and answers them with a word.
type engines struct {
	reports, orders int
	says            fleet.Notice
	err             error
}

func (e *engines) Place(context.Context, placement.Order, string, uint64) (placement.Outcome, error) {
	e.orders++
	if e.says.Backoff > 0 {
		return placement.Rejected, &fleet.RejectedError{Status: 503, Notice: e.says}
	}
	return placement.Accepted, nil
}

func (e *engines) Report(context.Context, string, string) (placement.Report, error) {
	e.reports++
	return placement.Report{Notice: e.says}, e.err
}

// withConsiderate runs f on calls to an endpoint e1 that the table holds.
func withConsiderate(e *engines, f func(c *considerate, table *registry.Table, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	table := registry.New(clock, nil, time.Second)
	table.Announce(announcement(false, 1))
	f(newConsiderate(e, table, permit.NewGranter(clock), clock, nil), table, clock)
}

// callBoth asks an endpoint and gives it an order.
func callBoth(c *considerate) {
	_, _ = c.Report(context.Background(), "e1", "127.0.2.1:80")                        // its outcome is counted
	_, _ = c.Place(context.Background(), placement.Order{ID: "e1"}, "127.0.2.1:80", 0) // the same
}

var _ = Describe("calls to endpoints that rest", func() {
	const rested = 3 * time.Second
	It("aren't made, whether a question, an order or the entry process of the machine was told so", func() {
		cases := []struct {
			name string
			tell func(c *considerate, e *engines)
		}{
			{name: "a question", tell: func(c *considerate, e *engines) {
				e.says, e.err = fleet.Notice{Backoff: rested}, errors.New("status 503")
				_, _ = c.Report(context.Background(), "e1", "127.0.2.1:80") // the test's
			}},
			{name: "an order", tell: func(c *considerate, e *engines) {
				e.says = fleet.Notice{Backoff: rested}
				_, _ = c.Place(context.Background(), placement.Order{ID: "e1"}, "127.0.2.1:80", 0) // the test's
			}},
			{name: "the entry process", tell: func(c *considerate, _ *engines) {
				c.told.Merge("e1", rested)
			}},
		}
		for _, one := range cases {
			e := &engines{}
			withConsiderate(e, func(c *considerate, _ *registry.Table, clock *timer.Manual) {
				one.tell(c, e)
				*e = engines{}
				for range 3 {
					callBoth(c)
					clock.Advance(rested / 4)
				}
				Expect(e.reports+e.orders).To(BeZero(), one.name)
				clock.Advance(rested / 4)
				callBoth(c)
				Expect(e.reports).To(Equal(1), one.name)
				Expect(e.orders).To(Equal(1), one.name)
			})
		}
	})

	It("leave an endpoint for there that turned a question away", func() {
		rests := func(string) (placement.Report, error) {
			return placement.Report{Notice: fleet.Notice{Backoff: rested}}, errors.New("report: status 503")
		}
		asked := 0
		withServer(func(id string) (placement.Report, error) { asked++; return rests(id) }, func(s *Server, g *group.Group) {
			s.table.Announce(announcement(false, 1))
			for range 3 {
				s.doubt([]string{"e1"})
				g.Wait()
				s.cfg.Timer.(*timer.Manual).Advance(probeAgain)
			}
			e, _ := s.table.Get("e1")
			Expect(e.Silent).To(BeFalse())
			Expect(asked).To(Equal(1))
		})
	})

	It("are told of between the processes of one machine, and to no other", func() {
		withServer(nil, func(s *Server, _ *group.Group) {
			s.cfg.IP = "10.0.0.1"
			s.orders.hear("e2", fleet.Notice{Backoff: rested})
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
				s.hearWords(q)
				Expect(s.orders.rests("e1"+c.address)).To(Equal(c.same), c.address)
				reply := &rpc.SyncReply{}
				s.tellRests(q, reply)
				Expect(len(reply.GetResting())).To(Equal(map[bool]int{true: 1}[c.same]), c.address)
			}
			reply := &rpc.SyncReply{}
			s.tellRests(&rpc.SyncRequest{Host: &rpc.FleetHost{CallerAddress: "10.0.0.1:80"}}, reply)
			Expect(reply.GetResting()[0].GetEndpoint()).To(Equal("e2"), "what was told here isn't told back")
		})
	})
})

var _ = Describe("a leave that an endpoint tells in answers", func() {
	It("reaches the table from questions, with a report or without, and from hosts", func() {
		for _, err := range []error{nil, placement.ErrNoReport, errors.New("report: status 500")} {
			withConsiderate(&engines{says: fleet.Notice{Leaving: true}, err: err}, func(c *considerate, table *registry.Table, _ *timer.Manual) {
				callBoth(c)
				e, _ := table.Get("e1")
				Expect(e.Leaving).To(BeTrue())
			})
		}
	})

	It("is told to every host, by a new leader as well, though heartbeats say otherwise", func() {
		withCluster(func(c *cluster) {
			lost := c.leader()
			heard := c.other(lost)
			for n, ip := range []string{lost, heard} {
				Eventually(func() error {
					return c.hosts[ip].server.Announce(context.Background(), announcement(false, uint64(10*n+1)))
				}, "5s", "50ms").Should(Succeed())
				Eventually(func() bool {
					return c.told("a").Leaving
				}, "5s", "50ms").Should(BeTrue())
				Expect(c.hosts[ip].server.Announce(context.Background(), announcement(false, uint64(10*n+2)))).To(Succeed())
				Expect(c.told("b").Leaving).To(BeTrue(), "a heartbeat doesn't take it back")
				if n == 0 {
					c.stop(lost)
				}
			}
		})
	})
})

// told has a host tell whoever leads that e1 leaves, and returns what that one knows of it.
func (c *cluster) told(name string) fleet.Endpoint {
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
