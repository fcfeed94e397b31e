package placement

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Outcome is what is known of an order.
type Outcome int

// The outcomes.
const (
	// Unknown: no answer came; the order may be carried out, even later.
	Unknown Outcome = iota
	// Accepted: it has begun or is done.
	Accepted
	// Conflict: the endpoint has taken other orders than the caller believed.
	Conflict
	// Rejected: the endpoint can't carry it out.
	Rejected
)

var outcomeNames = [...]string{"unknown", "taken", "conflict", "refused"}

// String returns the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Report is what an endpoint tells of itself.
type Report = registry.Status

// ErrNoReport says that an endpoint answered, but is of a kind that tells
// nothing of itself: it is there.
var ErrNoReport = errors.New("the endpoint gives no report")

// EndpointClient reaches endpoints.
type EndpointClient interface {
	// Place carries out an order, if the incarnation has taken as many orders
	// as given. The error of one that was turned away is a *fleet.TurnedAway.
	Place(ctx context.Context, o Order, address string, accepted uint64) (Outcome, error)
	// Report asks what an incarnation holds. It fails if another one answers,
	// and with ErrNoReport if it is no engine. What it says of itself is told with
	// any answer, also beside an error.
	Report(ctx context.Context, id, address string) (Report, error)
}

const (
	orderTimeout = time.Second
	// recheckDelay is how long an order without an answer, or one that was taken
	// and shows no effect, is left alone before the endpoint is asked.
	recheckDelay = 2 * time.Second
	// reserveTime is how long an empty endpoint is kept for a hole: where
	// endpoints are replaced one by one, the old one leaves about 2 s after
	// the new one came.
	reserveTime = 5 * time.Second
	// maxOrdersInFlight is how many orders wait for their answers at once: a connection
	// each, and the first placement of 3,000 endpoints would make 3,000.
	maxOrdersInFlight = 64
)

// Controller carries out plans. Only the leader's works; the number of orders an
// endpoint has taken keeps late ones of an earlier leader out.
type Controller struct {
	client      EndpointClient
	table       *registry.Table
	belowDemand func(id string) bool // of what the endpoint's service is asked for
	svc         timer.Service
	log         *eventlog.Log
	group       *group.Group
	heartbeat   time.Duration

	mu        sync.Mutex
	orders    map[string]*orderState // by incarnation
	firstSeen map[string]time.Time   // when an incarnation was first seen
	addresses map[string]bool        // addresses at which incarnations were seen
	crashes   *crashTracker
	startedAt time.Time     // when this keeper first tended; zero: not yet
	inFlight  chan struct{} // one for each order under way
}

// orderState is what was ordered of an endpoint.
type orderState struct {
	layers       fleet.Range
	accepted     uint64 // orders it has taken, as far as known
	pendingUntil time.Time
	calling      bool
	unconfirmed  bool // its fate must be asked for before the next order
	applied      bool // the endpoint holds the layers, or took no order yet
}

// NewController returns a keeper whose calls run in g. Endpoints announce themselves
// once in a beat; short tells which of them take less than their service is asked for.
func NewController(client EndpointClient, table *registry.Table, belowDemand func(id string) bool, heartbeat time.Duration, svc timer.Service, log *eventlog.Log, g *group.Group) *Controller {
	return &Controller{
		heartbeat:   heartbeat,
		client:      client,
		table:       table,
		belowDemand: belowDemand,
		svc:         svc,
		log:         log,
		group:       g,
		orders:      map[string]*orderState{},
		firstSeen:   map[string]time.Time{},
		addresses:   map[string]bool{},
		crashes:     newCrashTracker(),
		inFlight:    make(chan struct{}, maxOrdersInFlight),
	}
}

// Reset drops what was ordered, when another replica leads.
func (c *Controller) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = map[string]*orderState{}
	c.firstSeen = map[string]time.Time{}
	c.addresses = map[string]bool{}
	c.crashes = newCrashTracker()
	c.startedAt = time.Time{}
}

