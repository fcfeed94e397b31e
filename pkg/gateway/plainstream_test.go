package gateway

import (
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a stream of a service without engines", func() {
	// The estimate of its duration once needed the figures of an engine.
	It("is served by one endpoint, and its end is logged", func() {
		withGateway(func(b *fixture) {
			cfg := configuration()
			for i := range cfg.Routes {
				if cfg.Routes[i].Kind == fleet.Stream {
					cfg.Routes[i].Split = []fleet.Share{{Service: "app", Weight: 1}}
				}
			}
			b.source.view.Index = fleet.NewIndex(cfg)
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, events(1, 2)), nil }
			lines := b.logged(eventlog.RequestServed, func() {
				Expect(b.serve("stream").text()).To(Equal(events(1, 2)))
			})
			Expect(lines).To(HaveLen(1))
		})
	})
})
