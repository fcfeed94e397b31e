package gateway

import (
	"io"
	"syscall"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// incarnation returns an engine endpoint of a given start that holds the first layers.
func incarnation(id string, startedAt int64, address string) fleet.Endpoint {
	e := engineEndpoint(fleet.IncarnationID(id, startedAt), 0, 2)
	e.Address = address
	e.StartedAt = startedAt
	return e
}

// withAbandonedSend runs f when a send to an incarnation of x was closed because another one brought
// the next event.
func withAbandonedSend(f func(s *silentStream, x fleet.Endpoint)) {
	x := incarnation("x", 500, "x:1")
	withSilentStream(func(b *fixture) {
		b.source.endpoints["llm"] = []fleet.Endpoint{x, incarnation("w", 600, "w:1"), engineEndpoint("y", 2, 4)}
	}, func(s *silentStream) {
		Expect(s.second).NotTo(BeNil())
		first := s.client.sent()[0]
		for _, e := range s.source.Endpoints("llm") {
			if e.ID == first.ID {
				x = e
			}
		}
		_, _ = s.second.Write([]byte(events(2, 2)))
		Eventually(s.out.text, "5s").Should(Equal(events(1, 2)))
		Eventually(closed(s.first), "5s").Should(HaveOccurred())
		Expect(s.gateway.silences.List()).To(HaveLen(1))
		f(s, x)
		s.finish(s.second, events(3, 4))
	})
}

// list replaces the engine endpoints, but for the one that fell silent.
func (s *silentStream) list(x fleet.Endpoint, others ...fleet.Endpoint) {
	s.source.change(func() {
		kept := others
		for _, e := range s.source.endpoints["llm"] {
			if e.ID != x.ID {
				kept = append(kept, e)
			}
		}
		s.source.endpoints["llm"] = kept
	})
}

// These guard against requests that are quarantined because sound endpoints fell silent for a moment, and
// against ones that crash endpoints whose connections then stay open.
var _ = Describe("an endpoint that was silent when its stream was sent elsewhere", func() {
	crashes := []struct {
		name string
		show func(s *silentStream, x fleet.Endpoint)
	}{
		{"another one is listed at its address", func(s *silentStream, x fleet.Endpoint) {
			s.list(x, x, incarnation("new", 0, x.Address))
		}},
		{"a later start of it is listed elsewhere", func(s *silentStream, x fleet.Endpoint) {
			own, _ := fleet.SplitIncarnation(x.ID)
			s.list(x, x, incarnation(own, 900, "elsewhere:1"))
		}},
		{"its entry is gone", func(s *silentStream, x fleet.Endpoint) { s.list(x) }},
		{"a connection to it is refused", func(s *silentStream, x fleet.Endpoint) {
			s.gateway.recordRefused(x.ID, &SendError{Cause: syscall.ECONNREFUSED})
		}},
		{"a liveness check is refused", func(s *silentStream, x fleet.Endpoint) { s.gateway.recordLost(x.ID, checkRefused) }},
		{"another connection to it breaks", func(s *silentStream, x fleet.Endpoint) {
			j := &job{req: s.request("stream"), service: s.source.view.Index.Service("llm")}
			s.gateway.recordCrash(j, crashedSend{endpoint: x.ID, address: x.Address, sentAt: s.clock.Now()})
		}},
	}
	for _, c := range crashes {
		It("has crashed if "+c.name, func() {
			withAbandonedSend(func(s *silentStream, x fleet.Endpoint) {
				Expect(s.reportedCrashes()).To(BeZero(), "for silence")
				noticed := s.gateway.silences.List()[0].At
				s.clock.Advance(300 * time.Millisecond)
				c.show(s, x)
				part := func() []quarantine.EndpointCrash { return s.gateway.Quarantine().UnreportedParts(1).Crashes }
				Eventually(part, "5s").Should(HaveLen(1))
				Expect(part()[0].At).To(Equal(noticed))
				Expect(part()[0].Endpoint).To(Equal(fleet.LoadKey(x.ID)))
				requests, _ := s.gateway.Quarantine().Unreported(1)
				Expect(requests).NotTo(BeEmpty())
				Expect(s.gateway.silences.List()).To(BeEmpty())
			})
		})
	}

	lives := []struct {
		name string
		show func(s *silentStream, x fleet.Endpoint)
	}{
		{"it sent a heartbeat later", func(s *silentStream, x fleet.Endpoint) {
			x.LastHeartbeat = s.clock.Now()
			s.list(x, x)
		}},
		{"it answers a later request", func(s *silentStream, x fleet.Endpoint) { s.gateway.endpointHeard(x.ID, s.clock.Now()) }},
		{"it answers a later stall query", func(s *silentStream, x fleet.Endpoint) {
			s.gateway.observeQueryAnswer("llm", x.ID, StallReport{StartedAt: x.StartedAt}, s.clock.Now())
		}},
		{"it left", func(s *silentStream, x fleet.Endpoint) { s.source.MarkLeaving(x.ID) }},
		{"nothing is heard of it for long", func(s *silentStream, x fleet.Endpoint) { s.clock.Advance(2 * time.Minute) }},
	}
	for _, c := range lives {
		It("has not crashed if "+c.name+", also when its entry is gone after that", func() {
			withAbandonedSend(func(s *silentStream, x fleet.Endpoint) {
				s.clock.Advance(300 * time.Millisecond)
				c.show(s, x)
				Eventually(s.gateway.silences.List, "5s").Should(BeEmpty())
				s.list(x)
				Consistently(s.reportedCrashes, "100ms").Should(BeZero())
			})
		})
	}

	It("isn't known to live by an event or an answer to what was sent before, by its own list entry, or by an older start's answer", func() {
		withAbandonedSend(func(s *silentStream, x fleet.Endpoint) {
			at := s.gateway.silences.List()[0].At
			s.gateway.endpointHeard(x.ID, at)
			x.LastHeartbeat = at
			s.list(x, x)
			s.gateway.observeQueryAnswer("llm", x.ID, StallReport{}, s.clock.Now().Add(time.Second))
			Consistently(s.gateway.silences.List, "100ms").Should(HaveLen(1))
			Expect(s.reportedCrashes()).To(BeZero())
		})
	})

	It("may have crashed from when that is noticed, also if its stream waits on, or its caller leaves", func() {
		withSilentStream(func(b *fixture) {
			cfg := configuration()
			for i := range cfg.Routes {
				cfg.Routes[i].MaxAttempts = 1
			}
			b.source.view.Index = fleet.NewIndex(cfg)
		}, func(s *silentStream) {
			Expect(s.second).To(BeNil())
			Eventually(s.gateway.silences.List, "5s").Should(HaveLen(1))
			s.leave()
			Eventually(s.done, "5s").Should(Receive())
			s.done <- true
			Expect(s.gateway.silences.List()).To(HaveLen(1))
			Expect(s.reportedCrashes()).To(BeZero())
		})
	})

	It("has not crashed if its stream goes on", func() {
		withSilentStream(func(*fixture) {}, func(s *silentStream) {
			Expect(s.gateway.silences.List()).To(HaveLen(1))
			_, _ = s.first.Write([]byte(events(2, 2)))
			Eventually(s.out.text, "5s").Should(Equal(events(1, 2)))
			Expect(s.gateway.silences.List()).To(BeEmpty())
			s.finish(s.first, events(3, 4))
		})
	})

	It("has crashed once if its connection breaks after that was known", func() {
		withSilentStream(func(*fixture) {}, func(s *silentStream) {
			s.gateway.confirmCrash(s.client.sent()[0].ID)
			Expect(s.reportedCrashes()).To(Equal(2), "of the request, and of its part")
			_ = s.first.CloseWithError(io.ErrUnexpectedEOF)
			s.finish(s.second, events(2, 4))
			Expect(s.reportedCrashes()).To(Equal(2))
			Expect(s.gateway.Quarantine().UnreportedParts(1).Crashes[0].Parts[0].Requests).To(Equal(1))
		})
	})
})

var _ = Describe("an endpoint whose connection broke", func() {
	for _, c := range []struct {
		name  string
		heard time.Duration // after the connection broke
		left  int
	}{{"lives on: its crash is taken back when it answers a later request", time.Second, 0},
		{"isn't known to live by an answer to what was sent just then", 0, 2}} {
		It(c.name, func() {
			withGateway(func(b *fixture) {
				b.source.endpoints["llm"] = []fleet.Endpoint{engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4)}
				cfg := configuration()
				for i := range cfg.Routes {
					cfg.Routes[i].MaxAttempts = 1 // otherwise the first request waits for another endpoint
				}
				b.source.view.Index = fleet.NewIndex(cfg)
				b.client.answer = func(n int, _ *Call) (*Answer, error) {
					if n == 1 { // the endpoint closed the kept connection, as it does with idle ones
						return nil, &SendError{Sent: true, Cause: io.EOF}
					}
					return completeAnswer(200, events(1, 4)), nil
				}
				reported := func() int {
					requests, _ := b.gateway.Quarantine().Unreported(1)
					return len(requests) + len(b.gateway.Quarantine().UnreportedParts(1).Crashes)
				}
				b.serveParts("a1")
				Expect(reported()).To(Equal(2))
				b.clock.Advance(c.heard)
				Expect(b.serveParts("b2").status).To(Equal(200))
				Expect(reported()).To(Equal(c.left))
			})
		})
	}
})
