// Package gateway serves callers' requests on an entry host: it matches the route,
// authenticates the client account, applies retry budgets and rate limits, chooses an
// endpoint or a path of endpoints, sends the request, retries it where that is allowed,
// and returns the answer.
package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/backoff"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/resumption"
	"github.com/larchwinch/larchwinch/pkg/shedding"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Gateway serves requests. It is safe for use by several goroutines.
type Gateway struct {
	domain         string // this host's failure domain
	client         EndpointClient
	reach          Reachability
	relays         *relays
	source         Source
	svc            timer.Service
	log            *eventlog.Log
	metrics        *metrics.Set
	tracker        *Tracker
	retries        *retryBucket
	links          *linkBuckets
	labels         *accountLabels
	durations      *durationEstimator
	querier        *stallQuerier
	liveness       *livenessChecker
	waits          *waitEstimator
	retryAfters    *retryAfterEstimator
	resumes        *resumption.Spreader
	quarantine     *quarantine.Enforcer
	silences       *quarantine.Silences
	backoffs       *backoff.Tracker
	permits        *permit.Holder
	permitRequests *permitRequests
	full           *shedding.Tracker
	memory         *answerMemory
	ranks          *rankTracker
	admission      *admission.Controller
	admitter       admitter // admission, which tests replace
	// reviewingSilences says that reviewSilences runs, in the group of what outlives requests.
	reviewingSilences atomic.Bool
	background        *group.Group
}

// Config is what a gateway depends on. Every field but AnswerMemory must be set.
type Config struct {
	Domain       string // the host's failure domain
	Endpoints    EndpointClient
	Peers        PeerClient
	Reachability Reachability
	Source       Source
	Budget       RetryBudget
	Timer        timer.Service
	Log          *eventlog.Log
	Metrics      *metrics.Set
	// AnswerMemory is how many bytes of endpoints' answers are held at a time; 0 selects a
	// default.
	AnswerMemory int
}

