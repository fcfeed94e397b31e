package reachability

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Ask implements Asker.
func (n *network) Ask(ctx context.Context, address string) error {
	n.mu.Lock()
	mute, result := n.mute[address], n.results[address]
	n.asked++
	n.mu.Unlock()
	if result == Refused {
		return syscall.ECONNREFUSED
	}
	if mute || result == Silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(resetGrace)
	return nil
}

// setMute sets whether the connections to all endpoints of the services, or of all if none is
// given, carry nothing.
func (n *network) setMute(mute bool, services ...string) {
	n.each(services, func(a string) { n.mute[a] = mute })
}

// muteOne makes the connections to one endpoint carry nothing.
func (n *network) muteOne(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mute[address] = true
}

// queries returns how often Ask was called.
func (n *network) queries() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asked
}

// request sends a request to an endpoint over a connection of its own, and reads the answer. It
// is given up after 3 s.
func (b *fixture) request(address string) bool {
	there, here := net.Pipe()
	defer func() { _ = there.Close() }() // ends the goroutine below
	c := b.monitor.observe(here, address)
	b.network.mu.Lock()
	mute := b.network.mute[address]
	b.network.mu.Unlock()
	background(func() {
		buffer := make([]byte, 8)
		if _, err := there.Read(buffer); err == nil && !mute {
			_, _ = there.Write([]byte("answer")) // fails if the request was given up
		}
	})
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := c.Write([]byte("request")); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 8))
	return err == nil
}

// withRequests is withMonitor, but waits until all requests of f have ended.
func withRequests(services map[string]int, f func(b *fixture), options ...func(m *Monitor)) {
	withMonitor(services, func(b *fixture) {
		f(b)
		time.Sleep(15 * time.Second)
	}, options...)
}

// requests sends requests to endpoints of a service for a time, one each 100 ms.
func (b *fixture) requests(service string, d time.Duration) {
	list := b.network.services[service]
	for i := range int(d / (100 * time.Millisecond)) {
		background(func() { b.request(list[i%len(list)]) })
		time.Sleep(100 * time.Millisecond)
	}
}

var _ = Describe("a host whose connections to endpoints open and carry nothing", func() {
	// Guards against first tries that are sent to endpoints which can't answer this host, though
	// other hosts could serve them.
	It("is isolated within 2.5 s of requests, and no longer within a second of the first answer", func() {
		withRequests(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			b.requests(engines, time.Second)
			b.setMute(true)
			b.requests(engines, 2500*time.Millisecond)
			Expect(b.monitor.Unreachable(engines)).To(BeTrue())
			Expect(b.monitor.Unreachable(apps)).To(BeTrue(), "no app was sent a request, so that is found out, too")
			Expect(b.monitor.Isolated()).To(BeTrue())
			b.requests(engines, 5*time.Second)
			Expect(b.monitor.Isolated()).To(BeTrue(), "connections that open end nothing")
			b.setMute(false)
			time.Sleep(time.Second)
			Expect(b.monitor.Isolated()).To(BeFalse())
			Expect(b.monitor.Unreachable(engines)).To(BeFalse())
			Expect(b.monitor.Unreachable(apps)).To(BeFalse())
		})
	})

	// Guards against a request that waits for the end of a check before it is refused.
	It("gives up a connection soon, if none opens any more", func() {
		withRequests(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			b.setMute(true)
			b.requests(engines, 2500*time.Millisecond)
			b.set(Silent)
			for range 20 {
				took, err := b.connect("engine-1")
				Expect(err).To(MatchError(ErrUnreachable))
				Expect(took).To(BeNumerically("<=", slowConnect+10*time.Millisecond))
				time.Sleep(70 * time.Millisecond)
			}
		})
	})

	It("finds out about one service only, if only that one is silent", func() {
		for _, silent := range []string{engines, apps} {
			withRequests(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
				b.setMute(true, silent)
				background(func() { b.requests(engines, 3*time.Second) })
				b.requests(apps, 3*time.Second)
				Expect(b.monitor.Unreachable(silent)).To(BeTrue())
				Expect(b.monitor.Isolated()).To(BeFalse())
				other := map[string]string{engines: apps, apps: engines}[silent]
				Expect(b.monitor.Unreachable(other)).To(BeFalse())
			})
		}
	})

	It("is found so if connections are refused after that, and reached once they carry answers again", func() {
		withRequests(map[string]int{engines: 39}, func(b *fixture) {
			b.setMute(true)
			b.requests(engines, 2*time.Second)
			b.set(Refused)
			time.Sleep(time.Second)
			Expect(b.monitor.Unreachable(engines)).To(BeTrue())
			b.set(Alive)
			time.Sleep(time.Second)
			Expect(b.monitor.Unreachable(engines)).To(BeTrue(), "they open, and carry nothing")
			b.setMute(false)
			time.Sleep(time.Second)
			Expect(b.monitor.Unreachable(engines)).To(BeFalse())
		})
	})
})

