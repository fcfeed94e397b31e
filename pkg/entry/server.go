// Package entry implements an entry host, which serves callers: it authenticates
// them, admits their requests, and runs these on engines and plain services.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/chain"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/directory"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/limits"
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/rollout"
	"github.com/larchwinch/larchwinch/pkg/route"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	defaultLatencyBudget  = 700 * time.Millisecond
	defaultRequestTimeout = 2 * time.Minute
	sweepInterval         = time.Minute
)

// Server is an entry host.
type Server struct {
	cfg      *config.Entry
	svc      timer.Service
	clients  Clients
	metrics  *metrics.Set
	group    *group.Group
	syncer   *rollout.Syncer
	dir      *directory.Directory
	router   *route.Router
	runner   *chain.Runner
	accounts *limits.Accounts
	queue    *limits.AdmissionQueue
	claims   *claimer
	watcher  *watcher

	incarnation uint64
	leaving     atomic.Bool
	requests    atomic.Int64
	nextID      atomic.Uint64
}

// Clients are the HTTP clients of an entry host.
type Clients struct {
	// Endpoints calls engines and plain services. Once calls plain services with
	// requests that must not be repeated. RPC calls the system's own processes.
	Endpoints *http.Client
	Once      *http.Client
	RPC       *http.Client
}

// New returns an entry host. Its goroutines run in g once Start is called.
func New(cfg *config.Entry, svc timer.Service, clients Clients, set *metrics.Set, g *group.Group) (*Server, error) {
	trust, err := cfg.Build()
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:         cfg,
		svc:         svc,
		clients:     clients,
		metrics:     set,
		group:       g,
		dir:         directory.New(svc),
		incarnation: uint64(svc.Now().UnixNano()),
	}
	s.syncer = rollout.New(cfg.Host, cfg.Control, s.peers, trust, svc, clients.RPC, set)
	s.router = route.New(route.Policy(cfg.Policy), cfg.Domain, s.hostCount, rand.New(rand.NewPCG(s.incarnation, 1)))
	s.runner = chain.New(chain.Config{
		Client:    clients.Endpoints,
		Directory: s.dir,
		Router:    s.router,
		Timer:     svc,
		Metrics:   set,
		Group:     g,
	})
	s.accounts = limits.NewAccounts(svc, s.hostCount)
	s.queue = limits.NewAdmissionQueue(svc, cfg.LatencyBudget.Or(defaultLatencyBudget), s.capacity)
	s.claims = newClaimer(cfg.Host, s.incarnation, cfg.Control, clients.RPC, cfg.RequestTimeout.Or(defaultRequestTimeout))
	s.watcher = newWatcher(clients.Endpoints, svc)
	return s, nil
}

// Start starts the goroutines that fetch bundles, send heartbeats, probe
// endpoints and remove idle client accounts.
func (s *Server) Start() {
	s.group.Go(s.syncer.Run)
	s.group.Go(s.heartbeatLoop)
	s.group.Go(s.probeLoop)
	s.group.Go(s.sweepLoop)
}

// RPC returns the handler for other processes of the system.
func (s *Server) RPC() http.Handler {
	mux := http.NewServeMux()
	server := rpc.NewRolloutServer(s.syncer)
	mux.Handle(server.PathPrefix(), server)
	return mux
}

// Syncer returns the syncer of this host's active set of bundles.
func (s *Server) Syncer() *rollout.Syncer {
	return s.syncer
}

// Directory returns this host's view of the endpoints and the other entry hosts.
func (s *Server) Directory() *directory.Directory {
	return s.dir
}

// AdmissionQueue returns the admission queue in front of the engines.
func (s *Server) AdmissionQueue() *limits.AdmissionQueue {
	return s.queue
}

// Drain makes the host leave: it announces that it takes no new work, and waits
// until no request is in flight or ctx ends. It returns how many requests are
// still in flight.
func (s *Server) Drain(ctx context.Context) int64 {
	s.leaving.Store(true)
	s.heartbeat(ctx)
	logflags.Info(logflags.Entry, "leaving", "in_flight", s.requests.Load())
	for s.requests.Load() > 0 {
		if timer.Sleep(ctx, s.svc, drainPoll) != nil {
			break
		}
	}
	return s.requests.Load()
}

const drainPoll = 20 * time.Millisecond

// hostCount returns the number of entry hosts, this one included.
func (s *Server) hostCount() int {
	return max(1, s.dir.EntryHostCount())
}

// peers returns the RPC addresses of the other entry hosts from which sets of
// bundles can be fetched: those that the control hosts listed last, then those in
// the settings.
func (s *Server) peers() []string {
	var list []string
	for _, e := range s.dir.Entries() {
		if e.GetHost() != s.cfg.Host {
			list = append(list, e.GetRpcAddress())
		}
	}
	return append(list, s.cfg.Peers...)
}

// capacity returns how many requests this host admits at once, at least one: its
// equal share of the sum, over all models, of the slots at each model's layer with
// the fewest slots.
func (s *Server) capacity() int {
	total := 0
	for _, b := range s.syncer.Set().Bundles() {
		for _, m := range b.Models {
			total += route.Slots(s.dir.Engines(m.Name, m.Version), m.Layers)
		}
	}
	return max(1, total/s.hostCount())
}

func (s *Server) sweepLoop(ctx context.Context) {
	timer.Loop(ctx, s.svc, sweepInterval, func(time.Time) {
		for _, name := range s.accounts.Sweep() {
			s.metrics.Remove(accountLabel(name))
		}
	})
}

func accountLabel(name string) metrics.Label {
	return metrics.Label{
		Name:  "account",
		Value: name,
	}
}
