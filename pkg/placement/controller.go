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

// Outcome is what is known of an order that was sent.
type Outcome int

// The outcomes of an order.
const (
	// Unknown: no answer came. The order may still be carried out, even later.
	Unknown Outcome = iota
	// Accepted: the endpoint has begun to carry it out, or has done so.
	Accepted
	// Conflict: the endpoint has accepted other orders than the caller assumed.
	Conflict
	// Rejected: the endpoint can't carry it out.
	Rejected
)

var outcomeNames = [...]string{"unknown", "taken", "conflict", "refused"}

// String returns the outcome's name in log events.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Report is what an endpoint reports of itself.
type Report = registry.Status

// ErrNoReport is returned for an endpoint that answers, and so is reachable, but is of
// a kind that reports no status.
var ErrNoReport = errors.New("the endpoint gives no report")

// EndpointClient sends orders and status queries to endpoints.
type EndpointClient interface {
	// Place sends an order, which the incarnation accepts only if it has accepted the
	// given number of orders before. The error of a rejected order is a
	// *fleet.RejectedError.
	Place(ctx context.Context, o Order, address string, accepted uint64) (Outcome, error)
	// Report queries what an incarnation holds. It fails with a
	// *fleet.OtherIncarnationError if another incarnation answers, and with ErrNoReport if
	// the endpoint is no engine. The notice in the report is set with any other answer,
	// also beside an error.
	Report(ctx context.Context, id, address string) (Report, error)
}

const (
	orderTimeout = time.Second
	// recheckDelay is how long to wait before an endpoint is queried about an order
	// that got no answer, or that was accepted and has shown no effect.
	recheckDelay = 2 * time.Second
	// reserveTime is how long an empty endpoint that just joined is kept for a gap.
	// Where endpoints are replaced one by one, the old one leaves about 2 s after the
	// new one has joined.
	reserveTime = 5 * time.Second
	// joiningHeartbeats is how many heartbeat intervals the first orders of a service wait at
	// most for the endpoints that are still joining.
	joiningHeartbeats = 3
	// initialTime is how long after the first orders of a service endpoints that join are
	// placed with the first ones. Thousands of endpoints take several heartbeat intervals to
	// announce themselves.
	initialTime = 10 * time.Second
	// maxOrdersInFlight bounds the orders that wait for their answers. Each takes a
	// connection, and the first placement of 3,000 endpoints would take 3,000 at once.
	maxOrdersInFlight = 64
)

// Controller sends the orders that Plan returns. Only the leader's does so. An endpoint
// doesn't accept an order of an earlier leader that arrives after it has accepted a newer
// one, since its number of accepted orders no longer matches.
type Controller struct {
	client      EndpointClient
	table       *registry.Table
	belowDemand func(id string) bool // whether an endpoint's rate limit is below the load of its service
	svc         timer.Service
	log         *eventlog.Log
	group       *group.Group
	heartbeat   time.Duration

	mu        sync.Mutex
	orders    map[string]*orderState    // by incarnation
	joined    map[string]joinedEndpoint // by incarnation
	addresses map[string]bool           // at which incarnations were seen
	crashes   *crashTracker
	silences  *silenceTracker
	// startedAt is, by service, until when endpoints that joined replace no others.
	startedAt map[string]time.Time
	// placedAt is, by service, when the first orders were sent to endpoints none of which held
	// layers.
	placedAt map[string]time.Time
	inFlight chan struct{} // holds one element for each order in flight
}

// joinedEndpoint is when an endpoint was first seen, and whether at the address of another
// incarnation.
type joinedEndpoint struct {
	at        time.Time
	restarted bool
}

// orderState is what was ordered of an endpoint, and what became of it.
type orderState struct {
	layers       fleet.Range
	accepted     uint64 // orders it has accepted, as far as known
	pendingUntil time.Time
	calling      bool
	unconfirmed  bool // the endpoint must be queried before the next order
	applied      bool // the endpoint has shown the layers, or has accepted no order yet
}

// NewController returns a controller whose calls run in g. Endpoints announce
// themselves once in each heartbeat interval; belowDemand reports whether an endpoint's
// rate limit is below the load that its service is asked for.
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
		joined:      map[string]joinedEndpoint{},
		addresses:   map[string]bool{},
		crashes:     newCrashTracker(),
		silences:    newSilenceTracker(table, heartbeat),
		startedAt:   map[string]time.Time{},
		placedAt:    map[string]time.Time{},
		inFlight:    make(chan struct{}, maxOrdersInFlight),
	}
}

// Reset forgets all orders and endpoints. It is called when another replica leads.
func (c *Controller) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = map[string]*orderState{}
	c.joined = map[string]joinedEndpoint{}
	c.addresses = map[string]bool{}
	c.crashes = newCrashTracker()
	c.silences = newSilenceTracker(c.table, c.heartbeat)
	c.startedAt = map[string]time.Time{}
	c.placedAt = map[string]time.Time{}
}

