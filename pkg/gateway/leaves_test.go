package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an endpoint that says in answers that it leaves", func() {
	for _, c := range routesAndEndpoints {
		It("gets nothing new, not even where there is nothing else: "+c.route, func() {
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

	It("is heard in answers of failures, without a body, and in those that turn a request away", func() {
		cases := []struct {
			name   string
			answer *Answer
		}{
			{name: "failure", answer: completeAnswer(500, "no")},
			{name: "no body", answer: completeAnswer(204, "")},
			{name: "turned away", answer: refusedBy("")},
			{name: "damaged", answer: &Answer{Status: 200, Body: http.NoBody}},
			{name: "torn", answer: &Answer{Status: 200, Verified: true, Body: brokenBody{Reader: strings.NewReader("half")}}},
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

	It("may be a later part of a path, and then streams under way leave it", func() {
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

	It("is left by streams under way only once their first endpoint, which rests, may be told so", func() {
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

	It("keeps the streams that it runs as the first of their paths", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(_ int, c *Call) (*Answer, error) { return leavingAnswer(c), nil }
			out := b.serve("stream")
			Expect(out.text()).To(Equal(events(1, 2)))
			Expect(b.client.sent()).To(HaveLen(1))
		})
	})

	It("gets no stream back that its first endpoint, which rests, can't bring around what stands still", func() {
		withGateway(func(b *fixture) {
			end := b.streamInFlight()
			defer end()
			path := b.client.sent()[0].Path
			b.gateway.observeNotice(path[0].ID, fleet.Notice{Backoff: testBackoff})
			b.client.stall("r1", path[1].Address)
			Eventually(func() int {
				b.clock.Advance(100 * time.Millisecond)
				return len(b.client.sent())
			}, "5s", "5ms").Should(Equal(2), "another first endpoint continues it")
			Expect(b.client.sent()[1].ID).NotTo(Equal(path[0].ID))
			Expect(b.client.repathCount()).To(BeZero())
		})
	})

	It("isn't forgotten among many", func() {
		withGateway(func(b *fixture) {
			for n := range 5000 {
				b.gateway.observeNotice("gone-"+strconv.Itoa(n), fleet.Notice{Backoff: time.Second})
			}
			Expect(b.gateway.backoffs.Len()).To(BeNumerically("<=", 5000))
			b.clock.Advance(2 * time.Second)
			b.gateway.observeNotice("p", fleet.Notice{Backoff: time.Second})
			Expect(b.gateway.backoffs.Len()).To(Equal(1), "what is over is forgotten")
		})
	})
})
