package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// headOutput also records the headers of a stream.
type headOutput struct {
	*fakeOutput
	header http.Header
}

func (o *headOutput) BeginStream(status int, h http.Header) {
	o.mu.Lock()
	o.header = h
	o.mu.Unlock()
	o.fakeOutput.BeginStream(status, h)
}

var _ = Describe("a stream that is suspended", func() {
	// Guards against an answer with the headers of one endpoint and the events of another one that
	// it began at.
	It("has the headers of the endpoint that sent its first event", func() {
		withGateway(func(b *fixture) {
			pipes := make(chan *io.PipeWriter, maxStreamSends)
			answer := make(chan bool)
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				if n == 1 {
					<-answer
				}
				r, w := io.Pipe()
				pipes <- w
				return &Answer{Status: 200, Verified: true, Header: http.Header{"From": {c.ID}}, Body: r}, nil
			}
			b.client.setStallErr(errReset)
			out, done := &headOutput{fakeOutput: &fakeOutput{}}, make(chan bool, 1)
			background(func() {
				b.gateway.Serve(context.Background(), b.request("stream"), out)
				done <- true
			})
			sent := func() int { b.advance(50 * time.Millisecond); return len(b.client.sent()) }
			Eventually(sent, "10s").Should(Equal(2))
			var second, first *io.PipeWriter
			Eventually(pipes, "5s").Should(Receive(&second))
			b.advance(100 * time.Millisecond) // the head of the second one is read
			close(answer)
			Eventually(pipes, "5s").Should(Receive(&first))
			_, _ = first.Write([]byte(events(1, 4)))
			_ = first.Close()
			Eventually(done, "5s").Should(Receive())
			Expect(out.text()).To(Equal(events(1, 4)))
			Expect(out.header.Get("From")).To(Equal(b.client.sent()[0].ID))
		})
	})

	// Guards against a retry budget that pauses of endpoints use up although nothing is sent.
	It("gives back the retry that it reserved if it is sent nowhere", func() {
		withSilentStream(func(b *fixture) {
			b.gateway.retries.budget = RetryBudget{} // one retry, and no refill
			for _, id := range []string{"x", "w"} {
				b.gateway.Tracker().RecordSilence(id, "test")
			}
		}, func(s *silentStream) {
			s.advance(1200 * time.Millisecond)
			s.finish(s.first, events(2, 4))
			Expect(s.client.sent()).To(HaveLen(1))
			Expect(s.gateway.retries.withdraw(1)).To(BeTrue())
		})
	})

	// Guards against evidence of a crash of an endpoint that answers, but ended a stream because a
	// later stage stalled.
	It("isn't evidence of a crash if it left only because of a stalled stage", func() {
		withGateway(func(b *fixture) {
			far := func(id string, from, to int) fleet.Endpoint {
				e := engineEndpoint(id, from, to)
				e.Domain = "b"
				return e
			}
			b.source.endpoints["llm"] = []fleet.Endpoint{engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4)}
			pipes := make(chan *io.PipeWriter, maxStreamSends)
			b.client.answer = func(int, *Call) (*Answer, error) {
				r, w := io.Pipe()
				pipes <- w
				return &Answer{Status: 200, Verified: true, Body: r}, nil
			}
			out, done := &fakeOutput{}, make(chan bool, 1)
			req := b.request("stream")
			req.SharedParts = []string{"p1"}
			background(func() {
				b.gateway.Serve(context.Background(), req, out)
				done <- true
			})
			var first, second *io.PipeWriter
			Eventually(pipes, "5s").Should(Receive(&first))
			_, _ = first.Write([]byte(events(1, 1)))
			Eventually(out.text, "5s").Should(Equal(events(1, 1)))
			b.source.change(func() {
				b.source.endpoints["llm"] = append(b.source.endpoints["llm"], far("u", 0, 2), far("v", 2, 4))
			})
			b.client.stall("r1", "y:1")
			b.advance(600 * time.Millisecond)
			Eventually(pipes, "5s").Should(Receive(&second))
			_ = first.CloseWithError(io.ErrUnexpectedEOF)
			b.advance(100 * time.Millisecond)
			_, _ = second.Write([]byte(events(2, 4)))
			_ = second.Close()
			Eventually(done, "5s").Should(Receive())
			Expect(out.text()).To(Equal(events(1, 4)))
			requests, _ := b.gateway.Quarantine().Unreported(1)
			Expect(requests).To(BeEmpty())
			Expect(b.gateway.Quarantine().UnreportedParts(1).Crashes).To(BeEmpty())
		})
	})
})
