// Package fleetcontrol implements a control host: it replicates the operator's
// configuration, tracks the endpoints' heartbeats, and answers the entry hosts'
// long polls.
package fleetcontrol

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/quorum"
	"github.com/larchwinch/larchwinch/pkg/registry"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// propagateInterval is how often a replica sends the leader the heartbeats that it
	// received itself.
	propagateInterval = 500 * time.Millisecond
	leadInterval      = 300 * time.Millisecond
	// replicaCallTimeout bounds a call to another replica. The acknowledgement of a
	// leave announcement waits for such calls, and endpoints wait for it for a second.
	replicaCallTimeout = 400 * time.Millisecond
	// proposeTimeout is below the second after which operators' tools try another host.
	proposeTimeout = 900 * time.Millisecond
	// settleHeartbeats is how many heartbeat intervals a new leader waits before it
	// treats its list of endpoints as complete.
	settleHeartbeats = 2
	// leadRetention is for how long a replica that can't confirm its lease keeps what it knows
	// as the leader: nobody else has led as long as its term stands.
	leadRetention = 5 * time.Second
)

// Decoder decodes and checks a configuration in the operator's format.
type Decoder interface {
	Decode(content []byte) (*fleet.Configuration, error)
}

// Reachability tells which endpoints this host reaches.
type Reachability interface {
	// ReachesOthers reports whether this host reaches an endpoint at another address.
	ReachesOthers(ctx context.Context, address string) bool
	// Lost reports whether the endpoint at an address accepts no connection.
	Lost(ctx context.Context, address string) bool
	// Isolated reports whether this host reaches no endpoint.
	Isolated() bool
}

// Config configures a Server. Every field is required but Folder and Bootstrap.
type Config struct {
	Folder string // data folder; empty on a host without a disk
	IP     string
	// Port is the port of the internal RPCs, the same on every control host.
	Port            string
	Bootstrap       Bootstrap
	SeedIPs         func() []string
	ToleratedLosses int           // number of disks that may be lost at once
	Heartbeat       time.Duration // interval between an endpoint's heartbeats
	Decoder         Decoder
	Orders          placement.EndpointClient // sends the leader's probes and orders
	Reachability    Reachability
	Client          *http.Client
	Timer           timer.Service
	Log             *eventlog.Log
	Metrics         *metrics.Set
}

// Server is a control host.
type Server struct {
	cfg     Config
	replica *Replica
	// leadership is replica, behind an interface that tests replace.
	leadership   leadership
	table        *registry.Table
	hosts        *hosts
	endpointList *endpointList
	history      *fleet.History
	propagator   propagator

	appliedDepartures appliedDepartures
	endpointClient    *endpointClient
	controller        *placement.Controller
	group             *group.Group

	probes      *probeSchedule
	coordinator *quarantineCoordinator
	granter     *permit.Granter
	admission   *admissionControl
	full        *fullEndpoints
	// admissionIndex caches the index of admissionConfig for updateAdmission.
	admissionIndex  *fleet.Index
	admissionConfig *fleet.Configuration

	decodeMu sync.Mutex
	// decodedConfig caches the configuration that was decoded last.
	decodedConfig *fleet.Configuration

	mu      sync.Mutex
	leading leading
}

// leading says in which term this replica leads, since when, and when that was confirmed last.
type leading struct {
	term        uint64
	since       time.Time
	confirmedAt time.Time
	// settled is set once every endpoint has had time to announce itself.
	settled bool
}

// recordLeading returns when this replica was first seen to lead in the term.
func (s *Server) recordLeading(term uint64, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading.term != term {
		s.leading = leading{
			term:  term,
			since: now,
		}
	}
	s.leading.confirmedAt = now
	return s.leading.since
}

// lastLed returns the term in which this replica was last seen to lead, and when that was; 0 if
// that has ended.
func (s *Server) lastLed() (term uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading.term, s.leading.confirmedAt
}

// settled reports whether every endpoint has had time to announce itself since this
// replica began to lead in the term.
func (s *Server) settled(term uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading.term == term && s.leading.settled
}

// markSettled marks the term as settled, and drops the endpoints that were restored
// from disk and have sent no heartbeat.
func (s *Server) markSettled(term uint64) {
	if s.settled(term) {
		return
	}
	s.dropUnconfirmed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leading.term == term {
		s.leading.settled = true
	}
}

// New returns a control host. Its background calls run in g.
func New(cfg Config, g *group.Group) *Server {
	s := &Server{
		cfg:          cfg,
		table:        registry.New(cfg.Timer, cfg.Log, cfg.Heartbeat),
		hosts:        newHosts(),
		history:      fleet.NewHistory(),
		endpointList: newEndpointList(cfg.Log),
		group:        g,
		probes:       newProbeSchedule(),
		coordinator:  newQuarantineCoordinator(cfg.Timer),
		granter:      permit.NewGranter(cfg.Timer),
		full:         newFullEndpoints(),
	}
	s.admission = newAdmissionControl(admission.NewAllocator(cfg.Timer), s.table, cfg.Log, cfg.Metrics)
	s.replica = &Replica{
		folder:        cfg.Folder,
		ip:            cfg.IP,
		port:          cfg.Port,
		bootstrap:     cfg.Bootstrap,
		seedAddresses: s.seedAddresses,
		client:        cfg.Client,
		svc:           cfg.Timer,
		log:           cfg.Log,
		metrics:       cfg.Metrics,
		tracker:       quorum.NewTracker(cfg.Timer, cfg.ToleratedLosses),
		joined:        s.fetchAsMember,
	}
	s.leadership = s.replica
	s.endpointClient = newEndpointClient(cfg.Orders, s.table, s.granter, cfg.Timer, cfg.Log)
	s.controller = placement.NewController(s.endpointClient, s.table, s.belowDemand, cfg.Heartbeat, cfg.Timer, cfg.Log, g)
	return s
}

