// Package fleetentry is an entry host's side of a deployment whose operator
// sends complete configurations. It holds the host's copy of the state that control
// hosts publish and when that was last confirmed, decides which hosts callers are
// referred to, and shuts the host down gracefully.
package fleetentry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/gateway"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// syncWait is how long a control host holds a long poll open while nothing changes.
	// It is also the interval at which loads are reported.
	syncWait = 400 * time.Millisecond
	// syncTimeout bounds a long poll together with the fetches of a configuration that
	// follow it.
	syncTimeout = 900 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 50 * time.Millisecond
	// maxFreshAge is the age below which a confirmation of the configuration allows this
	// host to reject a request finally because of it.
	maxFreshAge = 1500 * time.Millisecond
	// revocationMargin is subtracted from the maximum revocation delay, to allow for clock
	// drift and for the time that a request takes to reach this host.
	revocationMargin = 400 * time.Millisecond
	// goneRetention is how long an unusable endpoint is remembered after its last heartbeat,
	// and a notice that an unknown endpoint is leaving after it was received.
	goneRetention = time.Minute
)

// Decoder decodes a configuration in the form in which the operator sends it.
type Decoder interface {
	Decode(content []byte) (*fleet.Configuration, error)
}

// Loads provides the load that this host puts on endpoints.
type Loads interface {
	Loads() map[string]gateway.Load
	// Load returns the load that this host puts on one endpoint.
	Load(id string) gateway.Load
	// Suspects returns the endpoints at which this host's requests failed recently.
	Suspects() []string
}

// ControlClientConfig configures a ControlClient. Every field must be set.
type ControlClientConfig struct {
	Name          string
	Domain        string
	CallerAddress string
	// Commit is what this program was built from.
	Commit string
	// RelayPort is the port at which entry hosts take each other's requests, the same on
	// every host.
	RelayPort string
	// Isolated reports whether this host reaches no endpoint.
	Isolated func() bool
	// Seeds returns the control hosts' addresses from the settings.
	Seeds              func() []string
	MaxRevocationDelay time.Duration // how long a revoked key may still be accepted; 0 or less: no bound
	Decoder            Decoder
	Client             *http.Client
	Timer              timer.Service
	Log                *eventlog.Log
}

// ControlClient holds this host's copy of the state that control hosts publish, and keeps
// it current by long polling the leader. It is safe for concurrent use.
//
// Invariants: the configuration's version never decreases. confirmedAt never decreases,
// and the configuration was the newest acknowledged one at that time or later.
type ControlClient struct {
	cfg           ControlClientConfig
	loads         Loads
	enforcer      Quarantine
	backoffs      Backoffs
	permits       Permits
	admission     Admission
	full          FullEndpoints
	limitObserved chan struct{} // buffers one signal: a rate limit must be reported to the leader

	// content is the active configuration as the operator sent it, to which patches are
	// applied. wantFull says that a patch couldn't be used, so that the full configuration
	// is requested, and mayAskReplicas that the leader may refer this host to another
	// replica for a large one. Only Run's goroutine uses these three, inFlight
	// and reportedFull.
	content        []byte
	wantFull       bool
	mayAskReplicas bool
	inFlight       syncReport // sent with the current call
	// reportedFull is when the full endpoints that the leader was told of end.
	reportedFull map[uint32]time.Time

	mu               sync.Mutex
	index            *fleet.Index
	confirmedAt      time.Time // zero if it never was
	controlLost      bool
	epoch            uint64
	endpointsVersion uint64
	endpoints        map[string]fleet.Endpoint
	byService        map[string][]fleet.Endpoint
	leavingSince     map[string]time.Time    // when endpoints reported to this host that they are leaving
	endpointsDigest  uint64                  // of the endpoints in the list that are usable
	peerLoads        map[uint32]gateway.Load // of all hosts but this one, by fleet.LoadKey
	reportedLoads    map[string]gateway.Load // this host's, as sent with the last call
	baselineLoads    map[string]gateway.Load // this host's, as sent with the call whose reply set peerLoads
	callerAddresses  []string                // of the hosts to which callers may be referred
	hostCount        int                     // ready entry hosts
	replicas         []string
	leaving          bool
	shutdownAt       time.Time // zero unless the host is stopping
	settled          bool      // every endpoint has had time to announce itself since the leader's term began
	targetIndex      int       // position of the control host to call next, unless leaderHint is set
	leaderHint       string
	interrupt        context.CancelFunc // cancels the current call
	interrupted      bool
	wasReady         bool
	changed          chan struct{} // closed and replaced when endpoints change
	confirmed        chan struct{} // closed and replaced with each confirmed reply
}

// NewControlClient returns a client that holds no configuration and no endpoints yet.
func NewControlClient(cfg ControlClientConfig) *ControlClient {
	return &ControlClient{
		cfg:            cfg,
		mayAskReplicas: true,
		endpoints:      map[string]fleet.Endpoint{},
		byService:      map[string][]fleet.Endpoint{},
		leavingSince:   map[string]time.Time{},
		reportedFull:   map[uint32]time.Time{},
		peerLoads:      map[uint32]gateway.Load{},
		changed:        make(chan struct{}),
		confirmed:      make(chan struct{}),

		limitObserved: make(chan struct{}, 1),
	}
}

