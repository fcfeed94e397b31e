package gateway

import (
	"io"
	"strings"
	"sync"

	"github.com/larchwinch/larchwinch/pkg/failure"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endlessBody is a body that doesn't end before it is closed; slow ones bring nothing.
type endlessBody struct {
	slow   bool
	once   sync.Once
	closed chan struct{}
}

func newEndlessBody(slow bool) *endlessBody {
	return &endlessBody{
		slow:   slow,
		closed: make(chan struct{}),
	}
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	if b.slow {
		<-b.closed
	}
	select {
	case <-b.closed:
		return 0, io.ErrClosedPipe
	default:
		return copy(p, strings.Repeat("x", len(p))), nil
	}
}

// Close implements io.Closer.
func (b *endlessBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

var _ = Describe("an answer that doesn't end", func() {
	// Guards against a host that runs out of memory because several endpoints send bytes without
	// end, none of them more than one answer may have.
	It("takes a bounded part of the memory together with all others, and no usual answer suffers", func() {
		withGateway(func(b *fixture) {
			const limit = 2 << 20
			m := newAnswerMemory(limit)
			b.gateway.memory = m
			sound := strings.Repeat("y", uncountedBytes)
			b.client.answer = func(_ int, c *Call) (*Answer, error) {
				if string(c.Request.Body) == "sound" {
					return completeAnswer(200, sound), nil
				}
				a := completeAnswer(200, "")
				a.Body = newEndlessBody(false)
				return a, nil
			}
			results := make(chan *fakeOutput, 40)
			for i := range cap(results) {
				background(func() {
					req := b.request("unsafe")
					if i%4 == 0 {
						req.Body = []byte("sound")
					}
					out := &fakeOutput{}
					b.gateway.Serve(GinkgoT().Context(), req, out)
					results <- out
				})
			}
			most := 0
			for range cap(results) {
				out := &fakeOutput{}
				Eventually(func() bool {
					m.mu.Lock()
					most = max(most, m.used)
					m.mu.Unlock()
					select {
					case out = <-results:
						return true
					default:
						return false
					}
				}, "20s", "1ms").Should(BeTrue())
				if out.refusal == nil {
					Expect(out.body.String()).To(Equal(sound))
					continue
				}
				Expect(out.refusal.Kind()).To(Equal(failure.EndpointFailed))
				Expect(out.refusal.Ran()).NotTo(Equal(failure.RanNo), "an endpoint may have run it")
			}
			Expect(most).To(BeNumerically("<=", limit))
			Expect(m.used).To(BeZero())
			Expect(m.answers).To(BeEmpty())
		})
	})

	// Guards against a request that waits for the body of an answer whose head says all.
	It("isn't read if its request didn't run, or it can't be used", func() {
		for _, one := range []struct {
			name  string
			first func(a *Answer)
		}{
			{"not run", func(a *Answer) { a.Status, a.NotRun = 503, true }},
			{"misdirected", func(a *Answer) { a.Status, a.Misdirected = 421, true }},
			{"damaged", func(a *Answer) { a.Verified = false }},
		} {
			withGateway(func(b *fixture) {
				body := newEndlessBody(true)
				b.client.answer = func(n int, _ *Call) (*Answer, error) {
					a := completeAnswer(200, "whole")
					if n == 1 {
						a.Body = body
						one.first(a)
					}
					return a, nil
				}
				Expect(b.serve("safe").body.String()).To(Equal("whole"), one.name)
				Expect(body.closed).To(BeClosed(), one.name)
			})
		}
	})

	It("is left for another endpoint if it is a stream, once an event is too long", func() {
		withGateway(func(b *fixture) {
			endless := newEndlessBody(false)
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				if n == 1 {
					a := completeAnswer(200, "")
					a.Body = struct {
						io.Reader
						io.Closer
					}{io.MultiReader(strings.NewReader(events(1, 2)), endless), endless}
					return a, nil
				}
				Expect(c.LastEvent).To(Equal("2"))
				return completeAnswer(200, events(3, 4)), nil
			}
			Expect(b.serve("stream").text()).To(Equal(events(1, 4)))
			Expect(endless.closed).To(BeClosed())
			Expect(b.gateway.memory.answers).To(BeEmpty())
		})
	})
})

var _ = Describe("the memory of answers", func() {
	It("drops the largest of those that are being read", func() {
		m := newAnswerMemory(100)
		bodies := []*endlessBody{newEndlessBody(true), newEndlessBody(true), newEndlessBody(true)}
		var held []*heldAnswer
		for _, body := range bodies {
			h := m.hold()
			h.setBody(body)
			held = append(held, h)
		}
		Expect(held[0].resize(uncountedBytes + 60)).To(Succeed())
		Expect(held[1].resize(uncountedBytes + 40)).To(Succeed())
		Expect(held[2].resize(uncountedBytes)).To(Succeed(), "small answers aren't counted")
		held[0].setBody(nil) // it was read to its end
		Expect(held[2].resize(uncountedBytes + 10)).To(Succeed())
		Expect(bodies[1].closed).To(BeClosed())
		Expect(held[1].resize(uncountedBytes + 41)).To(MatchError(errAnswerTooLong))
		Expect(held[2].resize(uncountedBytes+41)).To(MatchError(errAnswerTooLong), "nothing else can be dropped")
		Expect(m.used).To(Equal(60))
		for _, h := range held {
			h.release()
		}
		Expect(m.used).To(BeZero())
	})
})
