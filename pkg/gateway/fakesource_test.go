package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// fakeSource is a Source whose state a test sets.
type fakeSource struct {
	onChanged  func() // if set, runs before each call of Changed
	mu         sync.Mutex
	view       View
	endpoints  map[string][]fleet.Endpoint
	leaving    map[string]bool
	released   map[string]bool
	slow       map[string]float64
	changed    chan struct{}
	confirmed  chan struct{}
	unsettled  bool
	shutdownIn time.Duration // 0: the host was not told to stop
	// grantPermits answers requests for permits in place of the leader. If it is nil,
	// none are granted.
	grantPermits   func(ids []string, each bool, priority int) time.Duration
	holdPermits    <-chan struct{} // if set, the leader answers once it is closed
	permitRequests int
	limitReports   int // calls of ReportLimits
	peers          []string
}

func (s *fakeSource) RequestPermits(ctx context.Context, ids []string, each bool, priority int, _ time.Duration) PermitReply {
	if s.holdPermits != nil {
		select {
		case <-s.holdPermits:
		case <-ctx.Done():
			return PermitReply{AvailableIn: time.Second}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permitRequests++
	if s.grantPermits == nil {
		return PermitReply{AvailableIn: time.Second, Interval: time.Second}
	}
	return PermitReply{AvailableIn: s.grantPermits(ids, each, priority), Interval: time.Second}
}

func (s *fakeSource) ReportLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitReports++
}

func (s *fakeSource) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *fakeSource) Endpoints(service string) []fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[service]
}

func (s *fakeSource) ShutdownIn() (time.Duration, bool) { return s.shutdownIn, s.shutdownIn > 0 }
func (s *fakeSource) PeerLoad(string) Load              { return Load{} }
func (s *fakeSource) HostCount() int                    { return 1 }
func (s *fakeSource) Settled() bool                     { return !s.unsettled }

func (s *fakeSource) EndpointLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving[id]
}

func (s *fakeSource) EndpointSlowdown(id string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow[id]
}

func (s *fakeSource) HasReleased(id string, _ fleet.Range) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.released[id]
}

func (s *fakeSource) Changed() <-chan struct{} {
	if s.onChanged != nil {
		s.onChanged()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeSource) Confirmed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// MarkLeaving records that an endpoint is leaving and removes it from the endpoints.
func (s *fakeSource) MarkLeaving(id string) {
	s.change(func() {
		s.leaving[id] = true
		for service, list := range s.endpoints {
			s.endpoints[service] = slices.DeleteFunc(slices.Clone(list), func(e fleet.Endpoint) bool { return e.ID == id })
		}
	})
}

// leave marks an endpoint as leaving.
func (s *fakeSource) leave(id string) {
	s.change(func() { s.leaving[id] = true })
}

// release marks the layers of an endpoint as released.
func (s *fakeSource) release(id string) {
	s.change(func() { s.released[id] = true })
}

// change runs f and announces a change of the endpoints.
func (s *fakeSource) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// confirm installs a view and announces a confirmation.
func (s *fakeSource) confirm(v View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	close(s.confirmed)
	s.confirmed = make(chan struct{})
}
