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
	Place(ctx context.Context, o Order, address string, orders uint64) (Outcome, error)
	// Report asks what an incarnation holds. It fails if another one answers,
	// and with ErrNoReport if it is no engine. What it says of itself is told with
	// any answer, also beside an error.
	Report(ctx context.Context, id, address string) (Report, error)
}

const (
	orderTimeout = time.Second
	// askAgain is how long an order without an answer, or one that was taken
	// and shows no effect, is left alone before the endpoint is asked.
	askAgain = 2 * time.Second
	// spareFor is how long an empty endpoint is kept for a hole: where
	// endpoints are replaced one by one, the old one leaves about 2 s after
	// the new one came.
	spareFor = 5 * time.Second
	// ordersAtOnce is how many orders wait for their answers at once: a connection
	// each, and the first placement of 3,000 endpoints would make 3,000.
	ordersAtOnce = 64
)

// Controller carries out plans. Only the leader's works; the number of orders an
// endpoint has taken keeps late ones of an earlier leader out.
type Controller struct {
	orders EndpointClient
	table  *registry.Table
	short  func(id string) bool // of what the endpoint's service is asked for
	svc    timer.Service
	log    *eventlog.Log
	group  *group.Group
	beat   time.Duration

	mu    sync.Mutex
	known map[string]*standing // by incarnation
	seen  map[string]time.Time // when an incarnation was first seen
	homes map[string]bool      // addresses at which incarnations were seen
	falls *falls
	began time.Time     // when this keeper first tended; zero: not yet
	slots chan struct{} // one for each order under way
}

// standing is what was ordered of an endpoint.
type standing struct {
	layers fleet.Range
	taken  uint64 // orders it has taken, as far as known
	until  time.Time
	asking bool
	doubt  bool // its fate must be asked for before the next order
	shown  bool // the endpoint holds the layers, or took no order yet
}

// NewController returns a keeper whose calls run in g. Endpoints announce themselves
// once in a beat; short tells which of them take less than their service is asked for.
func NewController(orders EndpointClient, table *registry.Table, short func(id string) bool, beat time.Duration, svc timer.Service, log *eventlog.Log, g *group.Group) *Controller {
	return &Controller{
		beat:   beat,
		orders: orders,
		table:  table,
		short:  short,
		svc:    svc,
		log:    log,
		group:  g,
		known:  map[string]*standing{},
		seen:   map[string]time.Time{},
		homes:  map[string]bool{},
		falls:  newFalls(),
		slots:  make(chan struct{}, ordersAtOnce),
	}
}

// Reset drops what was ordered, when another replica leads.
func (k *Controller) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known = map[string]*standing{}
	k.seen = map[string]time.Time{}
	k.homes = map[string]bool{}
	k.falls = newFalls()
	k.began = time.Time{}
}

// fresh reports whether an endpoint has only just come. Those that were there
// when this keeper began are not, nor is one that came back to its address: it
// replaces nothing that still runs.
func (k *Controller) fresh(e *fleet.Endpoint, now time.Time) bool {
	at, known := k.seen[e.ID]
	if !known {
		at = now
		if k.homes[e.Address] {
			at = k.began
		}
		k.seen[e.ID] = at
		k.homes[e.Address] = true
	}
	return at.After(k.began) && now.Sub(at) < spareFor
}

// gathering reports whether a service that holds nothing yet still grows: an
// endpoint came within the last beat. Orders that were given to the first that
// come would put slow accelerators where fast ones are due.
func (k *Controller) gathering(servers []EndpointState, now time.Time) bool {
	newest := time.Time{}
	for _, s := range servers {
		if s.Layers.Len() > 0 || s.OrderPending {
			return false
		}
		if at := k.seen[s.ID]; at.After(newest) {
			newest = at
		}
	}
	if now.Sub(newest) < k.beat {
		return true
	}
	k.began = now // what came meanwhile replaces nothing
	return false
}

// Reconcile gives the orders that are due. leads is asked right before each.
func (k *Controller) Reconcile(ctx context.Context, cfg *fleet.Configuration, leads func() bool) {
	endpoints := k.table.All()
	for i := range cfg.Services {
		if e := cfg.Services[i].Engine; e != nil && e.Layers > 0 {
			k.tendService(ctx, &cfg.Services[i], endpoints, leads)
		}
	}
}

func (k *Controller) tendService(ctx context.Context, svc *fleet.Service, endpoints []fleet.Endpoint, leads func() bool) {
	var servers []EndpointState
	byID := map[string]*fleet.Endpoint{}
	k.mu.Lock()
	now := k.svc.Now()
	if k.began.IsZero() {
		k.began = now
	}
	for i := range endpoints {
		e := &endpoints[i]
		if e.Service != svc.Name || !e.Usable() || e.Silent || k.strange(e) || k.rests(e, now) {
			continue
		}
		byID[e.ID] = e
		servers = append(servers, EndpointState{
			ID:           e.ID,
			Domain:       e.Domain,
			Kind:         e.Kind,
			Layers:       k.holds(e, now),
			Slowdown:     e.Slowdown,
			BelowDemand:  k.short(e.ID),
			JustJoined:   k.fresh(e, now),
			OrderPending: k.moving(e, now),
		})
	}
	gathering := k.gathering(servers, now)
	k.mu.Unlock()
	if gathering {
		return
	}
	for _, o := range Plan(svc.Engine, servers) {
		if !leads() {
			return
		}
		k.order(o, byID[o.ID], loadTime(svc.Engine, o.Layers))
	}
}

// holds returns what an endpoint was ordered to hold lately, or else holds.
func (k *Controller) holds(e *fleet.Endpoint, now time.Time) fleet.Range {
	if k.moving(e, now) {
		return k.known[e.ID].layers
	}
	return e.Layers
}

// moving reports whether an order to an endpoint may still be under way.
func (k *Controller) moving(e *fleet.Endpoint, now time.Time) bool {
	s := k.known[e.ID]
	return s != nil && s.layers != e.Layers && (s.asking || e.Loading || now.Before(s.until))
}

// strange reports whether an endpoint carries out an order that this keeper
// didn't give: which layers it will hold isn't known, and it takes no other
// order before.
func (k *Controller) strange(e *fleet.Endpoint) bool {
	return e.Loading && e.Layers.Len() == 0 && k.known[e.ID] == nil
}

// loadTime is how long a load may take before it is doubted: several may run
// at once, and the heartbeat that tells of its end comes later.
func loadTime(e *fleet.Engine, layers fleet.Range) time.Duration {
	if e.Layers == 0 {
		return 0
	}
	return 3 * e.LoadTime * time.Duration(layers.Len()) / time.Duration(e.Layers)
}
