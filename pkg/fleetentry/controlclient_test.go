package fleetentry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/gateway"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

func TestFleetEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetentry")
}

type jsonDecoder struct{}

func (jsonDecoder) Decode(content []byte) (*fleet.Configuration, error) {
	c := &fleet.Configuration{}
	return c, json.Unmarshal(content, c)
}

// fakeLoads has the same number of requests in flight at every endpoint.
type fakeLoads struct {
	requests int
}

func (l *fakeLoads) Loads() map[string]gateway.Load {
	return map[string]gateway.Load{
		"e1": l.Load("e1"),
	}
}

func (l *fakeLoads) Load(string) gateway.Load {
	return gateway.Load{
		Requests: l.requests,
		Tokens:   100 * l.requests,
	}
}

func (l *fakeLoads) Suspects() []string { return nil }

// fakeControl answers long polls by a script.
type fakeControl struct {
	rpc.Fleet // nil: a call that is not overridden panics
	mu        sync.Mutex
	answer    func(n int, q *rpc.SyncRequest) *rpc.SyncReply
	calls     []*rpc.SyncRequest
	fetches   []*rpc.StandingRequest
	// refuseFetch makes Standing fail.
	refuseFetch bool
}

func (c *fakeControl) Sync(_ context.Context, q *rpc.SyncRequest) (*rpc.SyncReply, error) {
	c.mu.Lock()
	c.calls = append(c.calls, q)
	n := len(c.calls)
	c.mu.Unlock()
	return c.answer(n, q), nil
}

// Standing returns version 8, as every replica that has applied it does.
func (c *fakeControl) Standing(_ context.Context, q *rpc.StandingRequest) (*rpc.StandingReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetches = append(c.fetches, q)
	if c.refuseFetch {
		return nil, errors.New("the replica's storage is being reopened")
	}
	return &rpc.StandingReply{
		Document: document(8),
	}, nil
}

func (c *fakeControl) callCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

// withFleetServer runs f with the address at which c is served.
func withFleetServer(c rpc.Fleet, f func(address string)) {
	s := httptest.NewServer(rpc.NewFleetServer(c))
	defer s.Close()
	f(strings.TrimPrefix(s.URL, "http://"))
}

// withControl runs f with a fakeControl that answers by the script.
func withControl(answer func(n int, q *rpc.SyncRequest) *rpc.SyncReply, f func(c *fakeControl, address string)) {
	c := &fakeControl{answer: answer}
	withFleetServer(c, func(address string) { f(c, address) })
}

func newTestClient(clock timer.Service, seeds ...string) *ControlClient {
	client := NewControlClient(ControlClientConfig{
		Name:               "me",
		Domain:             "a",
		CallerAddress:      "10.0.0.1:80",
		RelayPort:          "7341",
		Isolated:           func() bool { return false },
		Seeds:              func() []string { return seeds },
		MaxRevocationDelay: 5 * time.Second,
		Decoder:            jsonDecoder{},
		Client:             &http.Client{},
		Timer:              clock,
	})
	client.SetSources(newTestSources(clock))
	return client
}

func document(version uint64) *rpc.Document {
	text, err := json.Marshal(&fleet.Configuration{Version: version})
	Expect(err).NotTo(HaveOccurred())
	packed, err := fleet.Pack(text)
	Expect(err).NotTo(HaveOccurred())
	return &rpc.Document{Version: version, Content: packed}
}

func confirmedReply(version uint64) *rpc.SyncReply {
	return &rpc.SyncReply{
		Confirmed:       true,
		Epoch:           1,
		Whole:           true,
		Settled:         true,
		Document:        document(version),
		PackedEndpoints: packedEndpoints(&rpc.Announcement{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 3}),
	}
}

// packedEndpoints encodes a full list of endpoints as a control host sends it.
func packedEndpoints(list ...*rpc.Announcement) []byte {
	text, err := proto.Marshal(&rpc.SpreadRequest{Endpoints: list})
	Expect(err).NotTo(HaveOccurred())
	out, err := fleet.Pack(text)
	Expect(err).NotTo(HaveOccurred())
	return out
}

