package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/permit"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func limitNotice(perSecond float64) fleet.Notice {
	return fleet.Notice{Limit: fleet.RateLimit{Status: fleet.LimitSet, PerSecond: perSecond}}
}

// reportingLimit answers successfully; the given endpoints report a rate limit in their
// answers.
func reportingLimit(ids ...string) func(int, *Call) (*Answer, error) {
	return func(_ int, c *Call) (*Answer, error) {
		a := goodAnswer(c)
		a.Notice = fleet.Notice{Limit: fleet.RateLimit{Status: fleet.LimitNone}}
		if slices.Contains(ids, c.ID) {
			a.Notice = limitNotice(8)
		}
		return a, nil
	}
}

// reportLimit makes endpoints report a rate limit to this host.
func (b *fixture) reportLimit(ids ...string) {
	for _, id := range ids {
		b.gateway.observeLimit("app", id, limitNotice(8).Limit, b.clock.Now())
	}
}

// grantPermits gives this host a permit for each of the endpoints.
func (b *fixture) grantPermits(ids ...string) {
	list := permit.Counts{}
	for _, id := range ids {
		list[permit.EndpointKey(id)]++
	}
	b.gateway.permits.AddPermits(0, list, b.clock.Now().Add(permit.Lifetime))
}

// grantAllRequests makes the leader grant all permits that are requested.
func (b *fixture) grantAllRequests() {
	b.source.grantPermits = func(ids []string, each bool, _ int) time.Duration {
		if !each {
			ids = ids[:1]
		}
		b.grantPermits(ids...)
		return 0
	}
}

