package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/failure"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakePeers are other entry hosts, as a PeerClient. Without an answer they serve.
type fakePeers struct {
	mu     sync.Mutex
	calls  []*RelayCall
	answer func(n int, c *RelayCall) (*RelayAnswer, error)
	hold   <-chan struct{} // if set, they answer once it is closed
}

func (p *fakePeers) Relay(ctx context.Context, c *RelayCall) (*RelayAnswer, error) {
	p.mu.Lock()
	p.calls = append(p.calls, c)
	n := len(p.calls)
	p.mu.Unlock()
	if p.hold != nil {
		select {
		case <-p.hold:
		case <-ctx.Done():
			return nil, &SendError{Sent: true, Cause: ctx.Err()}
		}
	}
	if p.answer != nil {
		return p.answer(n, c)
	}
	return peerServes("by " + c.Address), nil
}

func (p *fakePeers) sent() []*RelayCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*RelayCall(nil), p.calls...)
}

func peerServes(body string) *RelayAnswer {
	return &RelayAnswer{Answer: Answer{Status: http.StatusOK, Header: http.Header{}, Verified: true, Body: io.NopCloser(strings.NewReader(body))}}
}

func peerRefuses(k failure.Kind) *RelayAnswer {
	return &RelayAnswer{Answer: Answer{Status: k.Answer().Status, Header: http.Header{}, Body: http.NoBody},
		Failure: failure.New(k, "by a peer").WithRetryAfter(700 * time.Millisecond)}
}

// fakeReach is the Reachability that a test sets.
type fakeReach struct {
	mu          sync.Mutex
	unreachable map[string]bool
	doubted     []string
}

func (r *fakeReach) Unreachable(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unreachable[service]
}

func (r *fakeReach) Doubt(address string, then func(reached bool)) {
	r.mu.Lock()
	r.doubted = append(r.doubted, address)
	reached := len(r.unreachable) == 0
	r.mu.Unlock()
	then(reached)
}

// isolate makes every service unreachable.
func (r *fakeReach) isolate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = map[string]bool{"app": true, "llm": true}
}

func (s *fakeSource) Peers() []string { return s.peers }

// refusedConnection is the error of a call whose connection was refused.
func refusedConnection() error {
	return &SendError{Cause: syscall.ECONNREFUSED}
}

const streamEnd = "id: 3\ndata: c\n\n"