var _ = Describe("an entry host's local state", func() {
	It("is empty before the first confirmation, and callers aren't referred to the host", func() {
		client := newTestClient(timer.NewManual(time.Unix(1000, 0)))
		Expect(client.View().Index).To(BeNil())
		Expect(client.View().Fresh).To(BeFalse())
		Expect(client.Ready()).To(BeFalse())
		Expect(client.Addresses()).To(BeEmpty())
	})

	It("loses freshness first, and the trust in keys and readiness later, as the confirmation ages", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		Expect(client.applyReply("c", confirmedReply(3), clock.Now())).To(BeTrue())
		Expect(client.View().Fresh && client.View().Trusted && client.Ready()).To(BeTrue())
		clock.Advance(maxFreshAge)
		Expect(client.View().Fresh).To(BeFalse())
		Expect(client.View().Trusted).To(BeTrue())
		clock.Advance(5*time.Second - revocationMargin - maxFreshAge)
		Expect(client.View().Trusted).To(BeFalse())
		Expect(client.Ready()).To(BeFalse())
	})

	It("counts a confirmation from when the call was sent, not from when its reply arrived", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		sent := clock.Now()
		clock.Advance(3 * time.Second)
		reply := confirmedReply(3)
		reply.HeldMs = 400
		client.applyReply("c", reply, sent)
		Expect(client.View().Age).To(Equal(2600 * time.Millisecond))
	})

	It("isn't confirmed by a reply that knows a newer configuration and doesn't contain it", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		client.applyReply("c", confirmedReply(3), clock.Now())
		clock.Advance(time.Second)
		reply := confirmedReply(3)
		reply.Document = nil
		reply.Newest = 4
		client.applyReply("c", reply, clock.Now())
		Expect(client.View().Age).To(Equal(time.Second))
		reply.Newest = 3
		client.applyReply("c", reply, clock.Now())
		Expect(client.View().Age).To(BeZero())
	})

	It("assumes that other hosts added as much load since the last call as this host", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		own := &fakeLoads{requests: 2}
		sources := newTestSources(clock)
		sources.Loads = own
		client.SetSources(sources)
		client.syncRequest("10.0.0.9:80")
		reply := confirmedReply(1)
		reply.Hosts = 3
		reply.Loads = &rpc.LoadTable{
			Endpoints: []uint32{fleet.LoadKey("e1")},
			Requests:  []uint32{7 + 2},
			Tokens:    []uint32{900 + 200}, // this host's share is among them
		}
		client.applyReply("c", reply, clock.Now())
		cases := []struct {
			own    int
			others gateway.Load
		}{
			{2, gateway.Load{Requests: 7, Tokens: 900}},
			{5, gateway.Load{Requests: 13, Tokens: 1500}},
			{1, gateway.Load{Requests: 7, Tokens: 900}},
		}
		for _, c := range cases {
			own.requests = c.own
			Expect(client.PeerLoad("e1")).To(Equal(c.others))
		}
	})

	It("never goes back to an older configuration", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		client.applyReply("c", confirmedReply(7), clock.Now())
		client.applyReply("c", confirmedReply(5), clock.Now())
		Expect(client.View().Index.Version()).To(BeEquivalentTo(7))
	})

	It("replaces its endpoints by a full list of a settled term, and removes none by one of a term that has not settled", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		client.applyReply("c", confirmedReply(3), clock.Now())
		leaving := confirmedReply(3)
		leaving.PackedEndpoints = packedEndpoints(&rpc.Announcement{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 3, Leaving: true})
		client.applyReply("c", leaving, clock.Now())
		client.applyReply("c", confirmedReply(3), clock.Now())
		Expect(client.Endpoints("s")).To(HaveLen(1), "a full list of a settled term replaces the one held")
		unsettled := confirmedReply(3)
		unsettled.Epoch = 2
		unsettled.Settled = false
		unsettled.PackedEndpoints = packedEndpoints()
		client.applyReply("c", unsettled, clock.Now())
		Expect(client.Endpoints("s")).To(HaveLen(1), "a list of a term that has not settled may be incomplete")
	})

	// Guards against an endpoint that gets requests again because a new leader hasn't heard from
	// it yet, or only of what it said before.
	It("keeps an endpoint as leaving with an incomplete or older list of a term that has not settled", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		client.applyReply("c", confirmedReply(3), clock.Now())
		leaving := confirmedReply(3)
		leaving.PackedEndpoints = packedEndpoints(&rpc.Announcement{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 3, Leaving: true})
		client.applyReply("c", leaving, clock.Now())
		Expect(client.Endpoints("s")).To(BeEmpty())
		for _, list := range [][]*rpc.Announcement{
			nil,
			{{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 2}},
			{{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 4}},
		} {
			unsettled := confirmedReply(3)
			unsettled.Epoch = 2
			unsettled.Settled = false
			unsettled.PackedEndpoints = packedEndpoints(list...)
			client.applyReply("c", unsettled, clock.Now())
			Expect(client.Endpoints("s")).To(BeEmpty())
		}
	})

	It("calls the leader that a control host names, and the next control host when one doesn't answer", func() {
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = unresponsive.Close() }() // the test is over
		withControl(func(int, *rpc.SyncRequest) *rpc.SyncReply { return confirmedReply(3) }, func(_ *fakeControl, leader string) {
			withControl(func(int, *rpc.SyncRequest) *rpc.SyncReply {
				return &rpc.SyncReply{Leader: leader}
			}, func(_ *fakeControl, other string) {
				client := newTestClient(timer.NewSystem(), unresponsive.Addr().String(), other)
				g := group.New(context.Background())
				began := time.Now()
				g.Go(client.Run)
				Eventually(client.Ready, "5s", "10ms").Should(BeTrue())
				Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
				g.Stop()
			})
		})
	})

	It("fetches a large configuration from a replica, and from the leader if no replica returns it", func() {
		cases := []struct {
			none bool
			asks int // replicas asked
		}{
			{none: false, asks: 1},
			{none: true, asks: maxFetchAttempts},
		}
		for _, k := range cases {
			var address string
			withControl(func(n int, q *rpc.SyncRequest) *rpc.SyncReply {
				reply := confirmedReply(3)
				reply.Newest = 8
				reply.Replicas = []string{address, address, address}
				if n > 1 {
					reply.Document = nil
				}
				if n > 1 && !q.GetAskOthers() {
					reply.Document = document(8)
				}
				return reply
			}, func(c *fakeControl, at string) {
				address = at
				c.refuseFetch = k.none
				client := newTestClient(timer.NewSystem(), at)
				g := group.New(context.Background())
				g.Go(client.Run)
				Eventually(client.configVersion, "5s", "5ms").Should(BeEquivalentTo(8))
				Eventually(func() bool { return client.View().Fresh }, "5s", "5ms").Should(BeTrue())
				g.Stop()
				c.mu.Lock()
				defer c.mu.Unlock()
				Expect(c.fetches).To(HaveLen(k.asks))
			})
		}
	})

	It("requests the full configuration after a patch that can't be applied, and accepts patches after that", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		client.applyReply("c", confirmedReply(3), clock.Now())
		Expect(client.syncRequest("10.0.0.9:80").GetDocumentVersion()).To(BeEquivalentTo(3))
		next, err := json.Marshal(&fleet.Configuration{Version: 4})
		Expect(err).NotTo(HaveOccurred())
		good, err := fleet.MakePatch(client.content, next)
		Expect(err).NotTo(HaveOccurred())
		patched := func(base uint64, patch []byte, digest uint64) *rpc.SyncReply {
			reply := confirmedReply(3)
			reply.Document = nil
			reply.Newest = 4
			reply.Patch = &rpc.DocumentPatch{Version: 4, Base: base, Patch: patch, Digest: digest}
			return reply
		}
		cases := []*rpc.SyncReply{
			patched(2, good, fleet.ContentDigest(next)),
			patched(3, good, 1),
			patched(3, good[:len(good)-1], fleet.ContentDigest(next)),
		}
		for _, reply := range cases {
			Expect(client.applyReply("c", reply, clock.Now())).To(BeFalse())
			Expect(client.configVersion()).To(BeEquivalentTo(3))
			Expect(client.syncRequest("10.0.0.9:80").GetDocumentVersion()).To(BeZero())
			Expect(client.applyReply("c", confirmedReply(3), clock.Now())).To(BeTrue())
			Expect(client.syncRequest("10.0.0.9:80").GetDocumentVersion()).To(BeEquivalentTo(3))
		}
		Expect(client.applyReply("c", patched(3, good, fleet.ContentDigest(next)), clock.Now())).To(BeTrue())
		Expect(client.configVersion()).To(BeEquivalentTo(4))
	})

	It("keeps its endpoints if a new leader holds the same, and sends it their digest", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		client.applyReply("c", confirmedReply(3), clock.Now())
		held := client.syncRequest("10.0.0.9:80")
		Expect(held.GetEndpointsDigest()).To(Equal(fleet.EndpointsDigest(client.Endpoints("s"))))
		Expect(client.applyReply("d", &rpc.SyncReply{Confirmed: true, Epoch: 9, EndpointsVersion: 77, Settled: true, Newest: 3}, clock.Now())).To(BeTrue())
		Expect(client.Endpoints("s")).To(HaveLen(1))
		next := client.syncRequest("10.0.0.9:80")
		Expect(next.GetEpoch()).To(BeEquivalentTo(9))
		Expect(next.GetEndpointsVersion()).To(BeEquivalentTo(77))
		Expect(next.GetEndpointsDigest()).To(Equal(held.GetEndpointsDigest()))
	})

	It("reports at once that it is leaving, although a long poll is open", func() {
		hold := make(chan struct{})
		withControl(func(n int, q *rpc.SyncRequest) *rpc.SyncReply {
			if n == 2 {
				<-hold
			}
			return confirmedReply(3)
		}, func(c *fakeControl, address string) {
			client := newTestClient(timer.NewSystem(), address)
			g := group.New(context.Background())
			g.Go(client.Run)
			Eventually(c.callCount, "5s", "5ms").Should(Equal(2))
			client.Leave(client.cfg.Timer.Now().Add(time.Second))
			Eventually(c.callCount, "5s", "5ms").Should(BeNumerically(">", 2))
			c.mu.Lock()
			Expect(c.calls[2].GetHost().GetReady()).To(BeFalse())
			c.mu.Unlock()
			close(hold)
			g.Stop()
		})
	})
})