var _ = Describe("an endpoint that reports a rate limit", func() {
	for _, c := range routesAndEndpoints {
		It("gets one call for each permit and no other, while other endpoints serve: "+c.route, func() {
			withGateway(func(b *fixture) {
				b.client.answer = reportingLimit(c.id)
				b.serveUntil(c.route, c.id)
				n := b.client.sentTo(c.id)
				for range 3 {
					b.grantPermits(c.id)
				}
				for range 200 {
					Expect(b.serve(c.route).refusal).To(BeNil())
				}
				Expect(b.client.sentTo(c.id)).To(BeNumerically("<=", n+3))
				Expect(b.source.permitRequests).To(BeZero(), "other endpoints have capacity")
				Expect(b.source.limitReports).To(BeNumerically(">", 0), "the limit is sent to the leader at once")
			})
		})

		It("gets what the leader grants if it is the only endpoint, and other requests are refused at once with a retry-after time: "+c.route, func() {
			withGateway(func(b *fixture) {
				b.source.setEndpoints("app", appEndpoint("p"))
				b.source.setEndpoints("llm", engineEndpoint("x", 0, 4))
				b.client.answer = reportingLimit(c.id)
				b.serve(c.route)
				b.grantAllRequests()
				for range 5 {
					Expect(b.serve(c.route).refusal).To(BeNil())
				}
				n := b.client.sentTo(c.id)
				b.source.grantPermits = nil
				times := map[time.Duration]bool{}
				const refused = 40
				for i := range refused {
					if i == refused/2 {
						Expect(b.source.permitRequests).To(BeNumerically("<", 10), "not every request asks the leader")
					}
					out := b.serve(c.route)
					Expect(out.refusal.Kind()).To(Equal(failure.Overloaded))
					Expect(out.refusal.Ran()).To(Equal(failure.RanNo))
					Expect(out.refusal.RetryAfter()).To(BeNumerically(">=", baseRetryAfter))
					Expect(out.refusal.RetryAfter()).To(BeNumerically("<=", maxRetryAfter))
					times[out.refusal.RetryAfter()] = true
				}
				Expect(b.client.sentTo(c.id)).To(Equal(n))
				Expect(len(times)).To(BeNumerically(">", refused/2))
			})
		})
	}

	It("may be one of several on a path, each of which needs a permit", func() {
		withGateway(func(b *fixture) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4))
			b.reportLimit("x", "y")
			b.client.answer = reportingLimit("x", "y")
			requested := []string(nil)
			b.source.grantPermits = func(ids []string, each bool, _ int) time.Duration {
				Expect(each).To(BeTrue())
				requested = ids
				b.grantPermits(ids...)
				return 0
			}
			Expect(b.serve("stream").refusal).To(BeNil())
			Expect(requested).To(ConsistOf("x", "y"))
			b.source.grantPermits = nil
			b.grantPermits("x")
			Expect(b.serve("stream").refusal).NotTo(BeNil())
			Expect(b.gateway.permits.MayCall("x")).To(BeTrue(), "a permit is not used up if another one that the path needs is missing")
		})
	})

	It("gets no hedge, but a retry of an attempt that failed", func() {
		withGateway(func(b *fixture) {
			b.reportLimit("p", "q", "s")
			b.grantPermits("p", "q", "s")
			release := make(chan bool)
			b.client.answerCtx = func(context.Context, int) (*Answer, error) {
				<-release
				return completeAnswer(200, "ok"), nil
			}
			done := make(chan bool, 1)
			background(func() {
				b.serve("safe")
				done <- true
			})
			Eventually(b.client.sent, "5s").Should(HaveLen(1))
			b.clock.Advance(300 * time.Millisecond) // past the time for a hedge
			time.Sleep(5 * time.Millisecond)
			Expect(b.client.sent()).To(HaveLen(1))
			close(release)
			Eventually(done, "5s").Should(Receive())
		})
		withGateway(func(b *fixture) {
			b.reportLimit("p", "q", "s")
			b.grantPermits("p", "q", "s")
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				if n == 1 {
					return refusedBy(""), nil
				}
				return goodAnswer(c), nil
			}
			Expect(b.serve("safe").status).To(Equal(200))
			Expect(b.client.sent()).To(HaveLen(2))
		})
	})

	It("is sent a stall query only with a permit, and likewise a new path for a stream", func() {
		withGateway(func(b *fixture) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4), engineEndpoint("z", 2, 4))
			end := b.streamInFlight()
			defer end()
			path := b.client.sent()[0].Path
			b.client.stall("r1", path[1].Address)
			b.reportLimit("x", "y", "z")
			before := b.client.stallQueries()
			for range 20 {
				b.clock.Advance(100 * time.Millisecond)
				time.Sleep(2 * time.Millisecond)
			}
			Expect(b.client.stallQueries()).To(Equal(before))
			Expect(b.client.repathCount()).To(BeZero())
			requests := atomic.Int64{}
			b.source.grantPermits = func(ids []string, _ bool, _ int) time.Duration {
				requests.Add(1)
				b.grantPermits("x", "x", "y", "z")
				return 0
			}
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return b.client.repathCount()
			}, "5s", "5ms").Should(BeNumerically(">", 0))
			Expect(requests.Load()).To(BeNumerically(">", 0))
		})
	})

	It("is called with a new path only with a permit, and so are endpoints that the path adds", func() {
		withGateway(func(b *fixture) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4), engineEndpoint("z", 2, 4))
			end := b.streamInFlight()
			defer end()
			path := b.client.sent()[0].Path
			b.reportLimit("x")
			b.source.leave(path[1].ID)
			for range 20 {
				b.clock.Advance(100 * time.Millisecond)
				time.Sleep(2 * time.Millisecond)
			}
			Expect(b.client.repathCount()).To(BeZero())
			Eventually(func() int {
				b.grantPermits("x")
				b.clock.Advance(100 * time.Millisecond)
				return b.client.repathCount()
			}, "5s", "5ms").Should(Equal(1))
		})
	})

	It("keeps the streams that it runs", func() {
		withGateway(func(b *fixture) {
			end := b.streamInFlight()
			defer end()
			path := b.client.sent()[0].Path
			b.reportLimit(path[0].ID, path[1].ID)
			for range 20 {
				b.clock.Advance(100 * time.Millisecond)
				time.Sleep(2 * time.Millisecond)
			}
			Expect(b.client.repathCount()).To(BeZero())
			Expect(b.client.sent()).To(HaveLen(1))
		})
	})

	It("may be named as at fault by the first endpoint of a path: then both get the limit, and neither loses one that way", func() {
		withGateway(func(b *fixture) {
			notice := limitNotice(8)
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				if n > 1 {
					return goodAnswer(c), nil
				}
				a := refusedBy(c.Path[1].Address)
				a.Notice = notice
				return a, nil
			}
			b.serve("stream")
			path := b.client.sent()[0].Path
			for _, p := range path {
				Expect(b.gateway.permits.HasLimit(p.ID)).To(BeTrue())
			}
			b.gateway.permits.Acknowledge(1, b.gateway.permits.PendingReports())
			b.clock.Advance(time.Second)
			b.gateway.observeAnswerLimit(&job{service: &fleet.Service{Name: "llm"}}, &Call{ID: path[0].ID}, path[1].ID, fleet.RateLimit{Status: fleet.LimitNone}, b.clock.Now())
			Expect(b.gateway.permits.PendingReports()).To(BeEmpty())
		})
	})

	It("gets no limit from the answer of another incarnation at its address", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(_ int, c *Call) (*Answer, error) {
				return &Answer{Status: 421, Misdirected: true, Notice: limitNotice(8), Body: http.NoBody}, nil
			}
			b.serve("safe")
			Expect(b.gateway.permits.HasLimits()).To(BeFalse())
		})
	})

	It("has it recorded from error answers, refusals, answers to another request and answers to stall queries", func() {
		for _, a := range []*Answer{completeAnswer(500, "no"), refusedBy(""), {Status: 200, Body: http.NoBody}} {
			withGateway(func(b *fixture) {
				a.Notice = limitNotice(8)
				b.client.answer = func(n int, c *Call) (*Answer, error) {
					if n == 1 {
						return a, nil
					}
					return goodAnswer(c), nil
				}
				b.serve("unsafe")
				Expect(b.gateway.permits.HasLimit(b.client.sent()[0].ID)).To(BeTrue())
			})
		}
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) {
				return nil, &SendError{Sent: true, Cause: errReset, Notice: limitNotice(8)}
			}
			b.serve("unsafe")
			Expect(b.gateway.permits.HasLimit(b.client.sent()[0].ID)).To(BeTrue())
		})
		withGateway(func(b *fixture) {
			b.gateway.observeQueryAnswer("llm", "x", StallReport{Notice: limitNotice(8)}, b.clock.Now())
			Expect(b.gateway.permits.HasLimit("x")).To(BeTrue())
		})
	})

	It("has a permit requested by a more urgent request although a less urgent one was just denied", func() {
		withGateway(func(b *fixture) {
			requests := b.gateway.permitRequests
			_, ok := requests.begin("e", 5)
			Expect(ok).To(BeTrue())
			requests.end("e", 5, PermitReply{AvailableIn: time.Second, Interval: time.Second})
			_, ok = requests.begin("e", 5)
			Expect(ok).To(BeFalse())
			_, ok = requests.begin("e", 4)
			Expect(ok).To(BeTrue())
			requests.end("e", 4, PermitReply{})
			b.clock.Advance(denialLifetime)
			for range maxConcurrentPermitRequests {
				_, ok = requests.begin("e", 5)
				Expect(ok).To(BeTrue())
			}
			availableIn, ok := requests.begin("e", 5)
			Expect(ok).To(BeFalse(), "too many requests to the leader at once")
			Expect(availableIn).To(BeNumerically(">", 0))
		})
	})

	It("serves a request without a permit if its limit was removed while a permit was requested", func() {
		withGateway(func(b *fixture) {
			b.source.setEndpoints("app", appEndpoint("p"))
			b.client.answer = reportingLimit("p")
			b.serve("safe")
			b.source.grantPermits = func([]string, bool, int) time.Duration {
				b.gateway.permits.Acknowledge(1, b.gateway.permits.PendingReports())
				b.gateway.permits.ApplyChanges(1, 2, false, []permit.LimitChange{{Key: permit.EndpointKey("p"), Removed: true}})
				return time.Second
			}
			Expect(b.serve("safe").status).To(Equal(200))
		})
	})

	It("gets no call in spite of a permit while it is in backoff or leaving", func() {
		for _, notice := range []fleet.Notice{{Backoff: testBackoff}, {Leaving: true}} {
			withGateway(func(b *fixture) {
				b.reportLimit("p")
				b.gateway.observeNotice("p", notice)
				b.client.answer = reportingLimit()
				for range 20 {
					b.grantPermits("p")
					Expect(b.serve("safe").status).To(Equal(200))
				}
				Expect(b.client.sentTo("p")).To(BeZero())
			})
		}
	})

	It("has a permit used up by a call whose caller disconnected", func() {
		withGateway(func(b *fixture) {
			b.source.setEndpoints("app", appEndpoint("p"))
			b.reportLimit("p")
			b.grantPermits("p")
			ctx, cancel := context.WithCancel(context.Background())
			b.client.answerCtx = func(ctx context.Context, _ int) (*Answer, error) {
				cancel()
				<-ctx.Done()
				return nil, &SendError{Sent: true, Cause: ctx.Err()}
			}
			b.gateway.Serve(ctx, b.request("safe"), &fakeOutput{})
			Expect(b.gateway.permits.MayCall("p")).To(BeFalse())
		})
	})

	It("has permits promised one after the other to the requests that are denied", func() {
		withGateway(func(b *fixture) {
			requests := b.gateway.permitRequests
			reply := PermitReply{AvailableIn: 500 * time.Millisecond, Interval: time.Second}
			_, _ = requests.begin("e", 5)
			Expect(requests.end("e", 5, reply)).To(Equal(500 * time.Millisecond))
			for n := range 3 {
				availableIn, _ := requests.begin("e", 5)
				Expect(availableIn).To(Equal(reply.AvailableIn + time.Duration(n+1)*reply.Interval))
			}
			b.clock.Advance(10 * time.Second)
			_, _ = requests.begin("e", 5)
			Expect(requests.end("e", 5, reply)).To(Equal(reply.AvailableIn), "the permits promised before are past")
		})
	})
})
