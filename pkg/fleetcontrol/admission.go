package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// allocateInterval is how often the leader computes allocations: twice for each long
	// poll of 400 ms.
	allocateInterval = 200 * time.Millisecond
	// maxAllocationAge is the age up to which allocations are sent. Hosts count the age
	// from the reply on, so it must stay well below the 5 s for which they trust one.
	maxAllocationAge = 3 * allocateInterval
	// idleInterval is how often a host is sent allocations while there is enough capacity for
	// all: with every third call, and several times in the 5 s for which hosts trust them.
	idleInterval = 900 * time.Millisecond
	// idleRepeats is how many replies in a row say that there is enough for all before some go
	// without: one that is lost must not leave a host with the shares of a past shortage.
	idleRepeats = 2
)

// allocator divides the capacity of services among the demand that hosts report.
type allocator interface {
	Observe(host string, reports []admission.Report)
	Forget(host string)
	Reset()
	// Allocate returns false while too few of the hosts have reported.
	Allocate(service string, capacity float64, hosts int) (admission.Allocation, bool)
}

// admissionControl holds what hosts report of the services under admission control, and
// the allocations that they are sent. Both are those of one term.
type admissionControl struct {
	allocator allocator
	table     *registry.Table
	log       *eventlog.Log
	metrics   *metrics.Set

	mu         sync.Mutex
	term       uint64
	capacities capacities
	demand     map[string]*demandWindow // by service
	// allocations are all that this leader allocates, if valid is set; wire is the same as
	// it is sent to hosts, which must not be changed.
	allocations map[string]admission.Allocation
	valid       bool
	wire        []*rpc.Admission
	madeAt      time.Time
	idle        bool // there is enough capacity for all
	// version increases when a shortage begins or ends, which closes changed.
	version uint64
	changed chan struct{}
	sent    map[string]sentAllocations // by host
}

// sentAllocations is what a host was last sent.
type sentAllocations struct {
	version uint64
	idle    int // replies in a row that said that there is enough for all
	at      time.Time
}

// capacities is the capacity of each service under admission control, for one version of
// the configuration and of the endpoints.
type capacities struct {
	index        *fleet.Index
	tableVersion uint64
	byService    map[string]float64
}

func newAdmissionControl(a allocator, table *registry.Table, log *eventlog.Log, set *metrics.Set) *admissionControl {
	return &admissionControl{
		allocator:   a,
		table:       table,
		log:         log,
		metrics:     set,
		demand:      map[string]*demandWindow{},
		allocations: map[string]admission.Allocation{},
		changed:     make(chan struct{}),
		sent:        map[string]sentAllocations{},
	}
}

// observe records the reports of a host. A host of an older version sends none, and isn't
// counted among those that have reported.
func (c *admissionControl) observe(q *rpc.SyncRequest, term uint64) {
	if !reportsAdmission(q) {
		return
	}
	reports := admission.ReportsFromWire(q.GetAdmission())
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inTerm(term) {
		return
	}
	c.allocator.Observe(q.GetHost().GetName(), reports)
	for _, r := range reports {
		w := c.demand[r.Service]
		if w == nil {
			continue // not under admission control
		}
		for _, d := range r.Demand {
			w.add(d.Tokens)
		}
	}
}

// reportsAdmission reports whether a host takes part in admission control. One without
// anything to report sends a report that names no service.
func reportsAdmission(q *rpc.SyncRequest) bool {
	return len(q.GetAdmission()) > 0
}

// inTerm begins a term if it is newer than the one before, and reports whether it is the
// current one. The caller holds mu.
func (c *admissionControl) inTerm(term uint64) bool {
	if term > c.term {
		c.clear()
		c.term = term
	}
	return term == c.term
}

// forget drops what hosts reported that are gone.
func (c *admissionControl) forget(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.allocator.Forget(name)
		delete(c.sent, name)
	}
}

// reset drops everything. It is called while this replica doesn't lead.
func (c *admissionControl) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == 0 {
		return
	}
	c.clear()
	c.term = 0
}

// clear drops reports and allocations. The caller holds mu.
func (c *admissionControl) clear() {
	c.allocator.Reset()
	for service := range c.allocations {
		c.setGauges(admission.Allocation{
			Service: service,
		})
	}
	c.demand = map[string]*demandWindow{}
	c.allocations = map[string]admission.Allocation{}
	c.sent = map[string]sentAllocations{}
	c.invalidate()
}

// invalidate makes replies carry no allocations. The caller holds mu.
func (c *admissionControl) invalidate() {
	c.valid = false
	c.wire = nil
}

// suspend makes replies carry no allocations until the next update.
func (c *admissionControl) suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.invalidate()
}

