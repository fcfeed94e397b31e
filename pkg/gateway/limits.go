package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Permits returns the endpoints that have a rate limit and this host's permits for
// them.
func (g *Gateway) Permits() *permit.Holder {
	return g.permits
}

// observeLimit records the rate limit that an endpoint reported with the answer to a
// call sent at sent. A change is logged and sent to the leader at once.
func (g *Gateway) observeLimit(service, id string, l fleet.RateLimit, sent time.Time) {
	if id == "" || !g.permits.Observe(id, service, l, sent) {
		return
	}
	reported := "none"
	if l.Status == fleet.LimitSet {
		reported = "named"
	}
	g.log.Event(eventlog.EndpointLimit, eventlog.Str("endpoint", id), eventlog.Str("says", reported),
		eventlog.Str("per_second", strconv.FormatFloat(l.PerSecond, 'g', 4, 64)), eventlog.Str("by", "an answer"))
	g.source.ReportLimits()
}

// observeAnswerLimit records the rate limit reported with the answer to a call. If the
// answer is about another endpoint on the path, subject, it is unclear whose limit it
// is, so both get it: a limit that an endpoint does not have is removed with its next
// answer, while calls beyond a limit would harm the endpoint. If such an answer reports
// no limit, nothing follows from that.
func (g *Gateway) observeAnswerLimit(j *job, c *Call, subject string, l fleet.RateLimit, sent time.Time) {
	if subject == c.ID {
		g.observeLimit(j.service.Name, subject, l, sent)
		return
	}
	if l.Status == fleet.LimitSet && subject != "" {
		g.observeLimit(j.service.Name, c.ID, l, sent)
		g.observeLimit(j.service.Name, subject, l, sent)
	}
}

// countLimitedCall counts a call to an endpoint that has a rate limit, by kind of call.
func (g *Gateway) countLimitedCall(kind, id string) {
	if g.permits.HasLimit(id) {
		g.metrics.Counter("calls_limited", metrics.Label{Name: "way", Value: kind}).Inc(1)
	}
}

const (
	// permitWait is how long a request waits at most for a permit that becomes
	// available in time.
	permitWait = 250 * time.Millisecond
	// maxConcurrentPermitRequests limits how many requests of this host ask the leader
	// for permits at the same time. The leader can grant only few of them, and each
	// costs a call.
	maxConcurrentPermitRequests = 8
	// denialLifetime is how long requests for permits of the same endpoints are denied
	// without another call to the leader.
	denialLifetime = 150 * time.Millisecond
	// maxRequestedEndpoints limits how many alternative endpoints one call to the
	// leader lists.
	maxRequestedEndpoints = 32
	// maxDenials limits how many denials are remembered.
	maxDenials = 256
)

// permitRequests limits the calls in which this host asks the leader for permits. It is
// safe for use by several goroutines.
type permitRequests struct {
	svc timer.Service

	mu      sync.Mutex
	running int
	denials map[string]*denial // by the endpoints or the service that was asked for
}

// denial is an answer of the leader that granted no permit, and how many requests were
// denied because of it.
type denial struct {
	receivedAt  time.Time
	availableIn time.Duration // counted from receivedAt
	priority    int
	// interval is the time between two permits for this host.
	interval time.Duration
	// backlog is the number of denied requests whose promised permits are not available
	// yet.
	backlog   float64
	backlogAt time.Time // when backlog was last updated
}

// nextAvailableIn counts one more denied request and returns when a permit is available
// for it, after those denied before it. So requests that are denied at the same moment
// are not all told to retry at the same moment.
func (d *denial) nextAvailableIn(now time.Time) time.Duration {
	if d.interval > 0 {
		d.backlog = max(0, d.backlog-float64(now.Sub(d.backlogAt))/float64(d.interval))
	}
	d.backlogAt = now
	in := d.availableIn + time.Duration(d.backlog*float64(d.interval)) - now.Sub(d.receivedAt)
	d.backlog++
	return max(baseRetryAfter, in)
}

func newPermitRequests(svc timer.Service) *permitRequests {
	return &permitRequests{
		svc:     svc,
		denials: map[string]*denial{},
	}
}

// begin reports whether the leader may be asked, and if not, when a permit is
// available. A request that is more urgent than the denied one may ask the leader
// again.
func (p *permitRequests) begin(key string, priority int) (availableIn time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.svc.Now()
	d := p.denials[key]
	if d != nil && (now.Sub(d.receivedAt) < denialLifetime && priority >= d.priority || p.running >= maxConcurrentPermitRequests) {
		return d.nextAvailableIn(now), false
	}
	if p.running >= maxConcurrentPermitRequests {
		return permitWait, false
	}
	p.running++
	return 0, true
}

