package reachability

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// benchMonitor returns a monitor that isn't running, of 3,200 endpoints in two services.
func benchMonitor() *Monitor {
	n := newNetwork(map[string]int{engines: 3100, apps: 100})
	svc := timer.NewSystem()
	m := New(Checker{Connector: n, Asker: n, Timer: svc}, svc, rand.New(rand.NewPCG(1, 1)), nil, metrics.New())
	m.SetEndpoints(n)
	return m
}

// BenchmarkConnect is what observing a connection costs while none fails.
func BenchmarkConnect(b *testing.B) {
	m := benchMonitor()
	for b.Loop() {
		m.end(m.begin("engine-1", nil), nil, false)
	}
}

// BenchmarkConnectAfterFailure is the same for one that fails and the next one that opens.
func BenchmarkConnectAfterFailure(b *testing.B) {
	m := benchMonitor()
	for b.Loop() {
		m.end(m.begin("engine-1", nil), errors.New("refused"), false)
		m.end(m.begin("engine-2", nil), nil, false)
	}
}

// BenchmarkDue is what it costs to find the services to check after a failure.
func BenchmarkDue(b *testing.B) {
	m := benchMonitor()
	m.failed["engine-1"] = true
	for b.Loop() {
		m.due()
	}
}

// BenchmarkServiceOf is what a connection that broke costs.
func BenchmarkServiceOf(b *testing.B) {
	m := benchMonitor()
	for b.Loop() {
		m.serviceOf(fmt.Sprintf("engine-%d", 3099))
	}
}

// BenchmarkLookAtActivities is what it costs five times a second to look at which of 3,200
// addresses were heard.
func BenchmarkLookAtActivities(b *testing.B) {
	m := benchMonitor()
	for _, addresses := range m.endpoints.EndpointAddresses() {
		for _, a := range addresses {
			_, _ = m.observe(discard{}, a).Write([]byte("request"))
		}
	}
	now := m.svc.Now()
	for b.Loop() {
		m.lookAtActivities(now)
	}
}

// BenchmarkObservedWrite is what noting the traffic of a connection costs each write.
func BenchmarkObservedWrite(b *testing.B) {
	c := benchMonitor().observe(discard{}, "engine-1")
	text := []byte("request")
	for b.Loop() {
		_, _ = c.Write(text)
	}
}
