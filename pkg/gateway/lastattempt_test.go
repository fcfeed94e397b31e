package gateway

import (
	"net/http"
	"syscall"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A kept connection may be closed at the moment at which a request is sent on it. Nothing tells then
// whether the request ran.
var _ = Describe("the last attempt of a request", func() {
	// Guards against a stream that is cut because its last attempt went out on a connection that
	// its endpoint closed.
	It("is made on a connection of its own, the others on kept ones", func() {
		for _, attempts := range []int{1, 2} {
			withGateway(func(b *fixture) {
				cfg := configuration()
				for i := range cfg.Routes {
					cfg.Routes[i].MaxAttempts = attempts
				}
				b.source.view.Index = fleet.NewIndex(cfg)
				b.client.answer = func(n int, c *Call) (*Answer, error) {
					if c.Repeatable {
						return nil, &SendError{Sent: true, Cause: syscall.ECONNRESET}
					}
					return completeAnswer(200, events(1, 2)), nil
				}
				out := b.serve("stream")
				Expect(out.text()).To(Equal(events(1, 2)))
				Expect(b.client.sent()).To(HaveLen(attempts))
			})
		}
	})

	It("is relayed on a connection of its own", func() {
		for _, route := range []string{"safe", "stream"} {
			withGateway(func(b *fixture) {
				b.source.peers = []string{"h2:1", "h3:1"}
				b.reach.isolate()
				b.peers.answer = func(_ int, c *RelayCall) (*RelayAnswer, error) {
					if c.Repeatable {
						return nil, &SendError{Sent: true, Cause: syscall.ECONNRESET}
					}
					return peerServes(streamEnd), nil
				}
				out := b.serve(route)
				Expect(out.refusal).To(BeNil(), route)
				Expect(out.status).To(Equal(http.StatusOK), route)
				Expect(b.peers.sent()).To(HaveLen(2), route)
			})
		}
	})
})
