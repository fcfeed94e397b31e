// Package control implements a control host: one replica of the system's own
// state, the RPC services for entry hosts, and the administration API.
package control

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/raft"
	"github.com/larchwinch/larchwinch/pkg/replica"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"github.com/larchwinch/larchwinch/pkg/store"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

const (
	defaultTick        = 20 * time.Millisecond
	defaultClaimWindow = 10 * time.Minute
	proposeTimeout     = 5 * time.Second
	maxFetchWait       = 20 * time.Second
	listInterval       = time.Second
	evaluateInterval   = 500 * time.Millisecond
)

// Server is a control host.
type Server struct {
	cfg          *config.Control
	svc          timer.Service
	clients      Clients
	trust        *bundle.Trust
	stateMachine *state.Machine
	store        *store.Store
	node         *replica.Node
	presence     *presence
	metrics      *metrics.Set
}

// ErrNotInitialised is returned by New if the replica's data folder is empty and
// Start allows neither a new cluster nor joining one.
var ErrNotInitialised = errors.New("the data folder is empty; start with --new-cluster to bootstrap a cluster, " +
	"or with --join if operators have added this id as a new replica. A replica that lost its disk must rejoin under a new id")

// Start says how a replica with an empty data folder may start.
type Start struct {
	NewCluster bool
	Join       bool
}

// Clients are the HTTP clients of a control host.
type Clients struct {
	// Platform reads the platform's host list. RPC calls the system's own
	// processes.
	Platform *http.Client
	RPC      *http.Client
}

// New opens the data folder and returns a control host. The goroutines of its
// transport run in g.
func New(cfg *config.Control, disk store.Disk, start Start, svc timer.Service, clients Clients, set *metrics.Set, g *group.Group) (*Server, error) {
	trust, err := cfg.Build()
	if err != nil {
		return nil, err
	}
	st, err := store.Open(disk)
	if err != nil {
		return nil, err
	}
	if st.Empty() && !start.NewCluster && !start.Join {
		return nil, ErrNotInitialised
	}
	s := &Server{
		cfg:          cfg,
		svc:          svc,
		clients:      clients,
		trust:        trust,
		stateMachine: state.New(cfg.ClaimWindow.Or(defaultClaimWindow).Milliseconds()),
		store:        st,
		presence:     newPresence(),
		metrics:      set,
	}
	rc := replica.Config{
		ID:           cfg.ID,
		Tick:         cfg.Tick.Or(defaultTick),
		Store:        st,
		StateMachine: s.stateMachine,
		Transport:    replica.NewTwirpTransport(cfg.ID, "", clients.RPC, g),
		Timer:        svc,
		Seed:         uint64(svc.Now().UnixNano()),
	}
	if start.NewCluster {
		rc.Bootstrap = members(cfg.Replicas)
	}
	s.node, err = replica.New(rc)
	return s, err
}

// Run runs the replica and the leader's periodic work until ctx ends or the store
// fails.
func (s *Server) Run(ctx context.Context) error {
	g := group.New(ctx)
	defer g.Stop()
	g.Go(s.pollList)
	g.Go(s.evaluatePresence)
	g.Go(s.reportRole)
	err := s.node.Run(ctx)
	_ = s.store.Close() // everything acknowledged is already synced
	return err
}

// Node returns the control host's replica of the replicated log.
func (s *Server) Node() *replica.Node {
	return s.node
}

// RPC returns the handler of the services for the system's own processes.
func (s *Server) RPC() http.Handler {
	mux := http.NewServeMux()
	services := []rpc.TwirpServer{
		rpc.NewReplicaServer(s),
		rpc.NewRolloutServer(s),
		rpc.NewClaimsServer(s),
		rpc.NewPresenceServer(s),
	}
	for _, service := range services {
		mux.Handle(service.PathPrefix(), service)
	}
	return markForwarded(mux)
}

// Deliver implements rpc.Replica.
func (s *Server) Deliver(_ context.Context, batch *rpc.RaftBatch) (*rpc.Empty, error) {
	s.node.Deliver(batch.GetMessages())
	return &rpc.Empty{}, nil
}

// propose replicates a command and returns the state machine's answer.
func (s *Server) propose(ctx context.Context, cmd *rpc.Command) (*rpc.CommandReply, error) {
	cmd.UnixMs = s.svc.Wall().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := s.node.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	reply := &rpc.CommandReply{}
	if err := proto.Unmarshal(answer, reply); err != nil {
		return nil, errors.Wrap(err, "decode reply")
	}
	return reply, nil
}

// unavailable wraps a failure to reach a majority as a ControlUnavailable failure.
// ran tells whether the change may have been made.
func unavailable(err error, ran failure.Ran) error {
	return failure.Wrap(err, failure.ControlUnavailable, "no majority of the control replicas answered").WithRan(ran)
}

// reportRole updates the gauges periodically, and logs each change of the
// replica's role.
func (s *Server) reportRole(ctx context.Context) {
	last := raft.Follower
	timer.Loop(ctx, s.svc, evaluateInterval, func(time.Time) {
		st := s.node.Status()
		if st.Role != last {
			logflags.Info(logflags.Raft, "role changed", "role", st.Role.String(), "term", st.Term)
			last = st.Role
		}
		s.updateGauges(st)
	})
}

func (s *Server) updateGauges(st replica.Status) {
	s.metrics.Gauge("raft_term").Update(int64(st.Term))
	s.metrics.Gauge("raft_commit").Update(int64(st.Commit))
	s.metrics.Gauge("raft_leader").Update(boolGauge(st.Role == raft.Leader))
	s.metrics.Gauge("log_bytes").Update(st.LogBytes)
	s.metrics.Gauge("revision").Update(int64(s.stateMachine.Revision()))
	s.metrics.Gauge("claims").Update(int64(s.stateMachine.ClaimCount()))
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// twirpError converts an error to the Twirp error for another process of the
// system.
func twirpError(err error) error {
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return twirp.Unavailable.Error(err.Error())
	case errors.Is(err, replica.ErrLeadershipLost), errors.Is(err, context.DeadlineExceeded):
		return twirp.DeadlineExceeded.Error(err.Error())
	default:
		return twirp.InternalErrorWith(err)
	}
}