// Guards against a leader that takes endpoints for lost because its own connections carry nothing.
var _ = Describe("an endpoint that doesn't answer", func() {
	It("isn't blamed by a host that none answers", func() {
		withMonitor(map[string]int{engines: 5, apps: 1}, func(b *fixture) {
			Expect(b.monitor.ReachesOthers(context.Background(), "engine-1")).To(BeTrue())
			b.setMute(true)
			Expect(b.monitor.ReachesOthers(context.Background(), "engine-1")).To(BeFalse())
		})
	})
})

var _ = Describe("endpoints that leave requests unanswered", func() {
	// Guards against a pause that makes a host step aside.
	It("aren't out of reach if they pause for 0.9 s", func() {
		withRequests(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			for range 3 {
				b.requests(engines, time.Second)
				b.setMute(true)
				b.requests(engines, 900*time.Millisecond)
				b.setMute(false)
				Expect(b.monitor.Unreachable(engines)).To(BeFalse())
			}
			Expect(b.network.queries()).To(BeZero(), "none was asked")
		})
	})

	It("aren't out of reach while others of their service answer", func() {
		withRequests(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			for i := range 38 {
				b.network.muteOne(fmt.Sprintf("engine-%d", i))
			}
			b.network.muteOne("app-0")
			background(func() { b.requests(engines, 10*time.Second) })
			for range 100 {
				b.request("app-1")
				background(func() { b.request("app-0") })
				time.Sleep(100 * time.Millisecond)
				Expect(b.monitor.Unreachable(apps)).To(BeFalse())
			}
		})
	})

	// Guards against an endpoint that works on a request for long.
	It("are asked, and not more often than each second, if all of them work for long", func() {
		withRequests(map[string]int{engines: 39}, func(b *fixture) {
			for i := range 6 {
				a := b.monitor.observe(discard{}, fmt.Sprintf("engine-%d", i))
				_, _ = a.Write([]byte("request"))
			}
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				Expect(b.monitor.Unreachable(engines)).To(BeFalse())
			}
			Expect(b.network.queries()).To(BeNumerically(">=", minLostEndpoints))
			Expect(b.network.queries()).To(BeNumerically("<=", 10*checkedEndpoints))
		})
	})

	It("are forgotten when nothing was sent to them for long", func() {
		withRequests(map[string]int{engines: 39}, func(b *fixture) {
			b.requests(engines, time.Second)
			time.Sleep(2 * activityLifetime)
			b.monitor.mu.Lock()
			defer b.monitor.mu.Unlock()
			Expect(b.monitor.activities).To(BeEmpty())
		})
	})
})

var _ = Describe("a host that sends no requests", func() {
	// Guards against a host that learns from its callers' requests that it can't serve them.
	It("finds out within 2.5 s that no endpoint answers, and within a second that they do again", func() {
		withMonitor(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			time.Sleep(10 * time.Second)
			Expect(b.network.queries()).To(BeNumerically("<=", 2*9), "one each 1.2 s and service")
			b.setMute(true)
			time.Sleep(2500 * time.Millisecond)
			Expect(b.monitor.Isolated()).To(BeTrue())
			b.setMute(false)
			time.Sleep(time.Second)
			Expect(b.monitor.Isolated()).To(BeFalse())
		}, (*Monitor).EnableIdleQueries)
	})

	It("isn't isolated because an endpoint that it asks pauses", func() {
		withMonitor(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			for i := range 30 {
				b.network.muteOne(fmt.Sprintf("engine-%d", i))
			}
			b.network.muteOne("app-0")
			for range 300 {
				time.Sleep(100 * time.Millisecond)
				Expect(b.monitor.Unreachable(apps)).To(BeFalse())
			}
		}, (*Monitor).EnableIdleQueries)
	})

	It("asks nobody while answers come", func() {
		withRequests(map[string]int{engines: 39}, func(b *fixture) {
			b.requests(engines, 5*time.Second)
			Expect(b.network.queries()).To(BeNumerically("<=", 1), "at the start")
		}, (*Monitor).EnableIdleQueries)
	})

	It("asks nobody if it isn't to", func() {
		withMonitor(map[string]int{engines: 39}, func(b *fixture) {
			time.Sleep(10 * time.Second)
			Expect(b.network.queries()).To(BeZero())
		})
	})
})

// discard is a connection to which anything can be written.
type discard struct {
	net.Conn
}

// Write implements net.Conn.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// background runs f in a goroutine.
func background(f func()) {
	group.New(context.Background()).Go(func(context.Context) { f() })
}
