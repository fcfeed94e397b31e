package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/reachability"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// secondDialDelay is the time between the two connection attempts of a check, so
	// that one lost packet does not make an endpoint count as lost.
	secondDialDelay = 15 * time.Millisecond
	// dialVerdictDelay is how long after the second attempt an endpoint that has
	// answered neither counts as lost.
	dialVerdictDelay = 25 * time.Millisecond
	// maxVerdictDelay is by how much the timer of the verdict may be late. If it is
	// later, this host was suspended or had no processor time, and an answer may be
	// there that has not been read yet.
	maxVerdictDelay = 15 * time.Millisecond
	// inFlightTime is how long after the loss of an endpoint an event that it has passed
	// on may still arrive through later stages: a few ms for each of them.
	inFlightTime = 25 * time.Millisecond
	// checkReuse is how long the result of a check is reused.
	checkReuse = 100 * time.Millisecond
	// eventLifetime is for how long an event shows that the endpoints on the path of its
	// stream are alive. It must be below the pause after which a stream has its own
	// stages checked.
	eventLifetime = minCheckPause
	// checkRetryInterval is the least time after which a stream asks again for a check
	// that could not be made or had no result.
	checkRetryInterval = 25 * time.Millisecond
	// maxConcurrentChecks and maxChecksPerSecond bound the connections that a host opens
	// when many streams pause at once.
	maxConcurrentChecks = 64
	maxChecksPerSecond  = 200
	// maxKeptChecks is the number of checks from which on expired ones are deleted
	// before another begins.
	maxKeptChecks = 256
)

// checkResult is what a check of an endpoint found; the values are labels of the
// counter liveness_checks.
type checkResult = reachability.Result

const (
	checkRunning checkResult = ""
	checkAlive               = reachability.Alive
	checkRefused             = reachability.Refused
	checkSilent              = reachability.Silent
	checkFailed              = reachability.Failed
	checkLate                = reachability.Late
	// checkLimited counts checks that were not made because of the bounds.
	checkLimited checkResult = "limited"
)

// checkPolicy decides which endpoints may be checked, and learns which are lost.
type checkPolicy interface {
	// mayCheck reports whether a connection to an endpoint may be opened for a check.
	mayCheck(id string) bool
	// recordLost records that an endpoint is lost.
	recordLost(id string, r checkResult)
}

// mayCheck implements checkPolicy. Endpoints in backoff or with a rate limit might count
// a connection as a call.
func (g *Gateway) mayCheck(id string) bool {
	return g.backoffs.Remaining(id) == 0 && !g.permits.HasLimit(id)
}

// recordLost implements checkPolicy.
func (g *Gateway) recordLost(id string, r checkResult) {
	why := "liveness check: " + string(r)
	if r == checkSilent {
		g.tracker.RecordSilence(id, why)
		return
	}
	g.tracker.RecordFailure(id, why)
	if r == checkRefused {
		g.confirmCrash(id)
	}
}

// livenessChecker finds lost endpoints by opening connections to them. A check serves
// all streams whose paths contain the endpoint. It is safe for use by several
// goroutines.
type livenessChecker struct {
	checker reachability.Checker
	policy  checkPolicy
	svc     timer.Service
	metrics *metrics.Set
	usual   *usualPause
	group   *group.Group // runs the checks, which outlive the streams that caused them

	mu      sync.Mutex
	checks  map[string]*livenessCheck          // the latest check, by endpoint ID
	streams map[string]map[*livenessWatch]bool // the streams whose paths contain the endpoint, by its ID
	running int
	// starts holds the times of the latest checks; next is the index of the oldest.
	starts [maxChecksPerSecond]time.Time
	next   int
}

// livenessCheck is one check of an endpoint.
type livenessCheck struct {
	id        string
	address   string
	startedAt time.Time
	roundTrip time.Duration // to the endpoint, beyond that within a failure domain
	served    bool          // a stream that has ended got an event meanwhile
	result    checkResult
}

// verdictDelay returns how long the check takes at most.
func (k *livenessCheck) verdictDelay() time.Duration {
	return secondDialDelay + dialVerdictDelay + k.roundTrip
}

func newLivenessChecker(client reachability.Connector, policy checkPolicy, svc timer.Service, set *metrics.Set) *livenessChecker {
	return &livenessChecker{
		checker: reachability.Checker{
			Connector:    client,
			Timer:        svc,
			SecondDelay:  secondDialDelay,
			VerdictDelay: dialVerdictDelay,
			MaxLateness:  maxVerdictDelay,
		},
		policy:  policy,
		svc:     svc,
		metrics: set,
		usual:   newUsualPause(),
		group:   group.New(context.Background()),
		checks:  map[string]*livenessCheck{},
		streams: map[string]map[*livenessWatch]bool{},
	}
}