func (s *Server) seedAddresses() []string {
	var list []string
	for _, ip := range s.cfg.SeedIPs() {
		list = append(list, net.JoinHostPort(ip, s.cfg.Port))
	}
	return list
}

// Run runs the control host until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g := group.New(ctx)
	defer g.Stop()
	s.restoreEndpoints()
	g.Go(s.saveEndpoints)
	g.Go(func(ctx context.Context) {
		if timer.Sleep(ctx, s.cfg.Timer, s.restoreTimeout()) == nil {
			s.dropRestored(ctx)
		}
	})
	g.Go(s.fetchEndpoints)
	g.Go(s.propagateAnnounced)
	g.Go(s.lead)
	g.Go(s.runQuarantine)
	g.Go(s.runAdmission)
	s.replica.Run(ctx)
	return nil
}

// RPC returns the handler of the internal RPCs.
func (s *Server) RPC() http.Handler {
	mux := http.NewServeMux()
	replicaServer := rpc.NewReplicaServer(s)
	fleetServer := rpc.NewFleetServer(s)
	mux.Handle(replicaServer.PathPrefix(), replicaServer)
	mux.Handle(fleetServer.PathPrefix(), fleetServer)
	return mux
}

// Deliver implements rpc.Replica.
func (s *Server) Deliver(_ context.Context, batch *rpc.RaftBatch) (*rpc.Empty, error) {
	s.replica.Deliver(batch)
	return &rpc.Empty{}, nil
}

// Join implements rpc.Fleet.
func (s *Server) Join(_ context.Context, q *rpc.JoinRequest) (*rpc.JoinReply, error) {
	return s.replica.handleJoin(q)
}

// AnnounceStop prepares a planned stop: where other replicas can do without this one, it
// returns once they need no vote of it. It returns at the end of ctx at the latest.
func (s *Server) AnnounceStop(ctx context.Context) {
	s.replica.announceStop(ctx)
}

// expireHosts forgets the entry hosts that are gone.
func (s *Server) expireHosts(now time.Time) {
	gone := s.hosts.expire(now)
	s.admission.forget(gone)
	s.full.forget(gone)
}

// lead runs the leader's periodic work: it expires entry hosts and rate limits, probes
// endpoints, and reconciles their placement with the configuration.
func (s *Server) lead(ctx context.Context) {
	builds := &buildRecord{
		log:     s.cfg.Log,
		metrics: s.cfg.Metrics,
	}
	timer.Loop(ctx, s.cfg.Timer, leadInterval, func(now time.Time) { s.leadOnce(ctx, now, builds) })
}

// endTerm drops what this replica knew as the leader of a term.
func (s *Server) endTerm(now time.Time, builds *buildRecord) {
	s.recordLeading(0, now)
	s.hosts.reset()
	s.controller.Reset()
	builds.update(nil)
}

func (s *Server) leadOnce(ctx context.Context, now time.Time, builds *buildRecord) {
	s.recordCommitted()
	machine, term, leader := s.leadership.Leads(ctx)
	ledIn, ledAt := s.lastLed()
	if machine == nil {
		if leader != "" || now.Sub(ledAt) > leadRetention {
			s.endTerm(now, builds)
		}
		return
	}
	if ledIn != 0 && ledIn != term {
		s.endTerm(now, builds)
	}
	since := s.recordLeading(term, now)
	s.expireHosts(now)
	builds.update(s.hosts.builds())
	s.logLimitChanges(s.granter.Expire())
	if now.Sub(since) < settleHeartbeats*s.cfg.Heartbeat {
		return
	}
	s.markSettled(term)
	late := s.table.Sweep()
	if s.cfg.Reachability.Isolated() {
		return // neither probes nor orders would arrive
	}
	s.probeAll(late)
	doc := machine.Document()
	if doc == nil {
		return
	}
	cfg, err := s.decode(doc)
	if err != nil {
		s.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the configuration that stands can't be read"), eventlog.Err(err))
		return
	}
	s.controller.Reconcile(ctx, cfg, &termLead{
		server: s,
		term:   term,
	})
}

// termLead implements placement.Lead.
type termLead struct {
	server *Server
	term   uint64
}

// Confirmed implements placement.Lead.
func (l *termLead) Confirmed(ctx context.Context) bool {
	machine, term, _ := l.server.leadership.Leads(ctx)
	return machine != nil && term == l.term
}

// Ended implements placement.Lead.
func (l *termLead) Ended(ctx context.Context) bool {
	machine, term, leader := l.server.leadership.Leads(ctx)
	if machine != nil {
		return term != l.term
	}
	led, _ := l.server.lastLed()
	return leader != "" || led != l.term
}