// end records the reply of the leader and returns when a permit is available; 0 if
// permits were granted.
func (p *permitRequests) end(key string, priority int, reply PermitReply) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	if reply.AvailableIn == 0 {
		return 0
	}
	now := p.svc.Now()
	d := p.denials[key]
	if d == nil {
		if len(p.denials) >= maxDenials {
			p.denials = map[string]*denial{}
		}
		d = &denial{
			backlogAt: now,
		}
		p.denials[key] = d
	}
	d.receivedAt = now
	d.availableIn = reply.AvailableIn
	d.interval = reply.Interval
	d.priority = priority
	return d.nextAvailableIn(now)
}

// requestPermits asks the leader for a permit for each of the endpoints, or for any one
// of them. It returns 0 once this host has one or needs none any longer, and otherwise
// the time until one is available.
func (g *Gateway) requestPermits(ctx context.Context, j *job, ids []string, each bool) time.Duration {
	key := j.service.Name
	if each {
		key = strings.Join(ids, " ")
	}
	if !each && len(ids) > maxRequestedEndpoints {
		rand.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
		ids = ids[:maxRequestedEndpoints]
	}
	availableIn, ok := g.permitRequests.begin(key, j.priority)
	if !ok {
		return availableIn
	}
	wait := min(permitWait, j.deadline.Sub(g.svc.Now()))
	availableIn = g.permitRequests.end(key, j.priority, g.source.RequestPermits(ctx, ids, each, j.priority, wait))
	g.metrics.Counter("borrowed", metrics.Label{Name: "lent", Value: yesNo(availableIn == 0)}).Inc(1)
	if availableIn > 0 && slices.ContainsFunc(ids, g.permits.MayCall) {
		return 0
	}
	return availableIn
}

// lackingPermit returns the endpoints of a service that could be called if this host
// had a permit.
func (g *Gateway) lackingPermit(service string, tried map[string]bool) []string {
	if !g.permits.HasLimits() {
		return nil
	}
	var ids []string
	for _, e := range g.source.Endpoints(service) {
		if !tried[e.ID] && g.backoffs.Remaining(e.ID) == 0 && !g.permits.MayCall(e.ID) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// noPermitError returns the failure for a request for which no permit is available in
// time. It tells the caller when one is available, or an earlier time at random if that
// is longer than callers wait.
func (g *Gateway) noPermitError(availableIn time.Duration) *failure.Error {
	if availableIn > maxRetryAfter {
		availableIn = time.Duration((1 + rand.Float64()) / 2 * float64(maxRetryAfter))
	}
	return failure.New(failure.Overloaded, "the endpoints take no more for now").
		WithRetryAfter(min(maxRetryAfter, max(baseRetryAfter, lengthen(availableIn))))
}

// requestPathPermits asks for the permits that a path lacks, for use where there is no
// other path. It reports whether to choose a path again.
func (s *streamRun) requestPathPermits(ctx context.Context) bool {
	if !s.g.permits.HasLimits() || s.permitRequests >= maxPermitRequests {
		return false
	}
	ids, each := s.missingPermits()
	if len(ids) == 0 {
		return false
	}
	s.permitRequests++
	s.permitAvailableIn = s.g.requestPermits(ctx, s.j, ids, each)
	return s.permitAvailableIn == 0
}

// maxPermitRequests is how often one request asks for permits. Other requests on this
// host may take the permits that were granted for it.
const maxPermitRequests = 3

// missingPermits returns the endpoints whose permits would allow the stream to be sent,
// and whether it needs a permit for each of them or for any one.
func (s *streamRun) missingPermits() (ids []string, each bool) {
	if s.j.service.Engine == nil {
		tried := map[string]bool{}
		for _, e := range s.g.source.Endpoints(s.j.service.Name) {
			tried[e.ID] = s.failed(e.ID)
		}
		return s.g.lackingPermit(s.j.service.Name, tried), false
	}
	path := s.pathUsing(func(id string) bool { return s.g.backoffs.Remaining(id) == 0 && !s.refusedIDs[id] && !s.leftOut(id) })
	for _, p := range path {
		if !s.g.permits.MayCall(p.ID) {
			ids = append(ids, p.ID)
		}
	}
	return ids, true
}

// endpointIDs returns the IDs of the endpoints of a path.
func endpointIDs(path []fleet.Stage) []string {
	ids := make([]string, 0, len(path))
	for _, p := range path {
		ids = append(ids, p.ID)
	}
	return ids
}

// acquireRepathPermits acquires the permits for a call that gives the first endpoint a
// new path, and for the endpoints that the path adds. The other endpoints have the
// stream already.
func (s *streamRun) acquireRepathPermits(path []fleet.Stage) bool {
	ids := []string{s.path[0].ID}
	onPath := map[string]bool{}
	for _, p := range s.path {
		onPath[p.ID] = true
	}
	for _, p := range path {
		if !onPath[p.ID] {
			ids = append(ids, p.ID)
		}
	}
	return s.g.permits.TryAcquire(ids...)
}
