package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a stream that waits for two silent endpoints although its host has found out that it
// is cut off from all of them, and others could take the stream.
var _ = Describe("a stream that is open at two endpoints", func() {
	It("is relayed once its host reaches no endpoint", func() {
		withSilentStream(func(b *fixture) {
			cfg := configuration()
			for i := range cfg.Routes {
				cfg.Routes[i].MaxAttempts = 3
			}
			b.source.view.Index = fleet.NewIndex(cfg)
			b.source.peers = []string{"h2:1"}
			b.peers.answer = func(int, *RelayCall) (*RelayAnswer, error) { return peerServes(events(2, 4)), nil }
		}, func(s *silentStream) {
			Expect(s.second).NotTo(BeNil())
			s.reach.isolate()
			s.advance(1200 * time.Millisecond)
			Expect(s.out.text()).To(Equal(events(1, 4)))
		})
	})
})