// New returns the gateway of an entry host.
func New(cfg Config) *Gateway {
	svc, client, set := cfg.Timer, cfg.Endpoints, cfg.Metrics
	backoffs := backoff.New(svc)
	g := &Gateway{
		domain:         cfg.Domain,
		client:         client,
		reach:          cfg.Reachability,
		relays:         newRelays(cfg.Peers, cfg.Source, svc),
		source:         cfg.Source,
		svc:            svc,
		log:            cfg.Log,
		metrics:        set,
		tracker:        NewTracker(svc, cfg.Log),
		retries:        newRetryBucket(cfg.Budget, svc),
		links:          newLinkBuckets(svc),
		labels:         newAccountLabels(),
		durations:      newDurationEstimator(),
		waits:          newWaitEstimator(svc),
		retryAfters:    newRetryAfterEstimator(svc),
		resumes:        resumption.New(svc, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		quarantine:     quarantine.NewEnforcer(svc),
		silences:       quarantine.NewSilences(svc),
		backoffs:       backoffs,
		permits:        permit.NewHolder(svc, rand.Uint64()),
		memory:         newAnswerMemory(cfg.AnswerMemory),
		permitRequests: newPermitRequests(svc),
		full:           shedding.New(svc),
		ranks:          newRankTracker(svc),
		background:     group.New(context.Background()),
	}
	g.admission = admission.NewController(svc, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	g.admitter = g.admission
	g.querier = newStallQuerier(g, client, svc)
	g.liveness = newLivenessChecker(client, g, svc, set)
	return g
}

// Backoffs returns the endpoints that this host sends nothing for now, at their
// request.
func (g *Gateway) Backoffs() *backoff.Tracker {
	return g.backoffs
}

// Tracker returns the requests that this host has in flight at each endpoint, and the
// endpoints that it avoids.
func (g *Gateway) Tracker() *Tracker {
	return g.tracker
}

// job is a request that is being served, with the decisions made about it so far.
type job struct {
	req      *Request
	out      Output
	route    *fleet.Route
	service  *fleet.Service
	account  string
	priority int
	deadline time.Time // the caller must have its answer by then
	// priorAttempts is how many endpoints may have run the request by other hosts.
	priorAttempts int
	// configVersion is the version of the configuration by which it was admitted.
	configVersion uint64
	ranked        bool                // the service has engines and its requests differ in rank
	decision      *admission.Decision // of the refusal by admission control; nil if there is none

	hasFingerprint    bool
	cachedFingerprint quarantine.Fingerprint // valid if hasFingerprint

	parts []quarantine.Fingerprint // of the prompt, that other requests may share
	// probe says that the request may be sent once although a part of its prompt is on
	// probation, and probeSent that it was.
	probe     bool
	probeSent bool
}

// mayRepeat reports whether the request may run more than once.
func (j *job) mayRepeat() bool {
	return j.route.Kind == fleet.Safe || j.route.Kind == fleet.Stream && j.route.Resumable
}

// fingerprint returns the request's fingerprint. It is computed only when a request has
// failed, or while any request is watched or quarantined. Only the goroutine that
// serves the request may call it.
func (j *job) fingerprint() quarantine.Fingerprint {
	if !j.hasFingerprint {
		j.cachedFingerprint = quarantine.FingerprintOf(j.account, j.req.Method, j.req.Target, j.req.Body)
		j.hasFingerprint = true
	}
	return j.cachedFingerprint
}

// Serve answers one request.
func (g *Gateway) Serve(ctx context.Context, req *Request, out Output) {
	j, refusal := g.admitWhenReady(ctx, req, out)
	if refusal != nil {
		g.refuse(req, nil, out, refusal)
		return
	}
	if e := g.checkQuarantine(j); e != nil {
		g.refuse(req, j, out, e)
		return
	}
	if req.Relayed != nil && g.reach.Unreachable(j.service.Name) {
		g.refuse(req, j, out, isolatedError(j))
		return
	}
	// Context deadlines follow the monotonic clock. The clock of the timer service also
	// counts the time that the host was suspended, so passing it an absolute deadline
	// would make the deadline late by that time: pass the remaining duration instead.
	ctx, cancel := context.WithTimeout(ctx, j.deadline.Sub(g.svc.Now()))
	defer cancel()
	g.permits.CountRequest(j.service.Name)
	if j.route.Kind == fleet.Stream {
		g.serveStream(ctx, j)
		return
	}
	g.serveUnary(ctx, j)
}

// readyWait is how long a request waits on a host that was just started or just lost
// contact with the control hosts. An election takes 0.3 to 0.7 s, and a caller that is
// refused retries at most once.
const readyWait = 800 * time.Millisecond

// admitWhenReady is admit, but waits up to readyWait while this host lacks the state
// that it needs to decide.
func (g *Gateway) admitWhenReady(ctx context.Context, req *Request, out Output) (*job, *failure.Error) {
	end := g.svc.After(readyWait)
	for {
		confirmed := g.source.Confirmed()
		j, refusal := g.admit(req, out)
		if refusal == nil || refusal.Kind() != failure.NotReady {
			return j, refusal
		}
		select {
		case <-confirmed:
		case <-end:
			return nil, refusal
		case <-ctx.Done():
			return nil, refusal
		}
	}
}

// discoveryWait is how long after its arrival a request waits for endpoints that may
// not have announced themselves yet. It is slightly longer than the default heartbeat
// interval of endpoints, 1 s.
const discoveryWait = 1300 * time.Millisecond

// awaitEndpoints waits for a change of the known endpoints while some may not have
// announced themselves yet. It reports whether the caller should look for an endpoint
// again.
func (g *Gateway) awaitEndpoints(ctx context.Context, req *Request, changed <-chan struct{}) bool {
	left := discoveryWait - g.svc.Now().Sub(req.Received)
	if g.source.Settled() || left <= 0 {
		return false
	}
	select {
	case <-changed:
		return true
	case <-g.svc.After(left):
		return true
	case <-ctx.Done():
		return false
	}
}

// admit finds the route and the service and authenticates the client account.
func (g *Gateway) admit(req *Request, out Output) (*job, *failure.Error) {
	v := g.source.View()
	if v.Index == nil {
		return nil, notReady("no configuration is known here yet")
	}
	if req.Relayed != nil && v.Index.Version() < req.Relayed.ConfigVersion {
		return nil, notReady("the sender of the relayed request holds a newer configuration")
	}
	route := v.Index.Route(req.Host, req.Path)
	if route == nil {
		return nil, notReadyIfStale(v, failure.New(failure.NotFound, "no route"))
	}
	j := &job{
		req:      req,
		out:      out,
		route:    route,
		priority: route.Priority,
		deadline: req.Received.Add(route.Timeout),

		configVersion: v.Index.Version(),
	}
	if req.Relayed != nil {
		j.priorAttempts = req.Relayed.Attempts
	}
	if req.Timeout > 0 && req.Timeout < route.Timeout {
		j.deadline = req.Received.Add(req.Timeout)
	}
	if e := g.authenticate(j, v); e != nil {
		return nil, e
	}
	j.service = v.Index.Service(route.Pick(rand.Float64()))
	j.parts = quarantine.PartsOf(j.service.Name, req.SharedParts)
	j.ranked = j.service.Engine != nil && v.Index.Ranked(j.service.Name)
	return j, nil
}

// notReadyIfStale replaces a permanent refusal by a temporary one, unless the
// configuration that it is based on was confirmed recently.
func notReadyIfStale(v View, e *failure.Error) *failure.Error {
	if v.Fresh {
		return e
	}
	return notReady("the configuration was last confirmed %v ago; by it: %s", v.Age, e.Detail())
}

// notReadyRetryAfter is the retry-after time of a host that waits for the control
// hosts: the time of an election plus one second.
const notReadyRetryAfter = 1600 * time.Millisecond

func notReady(format string, args ...any) *failure.Error {
	return failure.New(failure.NotReady, format, args...).WithRetryAfter(notReadyRetryAfter)
}

func (g *Gateway) authenticate(j *job, v View) *failure.Error {
	if j.route.Anonymous || !v.Index.HasAccounts() {
		return nil
	}
	account := v.Index.Account(j.req.Key)
	if account == nil {
		return notReadyIfStale(v, failure.New(failure.Unauthenticated, "unknown key"))
	}
	if !v.Trusted {
		return notReady("keys were last confirmed %v ago", v.Age)
	}
	j.account = account.Name
	j.priority = rank(account.Priority, j.route.Priority)
	return nil
}

// routeRanks is the number of route priorities that are distinguished for each client
// account priority. Endpoints know ten priorities in all.
const routeRanks = 3

// rank combines the priorities, of which lower ones are more urgent; the client
// account's counts before the route's.
func rank(account, route int) int {
	return account*routeRanks + min(route, routeRanks-1)
}

// refuse sends the caller a failure that this host produced, and logs and counts it.
func (g *Gateway) refuse(req *Request, j *job, out Output, e *failure.Error) {
	event := eventlog.RequestRefused
	if e.Ran() != failure.RanNo {
		event = eventlog.RequestFailed
	}
	fields := []eventlog.Field{
		eventlog.Str("request", req.ID), eventlog.Str("kind", e.Kind().String()), eventlog.Str("why", e.Error()),
		eventlog.Ms("after_ms", g.svc.Now().Sub(req.Received)), eventlog.Ms("retry_after_ms", e.RetryAfter()),
	}
	if j != nil {
		fields = append(fields, eventlog.Str("route", j.route.Name), eventlog.Str("account", j.account))
		fields = append(fields, j.decisionFields()...)
	}
	if j != nil && (event == eventlog.RequestFailed || e.Kind() == failure.Quarantined) {
		fields = append(fields, eventlog.Str("fingerprint", j.fingerprint().String()))
		fields = append(fields, j.partFields()...)
	}
	g.log.Event(event, fields...)
	g.metrics.Counter("requests_failed", metrics.Label{Name: "kind", Value: e.Kind().String()}).Inc(1)
	out.Refuse(e)
}

// logServed logs and counts an answered request; more fields are appended to the log
// event.
func (g *Gateway) logServed(j *job, status int, endpoint string, attempts int, more ...eventlog.Field) {
	took := g.svc.Now().Sub(j.req.Received)
	metrics.Observe(g.metrics.Histogram("request_us", metrics.Label{Name: "class", Value: j.route.Kind.String()}), took)
	metrics.Observe(g.metrics.Histogram("account_us", metrics.Label{Name: "account", Value: g.labels.of(j.account)}), took)
	g.metrics.Counter("requests_served", metrics.Label{Name: "class", Value: j.route.Kind.String()}).Inc(1)
	fields := []eventlog.Field{
		eventlog.Str("request", j.req.ID), eventlog.Str("account", j.account), eventlog.Str("route", j.route.Name),
		eventlog.Int("status", int64(status)), eventlog.Str("endpoint", endpoint),
		eventlog.Int("attempts", int64(attempts)), eventlog.Ms("took_ms", took),
	}
	g.log.Event(eventlog.RequestServed, append(fields, more...)...)
}

// logFailedAttempt logs and counts an attempt that failed; more fields are appended to the
// log event.
func (g *Gateway) logFailedAttempt(j *job, endpoint, why string, more ...eventlog.Field) {
	g.metrics.Counter("attempts_failed").Inc(1)
	fields := []eventlog.Field{
		eventlog.Str("request", j.req.ID), eventlog.Str("fingerprint", j.fingerprint().String()),
		eventlog.Str("endpoint", endpoint), eventlog.Str("why", why), eventlog.Ms("after_ms", g.svc.Now().Sub(j.req.Received)),
	}
	fields = append(fields, j.partFields()...)
	g.log.Event(eventlog.AttemptFailed, append(fields, more...)...)
}

// partFields returns the shared parts of the prompt for the log, if it has any.
func (j *job) partFields() []eventlog.Field {
	if len(j.req.SharedParts) == 0 {
		return nil
	}
	return []eventlog.Field{eventlog.Str("parts", strings.Join(j.req.SharedParts, " "))}
}

// Refuse answers a request that is refused before Serve would start on it.
func (g *Gateway) Refuse(req *Request, out Output, e *failure.Error) {
	g.refuse(req, nil, out, e)
}
