package fleetentry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/gateway"
)

// View implements gateway.Source.
func (f *ControlClient) View() gateway.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.cfg.Timer.Now().Sub(f.confirmedAt)
	return gateway.View{
		Index:   f.index,
		Fresh:   age < freshFor,
		Trusted: f.trusted(age),
		Age:     age,
	}
}

func (f *ControlClient) trusted(age time.Duration) bool {
	return f.cfg.MaxRevocationDelay <= 0 || age < f.cfg.MaxRevocationDelay-revokeMargin
}

// Endpoints implements gateway.Source. The caller must not change the list.
func (f *ControlClient) Endpoints(service string) []fleet.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byService[service]
}

// EndpointLeaving implements gateway.Source.
func (f *ControlClient) EndpointLeaving(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.endpoints[id]
	return known && !e.Usable() || f.heardLeaving(id)
}

// EndpointSlowdown implements gateway.Source.
func (f *ControlClient) EndpointSlowdown(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id].Slowdown
}

// HasReleased implements gateway.Source.
func (f *ControlClient) HasReleased(id string, layers fleet.Range) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.endpoints[id]
	return known && e.Loading && (e.Layers.From > layers.From || e.Layers.To < layers.To)
}

// Confirmed implements gateway.Source.
func (f *ControlClient) Confirmed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Settled implements gateway.Source.
func (f *ControlClient) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled
}

// Changed implements gateway.Source.
func (f *ControlClient) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// PeerLoad implements gateway.Source. What the other hosts told is up to two
// calls old, or as many as it takes to tell of all endpoints. What this host has
// begun since then, they are taken to have begun too: after a stop or a loss,
// requests come to all hosts at once, and each would send them to the same
// endpoints.
func (f *ControlClient) PeerLoad(id string) gateway.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.loads.Load(id)
	load := f.others[fleet.LoadKey(id)]
	told := f.toldThen[id]
	others := max(0, f.hosts-1)
	load.Requests += others * max(0, now.Requests-told.Requests)
	load.Tokens += others * max(0, now.Tokens-told.Tokens)
	return load
}

// HostCount implements gateway.Source.
func (f *ControlClient) HostCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.hosts)
}

// Ready reports whether callers should be sent here.
func (f *ControlClient) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready()
}

func (f *ControlClient) ready() bool {
	age := f.cfg.Timer.Now().Sub(f.confirmedAt)
	return f.index != nil && !f.leaving && f.trusted(age) && len(f.byService) > 0
}

// ShutdownIn implements gateway.Source.
func (f *ControlClient) ShutdownIn() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopsAt.IsZero() {
		return 0, false
	}
	return max(0, f.stopsAt.Sub(f.cfg.Timer.Now())), true
}

// Leaving reports whether Leave was called.
func (f *ControlClient) Leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// Addresses returns where callers may connect: the ready hosts, or this one if
// no other is known.
func (f *ControlClient) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, a := range f.addresses {
		if a == f.cfg.CallerAddress && !f.ready() {
			continue
		}
		list = append(list, a)
	}
	if len(list) == 0 && f.ready() {
		list = append(list, f.cfg.CallerAddress)
	}
	return list
}
