package reachability

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that runs the specs; synctest needs it.
var suite *testing.T

func TestReachability(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "reachability")
}

// bubbleTimer is a timer service by the clock of the synctest bubble it is used in.
type bubbleTimer struct {
	timer.System
}

func (bubbleTimer) Now() time.Time { return time.Now() }

// network is a host's links to endpoints, as a NetDialer.
type network struct {
	mu       sync.Mutex
	services map[string][]string
	results  map[string]Result // by address; Alive where there is none
	accept   bool              // connections that are refused seem to open
	mute     map[string]bool   // addresses whose connections open and carry nothing
	dials    int
	asked    int // queries
}

func newNetwork(services map[string]int) *network {
	n := &network{
		services: map[string][]string{},
		results:  map[string]Result{},
		mute:     map[string]bool{},
	}
	for name, count := range services {
		for i := range count {
			n.services[name] = append(n.services[name], fmt.Sprintf("%s-%d", name, i))
		}
	}
	return n
}

// set makes all endpoints of the services, or of all if none is given, treat connections by r.
func (n *network) set(r Result, services ...string) {
	n.each(services, func(a string) { n.results[a] = r })
}

// each calls f, with the lock held, for the endpoints of the services, or of all if none is given.
func (n *network) each(services []string, f func(address string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, list := range n.services {
		if len(services) > 0 && services[0] != name {
			continue
		}
		for _, a := range list {
			f(a)
		}
	}
}

func (n *network) setOne(address string, r Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results[address] = r
}

func (n *network) EndpointAddresses() map[string][]string { return n.services }

func (n *network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	r := n.results[address]
	n.dials++
	n.mu.Unlock()
	if n.accept && r == Refused {
		r = Alive
	}
	switch r {
	case Refused:
		return nil, syscall.ECONNREFUSED
	case Failed:
		return nil, syscall.EMFILE
	case Silent:
		select {
		case <-time.After(400 * time.Millisecond):
			return nil, syscall.ETIMEDOUT
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	a, b := net.Pipe()
	_ = b.Close()
	return a, nil
}

// Dial implements Connector.
func (n *network) Dial(ctx context.Context, address string) error {
	_, err := n.DialContext(ctx, "tcp", address)
	if err == nil {
		time.Sleep(resetGrace)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.results[address] == Refused && err == nil {
		return syscall.ECONNRESET // as a Probe finds out
	}
	return err
}

type fixture struct {
	*network
	monitor *Monitor
	dialer  *Dialer
}

// withMonitor runs f in a synctest bubble beside a running monitor, to which options are applied.
func withMonitor(services map[string]int, f func(b *fixture), options ...func(m *Monitor)) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		n := newNetwork(services)
		svc := bubbleTimer{}
		m := New(Checker{Connector: n, Asker: n, Timer: svc, SecondDelay: 30 * time.Millisecond, VerdictDelay: 70 * time.Millisecond, MaxLateness: 30 * time.Millisecond},
			svc, rand.New(rand.NewPCG(1, 1)), eventlog.New(GinkgoWriter, svc, "h", 1000), metrics.New())
		m.SetEndpoints(n)
		for _, apply := range options {
			apply(m)
		}
		g := group.New(context.Background())
		defer g.Stop()
		g.Go(m.Run)
		f(&fixture{network: n, monitor: m, dialer: NewDialer(n, m)})
	})
}

// connect opens a connection to an endpoint and returns how long that took.
func (b *fixture) connect(address string) (time.Duration, error) {
	began := time.Now()
	_, err := b.dialer.DialContext(context.Background(), "tcp", address)
	return time.Since(began), err
}

const engines, apps = "engine", "app"

var _ = Describe("the monitor of reachable services", func() {
	for _, fault := range []Result{Refused, Silent} {
		It(fmt.Sprintf("finds a host isolated soon after all its connections are %s, and reachable soon after they work", fault), func() {
			withMonitor(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
				b.set(fault)
				_, _ = b.connect("engine-1")
				_, _ = b.connect("engine-2")
				time.Sleep(300 * time.Millisecond)
				Expect(b.monitor.Unreachable(engines)).To(BeTrue())
				Expect(b.monitor.Unreachable(apps)).To(BeTrue(), "no app was connected to, so that is found out, too")
				Expect(b.monitor.Isolated()).To(BeTrue())
				b.set(Alive)
				time.Sleep(400 * time.Millisecond)
				Expect(b.monitor.Isolated()).To(BeFalse())
				Expect(b.monitor.Unreachable(engines)).To(BeFalse())
			})
		})
	}

	// Guards against a host that stops using endpoints which work because some others failed.
	It("finds no service unreachable while some of its endpoints are reached", func() {
		withMonitor(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			for i := range 26 {
				b.setOne(fmt.Sprintf("engine-%d", i), Refused)
			}
			b.setOne("app-0", Silent)
			for range 5 {
				for i := range 26 {
					_, _ = b.connect(fmt.Sprintf("engine-%d", i))
				}
				_, _ = b.connect("app-0")
				Expect(b.monitor.Unreachable(apps)).To(BeFalse())
			}
			Expect(b.monitor.Isolated()).To(BeFalse())
		})
	})

	// Guards against a process that has too few file descriptors, or was suspended, and takes
	// itself for cut off.
	It("draws no conclusion from connections that fail for a reason of this host", func() {
		withMonitor(map[string]int{engines: 39}, func(b *fixture) {
			b.set(Failed)
			b.setOne("engine-0", Refused)
			b.setOne("engine-1", Refused)
			for i := range 10 {
				_, _ = b.connect(fmt.Sprintf("engine-%d", i))
			}
			time.Sleep(time.Second)
			Expect(b.monitor.Unreachable(engines)).To(BeFalse())
		})
	})

	// Guards against callers that wait for a connection which is known not to open.
	It("gives up connections that were being opened when their service is found unreachable", func() {
		withMonitor(map[string]int{engines: 39}, func(b *fixture) {
			b.set(Silent)
			g := group.New(context.Background())
			for i := range 2 {
				g.Go(func(context.Context) {
					took, err := b.connect(fmt.Sprintf("engine-%d", i))
					Expect(err).To(MatchError(ErrUnreachable))
					Expect(took).To(BeNumerically("<", 250*time.Millisecond))
				})
			}
			g.Wait()
		})
	})

	It("gives up a connection to a service that is unreachable soon", func() {
		withMonitor(map[string]int{engines: 39}, func(b *fixture) {
			b.set(Silent)
			_, _ = b.connect("engine-1")
			_, _ = b.connect("engine-2")
			for i := range 30 {
				time.Sleep(time.Duration(i) * time.Millisecond) // at any time between checks
				took, err := b.connect("engine-3")
				Expect(err).To(MatchError(ErrUnreachable))
				Expect(took).To(BeNumerically("<", 200*time.Millisecond))
			}
		})
	})

	It("makes no check while connections open", func() {
		withMonitor(map[string]int{engines: 39}, func(b *fixture) {
			for i := range 200 {
				_, _ = b.connect(fmt.Sprintf("engine-%d", i%39))
				time.Sleep(10 * time.Millisecond)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			Expect(b.dials).To(Equal(200))
		})
	})

	// Guards against probes by the hundred while endpoints are down for everybody.
	It("makes a bounded number of checks while a service is unreachable", func() {
		withMonitor(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			b.set(Refused, apps)
			_, _ = b.connect("app-0")
			_, _ = b.connect("app-1")
			time.Sleep(time.Second)
			b.mu.Lock()
			b.dials = 0
			b.mu.Unlock()
			time.Sleep(10 * time.Second)
			Expect(b.monitor.Unreachable(apps)).To(BeTrue())
			Expect(b.monitor.Unreachable(engines)).To(BeFalse())
			b.mu.Lock()
			defer b.mu.Unlock()
			Expect(b.dials).To(BeNumerically("<=", 3*(10*time.Second/unreachableCheckInterval+1)))
		})
	})

	// Guards against a request that crashes endpoints and is taken for a fault of the links.
	It("tells of broken connections that the service is reached, if endpoints accept others", func() {
		withMonitor(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			told := make(chan bool, 10)
			for i := range 10 {
				b.monitor.Doubt(fmt.Sprintf("engine-%d", i), func(reached bool) { told <- reached })
			}
			time.Sleep(2 * time.Second)
			for range 10 {
				Expect(told).To(Receive(BeTrue()))
			}
		})
	})

	// Guards against crashes that are never reported, since an older one was counted when the
	// connection broke and had been forgotten when a check was due.
	It("tells of a connection that breaks some time after another one", func() {
		withMonitor(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			told := make(chan bool, 1)
			for i := range 5 {
				b.monitor.Doubt(fmt.Sprintf("engine-%d", i), func(reached bool) { told <- reached })
				time.Sleep(doubtLifetime + 100*time.Millisecond)
				Expect(told).To(Receive(BeTrue()), "connection %d", i)
			}
		})
	})

	It("finds a host isolated whose connections open and are reset", func() {
		withMonitor(map[string]int{engines: 39, apps: 3}, func(b *fixture) {
			b.accept = true
			b.set(Refused)
			told := make(chan bool, 2)
			for i := range 2 {
				_, err := b.connect(fmt.Sprintf("engine-%d", i))
				Expect(err).NotTo(HaveOccurred())
				b.monitor.Doubt(fmt.Sprintf("engine-%d", i), func(reached bool) { told <- reached })
			}
			Expect(told).To(Receive(BeTrue()), "one endpoint alone says nothing of this host")
			Expect(told).NotTo(Receive(), "the second one is only known after a check")
			time.Sleep(100 * time.Millisecond)
			Expect(told).To(Receive(BeFalse()))
			Expect(b.monitor.Isolated()).To(BeTrue())
			_, _ = b.connect("engine-3")
			time.Sleep(100 * time.Millisecond)
			Expect(b.monitor.Isolated()).To(BeTrue(), "a connection that opens is no proof")
			b.set(Alive)
			time.Sleep(300 * time.Millisecond)
			Expect(b.monitor.Isolated()).To(BeFalse())
		})
	})

	// Guards against a leader that takes endpoints for lost because it is cut off itself.
	It("tells whether other endpoints are reached than one that failed", func() {
		withMonitor(map[string]int{engines: 5, apps: 1}, func(b *fixture) {
			ctx := context.Background()
			b.setOne("engine-1", Refused)
			Expect(b.monitor.ReachesOthers(ctx, "engine-1")).To(BeTrue())
			b.setOne("engine-2", Silent)
			b.setOne("app-0", Silent)
			began := time.Now()
			for range 20 {
				Expect(b.monitor.ReachesOthers(ctx, "engine-1")).To(BeTrue())
			}
			Expect(time.Since(began)).To(Equal(20*resetGrace), "it waits for no silent one")
			for _, fault := range []Result{Refused, Silent} {
				b.set(fault)
				Expect(b.monitor.ReachesOthers(ctx, "engine-1")).To(BeFalse())
			}
		})
		withMonitor(map[string]int{apps: 1}, func(b *fixture) {
			b.set(Refused)
			Expect(b.monitor.ReachesOthers(context.Background(), "app-0")).To(BeTrue(), "there is no other")
		})
	})

	It("tells soon whether an endpoint accepts no connection", func() {
		withMonitor(map[string]int{engines: 5}, func(b *fixture) {
			for r, lost := range map[Result]bool{Alive: false, Failed: false, Refused: true, Silent: true} {
				b.setOne("engine-1", r)
				began := time.Now()
				Expect(b.monitor.Lost(context.Background(), "engine-1")).To(Equal(lost), string(r))
				Expect(time.Since(began)).To(BeNumerically("<=", 100*time.Millisecond))
			}
		})
	})
})