var _ = Describe("a host that doesn't reach the endpoints of a service", func() {
	peers := []string{"h2:1", "h3:1", "h4:1"}
	routes := []string{"unsafe", "safe", "stream"}

	It("sends requests to other hosts before it tries an endpoint", func() {
		for _, route := range routes {
			withGateway(func(b *fixture) {
				b.source.peers = peers
				b.reach.isolate()
				b.peers.answer = func(int, *RelayCall) (*RelayAnswer, error) { return peerServes(streamEnd), nil }
				out := b.serve(route)
				Expect(out.refusal).To(BeNil(), route)
				Expect(out.text()).To(Equal(streamEnd), route)
				Expect(b.client.sent()).To(BeEmpty(), route)
				call := b.peers.sent()[0]
				Expect(call.Relayed.ConfigVersion).To(Equal(uint64(1)))
				Expect(call.Timeout).To(Equal(10 * time.Second))
				Expect(call.Repeatable).To(Equal(route != "unsafe"))
			})
		}
	})

	// Guards against callers that are refused before the host has found out that it is cut off.
	It("sends requests to other hosts once its own connections have failed", func() {
		for _, route := range routes {
			withGateway(func(b *fixture) {
				b.source.peers = peers
				b.client.answer = func(int, *Call) (*Answer, error) { return nil, refusedConnection() }
				b.peers.answer = func(int, *RelayCall) (*RelayAnswer, error) { return peerServes(streamEnd), nil }
				out := b.serve(route)
				Expect(out.refusal).To(BeNil(), route)
				Expect(out.text()).To(Equal(streamEnd), route)
				Expect(b.client.sent()).NotTo(BeEmpty(), route)
			})
		}
	})

	// Guards against requests that run more than once.
	It("relays nothing that may have run at an endpoint and must not be repeated", func() {
		withGateway(func(b *fixture) {
			b.source.peers = peers
			b.client.answer = func(int, *Call) (*Answer, error) {
				b.reach.isolate()
				return nil, &SendError{Sent: true, Cause: syscall.ECONNRESET}
			}
			out := b.serve("unsafe")
			Expect(out.refusal.Kind()).To(Equal(failure.EndpointFailed))
			Expect(b.peers.sent()).To(BeEmpty())
		})
	})

	It("asks the next host if one can't take the request, and refuses what may have run there", func() {
		cases := []struct {
			name    string
			first   func() (*RelayAnswer, error)
			route   string
			calls   int
			refused failure.Kind
			served  bool
		}{
			{name: "connection refused", first: func() (*RelayAnswer, error) { return nil, refusedConnection() }, route: "unsafe", calls: 2, served: true},
			{name: "cut off, too", first: func() (*RelayAnswer, error) { return peerRefuses(failure.Isolated), nil }, route: "unsafe", calls: 2, served: true},
			{name: "older configuration", first: func() (*RelayAnswer, error) { return peerRefuses(failure.NotReady), nil }, route: "stream", calls: 2, served: true},
			{name: "stopping", first: func() (*RelayAnswer, error) { return peerRefuses(failure.Draining), nil }, route: "safe", calls: 2, served: true},
			{name: "overloaded", first: func() (*RelayAnswer, error) { return peerRefuses(failure.Overloaded), nil }, route: "stream", calls: 1, refused: failure.Overloaded},
			{name: "may have run", first: func() (*RelayAnswer, error) { return nil, &SendError{Sent: true, Cause: io.EOF} }, route: "unsafe", calls: 1, refused: failure.EndpointFailed},
			{name: "may have run and be repeated", first: func() (*RelayAnswer, error) { return nil, &SendError{Sent: true, Cause: io.EOF} }, route: "safe", calls: 2, served: true},
		}
		for _, c := range cases {
			withGateway(func(b *fixture) {
				b.source.peers = peers
				b.reach.isolate()
				b.client.answer = func(int, *Call) (*Answer, error) { return nil, refusedConnection() }
				b.peers.answer = func(n int, _ *RelayCall) (*RelayAnswer, error) {
					if n == 1 {
						return c.first()
					}
					return peerServes(streamEnd), nil
				}
				out := b.serve(c.route)
				Expect(b.peers.sent()).To(HaveLen(c.calls), c.name)
				if c.served {
					Expect(out.refusal).To(BeNil(), c.name)
					Expect(b.peers.sent()[0].Address).NotTo(Equal(b.peers.sent()[1].Address), c.name)
					return
				}
				Expect(out.refusal.Kind()).To(Equal(c.refused), c.name)
				if c.refused == failure.Overloaded {
					Expect(out.refusal.RetryAfter()).To(Equal(700*time.Millisecond), c.name)
				}
			})
		}
	})

	// Guards against a stream that breaks with the links of its host and isn't continued.
	It("continues a stream by another host after the last event", func() {
		withGateway(func(b *fixture) {
			b.source.peers = peers
			b.client.answer = func(int, *Call) (*Answer, error) {
				b.reach.isolate()
				return &Answer{Status: http.StatusOK, Verified: true, Body: io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), brokenReader{}))}, nil
			}
			b.peers.answer = func(int, *RelayCall) (*RelayAnswer, error) { return peerServes(streamEnd), nil }
			out := b.serve("stream")
			Expect(out.aborted).To(BeFalse())
			Expect(out.text()).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n" + streamEnd))
			Expect(b.peers.sent()[0].LastEvent).To(Equal("2"))
			Expect(b.peers.sent()[0].Relayed.Attempts).To(Equal(1))
		})
	})

	// Guards against a host whose connections open and are reset, and that never finds out.
	It("doubts endpoints whose connections break before an answer", func() {
		for _, route := range routes {
			withGateway(func(b *fixture) {
				b.client.answer = func(int, *Call) (*Answer, error) { return nil, &SendError{Sent: true, Cause: syscall.ECONNRESET} }
				b.serve(route)
				Expect(b.reach.doubted).To(HaveLen(len(b.client.sent())), route)
			})
		}
	})

	// Guards against requests that are quarantined because the links of their host were cut.
	It("takes no connection that breaks for a sign that the request crashes endpoints", func() {
		for _, reached := range []bool{true, false} {
			withGateway(func(b *fixture) {
				if !reached {
					b.reach.isolate()
				}
				b.client.answer = func(int, *Call) (*Answer, error) { return nil, &SendError{Sent: true, Cause: syscall.ECONNRESET} }
				b.serve("stream")
				crashes, _ := b.gateway.Quarantine().Unreported(1)
				Expect(len(crashes) > 0).To(Equal(reached))
			})
		}
	})

	// Guards against a request that is known not to be served, and waits for one connection
	// after the other.
	It("refuses at once what no host can serve, after one connection of its own", func() {
		for _, route := range routes {
			withGateway(func(b *fixture) {
				b.reach.isolate()
				b.client.answer = func(int, *Call) (*Answer, error) { return nil, refusedConnection() }
				out := b.serve(route)
				Expect(out.refusal.Kind()).To(Equal(failure.Isolated), route)
				Expect(out.refusal.Ran()).To(Equal(failure.RanNo), route)
				Expect(b.client.sent()).To(HaveLen(1), route)
			})
		}
	})

	// Guards against a refusal that takes long because a request is offered to the same hosts,
	// or to many of them, before and after this host's own connection.
	It("offers a request that no host can take to a few others, once", func() {
		for _, route := range routes {
			withGateway(func(b *fixture) {
				for i := range 3 * maxRelayTries {
					b.source.peers = append(b.source.peers, fmt.Sprintf("h%d:1", i+2))
				}
				b.reach.isolate()
				b.client.answer = func(int, *Call) (*Answer, error) { return nil, refusedConnection() }
				b.peers.answer = func(int, *RelayCall) (*RelayAnswer, error) { return peerRefuses(failure.Isolated), nil }
				Expect(b.serve(route).refusal.Kind()).To(Equal(failure.Isolated), route)
				Expect(b.client.sent()).To(HaveLen(1), route)
				Expect(b.peers.sent()).To(HaveLen(maxRelayTries), route)
			})
		}
	})

	// Guards against a service that no host serves although endpoints are only down for some.
	It("tries its own connections if no other host takes the request", func() {
		for _, route := range routes {
			withGateway(func(b *fixture) {
				b.reach.isolate()
				b.client.answer = func(_ int, c *Call) (*Answer, error) {
					return &Answer{Status: http.StatusOK, Verified: true, Body: io.NopCloser(strings.NewReader(streamEnd))}, nil
				}
				Expect(b.serve(route).refusal).To(BeNil(), "no other host is known: "+route)
				b.source.peers = peers
				b.peers.answer = func(int, *RelayCall) (*RelayAnswer, error) { return peerRefuses(failure.Isolated), nil }
				Expect(b.serve(route).refusal).To(BeNil(), "all others are cut off, too: "+route)
				Expect(len(b.peers.sent())).To(BeNumerically("<=", len(peers)))
			})
		}
	})
})

