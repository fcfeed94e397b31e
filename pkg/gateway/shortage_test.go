package gateway

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the gateway with admission control as it is", func() {
	// limit makes the host admit nothing of rank 1.
	limit := func(b *fixture) {
		b.gateway.Admission().Apply([]admission.Allocation{{
			Service:  "llm",
			Capacity: 1000,
			InFlight: 1000,
			Shortage: time.Second,
			Classes: []admission.ClassShare{
				{Class: admission.Class{Rank: 0}, Share: 1},
				{Class: admission.Class{Rank: 1}, Share: 0},
				{Class: admission.Class{Rank: 1, Late: true}, Share: 0},
			},
		}}, 0)
	}

	It("refuses less urgent streams during a shortage, but none that was interrupted and continues", func() {
		withRankedGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, events(2, 3)), nil }
			limit(b)
			cases := []struct {
				route     string
				lastEvent string
				served    bool
			}{
				{"stream", "", true},
				{"background", "", false},
				{"background", "1", true},
			}
			for _, c := range cases {
				out := &fakeOutput{}
				req := b.request(c.route)
				req.Timeout = 9 * time.Second
				req.LastEvent = c.lastEvent
				sent := len(b.client.sent())
				b.gateway.Serve(context.Background(), req, out)
				Expect(out.refusal == nil).To(Equal(c.served), c.route+c.lastEvent)
				Expect(len(b.client.sent()) > sent).To(Equal(c.served), c.route+c.lastEvent)
				if !c.served {
					Expect(out.refusal.Detail()).To(Equal("no capacity for rank 1"))
					Expect(out.refusal.RetryAfter()).To(BeNumerically(">=", time.Second))
				}
			}
		})
	})

	It("reports what callers asked for, also what was refused, and nothing of services that aren't ranked", func() {
		withRankedGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, events(1, 2)), nil }
			limit(b)
			b.gateway.Serve(context.Background(), b.tokenRequest("stream"), &fakeOutput{})
			b.gateway.Serve(context.Background(), b.tokenRequest("background"), &fakeOutput{})
			reports := b.gateway.Admission().TakeReports()
			Expect(reports).To(HaveLen(1))
			Expect(reports[0].Finished).To(BeEquivalentTo(requestTokens))
			ranks := map[int]float64{}
			for _, d := range reports[0].Demand {
				ranks[d.Class.Rank] += d.Tokens
			}
			Expect(ranks).To(Equal(map[int]float64{0: requestTokens, 1: requestTokens}))
		})
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, events(1, 2)), nil }
			b.serve("stream")
			Expect(b.gateway.Admission().TakeReports()).To(BeEmpty())
			Expect(b.gateway.Admission().Status()).To(BeEmpty())
		})
	})
})
