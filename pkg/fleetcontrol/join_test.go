package fleetcontrol

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// earlierLeader is a leader of a build that sends no addresses with its messages. It answers
// requests to join with the members, the caller among them.
type earlierLeader struct {
	rpc.Fleet
	address string
	members atomic.Pointer[rpc.Members]
	answers atomic.Int64 // to its messages
}

const earlierLeaderID = 77

// Join implements rpc.Fleet.
func (l *earlierLeader) Join(_ context.Context, q *rpc.JoinRequest) (*rpc.JoinReply, error) {
	members := withMember(withMember(&rpc.Members{}, earlierLeaderID, l.address), q.GetId(), q.GetAddress())
	l.members.Store(members)
	return &rpc.JoinReply{
		Member:  true,
		Leader:  l.address,
		Members: members,
	}, nil
}

// Spread implements rpc.Fleet.
func (l *earlierLeader) Spread(context.Context, *rpc.SpreadRequest) (*rpc.SpreadReply, error) {
	return &rpc.SpreadReply{}, nil
}

// Deliver implements rpc.Replica.
func (l *earlierLeader) Deliver(_ context.Context, batch *rpc.RaftBatch) (*rpc.Empty, error) {
	l.answers.Add(int64(len(batch.GetMessages())))
	return &rpc.Empty{}, nil
}

var _ = Describe("a replica that joins", func() {
	// Guards against a new replica that can't answer a leader of the last release, which takes it
	// for a member that is silent.
	It("answers a leader whose address only the reply to its request named", func() {
		withCluster(func(c *cluster) {
			const ip = "127.0.1.8"
			l, err := net.Listen("tcp", net.JoinHostPort(ip, c.port))
			Expect(err).NotTo(HaveOccurred())
			lead := &earlierLeader{address: l.Addr().String()}
			mux := http.NewServeMux()
			replicaServer, fleetServer := rpc.NewReplicaServer(lead), rpc.NewFleetServer(lead)
			mux.Handle(replicaServer.PathPrefix(), replicaServer)
			mux.Handle(fleetServer.PathPrefix(), fleetServer)
			srv := &http.Server{Handler: mux}
			defer func() { _ = srv.Close() }()      // the test is over
			background(func() { _ = srv.Serve(l) }) // ends with Close
			c.seeds = []string{ip}
			c.start(replacementIP, false)
			Eventually(lead.members.Load, "5s", "10ms").ShouldNot(BeNil())
			s := c.hosts[replacementIP].server
			Eventually(func() int64 {
				_, err := s.Deliver(context.Background(), &rpc.RaftBatch{Messages: []*rpc.RaftMessage{{
					Kind: rpc.RaftKind_RAFT_APPEND, From: earlierLeaderID, To: lead.members.Load().GetList()[1].GetId(), Term: 5,
				}}})
				Expect(err).NotTo(HaveOccurred())
				return lead.answers.Load()
			}, "5s", "50ms").Should(BeNumerically(">", 0))
		})
	})
})
