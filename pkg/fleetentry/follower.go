// Package fleetentry is an entry host's side of a deployment whose operator
// sends whole configurations: what the host believes and since when, which
// hosts callers are told of, and how it leaves.
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
	// syncWait is how long a call without news is held; loads are told as often.
	syncWait = 400 * time.Millisecond
	// syncTimeout ends a call to a control host that went silent.
	syncTimeout = 900 * time.Millisecond
	// retryDelay lies between two calls that failed.
	retryDelay = 50 * time.Millisecond
	// maxFreshAge is how old a confirmation may be for a final refusal by the
	// configuration.
	maxFreshAge = 1500 * time.Millisecond
	// revocationMargin is taken off the bound for keys that were taken away, for
	// clocks that differ in speed and a request's way to this host.
	revocationMargin = 400 * time.Millisecond
	// goneRetention is how long an endpoint that ended is remembered.
	goneRetention = time.Minute
)

// Decoder reads a configuration as the operator sends it.
type Decoder interface {
	Decode(content []byte) (*fleet.Configuration, error)
}

// Loads tells what this host has under way.
type Loads interface {
	Loads() map[string]gateway.Load
	// Load returns what is under way at one endpoint.
	Load(id string) gateway.Load
	// Suspects returns the endpoints that failed this host just now.
	Suspects() []string
}

// ControlClientConfig is what a Follower is made of. Every field must be set.
type ControlClientConfig struct {
	Name          string
	Domain        string
	CallerAddress string
	// Seeds returns the control hosts' addresses that the settings tell.
	Seeds              func() []string
	MaxRevocationDelay time.Duration // how long a key that was taken away may serve
	Decoder            Decoder
	Client             *http.Client
	Timer              timer.Service
	Log                *eventlog.Log
}

// ControlClient keeps what this host believes. It is safe for use by several
// goroutines.
//
// Invariants: the configuration's version never falls; confirmedAt never
// falls, and the configuration was the newest acknowledged one at that time or
// later.
type ControlClient struct {
	cfg           ControlClientConfig
	loads         Loads
	quarantine    Quarantine
	backoffs      Backoffs
	permits       Permits
	limitObserved chan struct{} // holds one if the leader must be told of limits

	// content is the configuration in force as the operator sent it, which
	// patches are applied to. whole says that a patch was no good, askOthers that
	// another replica may be asked for a large configuration. Only Run's
	// goroutine touches these and telling.
	content        []byte
	wantFull       bool
	mayAskReplicas bool
	inFlight       syncReport // with the call under way

	mu               sync.Mutex
	index            *fleet.Index
	confirmedAt      time.Time // zero: never
	controlLost      bool
	epoch            uint64
	endpointsVersion uint64 // of endpoints
	endpoints        map[string]fleet.Endpoint
	byService        map[string][]fleet.Endpoint
	leavingSince     map[string]time.Time    // when endpoints told this host that they leave
	endpointsDigest  uint64                  // of the usable endpoints
	peerLoads        map[uint32]gateway.Load // by fleet.LoadKey; of all hosts but this one
	reportedLoads    map[string]gateway.Load // this host's, with the last call
	baselineLoads    map[string]gateway.Load // and with the call that brought others
	callerAddresses  []string                // hosts that callers may be told of
	hostCount        int                     // how many are ready
	replicas         []string
	leaving          bool
	shutdownAt       time.Time // zero: it wasn't told to stop
	settled          bool
	targetIndex      int // which control host is asked
	leaderHint       string
	interrupt        context.CancelFunc // of the call under way
	interrupted      bool
	wasReady         bool
	changed          chan struct{} // closed when endpoints change
	confirmed        chan struct{} // closed with each confirmation
}

// NewControlClient returns a follower that believes nothing yet.
func NewControlClient(cfg ControlClientConfig) *ControlClient {
	return &ControlClient{
		cfg:            cfg,
		mayAskReplicas: true,
		endpoints:      map[string]fleet.Endpoint{},
		byService:      map[string][]fleet.Endpoint{},
		leavingSince:   map[string]time.Time{},
		peerLoads:      map[uint32]gateway.Load{},
		changed:        make(chan struct{}),
		confirmed:      make(chan struct{}),

		limitObserved: make(chan struct{}, 1),
	}
}

// SetSources sets where the follower learns of this host's load, of requests under which
// endpoints ended, and of endpoints that rest or have limits. It must be called before Run.
func (c *ControlClient) SetSources(loads Loads, quarantine Quarantine, backoffs Backoffs, permits Permits) {
	c.loads = loads
	c.quarantine = quarantine
	c.backoffs = backoffs
	c.permits = permits
}

// Run follows the control hosts until ctx ends.
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

// sync asks one control host, and reports whether it confirmed.
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

// chooseControlHost returns the control host to ask: the one that was named as leader, or
// the next of all that are known.
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
		// Connections at rest may have gone silent with this one: each would cost a
		// time-out more.
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
			Ready:         c.ready(),
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
	c.mayAskReplicas = true // one whole configuration from the leader is enough
	if !q.GetHost().GetReady() {
		q.WaitMs /= 2
	}
	c.addNotices(q, address)
	c.addQuarantineReport(q)
	c.addLimitReport(q)
	c.reportedLoads = c.loads.Loads()
	for id, l := range c.reportedLoads {
		q.Loads.Endpoints = append(q.Loads.Endpoints, fleet.LoadKey(id))
		q.Loads.Requests = append(q.Loads.Requests, uint32(l.Requests))
		q.Loads.Tokens = append(q.Loads.Tokens, uint32(l.Tokens))
	}
	return q
}

// logReadyChange logs when readiness has changed.
func (c *ControlClient) logReadyChange() {
	now := c.ready()
	if now == c.wasReady {
		return
	}
	c.wasReady = now
	c.cfg.Log.Event(eventlog.ReadyChanged, eventlog.Str("ready", strconv.FormatBool(now)))
}

// Leave makes this host unready for good, and tells the control hosts at once.
// It works until end at the latest.
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
