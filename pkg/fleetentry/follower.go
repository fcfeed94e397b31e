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
	// retryPause lies between two calls that failed.
	retryPause = 50 * time.Millisecond
	// freshFor is how old a confirmation may be for a final refusal by the
	// configuration.
	freshFor = 1500 * time.Millisecond
	// revokeMargin is taken off the bound for keys that were taken away, for
	// clocks that differ in speed and a request's way to this host.
	revokeMargin = 400 * time.Millisecond
	// goneKeep is how long an endpoint that ended is remembered.
	goneKeep = time.Minute
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
	cfg        ControlClientConfig
	loads      Loads
	suspicions Quarantine
	rests      Backoffs
	permits    Permits
	heardLimit chan struct{} // holds one if the leader must be told of limits

	// content is the configuration in force as the operator sent it, which
	// patches are applied to. whole says that a patch was no good, askOthers that
	// another replica may be asked for a large configuration. Only Run's
	// goroutine touches these and telling.
	content   []byte
	whole     bool
	askOthers bool
	telling   telling // with the call under way

	mu          sync.Mutex
	index       *fleet.Index
	confirmedAt time.Time // zero: never
	lost        bool
	epoch       uint64
	version     uint64 // of endpoints
	endpoints   map[string]fleet.Endpoint
	byService   map[string][]fleet.Endpoint
	leaves      map[string]time.Time    // when endpoints told this host that they leave
	digest      uint64                  // of the usable endpoints
	others      map[uint32]gateway.Load // by fleet.LoadKey; of all hosts but this one
	told        map[string]gateway.Load // this host's, with the last call
	toldThen    map[string]gateway.Load // and with the call that brought others
	addresses   []string                // hosts that callers may be told of
	hosts       int                     // how many are ready
	replicas    []string
	leaving     bool
	stopsAt     time.Time // zero: it wasn't told to stop
	settled     bool
	target      int // which control host is asked
	hint        string
	interrupt   context.CancelFunc // of the call under way
	interrupted bool
	wasReady    bool
	changed     chan struct{} // closed when endpoints change
	confirmed   chan struct{} // closed with each confirmation
}

// NewControlClient returns a follower that believes nothing yet.
func NewControlClient(cfg ControlClientConfig) *ControlClient {
	return &ControlClient{
		cfg:       cfg,
		askOthers: true,
		endpoints: map[string]fleet.Endpoint{},
		byService: map[string][]fleet.Endpoint{},
		leaves:    map[string]time.Time{},
		others:    map[uint32]gateway.Load{},
		changed:   make(chan struct{}),
		confirmed: make(chan struct{}),

		heardLimit: make(chan struct{}, 1),
	}
}

// SetSources sets where the follower learns of this host's load, of requests under which
// endpoints ended, and of endpoints that rest or have limits. It must be called before Run.
func (f *ControlClient) SetSources(loads Loads, suspicions Quarantine, rests Backoffs, permits Permits) {
	f.loads = loads
	f.suspicions = suspicions
	f.rests = rests
	f.permits = permits
}

// Run follows the control hosts until ctx ends.
func (f *ControlClient) Run(ctx context.Context) {
	g := group.New(ctx)
	defer g.Stop()
	g.Go(f.tellHeard)
	for ctx.Err() == nil {
		if f.sync(ctx) {
			continue
		}
		if timer.Sleep(ctx, f.cfg.Timer, retryPause) != nil {
			return
		}
	}
}

// sync asks one control host, and reports whether it confirmed.
func (f *ControlClient) sync(ctx context.Context) bool {
	address := f.choose()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	f.setInterrupt(cancel)
	sent := f.cfg.Timer.Now()
	reply, err := rpc.NewFleetProtobufClient("http://"+address, f.cfg.Client).Sync(ctx, f.request(address))
	if err != nil && f.wasInterrupted() {
		return true
	}
	if err != nil || !reply.GetConfirmed() {
		f.missed(address, reply.GetLeader(), err)
		return false
	}
	if !f.take(address, reply, sent) {
		return false
	}
	if reply.GetNewest() > f.heldVersion() && f.askOthers {
		f.fetch(ctx, reply.GetNewest())
	}
	return true
}

// choose returns the control host to ask: the one that was named as leader, or
// the next of all that are known.
func (f *ControlClient) choose() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hint != "" {
		return f.hint
	}
	list := append(append([]string(nil), f.replicas...), f.cfg.Seeds()...)
	if len(list) == 0 {
		return ""
	}
	return list[f.target%len(list)]
}

func (f *ControlClient) missed(address, leader string, err error) {
	if err != nil {
		// Connections at rest may have gone silent with this one: each would cost a
		// time-out more.
		f.cfg.Client.CloseIdleConnections()
	}
	f.mu.Lock()
	f.target++
	f.hint = ""
	if leader != address {
		f.hint = leader
	}
	first := !f.lost && !f.confirmedAt.IsZero()
	f.lost = true
	f.mu.Unlock()
	if first {
		f.cfg.Log.Event(eventlog.ControlLost, eventlog.Str("address", address), eventlog.Str("leader", leader), eventlog.Err(err))
	}
}

func (f *ControlClient) request(address string) *rpc.SyncRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteReady()
	q := &rpc.SyncRequest{
		Host: &rpc.FleetHost{
			Name:          f.cfg.Name,
			Domain:        f.cfg.Domain,
			CallerAddress: f.cfg.CallerAddress,
			Ready:         f.ready(),
		},
		Epoch:            f.epoch,
		EndpointsVersion: f.version,
		EndpointsDigest:  f.digest,
		AddressesDigest:  fleet.AddressesDigest(f.addresses),
		Loads:            &rpc.LoadTable{},
		WaitMs:           uint32(syncWait.Milliseconds()),
	}
	if f.index != nil && !f.whole {
		q.DocumentVersion = f.index.Version()
	}
	q.AskOthers = f.askOthers
	f.askOthers = true // one whole configuration from the leader is enough
	if !q.GetHost().GetReady() {
		q.WaitMs /= 2
	}
	f.tellWords(q, address)
	f.tellSuspects(q)
	f.tellLimits(q)
	f.told = f.loads.Loads()
	for id, l := range f.told {
		q.Loads.Endpoints = append(q.Loads.Endpoints, fleet.LoadKey(id))
		q.Loads.Requests = append(q.Loads.Requests, uint32(l.Requests))
		q.Loads.Tokens = append(q.Loads.Tokens, uint32(l.Tokens))
	}
	return q
}

// noteReady logs when readiness has changed.
func (f *ControlClient) noteReady() {
	now := f.ready()
	if now == f.wasReady {
		return
	}
	f.wasReady = now
	f.cfg.Log.Event(eventlog.ReadyChanged, eventlog.Str("ready", strconv.FormatBool(now)))
}

// Leave makes this host unready for good, and tells the control hosts at once.
// It works until end at the latest.
func (f *ControlClient) Leave(end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.stopsAt = end
	if f.interrupt != nil {
		f.interrupted = true
		f.interrupt()
	}
}

func (f *ControlClient) setInterrupt(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = cancel
	f.interrupted = false
}

func (f *ControlClient) wasInterrupted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.interrupted
}
