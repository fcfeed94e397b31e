package fleetentry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/gateway"
)

// View implements gateway.Source.
func (f *Follower) View() gateway.View {
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

func (f *Follower) trusted(age time.Duration) bool {
	return f.cfg.Revoke <= 0 || age < f.cfg.Revoke-revokeMargin
}

// Endpoints implements gateway.Source. The caller must not change the list.
func (f *Follower) Endpoints(service string) []fleet.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byService[service]
}

// EndpointLeaving implements gateway.Source.
func (f *Follower) EndpointLeaving(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.endpoints[id]
	return known && !e.Usable() || f.heardLeaving(id)
}

// EndpointSlow implements gateway.Source.
func (f *Follower) EndpointSlow(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id].Slow
}

// GaveUp implements gateway.Source.
func (f *Follower) GaveUp(id string, layers fleet.Range) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.endpoints[id]
	return known && e.Loading && (e.Layers.From > layers.From || e.Layers.To < layers.To)
}

// Confirmed implements gateway.Source.
func (f *Follower) Confirmed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Settled implements gateway.Source.
func (f *Follower) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled
}

// Changed implements gateway.Source.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// OthersLoad implements gateway.Source. What the other hosts told is up to two
// calls old, or as many as it takes to tell of all endpoints. What this host has
// begun since then, they are taken to have begun too: after a stop or a loss,
// requests come to all hosts at once, and each would send them to the same
// endpoints.
func (f *Follower) OthersLoad(id string) gateway.Load {
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

// Hosts implements gateway.Source.
func (f *Follower) Hosts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.hosts)
}

// Ready reports whether callers should be sent here.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready()
}

func (f *Follower) ready() bool {
	age := f.cfg.Timer.Now().Sub(f.confirmedAt)
	return f.index != nil && !f.leaving && f.trusted(age) && len(f.byService) > 0
}

// StopsIn implements gateway.Source.
func (f *Follower) StopsIn() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopsAt.IsZero() {
		return 0, false
	}
	return max(0, f.stopsAt.Sub(f.cfg.Timer.Now())), true
}

// Leaving reports whether Leave was called.
func (f *Follower) Leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// Addresses returns where callers may connect: the ready hosts, or this one if
// no other is known.
func (f *Follower) Addresses() []string {
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
