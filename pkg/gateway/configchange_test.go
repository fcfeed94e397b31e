package gateway

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a configuration that comes into force while a request waits", func() {
	next := func(change func(c *fleet.Configuration)) *fleet.Index {
		cfg := configuration()
		cfg.Version = 2
		change(cfg)
		return fleet.NewIndex(cfg)
	}
	changes := []struct {
		name  string
		index *fleet.Index
	}{
		{"routes dropped", next(func(c *fleet.Configuration) { c.Routes = nil })},
		{"routes to another service", next(func(c *fleet.Configuration) {
			c.Services = append(c.Services, fleet.Service{Name: "other"})
			for i := range c.Routes {
				c.Routes[i].Split = []fleet.Share{{Service: "other", Weight: 1}}
			}
		})},
		{"services dropped", next(func(c *fleet.Configuration) { c.Routes, c.Services = nil, nil })},
		{"accounts dropped", next(func(c *fleet.Configuration) { c.Accounts = []fleet.Account{{Name: "x", Keys: []string{"x"}}} })},
		{"shorter time-outs and fewer attempts", next(func(c *fleet.Configuration) {
			for i := range c.Routes {
				c.Routes[i].Timeout, c.Routes[i].MaxAttempts, c.Routes[i].Resumable = time.Millisecond, 1, false
			}
		})},
		{"limits of size", next(func(c *fleet.Configuration) { c.Limits = fleet.RequestLimits{BodyBytes: 1, HeaderBytes: 1} })},
	}
	// Guards against a request that gets neither an answer nor a refusal beside a change of the
	// configuration.
	It("doesn't end it: it is served as was decided with it", func() {
		for _, c := range changes {
			for _, s := range waitStates() {
				inState(s, func(b *fixture, out *fakeOutput, _ context.CancelCauseFunc, done chan bool) {
					b.source.confirm(View{Index: c.index, Fresh: true, Trusted: true})
					s.goOn(b)
					Eventually(done, "5s").Should(Receive(), c.name+" "+s.route+" "+s.name)
					Expect(out.refusal).To(BeNil(), c.name+" "+s.route+" "+s.name)
					Expect(out.aborted).To(BeFalse(), c.name+" "+s.route+" "+s.name)
					Expect(out.text()).To(HavePrefix(events(1, 2)), c.name+" "+s.route+" "+s.name)
				})
			}
		}
	})

	It("decides about a request that waited for a confirmation, by the newest version of several", func() {
		withGateway(func(b *fixture) {
			b.client.answer = func(int, *Call) (*Answer, error) { return completeAnswer(200, events(1, 2)), nil }
			old := next(func(c *fleet.Configuration) { c.Routes = nil })
			b.source.view = View{Index: old}
			out, done := b.stream(context.Background())
			Consistently(done, "10ms").ShouldNot(Receive())
			b.source.confirm(View{Index: old}) // late: it is still not confirmed recently
			Consistently(done, "10ms").ShouldNot(Receive())
			b.source.confirm(View{Index: next(func(c *fleet.Configuration) { c.Version = 3 }), Fresh: true, Trusted: true})
			Eventually(done, "5s").Should(Receive())
			Expect(out.text()).To(Equal(events(1, 2)))
		})
	})
})
