package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	testBackoff = 3 * time.Second
	// probeDelay is that of pkg/backoff: the time after a request for backoff in which
	// no call at all is allowed.
	probeDelay = time.Second
)

// askingForBackoff returns an answer that refuses a request and asks for backoff; fault
// is the address of the endpoint that it names as at fault.
func askingForBackoff(fault string, d time.Duration) *Answer {
	a := refusedBy(fault)
	a.Notice = fleet.Notice{Backoff: d}
	return a
}

// goodAnswer returns a successful answer to a call of any route.
func goodAnswer(c *Call) *Answer {
	if len(c.Path) > 0 {
		return completeAnswer(200, events(1, 2))
	}
	return completeAnswer(200, "ok")
}

// leavingAnswer returns a successful answer of an endpoint that is leaving.
func leavingAnswer(c *Call) *Answer {
	a := goodAnswer(c)
	a.Notice = fleet.Notice{Leaving: true}
	return a
}

// alwaysAskingForBackoff answers successfully, except for one endpoint that asks for
// backoff each time.
func alwaysAskingForBackoff(id string, d time.Duration) func(int, *Call) (*Answer, error) {
	return func(_ int, c *Call) (*Answer, error) {
		if c.ID == id {
			return askingForBackoff("", d), nil
		}
		return goodAnswer(c), nil
	}
}

// sentTo returns the number of sends to an endpoint, at any position of a path.
func (b *fakeClient) sentTo(id string) int {
	n := 0
	for _, c := range b.sent() {
		hit := c.ID == id
		for _, p := range c.Path {
			hit = hit || p.ID == id
		}
		if hit {
			n++
		}
	}
	return n
}

// serveUntil serves requests of a route until one was sent to the endpoint.
func (b *fixture) serveUntil(route, id string) {
	for range 100 {
		b.serve(route)
		if b.client.sentTo(id) > 0 {
			return
		}
	}
	Fail("nothing was sent to " + id)
}

// serveDuring serves requests of a route every 100 ms for d.
func (b *fixture) serveDuring(route string, d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		b.clock.Advance(100 * time.Millisecond)
		b.serve(route)
	}
}

// setEndpoints makes the list the only endpoints of a service.
func (s *fakeSource) setEndpoints(service string, list ...fleet.Endpoint) {
	s.change(func() { s.endpoints[service] = list })
}

var routesAndEndpoints = []struct{ route, id string }{
	{"safe", "p"},
	{"unsafe", "p"},
	{"stream", "x"},
}

