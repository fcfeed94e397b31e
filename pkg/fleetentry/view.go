package fleetentry

import (
	"net"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/gateway"
)

// View implements gateway.Source.
func (c *ControlClient) View() gateway.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.cfg.Timer.Now().Sub(c.confirmedAt)
	return gateway.View{
		Index:   c.index,
		Fresh:   age < maxFreshAge,
		Trusted: c.trusted(age),
		Age:     age,
	}
}

func (c *ControlClient) trusted(age time.Duration) bool {
	return c.cfg.MaxRevocationDelay <= 0 || age < c.cfg.MaxRevocationDelay-revocationMargin
}

// Endpoints implements gateway.Source. The caller must not change the list.
func (c *ControlClient) Endpoints(service string) []fleet.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byService[service]
}

// EndpointAddresses implements reachability.Endpoints.
func (c *ControlClient) EndpointAddresses() map[string][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []fleet.Endpoint
	for _, l := range c.byService {
		list = append(list, l...)
	}
	return fleet.AddressesByService(list)
}

// EndpointLeaving implements gateway.Source. An endpoint that control hosts report as gone
// counts too.
func (c *ControlClient) EndpointLeaving(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, known := c.endpoints[id]
	return known && !e.Usable() || c.announcedLeaving(id)
}

// EndpointSlowdown implements gateway.Source.
func (c *ControlClient) EndpointSlowdown(id string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints[id].Slowdown
}

// HasReleased implements gateway.Source.
func (c *ControlClient) HasReleased(id string, layers fleet.Range) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, known := c.endpoints[id]
	return known && e.Loading && (e.Layers.From > layers.From || e.Layers.To < layers.To)
}

// Confirmed implements gateway.Source.
func (c *ControlClient) Confirmed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// Settled implements gateway.Source.
func (c *ControlClient) Settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled
}

// Changed implements gateway.Source.
func (c *ControlClient) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// PeerLoad implements gateway.Source. The load that the other hosts reported is up to two
// calls old, or as many as it takes to report on all endpoints. Each of them is assumed to
// have added as much load since then as this host has: after an endpoint or a host is lost,
// requests reach all hosts at once, and each host would otherwise send them to the same
// endpoints.
func (c *ControlClient) PeerLoad(id string) gateway.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.loads.Load(id)
	load := c.peerLoads[fleet.LoadKey(id)]
	reported := c.baselineLoads[id]
	others := max(0, c.hostCount-1)
	load.Requests += others * max(0, now.Requests-reported.Requests)
	load.Tokens += others * max(0, now.Tokens-reported.Tokens)
	return load
}

// HostCount implements gateway.Source.
func (c *ControlClient) HostCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(1, c.hostCount)
}

// Ready reports whether callers should be referred to this host.
func (c *ControlClient) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready()
}

func (c *ControlClient) ready() bool {
	age := c.cfg.Timer.Now().Sub(c.confirmedAt)
	return c.index != nil && !c.leaving && c.trusted(age) && len(c.byService) > 0
}

// Peers implements gateway.Source.
func (c *ControlClient) Peers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.callerAddresses))
	for _, a := range c.callerAddresses {
		host, _, err := net.SplitHostPort(a)
		if err == nil && a != c.cfg.CallerAddress {
			list = append(list, net.JoinHostPort(host, c.cfg.RelayPort))
		}
	}
	return list
}

// ShutdownIn implements gateway.Source.
func (c *ControlClient) ShutdownIn() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shutdownAt.IsZero() {
		return 0, false
	}
	return max(0, c.shutdownAt.Sub(c.cfg.Timer.Now())), true
}

// Leaving reports whether Leave was called.
func (c *ControlClient) Leaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// Addresses returns the addresses to which callers may connect: those of the ready hosts,
// or this host's own if it is ready and no other is known. A host that reaches no endpoint
// names itself only if it knows no other.
func (c *ControlClient) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, a := range c.callerAddresses {
		if a == c.cfg.CallerAddress && (!c.ready() || c.cfg.Isolated()) {
			continue
		}
		list = append(list, a)
	}
	if len(list) == 0 && c.ready() {
		list = append(list, c.cfg.CallerAddress)
	}
	return list
}
