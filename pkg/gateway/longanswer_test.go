package gateway

import (
	"strings"

	"github.com/larchwinch/larchwinch/pkg/failure"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a plain answer that is longer than is held in memory", func() {
	// Guards against the beginning of an answer that looks complete.
	It("is a failure, from an endpoint or from another host", func() {
		for _, c := range []struct {
			length  int
			relayed bool
		}{{maxAnswerBytes, false}, {maxAnswerBytes + 1, false}, {maxAnswerBytes, true}, {maxAnswerBytes + 1, true}} {
			withGateway(func(b *fixture) {
				body := strings.Repeat("x", c.length)
				b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, body), nil }
				b.peers.answer = func(int, *RelayCall) (*RelayAnswer, error) { return peerServes(body), nil }
				if c.relayed {
					b.source.peers = []string{"h2:1"}
					b.reach.isolate()
				}
				out := b.serve("unsafe")
				if c.length <= maxAnswerBytes {
					Expect(out.body.Len()).To(Equal(c.length))
					return
				}
				Expect(out.body.Len()).To(BeZero())
				Expect(out.refusal.Kind()).To(Equal(failure.EndpointFailed))
			})
		}
	})
})
