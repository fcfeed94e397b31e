package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an endpoint that reports in answers that it is leaving", func() {
	for _, c := range routesAndEndpoints {
		It("gets no new request, even if it is the only endpoint: "+c.route, func() {
			withGateway(func(b *fixture) {
				b.source.setEndpoints("app", appEndpoint("p"))
				b.source.setEndpoints("llm", engineEndpoint("x", 0, 4))
				b.client.answer = func(_ int, c *Call) (*Answer, error) { return leavingAnswer(c), nil }
				Expect(b.serve(c.route).status).To(Equal(200))
				Expect(b.source.EndpointLeaving(c.id)).To(BeTrue())
				b.serveDuring(c.route, testBackoff)
				Expect(b.client.sent()).To(HaveLen(1))
			})
		})
	}

	It("is marked as leaving by error answers, answers without a body and refusals too", func() {
		cases := []struct {
			name   string
			answer *Answer
		}{
			{name: "failure", answer: completeAnswer(500, "no")},
			{name: "no body", answer: completeAnswer(204, "")},
			{name: "refused", answer: refusedBy("")},
			{name: "damaged", answer: &Answer{Status: 200, Body: http.NoBody}},
			{name: "truncated", answer: &Answer{Status: 200, Verified: true, Body: brokenBody{Reader: strings.NewReader("half")}}},
		}
		for _, c := range cases {
			for _, route := range []string{"unsafe", "stream"} {
				withGateway(func(b *fixture) {
					c.answer.Notice = fleet.Notice{Leaving: true}
					b.client.answer = func(n int, call *Call) (*Answer, error) {
						if n == 1 {
							return c.answer, nil
						}
						return goodAnswer(call), nil
					}
					b.serve(route)
					Expect(b.source.EndpointLeaving(b.client.sent()[0].ID)).To(BeTrue(), c.name+" "+route)
				})
			}
		}
	})

	It("is replaced in the paths of running streams if it is a later stage", func() {
		withGateway(func(b *fixture) {
			end := b.streamInFlight()
			defer end()
			path := b.client.sent()[0].Path
			b.gateway.observeNotice(path[1].ID, fleet.Notice{Leaving: true})
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return b.client.repathCount()
			}, "5s", "5ms").Should(BeNumerically(">", 0))
			for _, p := range b.client.repaths[0] {
				Expect(p.ID).NotTo(Equal(path[1].ID))
			}
		})
	})

	// Guards against a leave that is noticed only at the next change of any endpoint.
	It("is replaced if it leaves between the choice of the path and the stream's first look at it", func() {
		withGateway(func(b *fixture) {
			calls := 0 // by the stream's goroutine: for the choice of the path, and then to watch it
			b.source.onChanged = func() {
				if calls++; calls == 2 {
					Eventually(func() int { return len(b.client.sent()) }, "5s", "1ms").Should(Equal(1))
					b.source.leave(b.client.sent()[0].Path[1].ID)
				}
			}
			b.client.answer = func(int, *Call) (*Answer, error) {
				return &Answer{Status: 200, Verified: true, Body: hangingBody(events(1, 1))}, nil
			}
			ctx, cancel := context.WithCancel(context.Background())
			_, done := b.stream(ctx)
			Eventually(func() int {
				b.clock.Advance(leaveRetryInterval)
				return b.client.repathCount()
			}, "5s", "5ms").Should(BeNumerically(">", 0))
			cancel()
			Eventually(done, "5s").Should(Receive())
		})
	})

	It("is replaced only once the first endpoint of the path is out of backoff and can be called with a new path", func() {
		withGateway(func(b *fixture) {
			end := b.streamInFlight()
			defer end()
			path := b.client.sent()[0].Path
			b.gateway.observeNotice(path[0].ID, fleet.Notice{Backoff: testBackoff})
			b.gateway.observeNotice(path[1].ID, fleet.Notice{Leaving: true})
			for range 10 {
				b.clock.Advance(250 * time.Millisecond)
				time.Sleep(2 * time.Millisecond)
			}
			Expect(b.client.repathCount()).To(BeZero())
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return b.client.repathCount()
			}, "5s", "5ms").Should(BeNumerically(">", 0))
		})
	})

	It("keeps the streams of which it is the first endpoint", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(_ int, c *Call) (*Answer, error) { return leavingAnswer(c), nil }
			out := b.serve("stream")
			Expect(out.text()).To(Equal(events(1, 2)))
			Expect(b.client.sent()).To(HaveLen(1))
		})
	})

	It("is not sent a stream again that it could not repath around a stalled stage because it was in backoff", func() {
		withGateway(func(b *fixture) {
			end := b.streamInFlight()
			defer end()
			path := b.client.sent()[0].Path
			b.gateway.observeNotice(path[0].ID, fleet.Notice{Backoff: testBackoff})
			b.client.stall("r1", path[1].Address)
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return len(b.client.sent())
			}, "5s", "5ms").Should(Equal(2), "another first endpoint continues the stream")
			Expect(b.client.sent()[1].ID).NotTo(Equal(path[0].ID))
			Expect(b.client.repathCount()).To(BeZero())
		})
	})

	It("is dropped from the backoffs once its own has expired, however many there are", func() {
		withGateway(func(b *fixture) {
			for n := range 5000 {
				b.gateway.observeNotice("gone-"+strconv.Itoa(n), fleet.Notice{Backoff: time.Second})
			}
			b.gateway.observeNotice("longer", fleet.Notice{Backoff: 10 * time.Second})
			Expect(b.gateway.backoffs.Len()).To(Equal(5001))
			b.clock.Advance(2 * time.Second)
			b.gateway.observeNotice("p", fleet.Notice{Backoff: time.Second})
			Expect(b.gateway.backoffs.Len()).To(Equal(2), "expired backoffs are deleted, and no others")
			Expect(b.gateway.backoffs.Remaining("longer")).To(Equal(8 * time.Second))
		})
	})
})
