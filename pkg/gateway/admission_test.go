package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeAdmitter answers with a fixed decision and records what it was asked.
type fakeAdmitter struct {
	meter    *admission.Meter
	decision admission.Decision // of Admit
	full     admission.Decision // of RefuseFull

	mu       sync.Mutex
	asked    []admission.Request
	fullFor  []admission.Request
	sends    int
	rejected int
}

func (a *fakeAdmitter) Admit(r admission.Request) (admission.Decision, *admission.Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = append(a.asked, r)
	if !a.decision.Admitted {
		return a.decision, nil
	}
	return a.decision, a.meter.Begin(r.Service, r.Tokens)
}

func (a *fakeAdmitter) RefuseFull(r admission.Request) admission.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fullFor = append(a.fullFor, r)
	return a.full
}

func (a *fakeAdmitter) RecordSend(_ string, rejected bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sends++
	if rejected {
		a.rejected++
	}
}

// counts returns how often the admitter was asked, and the sends and rejections that it was
// told of.
func (a *fakeAdmitter) counts() (asked, sends, rejected int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.asked), a.sends, a.rejected
}

// finished returns the tokens of the streams that have ended, without those that didn't run.
func (a *fakeAdmitter) finished() float64 {
	for _, r := range a.meter.TakeReports() {
		if r.Service == "llm" {
			return r.Finished
		}
	}
	return 0
}

// withAdmission runs f on a gateway whose service "llm" is ranked, with a fake admission
// control that admits everything.
func withAdmission(f func(b *fixture, a *fakeAdmitter)) {
	withRankedGateway(func(b *fixture) {
		a := &fakeAdmitter{
			meter:    admission.NewMeter(b.clock),
			decision: admission.Decision{Admitted: true, Share: 1},
		}
		b.gateway.admitter = a
		b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, events(1, 2)), nil }
		f(b, a)
	})
}

// logged runs f and returns the lines of one event that the gateway logs meanwhile.
func (b *fixture) logged(event eventlog.Event, f func()) []map[string]any {
	out := &bytes.Buffer{}
	log := eventlog.New(out, b.clock, "h1", 200)
	b.gateway.log = log
	f()
	grp := group.New(context.Background())
	grp.Go(log.Run)
	grp.Stop()
	var list []map[string]any
	for line := range strings.Lines(out.String()) {
		fields := map[string]any{}
		Expect(json.Unmarshal([]byte(line), &fields)).To(Succeed())
		if fields["event"] == string(event) {
			list = append(list, fields)
		}
	}
	return list
}

// tokenRequest returns a request that holds 110 tokens on average.
func (b *fixture) tokenRequest(route string) *Request {
	req := b.request(route)
	req.PromptTokens = 100
	req.AnswerTokensHint = 20
	return req
}

const requestTokens = 110