// brokenReader fails as a connection that was reset.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.Wrap(syscall.ECONNRESET, "read") }

var _ = Describe("a request that another host relayed", func() {
	relayed := func(b *fixture, route string, r Relayed) *fakeOutput {
		req := b.request(route)
		req.Relayed = &r
		out := &fakeOutput{}
		b.gateway.Serve(context.Background(), req, out)
		return out
	}

	It("is refused at once by a host that is cut off, too, and never relayed again", func() {
		withGateway(func(b *fixture) {
			b.source.peers = []string{"h2:1"}
			b.reach.isolate()
			Expect(relayed(b, "stream", Relayed{}).refusal.Kind()).To(Equal(failure.Isolated))
			b.reach.unreachable = nil
			b.client.answer = func(int, *Call) (*Answer, error) { return nil, refusedConnection() }
			for _, route := range []string{"unsafe", "safe", "stream"} {
				Expect(relayed(b, route, Relayed{}).refusal).NotTo(BeNil(), route)
			}
			Expect(b.peers.sent()).To(BeEmpty())
		})
	})

	// Guards against a request that is handled by an older configuration than before.
	It("isn't decided by an older configuration than its sender's", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) {
				return &Answer{Status: http.StatusOK, Verified: true, Body: io.NopCloser(strings.NewReader("ok"))}, nil
			}
			Expect(relayed(b, "safe", Relayed{ConfigVersion: 1}).refusal).To(BeNil())
			done := make(chan *fakeOutput, 1)
			background(func() { done <- relayed(b, "safe", Relayed{ConfigVersion: 2}) })
			var out *fakeOutput
			Eventually(func() chan *fakeOutput { b.clock.Advance(readyWait); return done }, "5s", "5ms").Should(Receive(&out))
			Expect(out.refusal.Kind()).To(Equal(failure.NotReady))
		})
	})

	// Guards against more endpoints that run a request than its route allows.
	It("counts the endpoints that may have run it before", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return nil, &SendError{Sent: true, Cause: io.EOF} }
			relayed(b, "safe", Relayed{Attempts: 1})
			Expect(b.client.sent()).To(HaveLen(1))
			relayed(b, "stream", Relayed{Attempts: 1})
			Expect(b.client.sent()).To(HaveLen(2))
		})
	})

	It("adds nothing to the retry budget, to which the host that relays it has added", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) {
				return &Answer{Status: http.StatusOK, Verified: true, Body: io.NopCloser(strings.NewReader("ok"))}, nil
			}
			for b.gateway.retries.withdraw(1) {
			}
			before := b.gateway.retries.tokens
			relayed(b, "safe", Relayed{})
			Expect(b.gateway.retries.tokens).To(Equal(before))
			b.serve("safe")
			Expect(b.gateway.retries.tokens).To(BeNumerically(">", before))
		})
	})
})

var _ = Describe("the choice of a host to relay to", func() {
	It("spreads requests, and leaves hosts alone that could not take one", func() {
		withGateway(func(b *fixture) {
			b.source.peers = []string{"h2:1", "h3:1"}
			r := b.gateway.relays
			counts := map[string]int{}
			for range 20 {
				a, ok := r.pick(nil)
				Expect(ok).To(BeTrue())
				counts[a]++
				r.begin(a)
			}
			Expect(counts["h2:1"]).To(BeNumerically("~", 10, 4))
			r.avoid("h2:1")
			for range 20 {
				a, _ := r.pick(nil)
				Expect(a).To(Equal("h3:1"))
			}
			a, ok := r.pick(map[string]bool{"h3:1": true})
			Expect(ok).To(BeTrue())
			Expect(a).To(Equal("h2:1"), "it is left if there is no other")
			b.clock.Advance(peerAvoidTime)
			Expect(fleetHasBoth(r)).To(BeTrue())
		})
	})
})

func fleetHasBoth(r *relays) bool {
	seen := map[string]bool{}
	for range 50 {
		a, _ := r.pick(nil)
		seen[a] = true
	}
	return len(seen) == 2
}
