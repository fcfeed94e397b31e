package fleetcontrol

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeReplica answers Spread with a given list of endpoints.
type fakeReplica struct {
	rpc.Fleet
	announced []fleet.Endpoint
	requests  atomic.Int64
}

// Spread implements rpc.Fleet.
func (o *fakeReplica) Spread(context.Context, *rpc.SpreadRequest) (*rpc.SpreadReply, error) {
	o.requests.Add(1)
	return &rpc.SpreadReply{
		Endpoints: fleet.EndpointsToWire(o.announced, time.Now()),
	}, nil
}

// withRestartedReplica runs f on a restarted replica that has a list of endpoints on its
// disk, beside others that answer Spread. None leads.
func withRestartedReplica(saved []fleet.Endpoint, others []*fakeReplica, f func(ctx context.Context, s *Server)) {
	folder, err := os.MkdirTemp("", "learn")
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(os.RemoveAll(folder)).To(Succeed()) }()
	Expect(writeEndpoints(folder, saved, time.Now())).To(Succeed())
	g := group.New(context.Background())
	defer g.Stop()
	var ips []string
	port := "0"
	for i, o := range others {
		ip := net.IPv4(127, 0, 3, byte(i+1)).String()
		l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		Expect(err).NotTo(HaveOccurred())
		_, port, err = net.SplitHostPort(l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		server := rpc.NewFleetServer(o)
		srv := &http.Server{
			Handler: server,
		}
		defer func() { _ = srv.Close() }() // the test is over
		g.Go(func(context.Context) {
			_ = srv.Serve(l) // ends with Close
		})
		ips = append(ips, ip)
	}
	s := New(Config{
		Folder:       folder,
		IP:           "127.0.3.100",
		Port:         port,
		SeedIPs:      func() []string { return ips },
		Heartbeat:    time.Second,
		Reachability: reachesAll{},
		Orders: fakeEndpoints{report: func(string) (placement.Report, error) {
			return placement.Report{}, nil
		}},
		Client:  &http.Client{},
		Timer:   timer.NewSystem(),
		Metrics: metrics.New(),
	}, g)
	f(context.Background(), s)
}

func endpointNamed(id string) fleet.Endpoint {
	e := announcement(false, 1)
	e.ID = id
	e.Address = id + ":80"
	return e
}

var _ = Describe("a restarted replica", func() {
	ids := func(s *Server) []string {
		var list []string
		for _, e := range s.table.All() {
			list = append(list, e.ID)
		}
		return list
	}

	It("goes on asking if the first one to answer knows no endpoints", func() {
		list := []fleet.Endpoint{endpointNamed("a"), endpointNamed("b")}
		others := []*fakeReplica{{}, {announced: list}}
		withRestartedReplica(list, others, func(ctx context.Context, s *Server) {
			s.restoreEndpoints()
			s.fetchEndpoints(ctx)
			Expect(s.table.HasRestored()).To(BeFalse(), "confirmed by the second replica")
			s.dropRestored(ctx)
			Expect(ids(s)).To(Equal([]string{"a", "b"}))
		})
	})

	It("keeps restored endpoints that another replica has received a heartbeat of by then", func() {
		list := []fleet.Endpoint{endpointNamed("a"), endpointNamed("b"), endpointNamed("c")}
		other := &fakeReplica{announced: list[:1]}
		withRestartedReplica(list, []*fakeReplica{other}, func(ctx context.Context, s *Server) {
			s.restoreEndpoints()
			s.fetchEndpoints(ctx)
			other.announced = list[:2]
			s.dropRestored(ctx)
			Expect(ids(s)).To(Equal([]string{"a", "b"}))
		})
	})

	It("asks nobody if it has restored nothing", func() {
		other := &fakeReplica{announced: []fleet.Endpoint{endpointNamed("a")}}
		withRestartedReplica(nil, []*fakeReplica{other}, func(ctx context.Context, s *Server) {
			s.dropRestored(ctx)
			Expect(other.requests.Load()).To(BeZero())
		})
	})

	It("stops asking once all others have answered that they know no endpoints", func() {
		others := []*fakeReplica{{}, {}}
		withRestartedReplica(nil, others, func(ctx context.Context, s *Server) {
			s.fetchEndpoints(ctx)
			for _, o := range others {
				Expect(o.requests.Load()).To(BeEquivalentTo(1))
			}
		})
	})
})