// update computes the allocations of the services that the configuration puts under
// admission control. If too few of the hosts have reported, hosts are sent none and keep
// what they hold.
func (c *admissionControl) update(now time.Time, term uint64, index *fleet.Index, hosts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inTerm(term) {
		return
	}
	next := map[string]admission.Allocation{}
	list := make([]admission.Allocation, 0, len(c.allocations))
	idle := true
	for _, service := range admitted(index) {
		if c.demand[service] == nil {
			c.demand[service] = &demandWindow{}
		}
		a, ok := c.allocator.Allocate(service, c.capacity(index, service), hosts)
		if !ok {
			c.invalidate()
			return
		}
		next[service] = a
		if isIdle(a) {
			// The figures take 10 bytes, and hosts don't need them now.
			a = admission.Allocation{
				Service: service,
			}
		} else {
			idle = false
		}
		list = append(list, a)
	}
	c.recordChanges(next)
	c.allocations = next
	c.wire = admission.AllocationsToWire(list)
	c.valid = true
	c.idle = idle
	c.madeAt = now
	for service, w := range c.demand {
		if _, known := next[service]; !known {
			delete(c.demand, service)
			continue
		}
		w.advance()
	}
}

// isIdle reports whether no shortage lasts or is near.
func isIdle(a admission.Allocation) bool {
	return !a.ByAccount && !isShortage(a)
}

// isShortage reports whether an allocation may refuse requests.
func isShortage(a admission.Allocation) bool {
	return a.Shortage > 0 || len(a.Classes) > 0
}

// admitted returns the services under admission control: those of engines whose requests
// differ in rank.
func admitted(index *fleet.Index) []string {
	var list []string
	for _, s := range index.Services() {
		if s.Engine != nil && index.Ranked(s.Name) {
			list = append(list, s.Name)
		}
	}
	return list
}

// capacity returns the capacity of a service. It is computed again only when the endpoints
// or the configuration have changed, since a list of 3,200 endpoints takes a millisecond.
// The caller holds mu.
func (c *admissionControl) capacity(index *fleet.Index, service string) float64 {
	version := c.table.Version()
	if c.capacities.index != index || c.capacities.tableVersion != version {
		c.capacities = capacities{
			index:        index,
			tableVersion: version,
			byService:    map[string]float64{},
		}
		endpoints := map[string][]fleet.Endpoint{}
		for _, e := range c.table.All() {
			endpoints[e.Service] = append(endpoints[e.Service], e)
		}
		for _, name := range admitted(index) {
			c.capacities.byService[name] = admission.Capacity(index.Service(name).Engine, endpoints[name])
		}
	}
	return c.capacities.byService[service]
}

// hasChanges reports whether a shortage has begun or ended that the host wasn't sent yet.
func (c *admissionControl) hasChanges(q *rpc.SyncRequest, term uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maySend(q, term, now) && c.sent[q.GetHost().GetName()].version != c.version
}

// maySend reports whether a host may be sent the allocations: they are those of the term,
// and recent. The caller holds mu.
func (c *admissionControl) maySend(q *rpc.SyncRequest, term uint64, now time.Time) bool {
	return reportsAdmission(q) && c.valid && c.term == term && now.Sub(c.madeAt) <= maxAllocationAge
}

// Changed returns a channel that is closed when a shortage begins or ends.
func (c *admissionControl) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// addTo adds the allocations of the term to a reply, if there are any. While there is
// enough capacity for all, most replies go without: the host keeps what it holds.
func (c *admissionControl) addTo(reply *rpc.SyncReply, q *rpc.SyncRequest, term uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.maySend(q, term, now) {
		return
	}
	name := q.GetHost().GetName()
	last := c.sent[name]
	if c.idle && last.idle >= idleRepeats && last.version == c.version && now.Sub(last.at) < idleInterval {
		return
	}
	reply.Admission = c.wire
	reply.AdmissionValid = true
	next := sentAllocations{
		version: c.version,
		at:      now,
	}
	if c.idle {
		next.idle = last.idle + 1
	}
	c.sent[name] = next
}

// runAdmission regularly computes allocations while this replica leads.
func (s *Server) runAdmission(ctx context.Context) {
	timer.Loop(ctx, s.cfg.Timer, allocateInterval, func(time.Time) { s.updateAdmission(ctx) })
}

func (s *Server) updateAdmission(ctx context.Context) {
	machine, term, _ := s.leadership.Leads(ctx)
	if machine == nil {
		s.admission.reset()
		s.full.reset()
		return
	}
	now := s.cfg.Timer.Now()
	index := s.index(machine)
	// Until every host has had time to call, those that have are too few to tell how many
	// there are.
	if index == nil || !s.hostsKnown(term, now) {
		s.admission.suspend()
		return
	}
	s.admission.update(now, term, index, s.hosts.count())
}

// index returns the index of the committed configuration, or nil if there is none that can
// be read. Only updateAdmission may call it, as the cache is not locked.
func (s *Server) index(machine *state.Machine) *fleet.Index {
	doc := machine.Document()
	if doc == nil {
		return nil
	}
	cfg, err := s.decode(doc)
	if err != nil {
		return nil // lead logs it
	}
	if s.admissionIndex == nil || s.admissionConfig != cfg {
		s.admissionIndex = fleet.NewIndex(cfg)
		s.admissionConfig = cfg
	}
	return s.admissionIndex
}
