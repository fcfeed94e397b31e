package gateway

import (
	"os"
	"os/exec"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// inChild is set in the environment of the child process in which the test itself runs,
// because a panic would end the process.
const inChild = "GATEWAY_TEST_CHILD"

var _ = Describe("a request whose answer makes the goroutine that reads it panic", func() {
	// The caller of such a request retries it at every host, so the panics would crash
	// the hosts one after the other.
	for _, route := range []string{"stream", "safe", "unsafe"} {
		It("is answered as failed, and the host goes on: "+route, func() {
			if os.Getenv(inChild) == "" {
				cmd := exec.Command(os.Args[0], "-ginkgo.focus", "the host goes on: "+route)
				cmd.Env = append(os.Environ(), inChild+"=1")
				out, err := cmd.CombinedOutput()
				Expect(err).NotTo(HaveOccurred(), string(out))
				return
			}
			withGateway(func(b *fixture) {
				b.client.answer = func(int, *Call) (*Answer, error) {
					panic("unexpected answer")
				}
				out := b.serve(route)
				Expect(out.refusal).NotTo(BeNil())
				b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, events(1, 2)), nil }
				b.source.replaceEndpoints(1)
				Expect(b.serve(route).status).To(Equal(200))
			})
		})
	}
})