// Sources are the sources of what this host reports to the control hosts, which also take
// what the replies tell. Every field must be set.
type Sources struct {
	Loads      Loads
	Quarantine Quarantine // of requests that crash endpoints
	Backoffs   Backoffs
	Permits    Permits // and rate limits
	Admission  Admission
	Full       FullEndpoints
}

// SetSources sets the sources. It must be called before Run.
func (c *ControlClient) SetSources(s Sources) {
	c.loads = s.Loads
	c.enforcer = s.Quarantine
	c.backoffs = s.Backoffs
	c.permits = s.Permits
	c.admission = s.Admission
	c.full = s.Full
}

// Run polls the control hosts until ctx ends.
func (c *ControlClient) Run(ctx context.Context) {
	g := group.New(ctx)
	defer g.Stop()
	g.Go(c.reportObservedLimits)
	for ctx.Err() == nil {
		if c.sync(ctx) {
			continue
		}
		if timer.Sleep(ctx, c.cfg.Timer, retryDelay) != nil {
			return
		}
	}
}

// sync makes one long poll, and reports whether the next may follow without a delay: the
// reply was applied, or Leave interrupted the call.
func (c *ControlClient) sync(ctx context.Context) bool {
	address := c.chooseControlHost()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	c.setInterrupt(cancel)
	sent := c.cfg.Timer.Now()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, c.cfg.Client).Sync(ctx, c.syncRequest(address))
	if err != nil && c.wasInterrupted() {
		return true
	}
	if err != nil || !reply.GetConfirmed() {
		c.syncFailed(address, reply.GetLeader(), err)
		return false
	}
	if !c.applyReply(address, reply, sent) {
		return false
	}
	if reply.GetNewest() > c.configVersion() && c.mayAskReplicas {
		c.fetchConfig(ctx, reply.GetNewest())
	}
	return true
}

// chooseControlHost returns the address of the control host to call: the last known leader,
// or else the next of all that are known. It is empty if none is known.
func (c *ControlClient) chooseControlHost() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderHint != "" {
		return c.leaderHint
	}
	list := append(append([]string(nil), c.replicas...), c.cfg.Seeds()...)
	if len(list) == 0 {
		return ""
	}
	return list[c.targetIndex%len(list)]
}

func (c *ControlClient) syncFailed(address, leader string, err error) {
	if err != nil {
		// Idle connections may have become unresponsive together with this one, and each
		// would cost another time-out.
		c.cfg.Client.CloseIdleConnections()
	}
	c.mu.Lock()
	c.targetIndex++
	c.leaderHint = ""
	if leader != address {
		c.leaderHint = leader
	}
	first := !c.controlLost && !c.confirmedAt.IsZero()
	c.controlLost = true
	c.mu.Unlock()
	if first {
		c.cfg.Log.Event(eventlog.ControlLost, eventlog.Str("address", address), eventlog.Str("leader", leader), eventlog.Err(err))
	}
}

func (c *ControlClient) syncRequest(address string) *rpc.SyncRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logReadyChange()
	q := &rpc.SyncRequest{
		Host: &rpc.FleetHost{
			Name:          c.cfg.Name,
			Domain:        c.cfg.Domain,
			CallerAddress: c.cfg.CallerAddress,
			Ready:         c.ready() && !c.cfg.Isolated(),
			Isolated:      c.ready() && c.cfg.Isolated(),
			Commit:        c.cfg.Commit,
		},
		Epoch:            c.epoch,
		EndpointsVersion: c.endpointsVersion,
		EndpointsDigest:  c.endpointsDigest,
		AddressesDigest:  fleet.AddressesDigest(c.callerAddresses),
		Loads:            &rpc.LoadTable{},
		WaitMs:           uint32(syncWait.Milliseconds()),
	}
	if c.index != nil && !c.wantFull {
		q.DocumentVersion = c.index.Version()
	}
	q.AskOthers = c.mayAskReplicas
	c.mayAskReplicas = true // the leader need not send more than one large configuration itself
	if !q.GetHost().GetReady() {
		q.WaitMs /= 2
	}
	c.addNotices(q, address)
	c.addQuarantineReport(q)
	c.addLimitReport(q)
	c.addAdmissionReport(q)
	c.addFullReport(q)
	c.reportedLoads = c.loads.Loads()
	for id, l := range c.reportedLoads {
		q.Loads.Endpoints = append(q.Loads.Endpoints, fleet.LoadKey(id))
		q.Loads.Requests = append(q.Loads.Requests, uint32(l.Requests))
		q.Loads.Tokens = append(q.Loads.Tokens, uint32(l.Tokens))
	}
	return q
}

// logReadyChange logs a change of readiness. The caller holds mu.
func (c *ControlClient) logReadyChange() {
	now := c.ready()
	if now == c.wasReady {
		return
	}
	c.wasReady = now
	c.cfg.Log.Event(eventlog.ReadyChanged, eventlog.Str("ready", strconv.FormatBool(now)))
}

// Leave makes this host permanently unready, and reports that to the control hosts at
// once by interrupting the long poll. The host serves requests until end at the latest.
func (c *ControlClient) Leave(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.shutdownAt = end
	if c.interrupt != nil {
		c.interrupted = true
		c.interrupt()
	}
}

func (c *ControlClient) setInterrupt(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupt = cancel
	c.interrupted = false
}

func (c *ControlClient) wasInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}
