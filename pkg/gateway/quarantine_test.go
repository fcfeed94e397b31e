package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// replaceEndpoints replaces all endpoints by new incarnations, as after crashes.
func (s *fakeSource) replaceEndpoints(n int) {
	mark := "-" + strconv.Itoa(n)
	s.change(func() {
		s.endpoints = map[string][]fleet.Endpoint{
			"app": {appEndpoint("p" + mark), appEndpoint("q" + mark)},
			"llm": {engineEndpoint("x"+mark, 0, 2), engineEndpoint("y"+mark, 2, 4), engineEndpoint("w"+mark, 0, 2)},
		}
	})
}

// crashing is the answer of an endpoint that crashes: the connection breaks.
func crashing(int, *Call) (*Answer, error) {
	return nil, &SendError{Sent: true, Cause: io.ErrUnexpectedEOF}
}

var _ = Describe("a request that crashes endpoints", func() {
	for _, route := range []string{"stream", "safe", "unsafe"} {
		It("is not sent again once three have crashed, and is refused at once: "+route, func() {
			withGateway(func(b *fixture) {
				b.client.answer = crashing
				var out *fakeOutput
				for try := range 8 {
					b.source.replaceEndpoints(try)
					out = b.serve(route)
				}
				Expect(len(b.client.sent())).To(BeNumerically("<=", 4))
				Expect(out.refusal.Kind().Answer().Status).To(Equal(http.StatusServiceUnavailable))
				Expect(out.refusal.Ran()).To(Equal(failure.RanNo))
				Expect(out.refusal.RetryAfter()).To(BeNumerically(">", 0))
			})
		})
	}
})
