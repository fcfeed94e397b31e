package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// receiver is a replica's address that keeps the batches which arrive there.
type receiver struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	batches []*rpc.RaftBatch
}

// Deliver implements rpc.Replica.
func (r *receiver) Deliver(_ context.Context, b *rpc.RaftBatch) (*rpc.Empty, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches = append(r.batches, b)
	return &rpc.Empty{}, nil
}

func (r *receiver) received() []*rpc.RaftBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*rpc.RaftBatch(nil), r.batches...)
}

var _ = Describe("the transport", func() {
	var g *group.Group
	var t *TwirpTransport
	BeforeEach(func() {
		g = group.New(context.Background())
		t = NewTwirpTransport(1, "127.0.0.1:1", &http.Client{Transport: &http.Transport{}}, g)
		DeferCleanup(g.Stop)
	})
	listen := func() *receiver {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		r := &receiver{address: l.Addr().String()}
		r.server = &http.Server{Handler: rpc.NewReplicaServer(r)}
		g.Go(func(context.Context) { _ = r.server.Serve(l) }) // ends with Close
		DeferCleanup(r.server.Close)
		return r
	}
	send := func(to uint64) { t.Send([]*rpc.RaftMessage{{From: 1, To: to}}) }

	// Guards against a replica that missed a change of the members: its log doesn't name the
	// leader, and without an answer the leader can't send it the change.
	It("answers a sender whose address only its message named", func() {
		r := listen()
		send(7)
		t.Learn(7, r.address)
		send(7)
		Eventually(r.received, "5s", "10ms").Should(HaveLen(1))
		Expect(r.received()[0].GetAddress()).To(Equal("127.0.0.1:1"), "the receiver can answer, too")
	})

	It("keeps a learned address when the members change, and prefers the one that they name", func() {
		learned, named := listen(), listen()
		t.Learn(7, learned.address)
		t.SetReplicas([]*rpc.Member{{Id: 8, Address: named.address}})
		send(7)
		Eventually(learned.received, "5s", "10ms").Should(HaveLen(1))
		t.SetReplicas([]*rpc.Member{{Id: 7, Address: named.address}})
		t.Learn(7, learned.address)
		send(7)
		Eventually(named.received, "5s", "10ms").Should(HaveLen(1))
		t.SetReplicas(nil)
		send(7)
		Consistently(named.received, "100ms", "10ms").Should(HaveLen(1), "it is no member any more")
	})

	It("keeps few learned addresses, the newest ones", func() {
		for id := uint64(2); id < 100; id++ {
			t.Learn(id, fmt.Sprint("127.0.0.1:", id))
		}
		Expect(t.peers).To(HaveLen(maxLearned))
		Expect(t.peers).To(HaveKey(uint64(99)))
	})

	// Guards against a process that has ended and is taken for one that is silent for a moment.
	It("tells whether the process at an address has ended", func() {
		r := listen()
		t.SetReplicas([]*rpc.Member{{Id: 7, Address: r.address}})
		refused := func() bool {
			send(7)
			return t.Refused(7)
		}
		Consistently(refused, "100ms", "10ms").Should(BeFalse())
		Expect(r.server.Close()).To(Succeed())
		Eventually(refused, "5s", "10ms").Should(BeTrue())
		l, err := net.Listen("tcp", r.address)
		Expect(err).NotTo(HaveOccurred())
		again := &http.Server{Handler: rpc.NewReplicaServer(r)}
		g.Go(func(context.Context) { _ = again.Serve(l) }) // ends with Close
		DeferCleanup(again.Close)
		Eventually(refused, "5s", "10ms").Should(BeFalse())
	})
})
