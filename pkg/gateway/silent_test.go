package gateway

import (
	"context"
	"io"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a stream that is ended because its endpoint, which works, was silent for a
// second, though nothing else can continue it.
var _ = Describe("a stream that can't be resumed", func() {
	It("stays on a first endpoint that is silent for a second", func() {
		withGateway(func(b *fixture) {
			cfg := configuration()
			for i := range cfg.Routes {
				cfg.Routes[i].Resumable = false
			}
			b.source.view.Index = fleet.NewIndex(cfg)
			b.client.setStallErr(errReset)
			r, w := io.Pipe()
			b.client.answer = func(int, *Call) (*Answer, error) {
				return &Answer{Status: 200, Verified: true, Body: r}, nil
			}
			out, done := b.stream(context.Background())
			_, _ = w.Write([]byte(events(1, 1)))
			Eventually(out.text, "5s").Should(Equal(events(1, 1)))
			b.advance(1200 * time.Millisecond)
			Expect(b.client.stallQueries()).To(BeNumerically(">=", unresponsiveAfter))
			_, _ = w.Write([]byte(events(2, 3)))
			_ = w.Close()
			Eventually(done, "5s").Should(Receive())
			Expect(out.refusal).To(BeNil())
			Expect(out.aborted).To(BeFalse())
			Expect(out.text()).To(Equal(events(1, 3)))
		})
	})
})

// silence is longer than it takes to find an endpoint silent and to look for another path in vain.
const silence = 1800 * time.Millisecond

// Guards against a stream that is cut because its endpoint was silent for a while and the stream
// can't be sent to another one.
var _ = Describe("a stream whose first endpoint is silent for a while", func() {
	for _, c := range []struct {
		name   string
		others func(b *fixture) // makes sure that no other endpoint continues the stream
	}{
		{name: "the retry budget is spent", others: func(b *fixture) {
			for b.gateway.retries.withdraw(1) {
			}
		}},
		{name: "no other endpoint holds the first layers", others: func(b *fixture) {
			b.source.change(func() {
				b.source.endpoints["llm"] = []fleet.Endpoint{engineEndpoint(b.client.sent()[0].ID, 0, 2), engineEndpoint("y", 2, 4)}
			})
		}},
		{name: "the others refuse it", others: func(b *fixture) {
			b.client.answer = func(_ int, c *Call) (*Answer, error) { return refusedBy(c.Address), nil }
		}},
		{name: "the others can't be connected to", others: func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return nil, &SendError{Cause: errReset} }
		}},
		{name: "the others are silent, too", others: func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) {
				return &Answer{Status: 200, Verified: true, Body: hangingBody("")}, nil
			}
		}},
		{name: "the others fail", others: func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(500, ""), nil }
		}},
		{name: "a part of its prompt is quarantined", others: func(b *fixture) {
			b.gateway.Quarantine().SetDecisions([]quarantine.Decision{{Fingerprint: quarantine.PartOf("llm", "p1"), Part: true, Duration: time.Minute}}, 1)
		}},
		{name: "this host reaches no endpoint of the service any more", others: func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return nil, &SendError{Cause: errReset} }
			b.reach.isolate()
		}},
	} {
		It("gets the rest of its answer from that endpoint: "+c.name, func() {
			withGateway(func(b *fixture) {
				r, w := io.Pipe()
				b.client.answer = func(n int, _ *Call) (*Answer, error) {
					if n > 1 {
						return &Answer{Status: 200, Verified: true, Body: hangingBody("")}, nil
					}
					return &Answer{Status: 200, Verified: true, Body: r}, nil
				}
				out, done := &fakeOutput{}, make(chan bool, 1)
				req := b.request("stream")
				req.SharedParts = []string{"p1"}
				background(func() {
					b.gateway.Serve(context.Background(), req, out)
					done <- true
				})
				_, _ = w.Write([]byte(events(1, 1)))
				Eventually(out.text, "5s").Should(Equal(events(1, 1)))
				b.client.setStallErr(errReset)
				c.others(b)
				b.advance(silence)
				_, _ = w.Write([]byte(events(2, 3)))
				_ = w.Close()
				b.advance(10 * time.Millisecond)
				Eventually(done, "5s").Should(Receive())
				Expect(out.refusal).To(BeNil())
				Expect(out.aborted).To(BeFalse())
				Expect(out.text()).To(Equal(events(1, 3)))
			})
		})
	}
})
