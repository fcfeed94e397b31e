package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// maxRelayTries is how many hosts one request is relayed to until one of them takes it.
	// The list of hosts is up to a second old, in which others may have been cut off, too.
	maxRelayTries = 4
	// peerAvoidTime is how long a host that couldn't be reached, or could not take a relayed
	// request, gets no others.
	peerAvoidTime = 500 * time.Millisecond
)

// relays sends requests to other entry hosts, which serve them when this host doesn't reach
// the endpoints of their service. It is safe for concurrent use.
type relays struct {
	client PeerClient
	source Source
	svc    timer.Service

	mu         sync.Mutex
	inFlight   map[string]int       // by address
	avoidUntil map[string]time.Time // by address
}

func newRelays(client PeerClient, source Source, svc timer.Service) *relays {
	return &relays{
		client:     client,
		source:     source,
		svc:        svc,
		inFlight:   map[string]int{},
		avoidUntil: map[string]time.Time{},
	}
}

// pick chooses a host that was not tried: of two at random, the one with fewer of this host's
// requests. Those that are avoided come last.
func (r *relays) pick(tried map[string]bool) (string, bool) {
	var list, avoided []string
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.svc.Now()
	for _, a := range r.source.Peers() {
		switch {
		case tried[a]:
		case now.Before(r.avoidUntil[a]):
			avoided = append(avoided, a)
		default:
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		list = avoided
	}
	if len(list) == 0 {
		return "", false
	}
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if r.inFlight[b] < r.inFlight[a] {
		a = b
	}
	return a, true
}

// begin counts a request to a host until the returned function is called.
func (r *relays) begin(address string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[address]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.inFlight[address]--; r.inFlight[address] <= 0 {
			delete(r.inFlight, address)
		}
	}
}

// avoid makes a host come last for a while.
func (r *relays) avoid(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.svc.Now()
	for a, until := range r.avoidUntil {
		if now.After(until) {
			delete(r.avoidUntil, a)
		}
	}
	r.avoidUntil[address] = now.Add(peerAvoidTime)
}

// relaysFirst reports whether a request is sent to another host before any endpoint is tried.
func (g *Gateway) relaysFirst(j *job) bool {
	if j.req.Relayed != nil || !g.reach.Unreachable(j.service.Name) {
		return false
	}
	_, ok := g.relays.pick(nil)
	return ok
}

// depositRetries adds to the retry budget what a request allows. The host that relays a
// request has done so already.
func (g *Gateway) depositRetries(j *job) {
	if j.req.Relayed == nil {
		g.retries.deposit(g.source.HostCount())
	}
}

func isolatedError(j *job) *failure.Error {
	return failure.New(failure.Isolated, "no endpoint of service %s accepts connections from this host", j.service.Name).WithRetryAfter(baseRetryAfter)
}

// unableToServe reports whether a host that was sent a relayed request could not take it, so
// that another one may.
func unableToServe(e *failure.Error) bool {
	switch e.Kind() {
	case failure.Isolated, failure.NotReady, failure.Draining:
		return true
	}
	return false
}

// relayCall returns a request as it is sent to another host.
func (g *Gateway) relayCall(j *job, address, lastEvent string, attempts int) *RelayCall {
	return &RelayCall{
		Request: j.req,
		Address: address,
		Relayed: Relayed{
			ConfigVersion: j.configVersion,
			Attempts:      attempts,
		},
		Timeout:    j.deadline.Sub(g.svc.Now()),
		LastEvent:  lastEvent,
		Repeatable: j.mayRepeat() && attempts+1 < j.route.MaxAttempts,
	}
}

// errPeerUnable is the cause of a relayed send that the other host could not take.
var errPeerUnable = errors.New("the other host can't take the request")

// relay sends a request to another host, and records whether that took it. It returns an
// error that is a *SendError, or the other host's failure.
func (g *Gateway) relay(ctx context.Context, j *job, address, lastEvent string, attempts int) (*RelayAnswer, error) {
	a, err := g.relays.client.Relay(ctx, g.relayCall(j, address, lastEvent, attempts))
	if err == nil && a.Failure != nil && unableToServe(a.Failure) {
		err = &SendError{
			Cause: errors.Wrap(errPeerUnable, a.Failure.Error()),
		}
	}
	if err != nil && ctx.Err() == nil {
		g.relays.avoid(address)
		g.logFailedAttempt(j, address, err.Error())
	}
	g.metrics.Counter("requests_relayed").Inc(1)
	return a, err
}