var _ = Describe("an endpoint that asks for backoff", func() {
	for _, c := range routesAndEndpoints {
		It("gets no request until its backoff is over, and then as before: "+c.route, func() {
			withGateway(func(b *fixture) {
				b.client.answer = alwaysAskingForBackoff(c.id, testBackoff)
				b.serveUntil(c.route, c.id)
				n := b.client.sentTo(c.id)
				b.serveDuring(c.route, testBackoff-200*time.Millisecond)
				Expect(b.client.sentTo(c.id)).To(Equal(n))
				b.client.answer = func(_ int, c *Call) (*Answer, error) { return goodAnswer(c), nil }
				b.clock.Advance(time.Second)
				b.serveDuring(c.route, 10*time.Second)
				Expect(b.client.sentTo(c.id)).To(BeNumerically(">", n))
			})
		})

		It("gets at most one more request in its backoff, and only late, if it is the only endpoint: "+c.route, func() {
			withGateway(func(b *fixture) {
				b.source.setEndpoints("app", appEndpoint("p"))
				b.source.setEndpoints("llm", engineEndpoint("x", 0, 4))
				b.client.answer = alwaysAskingForBackoff(c.id, testBackoff)
				out := b.serve(c.route)
				Expect(b.client.sentTo(c.id)).To(Equal(1))
				Expect(out.refusal.Ran()).To(Equal(failure.RanNo))
				Expect(out.refusal.RetryAfter()).To(BeNumerically(">=", testBackoff))
				b.serveDuring(c.route, probeDelay-200*time.Millisecond)
				Expect(b.client.sentTo(c.id)).To(Equal(1), "it has only just asked for backoff")
				b.serveDuring(c.route, testBackoff-probeDelay)
				Expect(b.client.sentTo(c.id)).To(Equal(2))
			})
		})

		It("stays in backoff although it answers an earlier request successfully meanwhile: "+c.route, func() {
			withGateway(func(b *fixture) {
				b.source.setEndpoints("app", appEndpoint("p"))
				b.source.setEndpoints("llm", engineEndpoint("x", 0, 4))
				first := make(chan bool)
				b.client.answerCtx = func(_ context.Context, n int) (*Answer, error) {
					if n == 1 {
						<-first
						return goodAnswer(b.client.sent()[0]), nil
					}
					return askingForBackoff("", testBackoff), nil
				}
				done := make(chan bool, 1)
				background(func() {
					b.serve(c.route)
					done <- true
				})
				Eventually(b.client.sent, "5s").Should(HaveLen(1))
				b.serve(c.route)
				close(first)
				Eventually(done, "5s").Should(Receive())
				n := len(b.client.sent())
				b.serveDuring(c.route, 500*time.Millisecond)
				Expect(b.client.sent()).To(HaveLen(n))
			})
		})
	}

	It("may ask again, and the longest backoff counts; a new incarnation has none", func() {
		cases := []struct {
			name     string
			backoffs []time.Duration
			want     time.Duration
		}{
			{name: "longer, then shorter", backoffs: []time.Duration{testBackoff, time.Second}, want: testBackoff},
			{name: "shorter, then longer", backoffs: []time.Duration{time.Second, testBackoff}, want: testBackoff},
			{name: "a fraction", backoffs: []time.Duration{300 * time.Millisecond}, want: 300 * time.Millisecond},
			{name: "none", backoffs: []time.Duration{0}, want: 0},
			{name: "none after some", backoffs: []time.Duration{testBackoff, 0}, want: testBackoff},
		}
		for _, c := range cases {
			withGateway(func(b *fixture) {
				b.source.setEndpoints("app", appEndpoint("p"))
				for _, d := range c.backoffs {
					b.gateway.observeNotice("p", fleet.Notice{Backoff: d})
				}
				Expect(b.gateway.backoffs.Remaining("p")).To(Equal(c.want), c.name)
				b.client.answer = func(_ int, c *Call) (*Answer, error) { return goodAnswer(c), nil }
				b.serve("safe")
				Expect(b.client.sentTo("p") > 0).To(Equal(c.want == 0), c.name)
				b.source.setEndpoints("app", appEndpoint("p-again"))
				b.serve("safe")
				Expect(b.client.sentTo("p-again")).To(Equal(1), c.name)
			})
		}
	})

	It("gets no retries and no hedges", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(_ int, c *Call) (*Answer, error) { return completeAnswer(500, "no"), nil }
			b.gateway.observeNotice("p", fleet.Notice{Backoff: testBackoff})
			b.gateway.observeNotice("q", fleet.Notice{Backoff: testBackoff})
			b.clock.Advance(probeDelay)
			b.serve("safe")
			Expect(b.client.sentTo("s")).To(Equal(1))
			Expect(b.client.sent()).To(HaveLen(1), "a retry never uses the call that is allowed in a backoff")
		})
	})

	It("may be named as at fault by the first endpoint of a path: then only the named one is in backoff", func() {
		withGateway(func(b *fixture) {
			named := ""
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				if n > 1 {
					return goodAnswer(c), nil
				}
				named = c.Path[1].ID
				return askingForBackoff(c.Path[1].Address, testBackoff), nil
			}
			b.serve("stream")
			first := b.client.sent()[0].ID
			for _, id := range []string{named, first} {
				Expect(b.gateway.backoffs.Remaining(id) > 0).To(Equal(id == named))
			}
			b.serveDuring("stream", 2*time.Second)
			Expect(b.client.sentTo(named)).To(Equal(1))
			Expect(b.client.sentTo(first)).To(BeNumerically(">", 1))
		})
	})

	It("is found by its address if it is not on the path; notices about unknown addresses are ignored", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				if n > 1 {
					return goodAnswer(c), nil
				}
				other := "y:1"
				if c.Path[1].ID == "y" {
					other = "z:1"
				}
				return askingForBackoff(other, testBackoff), nil
			}
			b.serve("stream")
			Expect(max(b.gateway.backoffs.Remaining("y"), b.gateway.backoffs.Remaining("z"))).To(Equal(testBackoff))
			Expect(max(b.gateway.backoffs.Remaining("x"), b.gateway.backoffs.Remaining("w"))).To(BeZero())
		})
		withGateway(func(b *fixture) {
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				a := askingForBackoff("nobody:1", testBackoff)
				a.Notice.Leaving = true
				return a, nil
			}
			b.serve("stream")
			for _, id := range []string{"x", "y", "z", "w"} {
				Expect(b.gateway.backoffs.Remaining(id)).To(BeZero())
				Expect(b.source.EndpointLeaving(id)).To(BeFalse())
			}
		})
	})

	It("is not marked as leaving if another endpoint on the path may be meant; both are probed", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				a := refusedBy(c.Path[1].Address)
				a.Notice.Leaving = true
				if n > 1 {
					return goodAnswer(c), nil
				}
				return a, nil
			}
			b.serve("stream")
			path := b.client.sent()[0].Path
			for _, p := range path {
				Expect(b.source.EndpointLeaving(p.ID)).To(BeFalse())
				Expect(b.gateway.Tracker().Suspects()).To(ContainElement(p.ID))
			}
		})
	})

	It("may do so when it rejects a new path, for itself or for the stage that it names", func() {
		for _, named := range []bool{false, true} {
			withGateway(func(b *fixture) {
				b.source.setEndpoints("llm", engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4), engineEndpoint("z", 2, 4))
				end := b.streamInFlight()
				defer end()
				path := b.client.sent()[0].Path
				other := map[string]string{"y": "z", "z": "y"}[path[1].ID]
				b.client.failRepaths(func() error {
					if named {
						return &RepathError{Address: other + ":1", Notice: fleet.Notice{Backoff: testBackoff}}
					}
					return &fleet.RejectedError{Status: 503, Notice: fleet.Notice{Backoff: testBackoff}}
				})
				b.client.stall("r1", path[1].Address)
				subject := map[bool]string{true: other, false: path[0].ID}[named]
				Eventually(func() time.Duration {
					b.clock.Advance(100 * time.Millisecond)
					return b.gateway.backoffs.Remaining(subject)
				}, "5s", "5ms").Should(BeNumerically(">", 0))
				for _, id := range []string{"x", "y", "z"} {
					Expect(b.gateway.backoffs.Remaining(id) > 0).To(Equal(id == subject), id)
				}
			})
		}
	})

	It("gets neither backoff nor leaving recorded from another incarnation at its address", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(_ int, c *Call) (*Answer, error) {
				return &Answer{Status: 421, Misdirected: true, Notice: fleet.Notice{Leaving: true, Backoff: testBackoff}, Body: http.NoBody}, nil
			}
			b.serve("safe")
			for _, id := range []string{"p", "q", "s"} {
				Expect(b.gateway.backoffs.Remaining(id)).To(BeZero())
				Expect(b.source.EndpointLeaving(id)).To(BeFalse())
			}
		})
	})

	It("has its backoff recorded from an answer to another request, and from one that comes after the caller has disconnected", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) {
				return nil, &SendError{Sent: true, Cause: errReset, Notice: fleet.Notice{Backoff: testBackoff}}
			}
			b.serve("unsafe")
			Expect(b.gateway.backoffs.Remaining(b.client.sent()[0].ID)).To(Equal(testBackoff))
		})
		for _, route := range []string{"safe", "stream"} {
			withGateway(func(b *fixture) {
				ctx, cancel := context.WithCancel(context.Background())
				b.client.answerCtx = func(context.Context, int) (*Answer, error) {
					cancel()
					time.Sleep(10 * time.Millisecond)
					return askingForBackoff("", testBackoff), nil
				}
				b.gateway.Serve(ctx, b.request(route), &fakeOutput{})
				Eventually(func() time.Duration { return b.gateway.backoffs.Remaining(b.client.sent()[0].ID) }, "5s").Should(Equal(testBackoff), route)
			})
		}
	})

	It("is not waited for if all endpoints are in backoff: callers are refused at once, with different times after the first backoff ends", func() {
		for _, c := range routesAndEndpoints {
			withGateway(func(b *fixture) {
				for _, id := range []string{"p", "q", "x", "y", "z"} {
					b.gateway.observeNotice(id, fleet.Notice{Backoff: testBackoff + time.Second})
				}
				for _, id := range []string{"s", "w"} {
					b.gateway.observeNotice(id, fleet.Notice{Backoff: 2 * testBackoff})
				}
				times := map[time.Duration]bool{}
				for range 20 {
					out := b.serve(c.route)
					Expect(out.refusal.Ran()).To(Equal(failure.RanNo))
					Expect(out.refusal.Kind()).To(Equal(failure.Overloaded))
					after := out.refusal.RetryAfter()
					Expect(after).To(BeNumerically(">=", testBackoff+time.Second))
					Expect(after).To(BeNumerically("<=", time.Duration((1+backoffRetryJitter)*float64(testBackoff+time.Second))))
					times[after] = true
				}
				Expect(b.client.sent()).To(BeEmpty())
				Expect(len(times)).To(BeNumerically(">", 15), c.route)
			})
		}
	})

	It("makes callers retry when a complete path is available, not when its first stage is", func() {
		withGateway(func(b *fixture) {
			b.gateway.observeNotice("x", fleet.Notice{Backoff: time.Second})
			b.gateway.observeNotice("w", fleet.Notice{Backoff: 4 * time.Second})
			b.gateway.observeNotice("y", fleet.Notice{Backoff: 3 * time.Second})
			b.gateway.observeNotice("z", fleet.Notice{Backoff: 5 * time.Second})
			out := b.serve("stream")
			Expect(out.refusal.RetryAfter()).To(BeNumerically(">=", 3*time.Second))
			Expect(out.refusal.RetryAfter()).To(BeNumerically("<", 4*time.Second))
		})
	})

	// Guards against permits, and calls in a backoff, that are used up by calls which aren't made.
	It("keeps its one call, and permits stay, if the call also needs what isn't there", func() {
		withGateway(func(b *fixture) {
			g := b.gateway
			b.reportLimit("limited", "both")
			for _, id := range []string{"resting", "both"} {
				g.observeNotice(id, fleet.Notice{Backoff: testBackoff})
			}
			b.clock.Advance(probeDelay)
			Expect(g.acquireCalls("resting", "limited")).To(BeFalse(), "there is no permit")
			Expect(g.acquireCalls("both")).To(BeFalse(), "there is no permit")
			b.grantPermits("limited", "both")
			Expect(g.acquireCalls("both", "limited")).To(BeTrue())
			Expect(g.acquireCalls("resting")).To(BeTrue())
			b.grantPermits("limited", "both")
			Expect(g.acquireCalls("limited", "both")).To(BeFalse(), "the call to both was made")
			Expect(g.acquireCalls("limited")).To(BeTrue(), "the permit is still there")
			Expect(g.acquireCalls("limited")).To(BeFalse())
		})
	})

	// Guards against a permit that a query loses to another query of the same endpoint.
	It("takes one permit for one query, however many ask at once", func() {
		for range 50 {
			withGateway(func(b *fixture) {
				b.reportLimit("p")
				b.gateway.observeNotice("p", fleet.Notice{Backoff: testBackoff})
				b.clock.Advance(probeDelay)
				for range 8 {
					b.grantPermits("p")
				}
				admitted := atomic.Int64{}
				grp := group.New(context.Background())
				for range 8 {
					grp.Go(func(context.Context) {
						if b.gateway.admitQuery("p") {
							admitted.Add(1)
						}
					})
				}
				grp.Wait()
				Expect(admitted.Load()).To(BeEquivalentTo(1))
				for range 7 {
					Expect(b.gateway.permits.TryAcquire("p")).To(BeTrue(), "permits of queries that weren't sent")
				}
			})
		}
	})

	It("gets at most one stall query in its backoff and no new path for a stream", func() {
		withGateway(func(b *fixture) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4), engineEndpoint("z", 2, 4))
			end := b.streamInFlight()
			defer end()
			path := b.client.sent()[0].Path
			b.gateway.observeNotice(path[0].ID, fleet.Notice{Backoff: testBackoff})
			b.client.stall("r1", path[1].Address)
			before := b.client.stallQueries()
			for range 10 {
				b.clock.Advance(250 * time.Millisecond)
				time.Sleep(2 * time.Millisecond)
			}
			Expect(b.client.stallQueries() - before).To(BeNumerically("<=", 1))
			Expect(b.client.repathCount()).To(BeZero())
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return b.client.repathCount()
			}, "5s", "5ms").Should(BeNumerically(">", 0), "once its backoff is over")
		})
	})
})
