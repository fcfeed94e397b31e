package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
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
func withRankedGateway(f func(b *fixture)) {
	withGateway(func(b *fixture) {
		b.source.view.Index = fleet.NewIndex(rankedConfiguration())
		f(b)
	})
}

var _ = Describe("an endpoint that rejected a stream for lack of capacity", func() {
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
})
