package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/resumption"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// waitState is a way in which a request may wait when its host stops, or when a configuration comes
// into force.
type waitState struct {
	name      string
	route     string
	lastEvent string // after which the caller resumes
	prepare   func(b *fixture)
	// reached reports whether the request waits.
	reached func(b *fixture, out *fakeOutput) bool
	// goOn ends the wait, so that the request can be served.
	goOn func(b *fixture)
	// hasRun says that an endpoint may have run the request.
	hasRun bool
}

// hangUntil answers a call by answer once release is closed, unless the call is cancelled before.
func hangUntil(release <-chan struct{}, answer func() *Answer) func(context.Context, int) (*Answer, error) {
	return func(ctx context.Context, _ int) (*Answer, error) {
		select {
		case <-release:
			return answer(), nil
		case <-ctx.Done():
			return nil, &SendError{Sent: true, Cause: ctx.Err()}
		}
	}
}

func waitStates() []waitState {
	whole := func() *Answer { return completeAnswer(200, events(1, 2)) }
	var list []waitState
	for _, route := range []string{"unsafe", "safe", "stream"} {
		release, lent, relayed := make(chan struct{}), make(chan struct{}), make(chan struct{})
		list = append(list, waitState{
			name:    "for the answer",
			route:   route,
			prepare: func(b *fixture) { b.client.answerCtx = hangUntil(release, whole) },
			reached: func(b *fixture, _ *fakeOutput) bool { return len(b.client.sent()) > 0 },
			goOn:    func(*fixture) { close(release) },
			hasRun:  true,
		}, waitState{
			name:  "for endpoints that may not have announced themselves",
			route: route,
			prepare: func(b *fixture) {
				b.client.answer = func(int, *Call) (*Answer, error) { return whole(), nil }
				b.source.unsettled = true
				b.source.endpoints = map[string][]fleet.Endpoint{}
			},
			reached: func(*fixture, *fakeOutput) bool { time.Sleep(5 * time.Millisecond); return true },
			goOn: func(b *fixture) {
				b.source.change(func() {
					b.source.endpoints = map[string][]fleet.Endpoint{
						"app": {appEndpoint("p")},
						"llm": {engineEndpoint("x", 0, 4)},
					}
				})
			},
		}, waitState{
			name:  "for a permit",
			route: route,
			prepare: func(b *fixture) {
				b.client.answer = func(int, *Call) (*Answer, error) { return whole(), nil }
				b.reportLimit("p", "q", "s", "x", "y", "z", "w")
				b.grantAllRequests()
				b.source.holdPermits = lent
			},
			reached: func(b *fixture, _ *fakeOutput) bool { time.Sleep(5 * time.Millisecond); return true },
			goOn:    func(*fixture) { close(lent) },
		}, waitState{
			name:  "for another host",
			route: route,
			prepare: func(b *fixture) {
				b.source.peers = []string{"h2:1"}
				b.reach.isolate()
				b.peers.answer = func(int, *RelayCall) (*RelayAnswer, error) { return peerServes(events(1, 2)), nil }
				b.peers.hold = relayed
			},
			reached: func(b *fixture, _ *fakeOutput) bool { return len(b.peers.sent()) > 0 },
			goOn:    func(*fixture) { close(relayed) },
			hasRun:  true,
		})
	}
	list = append(list, waitState{
		name:  "in favour of new streams",
		route: "stream",
		prepare: func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return whole(), nil }
			b.gateway.resumes = resumption.New(b.clock, rand.New(rand.NewPCG(1, 1)))
			for range 100 {
				b.gateway.resumes.ResumeDelay(b.clock.Now())
			}
		},
		lastEvent: "0",
		reached:   func(*fixture, *fakeOutput) bool { time.Sleep(5 * time.Millisecond); return true },
		goOn:      func(b *fixture) { b.advance(time.Second) },
	})
	return append(list, waitState{
		name:  "for capacity, after an interruption",
		route: "stream",
		prepare: func(b *fixture) {
			b.client.answer = func(n int, _ *Call) (*Answer, error) {
				if n > 1 {
					return completeAnswer(200, events(2, 4)), nil
				}
				b.source.change(func() { b.source.endpoints = map[string][]fleet.Endpoint{} })
				return &Answer{Status: 200, Verified: true, Body: io.NopCloser(io.MultiReader(strings.NewReader(events(1, 1)), brokenReader{}))}, nil
			}
		},
		reached: func(_ *fixture, out *fakeOutput) bool { return out.text() != "" },
		goOn: func(b *fixture) {
			b.source.change(func() { b.source.endpoints = map[string][]fleet.Endpoint{"llm": {engineEndpoint("w", 0, 4)}} })
			b.advance(2 * capacityPollInterval)
		},
		hasRun: true,
	})
}

// inState runs f while a request is in a state. f gets a function that ends its context.
func inState(s waitState, f func(b *fixture, out *fakeOutput, end context.CancelCauseFunc, done chan bool)) {
	withGateway(func(b *fixture) {
		s.prepare(b)
		ctx, cancel := context.WithCancelCause(context.Background())
		out, done := &fakeOutput{}, make(chan bool, 1)
		req := b.request(s.route)
		req.LastEvent = s.lastEvent
		background(func() {
			b.gateway.Serve(ctx, req, out)
			done <- true
		})
		Eventually(func() bool { return s.reached(b, out) }, "5s").Should(BeTrue(), s.name)
		Consistently(done, "10ms").ShouldNot(Receive(), s.route+" "+s.name)
		f(b, out, cancel, done)
		cancel(nil)
	})
}

var _ = Describe("a request whose host's drain period ends", func() {
	// Guards against requests that a stopping process cuts without an answer.
	It("gets an answer that says whether it may have run, or a broken stream", func() {
		for _, s := range waitStates() {
			inState(s, func(_ *fixture, out *fakeOutput, end context.CancelCauseFunc, done chan bool) {
				end(failure.New(failure.Draining, "stopping"))
				Eventually(done, "5s").Should(Receive(), s.route+" "+s.name)
				switch {
				case out.text() != "":
					Expect(out.aborted).To(BeTrue(), s.name)
				case s.hasRun:
					Expect(out.refusal.Kind()).To(Equal(failure.DeadlineExceeded), s.route+" "+s.name)
					Expect(out.refusal.Error()).To(ContainSubstring("stopping"))
				default:
					Expect(out.refusal.Ran()).To(Equal(failure.RanNo), s.route+" "+s.name)
				}
			})
		}
	})
})
