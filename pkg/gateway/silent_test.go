package gateway

import (
	"context"
	"io"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
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
			b.client.stallErr = errReset
			r, w := io.Pipe()
			b.client.answer = func(int, *Call) (*Answer, error) {
				return &Answer{Status: 200, Verified: true, Body: r}, nil
			}
			out, done := b.stream(context.Background())
			_, _ = w.Write([]byte(events(1, 1)))
			Eventually(out.text, "5s").Should(Equal(events(1, 1)))
			for b.clock.Now().Before(time.Unix(1010, 0).Add(1200 * time.Millisecond)) {
				b.clock.Advance(stallQueryRetry)
				time.Sleep(time.Millisecond)
			}
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