// justJoined reports whether an endpoint has joined only just now. Endpoints that were
// there when this controller started don't count, nor does one that restarted at its
// address: it replaces no endpoint that still runs.
func (c *Controller) justJoined(e *fleet.Endpoint, now time.Time) bool {
	j, known := c.joined[e.ID]
	if !known {
		j = joinedEndpoint{
			at:        now,
			restarted: c.addresses[e.Address],
		}
		c.joined[e.ID] = j
		c.addresses[e.Address] = true
	}
	return !j.restarted && j.at.After(c.startedAt[e.Service]) && now.Sub(j.at) < reserveTime && !c.initial(e)
}

// initial reports whether an endpoint is one of the first, or joined soon after them.
func (c *Controller) initial(e *fleet.Endpoint) bool {
	placedAt, ok := c.placedAt[e.Service]
	return ok && c.joined[e.ID].at.Before(placedAt.Add(initialTime))
}

// stillJoining reports whether the endpoints of a service that holds no layers yet are
// still joining: the last one did so within a heartbeat interval, and the first one within
// joiningHeartbeats. Orders for the first ones alone would put layers on slow accelerators
// that belong on fast ones. A service none of whose endpoints can be placed waits, too.
func (c *Controller) stillJoining(service string, states []EndpointState, now time.Time) bool {
	if len(states) == 0 {
		return true
	}
	oldest, newest := now, time.Time{}
	for _, s := range states {
		if s.Layers.Len() > 0 || s.OrderPending {
			return false
		}
		j := c.joined[s.ID]
		if j.at.Before(oldest) {
			oldest = j.at
		}
		if !j.restarted && j.at.After(newest) {
			newest = j.at
		}
	}
	if now.Sub(newest) < c.heartbeat && now.Sub(oldest) < joiningHeartbeats*c.heartbeat {
		return true
	}
	c.startedAt[service] = now // endpoints that joined until now replace no others
	c.placedAt[service] = now
	return false
}

// Reconcile plans the placement of each service and sends the orders that are due.
// No order is queued while the lead isn't confirmed. One that waits for the answers to others is
// sent once it is confirmed again, unless it has ended.
func (c *Controller) Reconcile(ctx context.Context, cfg *fleet.Configuration, lead Lead) {
	endpoints := c.table.All()
	for i := range cfg.Services {
		if e := cfg.Services[i].Engine; e != nil && e.Layers > 0 {
			c.reconcileService(ctx, &cfg.Services[i], endpoints, lead)
		}
	}
}

func (c *Controller) reconcileService(ctx context.Context, svc *fleet.Service, endpoints []fleet.Endpoint, lead Lead) {
	var states []EndpointState
	byID := map[string]*fleet.Endpoint{}
	c.mu.Lock()
	now := c.svc.Now()
	if c.startedAt[svc.Name].IsZero() {
		c.startedAt[svc.Name] = now
	}
	c.silences.update(svc.Name, endpoints, now)
	for i := range endpoints {
		e := &endpoints[i]
		if e.Service != svc.Name {
			continue
		}
		paused := e.Silent && c.silences.keepsLayers(e, now)
		if !e.Usable() || e.Silent && !paused || c.hasUnknownOrder(e) || c.inBackoff(e, now) {
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
			Initial:      c.initial(e),
			OrderPending: paused || c.orderPending(e, now),
		})
	}
	joining := c.stillJoining(svc.Name, states, now)
	c.mu.Unlock()
	if joining {
		return
	}
	for _, o := range Plan(svc.Engine, states) {
		if !lead.Confirmed(ctx) {
			return
		}
		c.sendAsync(o, byID[o.ID], loadTimeout(svc.Engine, o.Layers), lead)
	}
}

// expectedLayers returns the layers that an endpoint was ordered to hold, if the order
// may still be in progress, and else those that it holds.
func (c *Controller) expectedLayers(e *fleet.Endpoint, now time.Time) fleet.Range {
	if c.orderPending(e, now) {
		return c.orders[e.ID].layers
	}
	return e.Layers
}

// orderPending reports whether an order to an endpoint may still be in progress.
func (c *Controller) orderPending(e *fleet.Endpoint, now time.Time) bool {
	s := c.orders[e.ID]
	return s != nil && s.layers != e.Layers && (s.calling || e.Loading || now.Before(s.pendingUntil))
}

// hasUnknownOrder reports whether an endpoint carries out an order that this controller
// didn't send. It isn't known which layers the endpoint will hold, and it accepts no
// other order before it is done.
func (c *Controller) hasUnknownOrder(e *fleet.Endpoint) bool {
	return e.Loading && e.Layers.Len() == 0 && c.orders[e.ID] == nil
}

// loadTimeout returns how long an accepted order may take before the endpoint is
// queried about it. Several loads may run at once, and the heartbeat that reports the
// end comes later.
func loadTimeout(e *fleet.Engine, layers fleet.Range) time.Duration {
	if e.Layers == 0 {
		return 0
	}
	return 3 * e.LoadTime * time.Duration(layers.Len()) / time.Duration(e.Layers)
}
