package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/shedding"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rankedConfiguration is configuration with a second route to the engines, "background",
// which is less urgent than "stream".
func rankedConfiguration() *fleet.Configuration {
	cfg := configuration()
	for _, r := range cfg.Routes {
		if r.Name == "stream" {
			r.Name = "background"
			r.Prefix = "/background/"
			r.Priority = 1
			cfg.Routes = append(cfg.Routes, r)
		}
	}
	return cfg
}

// withRankedGateway runs f on a gateway with rankedConfiguration.
// The service is short of capacity, though everything is admitted.
func withRankedGateway(f func(b *fixture)) {
	withGateway(func(b *fixture) {
		b.source.view.Index = fleet.NewIndex(rankedConfiguration())
		b.gateway.Admission().Apply([]admission.Allocation{{
			Service:  "llm",
			Shortage: time.Second,
			Classes:  []admission.ClassShare{{Share: 1}},
		}}, 0)
		f(b)
	})
}

var _ = Describe("an endpoint that rejected a stream for lack of capacity", func() {
	// The search without avoided endpoints was followed by one with them, which sent the next
	// streams to the endpoint some milliseconds after its rejection.
	It("gets no other stream of a less urgent rank while it is full, also if there is no other path", func() {
		withRankedGateway(func(b *fixture) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4))
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, events(1, 2)), nil }
			b.serve("stream")
			b.client.answer = func(int, *Call) (*Answer, error) { return refusedBy("y:1"), nil }
			b.serve("background")
			sent := len(b.client.sent())
			for range 4 {
				b.clock.Advance(60 * time.Millisecond)
				b.serve("background")
			}
			Expect(b.client.sent()).To(HaveLen(sent))
			b.clock.Advance(60 * time.Millisecond)
			b.serve("background")
			Expect(b.client.sent()).To(HaveLen(sent + 1))
		})
	})

	// An interrupted stream that waited for capacity forgot after 0.1 s who had refused it.
	It("doesn't get the same stream again while it is full, although that was interrupted", func() {
		withGateway(func(b *fixture) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 4), engineEndpoint("y", 0, 4))
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				if n == 1 {
					return &Answer{Status: 200, Verified: true, Body: brokenBody{Reader: strings.NewReader(events(1, 1))}}, nil
				}
				return refusedBy(c.Address), nil
			}
			ctx, cancel := context.WithCancel(context.Background())
			_, done := b.stream(ctx)
			Eventually(func() int { return len(b.client.sent()) }, "5s").Should(Equal(2))
			for range 2 {
				Consistently(func() int { return len(b.client.sent()) }, "20ms", "2ms").Should(Equal(2))
				b.clock.Advance(capacityPollInterval)
			}
			Consistently(func() int { return len(b.client.sent()) }, "50ms", "2ms").Should(Equal(2))
			Eventually(func() int {
				b.clock.Advance(capacityPollInterval)
				return len(b.client.sent())
			}, "5s", "20ms").Should(BeNumerically(">", 2), "once it is no longer full")
			cancel()
			Eventually(done, "5s").Should(Receive())
		})
	})

	It("is told by the answer from one that rejects for another reason", func() {
		capacity := func(change func(a *Answer)) *Answer {
			a := refusedBy("")
			change(a)
			return a
		}
		cases := []struct {
			name   string
			answer *Answer
			full   bool
		}{
			{"no capacity", capacity(func(*Answer) {}), true},
			{"no capacity, with a rate limit", capacity(func(a *Answer) { a.Notice.Limit.Status = fleet.LimitSet; a.Notice.Limit.PerSecond = 1000 }), true},
			{"it ran", capacity(func(a *Answer) { a.NotRun = false }), false},
			{"another endpoint", capacity(func(a *Answer) { a.Misdirected = true }), false},
			{"rate limit", capacity(func(a *Answer) { a.Status = 429 }), false},
			{"invalid request", capacity(func(a *Answer) { a.Status = 400 }), false},
			{"backoff", capacity(func(a *Answer) { a.Notice.Backoff = time.Second }), false},
			{"leaving", capacity(func(a *Answer) { a.Notice.Leaving = true }), false},
			{"unknown endpoint at fault", capacity(func(a *Answer) { a.FaultAddress = "nobody:1" }), false},
		}
		for _, c := range cases {
			withGateway(func(b *fixture) {
				b.source.setEndpoints("llm", engineEndpoint("x", 0, 4), engineEndpoint("y", 0, 4))
				b.client.answer = func(n int, call *Call) (*Answer, error) {
					if n == 1 {
						return c.answer, nil
					}
					return goodAnswer(call), nil
				}
				b.serve("stream")
				Expect(b.gateway.FullEndpoints().Remaining(b.client.sent()[0].ID) > 0).To(Equal(c.full), c.name)
			})
		}
	})

	// Streams never end the avoidance of an endpoint, so each rejection would lengthen it, up
	// to 4 s, although the endpoint works.
	It("is avoided after that only if another endpoint named it, which may have lost it", func() {
		for _, fault := range []string{"", "y:1"} {
			withGateway(func(b *fixture) {
				b.source.setEndpoints("llm", engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4))
				b.client.answer = func(int, *Call) (*Answer, error) { return refusedBy(fault), nil }
				b.serve("stream")
				Expect(b.gateway.tracker.Avoided("x")).To(BeFalse(), fault)
				Expect(b.gateway.tracker.Avoided("y")).To(Equal(fault != ""), fault)
				Expect(b.gateway.FullEndpoints().Remaining("x") > 0).To(Equal(fault == ""), fault)
				Expect(b.gateway.FullEndpoints().Remaining("y") > 0).To(Equal(fault != ""), fault)
			})
		}
	})

	// Guards against long waits for a single endpoint that had no capacity for a moment: callers
	// that could be on time after 0.3 s were told to wait for seconds.
	It("may be used by every stream without a shortage, if there is no other path", func() {
		withRankedGateway(func(b *fixture) {
			b.gateway.Admission().Apply(nil, 0)
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 4))
			b.client.answer = func(_ int, c *Call) (*Answer, error) { return goodAnswer(c), nil }
			b.serve("stream")
			b.gateway.FullEndpoints().Record("x")
			b.serve("background")
			Expect(b.client.sent()).To(HaveLen(2))
			b.client.answer = func(_ int, c *Call) (*Answer, error) { return refusedBy(c.Address), nil }
			out := b.serve("background")
			Expect(out.refusal.Kind()).To(Equal(failure.Overloaded))
			Expect(out.refusal.RetryAfter()).To(BeNumerically("<=", 2*baseRetryAfter))
		})
	})

	It("is used only by the most urgent rank and by interrupted streams, if there is no other path", func() {
		cases := []struct {
			name      string
			route     string
			lastEvent string
			others    bool // another path exists
			sentTo    string
		}{
			{"most urgent", "stream", "", false, "x"},
			{"less urgent", "background", "", false, ""},
			{"less urgent, continues", "background", "1", false, "x"},
			{"another path", "stream", "", true, "y"},
			{"another path, continues", "background", "1", true, "y"},
			{"another path, less urgent", "background", "", true, "y"},
		}
		for _, c := range cases {
			withRankedGateway(func(b *fixture) {
				b.client.answer = func(_ int, call *Call) (*Answer, error) { return goodAnswer(call), nil }
				b.serve("stream") // the rank of this route is asked for
				before := len(b.client.sent())
				list := []fleet.Endpoint{engineEndpoint("x", 0, 4)}
				if c.others {
					list = append(list, engineEndpoint("y", 0, 4))
					b.gateway.tracker.RecordFailure("y", "an endpoint that failed is preferred")
				}
				b.source.setEndpoints("llm", list...)
				b.gateway.FullEndpoints().Merge([]shedding.Entry{{
					Key:       fleet.LoadKey("x"),
					Remaining: 800 * time.Millisecond,
				}})
				req := b.request(c.route)
				req.LastEvent = c.lastEvent
				out := &fakeOutput{}
				b.gateway.Serve(context.Background(), req, out)
				calls := b.client.sent()[before:]
				if c.sentTo != "" {
					Expect(calls).To(HaveLen(1), c.name)
					Expect(calls[0].ID).To(Equal(c.sentTo), c.name)
					return
				}
				Expect(calls).To(BeEmpty(), c.name)
				Expect(out.refusal.Kind()).To(Equal(failure.Overloaded), c.name)
				Expect(out.refusal.Ran()).To(Equal(failure.RanNo), c.name)
				Expect(out.refusal.Detail()).To(Equal("all endpoints of layers 0 to 3 are full"), c.name)
				Expect(out.refusal.RetryAfter()).To(BeNumerically(">=", 800*time.Millisecond), "the time when it isn't full any longer")
			})
		}
	})

	It("is no longer full once it accepts a stream, unless that was sent before the rejection", func() {
		withGateway(func(b *fixture) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 4))
			begin := make(chan bool)
			b.client.answer = func(n int, call *Call) (*Answer, error) {
				if n == 1 {
					<-begin
				}
				return goodAnswer(call), nil
			}
			_, done := b.stream(context.Background())
			Eventually(func() int { return len(b.client.sent()) }, "5s").Should(Equal(1))
			b.clock.Advance(10 * time.Millisecond)
			b.gateway.FullEndpoints().Record("x")
			close(begin)
			Eventually(done, "5s").Should(Receive())
			Expect(b.gateway.FullEndpoints().Remaining("x")).To(BeNumerically(">", 0))
			b.clock.Advance(10 * time.Millisecond)
			b.serve("stream")
			Expect(b.client.sent()).To(HaveLen(2))
			Expect(b.gateway.FullEndpoints().Remaining("x")).To(BeZero())
		})
	})

	It("is used for a new path of a stream in flight only if there is no other", func() {
		for _, c := range []struct {
			others bool
			want   string
		}{
			{true, "z2"},
			{false, "z"},
		} {
			withGateway(func(b *fixture) {
				b.source.setEndpoints("llm", engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4))
				end := b.streamInFlight()
				list := []fleet.Endpoint{engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4), engineEndpoint("z", 2, 4)}
				if c.others {
					slow := engineEndpoint("z2", 2, 4)
					slow.Slowdown = 20
					list = append(list, slow)
				}
				b.source.setEndpoints("llm", list...)
				b.client.stall("r1", "y:1")
				Eventually(func() int {
					b.gateway.FullEndpoints().Record("z")
					b.clock.Advance(50 * time.Millisecond)
					return b.client.repathCount()
				}, "5s", "2ms").Should(BeNumerically(">", 0))
				Expect(b.client.repaths[0][1].ID).To(Equal(c.want))
				end()
			})
		}
	})

	It("isn't the reason of a refusal if layers are missing anyway", func() {
		withRankedGateway(func(b *fixture) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 2))
			b.gateway.FullEndpoints().Record("x")
			for _, route := range []string{"stream", "background"} {
				Expect(b.serve(route).refusal.Kind()).To(Equal(failure.NoChain), route)
			}
			Expect(b.client.sent()).To(BeEmpty())
		})
	})

	It("is named by the first layers that no other endpoint holds", func() {
		endpoint := func(id string, from, to int) fleet.Endpoint { return engineEndpoint(id, from, to) }
		cases := []struct {
			list []fleet.Endpoint
			full []string
			want string
		}{
			{[]fleet.Endpoint{endpoint("a", 0, 1), endpoint("b", 1, 4)}, []string{"b"}, "layers 1 to 3"},
			{[]fleet.Endpoint{endpoint("a", 0, 1), endpoint("b", 1, 4)}, []string{"a", "b"}, "layers 0 to 3"},
			{[]fleet.Endpoint{endpoint("a", 0, 3), endpoint("b", 1, 2), endpoint("c", 3, 4)}, []string{"a", "c"}, "layers 0 to 0"},
			{[]fleet.Endpoint{endpoint("a", 0, 4), endpoint("b", 0, 2)}, []string{"a"}, "layers 2 to 3"},
		}
		for _, c := range cases {
			withRankedGateway(func(b *fixture) {
				b.client.answer = func(_ int, call *Call) (*Answer, error) { return goodAnswer(call), nil }
				b.serve("stream")
				b.source.setEndpoints("llm", c.list...)
				for _, id := range c.full {
					b.gateway.FullEndpoints().Record(id)
				}
				Expect(b.serve("background").refusal.Detail()).To(Equal("all endpoints of " + c.want + " are full"))
			})
		}
	})

	It("gets neither the one call that a backoff allows, nor is a permit for it asked for", func() {
		cases := []struct {
			name    string
			prepare func(b *fixture)
		}{
			{"backoff", func(b *fixture) {
				b.gateway.observeNotice("x", fleet.Notice{Backoff: testBackoff})
				b.clock.Advance(probeDelay)
			}},
			{"rate limit", func(b *fixture) {
				b.gateway.observeLimit("llm", "x", fleet.RateLimit{Status: fleet.LimitSet, PerSecond: 1}, b.clock.Now())
			}},
		}
		for _, c := range cases {
			for _, full := range []bool{true, false} {
				withRankedGateway(func(b *fixture) {
					b.client.answer = func(_ int, call *Call) (*Answer, error) { return goodAnswer(call), nil }
					b.serve("stream")
					sent := len(b.client.sent())
					b.source.setEndpoints("llm", engineEndpoint("x", 0, 4))
					c.prepare(b)
					if full {
						b.gateway.FullEndpoints().Record("x")
					}
					b.serve("background")
					tried := len(b.client.sent()) > sent || b.source.permitRequests > 0
					Expect(tried).To(Equal(!full), c.name)
				})
			}
		}
	})
})

var _ = Describe("the most urgent rank", func() {
	It("is the lowest that was asked for lately", func() {
		withGateway(func(b *fixture) {
			t := newRankTracker(b.clock)
			Expect(t.mostUrgent("llm", 5)).To(BeTrue(), "nothing was asked for")
			t.record("llm", 2)
			t.record("other", 0)
			Expect(t.mostUrgent("llm", 1)).To(BeTrue())
			Expect(t.mostUrgent("llm", 2)).To(BeTrue())
			Expect(t.mostUrgent("llm", 3)).To(BeFalse())
			b.clock.Advance(rankWindow)
			Expect(t.mostUrgent("llm", 3)).To(BeTrue())
		})
	})
})