var _ = Describe("a stopping host", func() {
	It("accepts requests for a while, then refuses them with a retry delay, and stops when idle", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		client := newTestClient(clock)
		client.applyReply("c", confirmedReply(3), clock.Now())
		h := NewHost(client, 8*time.Second, clock, nil)
		end := h.Begin()
		done := make(chan bool)
		g := group.New(context.Background())
		g.Go(func(ctx context.Context) {
			h.Drain(ctx)
			done <- true
		})
		Eventually(h.Leaving, "5s").Should(BeTrue())
		Eventually(func() bool { h.mu.Lock(); defer h.mu.Unlock(); return !h.stoppingSince.IsZero() }, "5s").Should(BeTrue())
		Expect(h.Ready()).To(BeFalse())
		Expect(h.Refusal()).To(BeNil())
		clock.Advance(refuseAfter)
		Expect(h.Refusal().Kind()).To(Equal(failure.Draining))
		Expect(h.Refusal().RetryAfter()).To(BeNumerically(">", 0))
		clock.Advance(minListenTime)
		Consistently(done, "50ms").ShouldNot(Receive())
		end()
		Eventually(func() bool {
			clock.Advance(idlePollInterval)
			select {
			case <-done:
				return true
			default:
				return false
			}
		}, "5s", "5ms").Should(BeTrue())
		g.Stop()
	})

	// Guards against requests that are cut without an answer because they still wait when the
	// process ends.
	It("ends the requests that are left in time for their answers, then stops", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		h := NewHost(newTestClient(clock), 8*time.Second, clock, nil)
		end := h.Begin()
		ctx, cancel := h.WithEnd(context.Background())
		defer cancel()
		left, leave := h.WithEnd(context.Background())
		leave()
		Expect(failure.Is(context.Cause(left), failure.Draining)).To(BeFalse())
		done := make(chan bool, 1)
		g := group.New(context.Background())
		g.Go(func(ctx context.Context) {
			h.Drain(ctx)
			done <- true
		})
		Eventually(h.Leaving, "5s").Should(BeTrue())
		stopAt := clock.Now().Add(8 * time.Second)
		clock.Advance(8*time.Second - drainMargin - 2*idlePollInterval)
		Consistently(ctx.Done, "20ms").ShouldNot(BeClosed())
		Eventually(func() error { clock.Advance(idlePollInterval / 2); return ctx.Err() }, "5s", "10ms").Should(HaveOccurred())
		Expect(failure.Is(context.Cause(ctx), failure.Draining)).To(BeTrue())
		Expect(done).NotTo(Receive(), "before the request has its answer")
		Expect(stopAt.Sub(clock.Now())).To(BeNumerically(">=", drainMargin/2))
		late, stopLate := h.WithEnd(context.Background())
		defer stopLate()
		Eventually(late.Done, "5s").Should(BeClosed(), "a request that comes later ends at once")
		end()
		Eventually(func() chan bool { clock.Advance(time.Millisecond); return done }, "5s", "10ms").Should(Receive())
		Expect(clock.Now()).To(BeTemporally("<", stopAt))
		g.Stop()
	})

	It("gives its streams nearly the whole grace period, also where that is short", func() {
		cases := []struct {
			grace time.Duration
			least time.Duration
		}{
			{2 * time.Second, 1900 * time.Millisecond},
			{8 * time.Second, 7800 * time.Millisecond},
			{30 * time.Second, 29800 * time.Millisecond},
		}
		for _, c := range cases {
			clock := timer.NewManual(time.Unix(1000, 0))
			h := NewHost(newTestClient(clock), c.grace, clock, nil)
			h.Begin()
			g := group.New(context.Background())
			g.Go(h.Drain)
			Eventually(h.Leaving, "5s").Should(BeTrue())
			left, stops := h.ShutdownIn()
			Expect(stops).To(BeTrue())
			Expect(left).To(BeNumerically(">=", c.least))
			Expect(left).To(BeNumerically("<", c.grace))
			g.Stop()
		}
	})
})
