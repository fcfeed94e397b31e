package gateway

import (
	"context"
	"io"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silentStream is a stream whose first send brought an event, and whose endpoint was then silent until
// the stream was sent again. Each send answers what is written to its pipe.
type silentStream struct {
	*fixture
	out   *fakeOutput
	done  chan bool
	sends chan *io.PipeWriter
	first *io.PipeWriter
	// second is the other send; nil if there is none.
	second *io.PipeWriter
	leave  context.CancelFunc // makes the caller leave
}

// withSilentStream runs f on such a stream. The caller leaves at its end.
func withSilentStream(prepare func(b *fixture), f func(s *silentStream)) {
	withGateway(func(b *fixture) {
		prepare(b)
		s := &silentStream{fixture: b, out: &fakeOutput{}, done: make(chan bool, 1), sends: make(chan *io.PipeWriter, maxStreamSends)}
		b.client.answer = func(int, *Call) (*Answer, error) {
			r, w := io.Pipe()
			s.sends <- w
			return &Answer{Status: 200, Verified: true, Body: r}, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.leave = cancel
		req := b.request("stream")
		req.SharedParts = []string{"p1"}
		background(func() {
			b.gateway.Serve(ctx, req, s.out)
			s.done <- true
		})
		Eventually(s.sends, "5s").Should(Receive(&s.first))
		_, _ = s.first.Write([]byte(events(1, 1)))
		Eventually(s.out.text, "5s").Should(Equal(events(1, 1)))
		b.client.setStallErr(errReset)
		b.advance(600 * time.Millisecond)
		select {
		case s.second = <-s.sends:
		default:
		}
		f(s)
		cancel()
		Eventually(s.done, "5s").Should(Receive())
	})
}

// finish ends the answer of a send, and checks that the caller has the whole stream.
func (s *silentStream) finish(w *io.PipeWriter, rest string) {
	_, err := w.Write([]byte(rest))
	Expect(err).NotTo(HaveOccurred())
	_ = w.Close()
	Eventually(s.out.text, "5s").Should(Equal(events(1, 4)))
	Eventually(s.done, "5s").Should(Receive())
	s.done <- true
	Expect(s.out.aborted).To(BeFalse())
	Expect(s.out.answers).To(Equal(1))
}

// reportedCrashes returns how many crashes this host would report.
func (s *silentStream) reportedCrashes() int {
	requests, _ := s.gateway.Quarantine().Unreported(1)
	return len(requests) + len(s.gateway.Quarantine().UnreportedParts(1).Crashes)
}

// closed reports whether the reader of a send has closed it.
func closed(w *io.PipeWriter) func() error {
	return func() error {
		_, err := w.Write([]byte("\n"))
		return err
	}
}

var _ = Describe("a stream whose first endpoint is silent", func() {
	nothing := func(*fixture) {}

	It("is sent to another one after its last event, and goes on with that one if it answers first", func() {
		withSilentStream(nothing, func(s *silentStream) {
			Expect(s.second).NotTo(BeNil())
			calls := s.client.sent()
			Expect(calls[1].ID).NotTo(Equal(calls[0].ID))
			Expect(calls[1].LastEvent).To(Equal("1"))
			Expect(s.gateway.Tracker().Load(calls[0].ID).Requests).To(Equal(1))
			_, _ = s.second.Write([]byte(events(2, 2)))
			Eventually(s.out.text, "5s").Should(Equal(events(1, 2)))
			Eventually(closed(s.first), "5s").Should(HaveOccurred())
			s.finish(s.second, events(3, 4))
			Expect(s.gateway.Tracker().Load(calls[0].ID).Requests).To(BeZero())
		})
	})

	It("goes on with the first one if that answers first, and takes no event from the other", func() {
		withSilentStream(nothing, func(s *silentStream) {
			first := s.client.sent()[0].ID
			Expect(s.gateway.Tracker().Avoided(first)).To(BeTrue())
			_, _ = s.first.Write([]byte(events(2, 2)))
			Eventually(s.out.text, "5s").Should(Equal(events(1, 2)))
			Eventually(closed(s.second), "5s").Should(HaveOccurred())
			Expect(s.gateway.Tracker().Avoided(first)).To(BeFalse())
			s.finish(s.first, events(3, 4))
			Expect(s.reportedCrashes()).To(BeZero())
		})
	})

	It("goes on with the first one if the other breaks before its first event", func() {
		withSilentStream(nothing, func(s *silentStream) {
			_ = s.second.CloseWithError(io.ErrUnexpectedEOF)
			s.advance(100 * time.Millisecond)
			s.finish(s.first, events(2, 4))
		})
	})

	It("goes on with the other one if the first one's connection is lost, which counts as a crash", func() {
		withSilentStream(nothing, func(s *silentStream) {
			Expect(s.reportedCrashes()).To(BeZero(), "for silence")
			_ = s.first.CloseWithError(io.ErrUnexpectedEOF)
			Eventually(s.reportedCrashes, "5s").Should(Equal(2), "of the request, and of its part")
			s.finish(s.second, events(2, 4))
		})
	})

	It("may be sent twice more if the silent one was never connected to", func() {
		withGateway(func(b *fixture) {
			b.source.endpoints["llm"] = append(b.source.endpoints["llm"], engineEndpoint("v", 0, 2))
			connectFails := make(chan bool)
			b.client.answerCtx = func(ctx context.Context, n int) (*Answer, error) {
				switch n {
				case 1:
					<-connectFails
					return nil, &SendError{Cause: errReset}
				case 2:
					<-ctx.Done()
					return nil, &SendError{Sent: true, Cause: ctx.Err()}
				}
				return completeAnswer(200, events(1, 4)), nil
			}
			b.client.setStallErr(errReset)
			out, done := b.stream(context.Background())
			sent := func() int { b.advance(50 * time.Millisecond); return len(b.client.sent()) }
			Eventually(sent, "10s").Should(Equal(2))
			close(connectFails)
			Eventually(sent, "10s").Should(Equal(3))
			Eventually(done, "5s").Should(Receive())
			Expect(out.text()).To(Equal(events(1, 4)))
		})
	})

	It("stays there while all other ones are silent, too", func() {
		withSilentStream(func(b *fixture) {
			for _, id := range []string{"x", "w"} {
				b.gateway.Tracker().RecordSilence(id, "test")
			}
		}, func(s *silentStream) {
			Expect(s.second).To(BeNil())
			s.finish(s.first, events(2, 4))
		})
	})

	It("stays there with one attempt left", func() {
		withSilentStream(func(b *fixture) {
			cfg := configuration()
			for i := range cfg.Routes {
				cfg.Routes[i].MaxAttempts = 1
			}
			b.source.view.Index = fleet.NewIndex(cfg)
		}, func(s *silentStream) {
			Expect(s.second).To(BeNil())
			Expect(s.gateway.Tracker().Avoided(s.client.sent()[0].ID)).To(BeFalse())
			s.finish(s.first, events(2, 4))
		})
	})
})