var _ = Describe("admission control", func() {
	It("has a refused stream answered at once, without a send, with the cause and a retry-after time", func() {
		cases := []struct {
			reason admission.Reason
			why    string
		}{
			{admission.ReasonRank, "overloaded: no capacity for rank 1"},
			{admission.ReasonAccount, "overloaded: the account is over its share"},
			{admission.ReasonObserved, "overloaded: endpoints reject requests for lack of capacity"},
		}
		for _, c := range cases {
			withAdmission(func(b *fixture, a *fakeAdmitter) {
				b.source.unsettled = true // a request for a path could wait for endpoints
				a.decision = admission.Decision{
					Reason:     c.reason,
					Share:      0.25,
					Allocated:  true,
					Age:        300 * time.Millisecond,
					Shortage:   2 * time.Second,
					RetryAfter: 2345 * time.Millisecond,
				}
				out := &fakeOutput{}
				lines := b.logged(eventlog.RequestRefused, func() {
					b.gateway.Serve(context.Background(), b.tokenRequest("background"), out)
				})
				Expect(b.client.sent()).To(BeEmpty(), c.why)
				Expect(out.refusal.Kind()).To(Equal(failure.Overloaded), c.why)
				Expect(out.refusal.Kind().Answer().Status).To(Equal(503), c.why)
				Expect(out.refusal.Ran()).To(Equal(failure.RanNo), c.why)
				Expect(out.refusal.RetryAfter()).To(Equal(2345*time.Millisecond), c.why)
				Expect(out.refusal.Error()).To(Equal(c.why))
				Expect(a.meter.InFlight("llm")).To(BeZero(), c.why)
				Expect(lines).To(HaveLen(1), c.why)
				for name, want := range map[string]any{
					"why": c.why, "rank": 1.0, "share": "0.250", "shortage_ms": 2000.0, "figures_age_ms": 300.0,
					"after_ms": 0.0, "retry_after_ms": 2345.0, "route": "background", "account": "acc",
				} {
					Expect(lines[0]).To(HaveKeyWithValue(name, want), c.why)
				}
			})
		}
	})

	It("logs no age of figures that a host doesn't have", func() {
		withAdmission(func(b *fixture, a *fakeAdmitter) {
			a.decision = admission.Decision{Reason: admission.ReasonObserved}
			lines := b.logged(eventlog.RequestRefused, func() { b.serve("background") })
			Expect(lines).To(HaveLen(1))
			Expect(lines[0]).To(HaveKey("share"))
			Expect(lines[0]).NotTo(HaveKey("figures_age_ms"))
		})
	})

	It("has admitted and refused streams counted by rank, and refused ones by account", func() {
		withAdmission(func(b *fixture, a *fakeAdmitter) {
			b.serve("stream")
			b.serve("background")
			a.decision = admission.Decision{Reason: admission.ReasonRank}
			b.serve("background")
			b.serve("background")
			for _, c := range []struct {
				name, label, value string
				want               int64
			}{
				{"admission_admitted", "rank", "0", 1},
				{"admission_admitted", "rank", "1", 1},
				{"admission_refused", "rank", "0", 0},
				{"admission_refused", "rank", "1", 2},
				{"admission_refused_account", "account", "acc", 2},
			} {
				n := b.gateway.metrics.Counter(c.name, metrics.Label{Name: c.label, Value: c.value}).Count()
				Expect(n).To(Equal(c.want), c.name+" "+c.value)
			}
		})
	})

	It("is asked once for a stream, with what the decision depends on", func() {
		withAdmission(func(b *fixture, a *fakeAdmitter) {
			b.client.answer = func(n int, c *Call) (*Answer, error) {
				if n == 1 {
					return refusedBy(c.Address), nil
				}
				return completeAnswer(200, events(1, 2)), nil
			}
			req := b.tokenRequest("background")
			req.Timeout = 30 * time.Second // longer than the route's
			b.clock.Advance(time.Second)
			b.gateway.Serve(context.Background(), req, &fakeOutput{})
			Expect(b.client.sent()).To(HaveLen(2))
			Expect(a.asked).To(Equal([]admission.Request{{
				Service:   "llm",
				Route:     "background",
				Rank:      1,
				Account:   "acc",
				Tokens:    requestTokens,
				Remaining: 29 * time.Second,
			}}))
		})
	})

	It("isn't asked for a service that is not ranked or has no engines", func() {
		ranked := func(service string) *fleet.Index {
			cfg := rankedConfiguration()
			for i := range cfg.Routes {
				if cfg.Routes[i].Kind == fleet.Stream {
					cfg.Routes[i].Split[0].Service = service
				}
			}
			return fleet.NewIndex(cfg)
		}
		cases := []struct {
			name  string
			index *fleet.Index
			asked int
		}{
			{"one rank", fleet.NewIndex(configuration()), 0},
			{"no engines", ranked("app"), 0},
			{"ranked", ranked("llm"), 1},
		}
		for _, c := range cases {
			withAdmission(func(b *fixture, a *fakeAdmitter) {
				b.source.view.Index = c.index
				out := b.serve("stream")
				Expect(out.text()).To(Equal(events(1, 2)), c.name)
				asked, sends, _ := a.counts()
				Expect(asked).To(Equal(c.asked), c.name)
				Expect(sends).To(Equal(c.asked), c.name)
				Expect(a.meter.InFlight("llm")).To(BeZero(), c.name)
			})
		}
	})

	It("isn't asked for a request with an unknown key", func() {
		withAdmission(func(b *fixture, a *fakeAdmitter) {
			req := b.request("stream")
			req.Key = "unknown"
			out := &fakeOutput{}
			b.gateway.Serve(context.Background(), req, out)
			Expect(out.refusal.Kind()).To(Equal(failure.Unauthenticated))
			asked, _, _ := a.counts()
			Expect(asked).To(BeZero())
		})
	})

	It("counts a stream as running until it ends, whatever ends it, and as finished only if it may have run", func() {
		broken := func(int, *Call) (*Answer, error) {
			return &Answer{Status: 200, Verified: true, Body: brokenBody{Reader: strings.NewReader(events(1, 1))}}, nil
		}
		cases := []struct {
			name     string
			answer   func(n int, c *Call) (*Answer, error)
			prepare  func(b *fixture)
			finished float64
		}{
			{"served", func(int, *Call) (*Answer, error) { return completeAnswer(200, events(1, 2)), nil }, nil, requestTokens},
			{"broken", broken, nil, requestTokens},
			{"continued", func(n int, c *Call) (*Answer, error) {
				if n == 1 {
					return broken(n, c)
				}
				return completeAnswer(200, events(2, 3)), nil
			}, nil, requestTokens},
			{"failed", func(int, *Call) (*Answer, error) { return completeAnswer(500, ""), nil }, nil, requestTokens},
			{"rejected", func(_ int, c *Call) (*Answer, error) { return refusedBy(c.Address), nil }, nil, 0},
			{"not sent", func(int, *Call) (*Answer, error) { return nil, &SendError{Cause: errReset} }, nil, 0},
			{"panic", func(int, *Call) (*Answer, error) { panic("test") }, nil, requestTokens},
			{"no path", nil, func(b *fixture) { b.source.setEndpoints("llm", engineEndpoint("x", 0, 2)) }, 0},
		}
		for _, c := range cases {
			withAdmission(func(b *fixture, a *fakeAdmitter) {
				if c.prepare != nil {
					c.prepare(b)
				}
				b.client.answer = func(n int, call *Call) (*Answer, error) {
					Expect(a.meter.InFlight("llm")).To(BeEquivalentTo(requestTokens), c.name)
					return c.answer(n, call)
				}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan bool, 1)
				background(func() {
					b.gateway.Serve(ctx, b.tokenRequest("stream"), &fakeOutput{})
					done <- true
				})
				Eventually(func() bool {
					b.clock.Advance(capacityPollInterval)
					return len(done) > 0
				}, "5s", "2ms").Should(BeTrue(), c.name)
				cancel()
				Expect(a.meter.InFlight("llm")).To(BeZero(), c.name)
				Expect(a.finished()).To(Equal(c.finished), c.name)
			})
		}
	})

	It("counts a stream as running until its caller disconnects or its time is up", func() {
		for _, name := range []string{"caller gone", "time is up"} {
			withAdmission(func(b *fixture, a *fakeAdmitter) {
				b.client.answer = func(int, *Call) (*Answer, error) {
					return &Answer{Status: 200, Verified: true, Body: hangingBody(events(1, 1))}, nil
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				req := b.tokenRequest("stream")
				if name == "time is up" {
					req.Timeout = 50 * time.Millisecond
				}
				out := &fakeOutput{}
				done := make(chan bool, 1)
				background(func() {
					b.gateway.Serve(ctx, req, out)
					done <- true
				})
				Eventually(out.text, "5s").Should(Equal(events(1, 1)), name)
				if name == "caller gone" {
					Expect(a.meter.InFlight("llm")).To(BeEquivalentTo(requestTokens))
					cancel()
				}
				Eventually(done, "5s").Should(Receive(), name)
				Expect(a.meter.InFlight("llm")).To(BeZero(), name)
				Expect(a.finished()).To(BeEquivalentTo(requestTokens), name)
			})
		}
	})

	It("doesn't count a stream as finished whose caller disconnects before it reached an endpoint", func() {
		withAdmission(func(b *fixture, a *fakeAdmitter) {
			b.client.answerCtx = func(ctx context.Context, _ int) (*Answer, error) {
				<-ctx.Done()
				return nil, &SendError{Cause: ctx.Err()}
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan bool, 1)
			background(func() {
				b.gateway.Serve(ctx, b.tokenRequest("stream"), &fakeOutput{})
				done <- true
			})
			Eventually(func() int { return len(b.client.sent()) }, "5s").Should(Equal(1))
			cancel()
			Eventually(done, "5s").Should(Receive())
			Expect(a.meter.InFlight("llm")).To(BeZero())
			Expect(a.finished()).To(BeZero())
		})
	})

	It("is told of each send, and which endpoints rejected for lack of capacity", func() {
		withAdmission(func(b *fixture, a *fakeAdmitter) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 4), engineEndpoint("y", 0, 4), engineEndpoint("z", 0, 4))
			answers := []*Answer{
				refusedBy(""), // for lack of capacity
				{Status: 421, Misdirected: true, Body: completeAnswer(421, "").Body},
				completeAnswer(200, events(1, 2)),
			}
			b.client.answer = func(n int, _ *Call) (*Answer, error) { return answers[n-1], nil }
			b.serve("stream")
			_, sends, rejected := a.counts()
			Expect(b.client.sent()).To(HaveLen(len(answers)))
			Expect(sends).To(Equal(len(answers)))
			Expect(rejected).To(Equal(1))
		})
	})

	It("names the time at which to retry if only full endpoints could take a stream, and the stream isn't counted", func() {
		withAdmission(func(b *fixture, a *fakeAdmitter) {
			b.source.setEndpoints("llm", engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4))
			a.full = admission.Decision{
				Reason:     admission.ReasonFull,
				Share:      1,
				Shortage:   time.Second,
				RetryAfter: 1234 * time.Millisecond,
			}
			a.decision.Shortage = time.Second
			b.serve("stream")
			b.gateway.FullEndpoints().Record("y")
			n := len(b.client.sent())
			out := &fakeOutput{}
			lines := b.logged(eventlog.RequestRefused, func() {
				b.gateway.Serve(context.Background(), b.tokenRequest("background"), out)
			})
			Expect(b.client.sent()).To(HaveLen(n))
			Expect(out.refusal.RetryAfter()).To(Equal(1234 * time.Millisecond))
			Expect(lines).To(HaveLen(1))
			Expect(lines[0]).To(HaveKeyWithValue("why", "overloaded: all endpoints of layers 2 to 3 are full"))
			Expect(lines[0]).To(HaveKeyWithValue("rank", 1.0))
			Expect(a.fullFor).To(HaveLen(1))
			Expect(a.fullFor[0]).To(Equal(a.asked[1]))
			Expect(a.meter.InFlight("llm")).To(BeZero())
			Expect(a.finished()).To(BeZero())
		})
	})

	// Guards against one caller that states a size which takes all of the capacity.
	It("counts a stream of any stated size as a bounded one", func() {
		withAdmission(func(b *fixture, a *fakeAdmitter) {
			req := b.request("stream")
			req.PromptTokens = math.MaxInt
			req.LastEvent = "7"
			b.gateway.Serve(context.Background(), req, &fakeOutput{})
			Expect(a.asked).To(HaveLen(1))
			Expect(a.asked[0].Tokens).To(BeEquivalentTo(maxStreamTokens))
		})
	})

	It("names the time at which to retry if endpoints rejected a stream too often", func() {
		withAdmission(func(b *fixture, a *fakeAdmitter) {
			a.full = admission.Decision{
				Shortage:   time.Second,
				RetryAfter: 1234 * time.Millisecond,
			}
			b.client.answer = func(_ int, c *Call) (*Answer, error) { return refusedBy(c.Address), nil }
			for b.gateway.retries.withdraw(1) {
			}
			out := b.serve("stream")
			Expect(out.refusal.Kind()).To(Equal(failure.Overloaded))
			Expect(out.refusal.RetryAfter()).To(Equal(1234 * time.Millisecond))
			Expect(b.client.sent()).To(HaveLen(1))
		})
	})
})
