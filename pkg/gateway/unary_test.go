package gateway

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var errReset = errors.New("reset")

var _ = Describe("a request with a non-streamed answer", func() {
	It("is sent once and answered unchanged", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, "body"), nil }
			out := b.serve("unsafe")
			Expect(out.status).To(Equal(200))
			Expect(out.text()).To(Equal("body"))
			Expect(b.client.sent()).To(HaveLen(1))
			Expect(b.client.sent()[0].Account).To(Equal("acc"))
		})
	})

	It("is never retried once it may have run, if it must not run twice, and is not reported as refused", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return nil, &SendError{Sent: true, Cause: errReset} }
			out := b.serve("unsafe")
			Expect(b.client.sent()).To(HaveLen(1))
			Expect(out.refusal.Kind()).To(Equal(failure.EndpointFailed))
			Expect(out.refusal.Ran()).NotTo(Equal(failure.RanNo))
		})
	})

	It("is not retried after a damaged or truncated answer either", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) {
				return &Answer{Status: 200, Verified: true, Body: brokenBody{Reader: strings.NewReader("half")}}, nil
			}
			out := b.serve("unsafe")
			Expect(b.client.sent()).To(HaveLen(1))
			Expect(out.text()).To(BeEmpty())
			Expect(out.refusal.Kind()).To(Equal(failure.EndpointFailed))
		})
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) {
				return &Answer{Status: 200, Body: io.NopCloser(strings.NewReader("other"))}, nil
			}
			Expect(b.serve("unsafe").text()).To(BeEmpty())
		})
	})

	It("is sent to another endpoint if the first reports that it did not run it", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(n int, _ *Call) (*Answer, error) {
				if n == 1 {
					return refusedBy(""), nil
				}
				return completeAnswer(200, "ok"), nil
			}
			Expect(b.serve("unsafe").text()).To(Equal("ok"))
			calls := b.client.sent()
			Expect(calls).To(HaveLen(2))
			Expect(calls[0].ID).NotTo(Equal(calls[1].ID))
		})
	})

	It("is refused with a retry-after time, and reported as not run, if all endpoints refuse it", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return refusedBy(""), nil }
			out := b.serve("unsafe")
			Expect(out.refusal.Kind()).To(Equal(failure.Overloaded))
			Expect(out.refusal.Ran()).To(Equal(failure.RanNo))
			Expect(out.refusal.RetryAfter()).To(BeNumerically(">", 0))
		})
	})

	It("is reported as not run if no endpoint was reached, even if its time ran out", func() {
		cases := []struct {
			name   string
			answer func(ctx context.Context, n int) (*Answer, error)
			ran    failure.Ran
		}{
			{
				name:   "every connection is refused",
				answer: func(context.Context, int) (*Answer, error) { return nil, &SendError{Cause: errReset} },
				ran:    failure.RanNo,
			},
			{
				name: "the time runs out while connections are made",
				answer: func(ctx context.Context, _ int) (*Answer, error) {
					<-ctx.Done()
					return nil, &SendError{Cause: errReset}
				},
				ran: failure.RanNo,
			},
			{
				name: "one refuses, and the time runs out while the next is connected to",
				answer: func(ctx context.Context, n int) (*Answer, error) {
					if n == 1 {
						return refusedBy(""), nil
					}
					<-ctx.Done()
					return nil, &SendError{Cause: errReset}
				},
				ran: failure.RanNo,
			},
			{
				name: "the time runs out after the request was sent",
				answer: func(ctx context.Context, _ int) (*Answer, error) {
					<-ctx.Done()
					return nil, &SendError{Sent: true, Cause: errReset}
				},
				ran: failure.RanUnknown,
			},
			{
				name: "the time runs out at the second endpoint, after the first has failed",
				answer: func(ctx context.Context, n int) (*Answer, error) {
					if n == 1 {
						return nil, &SendError{Sent: true, Cause: errReset}
					}
					<-ctx.Done()
					return nil, &SendError{Cause: errReset}
				},
				ran: failure.RanUnknown,
			},
		}
		for _, c := range cases {
			for _, kind := range []string{"safe", "unsafe", "stream"} {
				withGateway(func(b *fixture) {
					b.client.answerCtx = c.answer
					out := b.serveFor(kind, 50*time.Millisecond)
					Expect(out.refusal).NotTo(BeNil(), c.name+" "+kind)
					Expect(out.refusal.Ran()).To(Equal(c.ran), c.name+" "+kind)
					if c.ran == failure.RanNo {
						Expect(out.refusal.RetryAfter()).To(BeNumerically(">", 0))
					}
				})
			}
		}
	})

	It("is retried after a failure if it may run twice, but at most as often as its route allows", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(500, "no"), nil }
			out := b.serve("safe")
			Expect(out.status).To(Equal(500))
			Expect(b.client.sent()).To(HaveLen(2))
		})
	})

	It("is not retried when the retry budget is used up", func() {
		withGateway(func(b *fixture) {
			for b.gateway.retries.withdraw(1) {
				continue
			}
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(500, "no"), nil }
			b.serve("safe")
			Expect(b.client.sent()).To(HaveLen(1))
		})
	})

	It("is refused because of an unknown key only if the configuration is fresh", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, ""), nil }
			req := b.request("safe")
			req.Key = "other"
			_, e := b.gateway.admit(req, nil)
			Expect(e.Kind()).To(Equal(failure.Unauthenticated))
			b.source.view.Fresh = false
			_, e = b.gateway.admit(req, nil)
			Expect(e.Kind()).To(Equal(failure.NotReady))
		})
	})

	It("is not run with a key that may have been revoked", func() {
		withGateway(func(b *fixture) {
			b.source.view.Trusted = false
			_, e := b.gateway.admit(b.request("safe"), nil)
			Expect(e.Kind()).To(Equal(failure.NotReady))
			Expect(e.RetryAfter()).To(BeNumerically(">", 0))
		})
	})

	It("ranks by client account first, then by route", func() {
		Expect(rank(0, 2)).To(BeNumerically("<", rank(1, 0)))
		Expect(rank(1, 0)).To(BeNumerically("<", rank(1, 1)))
		Expect(rank(2, 9)).To(BeNumerically("<", rank(3, 0)))
	})

	It("waits for a host that becomes ready shortly", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, "ok"), nil }
			good := b.source.view
			b.source.view = View{}
			done := make(chan *fakeOutput)
			background(func() { done <- b.serve("safe") })
			Consistently(done, "50ms").ShouldNot(Receive())
			b.source.confirm(good)
			var out *fakeOutput
			Eventually(done, "5s").Should(Receive(&out))
			Expect(out.text()).To(Equal("ok"))
		})
	})
})

var _ = Describe("a request", func() {
	It("is retried only within the retry budget, which all hosts keep together in every window, however many they are", func() {
		for _, hosts := range []int{1, 3, 11} {
			withGateway(func(b *fixture) {
				spent := 0
				const requests = 1000
				for range requests {
					b.gateway.retries.deposit(hosts)
					for b.gateway.retries.withdraw(hosts) {
						spent++
					}
				}
				Expect(float64(spent * hosts)).To(BeNumerically("<=", extra+0.2*requests*float64(hosts)))
			})
		}
	})

	It("is counted under its client account, of which a limited number has a label of its own", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, "ok"), nil }
			b.serve("safe")
			h := b.gateway.metrics.Histogram("account_us", metrics.Label{Name: "account", Value: "acc"})
			Expect(h.Count()).To(BeEquivalentTo(1))
			l := newAccountLabels()
			Expect(l.of("")).To(Equal(noAccount))
			for i := range maxAccounts {
				Expect(l.of(strconv.Itoa(i))).To(Equal(strconv.Itoa(i)))
			}
			Expect(l.of("one more")).To(Equal(otherAccounts))
			Expect(l.of("0")).To(Equal("0"))
		})
	})
})