// check makes sure that an endpoint is checked for a stream that has had no event since
// lastEvent. It does not wait for the result: streams are notified of a lost endpoint.
// It returns the time after which to call it again, or 0 if the endpoint was found alive
// or must not be checked. An answer takes roundTrip longer than within a failure domain.
func (c *livenessChecker) check(id, address string, lastEvent time.Time, roundTrip time.Duration) time.Duration {
	if !c.policy.mayCheck(id) {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.svc.Now()
	if k := c.checks[id]; k != nil {
		age := now.Sub(k.startedAt)
		switch {
		case k.result == checkRunning:
			return max(checkRetryInterval, k.verdictDelay()-age)
		case k.result.Conclusive() && k.startedAt.After(lastEvent):
			return 0
		case k.result.Conclusive() && age < checkReuse:
			return max(checkRetryInterval, checkReuse-age)
		}
	}
	if c.running >= maxConcurrentChecks || now.Sub(c.starts[c.next]) < time.Second {
		c.count(checkLimited)
		return checkRetryInterval
	}
	if age, ok := c.recentEvent(id, now); ok {
		return max(checkRetryInterval, eventLifetime-age)
	}
	return c.start(id, address, now, roundTrip).verdictDelay() + checkRetryInterval
}

// recentEvent returns the age of an event of a stream that passes through an endpoint,
// if there is one that shows the endpoint to be alive. The caller holds c.mu.
func (c *livenessChecker) recentEvent(id string, now time.Time) (time.Duration, bool) {
	for w := range c.streams[id] {
		at := w.lastEvent()
		if age := now.Sub(at); !at.IsZero() && age < eventLifetime {
			return age, true
		}
	}
	return 0, false
}

// start begins a check. The caller holds c.mu.
func (c *livenessChecker) start(id, address string, now time.Time, roundTrip time.Duration) *livenessCheck {
	if len(c.checks) >= maxKeptChecks {
		for old, k := range c.checks {
			if k.result != checkRunning && now.Sub(k.startedAt) >= checkReuse {
				delete(c.checks, old)
			}
		}
	}
	c.starts[c.next] = now
	c.next = (c.next + 1) % len(c.starts)
	c.running++
	k := &livenessCheck{
		id:        id,
		address:   address,
		startedAt: now,
		roundTrip: roundTrip,
	}
	c.checks[id] = k
	c.group.Go(func(ctx context.Context) {
		c.complete(k, c.checker.Check(ctx, address, roundTrip))
	})
	return k
}

// complete records the result of a check. If the endpoint is lost, it notifies the
// streams that have had no event since the check began.
func (c *livenessChecker) complete(k *livenessCheck, r checkResult) {
	if r == checkSilent && c.servedDuring(k) {
		r = checkAlive // only the connections of this host do not reach it
	}
	if r.Lost() {
		c.policy.recordLost(k.id, r) // before the streams look for other paths
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k.result = r
	c.running--
	c.count(r)
	if !r.Lost() {
		return
	}
	for w := range c.streams[k.id] {
		if w.idleSince(k.startedAt) {
			w.notify(k)
		}
	}
}

// servedDuring reports whether a stream that passes through the endpoint got an event
// during a check, which the endpoint must have passed on after the check began.
func (c *livenessChecker) servedDuring(k *livenessCheck) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.served {
		return true
	}
	for w := range c.streams[k.id] {
		if k.servedBy(w) {
			return true
		}
	}
	return false
}

func (k *livenessCheck) servedBy(w *livenessWatch) bool {
	return w.lastEvent().After(k.startedAt.Add(inFlightTime))
}

func (c *livenessChecker) count(r checkResult) {
	c.metrics.Counter("liveness_checks", metrics.Label{Name: "result", Value: string(r)}).Inc(1)
}

// setStages replaces the endpoints of whose loss w is notified.
func (c *livenessChecker) setStages(w *livenessWatch, ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range w.stages {
		if k := c.checks[id]; k != nil && k.servedBy(w) {
			k.served = true
		}
		delete(c.streams[id], w)
		if len(c.streams[id]) == 0 {
			delete(c.streams, id)
		}
	}
	w.stages = ids
	for _, id := range ids {
		if c.streams[id] == nil {
			c.streams[id] = map[*livenessWatch]bool{}
		}
		c.streams[id][w] = true
	}
}