// justJoined reports whether an endpoint has only just come. Those that were there
// when this keeper began are not, nor is one that came back to its address: it
// replaces nothing that still runs.
func (c *Controller) justJoined(e *fleet.Endpoint, now time.Time) bool {
	at, known := c.firstSeen[e.ID]
	if !known {
		at = now
		if c.addresses[e.Address] {
			at = c.startedAt
		}
		c.firstSeen[e.ID] = at
		c.addresses[e.Address] = true
	}
	return at.After(c.startedAt) && now.Sub(at) < reserveTime
}

// stillJoining reports whether a service that holds nothing yet still grows: an
// endpoint came within the last beat. Orders that were given to the first that
// come would put slow accelerators where fast ones are due.
func (c *Controller) stillJoining(states []EndpointState, now time.Time) bool {
	newest := time.Time{}
	for _, s := range states {
		if s.Layers.Len() > 0 || s.OrderPending {
			return false
		}
		if at := c.firstSeen[s.ID]; at.After(newest) {
			newest = at
		}
	}
	if now.Sub(newest) < c.heartbeat {
		return true
	}
	c.startedAt = now // what came meanwhile replaces nothing
	return false
}

// Reconcile gives the orders that are due. leads is asked right before each.
func (c *Controller) Reconcile(ctx context.Context, cfg *fleet.Configuration, leads func() bool) {
	endpoints := c.table.All()
	for i := range cfg.Services {
		if e := cfg.Services[i].Engine; e != nil && e.Layers > 0 {
			c.reconcileService(ctx, &cfg.Services[i], endpoints, leads)
		}
	}
}

func (c *Controller) reconcileService(ctx context.Context, svc *fleet.Service, endpoints []fleet.Endpoint, leads func() bool) {
	var states []EndpointState
	byID := map[string]*fleet.Endpoint{}
	c.mu.Lock()
	now := c.svc.Now()
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	for i := range endpoints {
		e := &endpoints[i]
		if e.Service != svc.Name || !e.Usable() || e.Silent || c.hasUnknownOrder(e) || c.inBackoff(e, now) {
			continue
		}
		byID[e.ID] = e
		states = append(states, EndpointState{
			ID:           e.ID,
			Domain:       e.Domain,
			Kind:         e.Kind,
			Layers:       c.expectedLayers(e, now),
			Slowdown:     e.Slowdown,
			BelowDemand:  c.belowDemand(e.ID),
			JustJoined:   c.justJoined(e, now),
			OrderPending: c.orderPending(e, now),
		})
	}
	joining := c.stillJoining(states, now)
	c.mu.Unlock()
	if joining {
		return
	}
	for _, o := range Plan(svc.Engine, states) {
		if !leads() {
			return
		}
		c.sendAsync(o, byID[o.ID], loadTimeout(svc.Engine, o.Layers))
	}
}

// expectedLayers returns what an endpoint was ordered to hold lately, or else holds.
func (c *Controller) expectedLayers(e *fleet.Endpoint, now time.Time) fleet.Range {
	if c.orderPending(e, now) {
		return c.orders[e.ID].layers
	}
	return e.Layers
}

// orderPending reports whether an order to an endpoint may still be under way.
func (c *Controller) orderPending(e *fleet.Endpoint, now time.Time) bool {
	s := c.orders[e.ID]
	return s != nil && s.layers != e.Layers && (s.calling || e.Loading || now.Before(s.pendingUntil))
}

// hasUnknownOrder reports whether an endpoint carries out an order that this keeper
// didn't give: which layers it will hold isn't known, and it takes no other
// order before.
func (c *Controller) hasUnknownOrder(e *fleet.Endpoint) bool {
	return e.Loading && e.Layers.Len() == 0 && c.orders[e.ID] == nil
}

// loadTimeout is how long a load may take before it is doubted: several may run
// at once, and the heartbeat that tells of its end comes later.
func loadTimeout(e *fleet.Engine, layers fleet.Range) time.Duration {
	if e.Layers == 0 {
		return 0
	}
	return 3 * e.LoadTime * time.Duration(layers.Len()) / time.Duration(e.Layers)
}
