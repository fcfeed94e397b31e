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

// Permits returns what this host knows of endpoints that have limits.
func (g *Gateway) Permits() *permit.Holder {
	return g.permits
}

// observeLimit takes what an answer to a call sent at a time says of an endpoint's limit.
func (g *Gateway) observeLimit(service, id string, l fleet.Limit, sent time.Time) {
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

// observeAnswerLimit takes the limit that the answer to a call names. Where the answer is about
// another endpoint on the path, who, the limit may be of either: a wrong one ends with that
// endpoint's next answer, while one that isn't kept harms it. That such an answer names
// none says nothing.
func (g *Gateway) observeAnswerLimit(j *job, c *Call, subject string, l fleet.Limit, sent time.Time) {
	if subject == c.ID {
		g.observeLimit(j.service.Name, subject, l, sent)
		return
	}
	if l.Status == fleet.LimitSet && subject != "" {
		g.observeLimit(j.service.Name, c.ID, l, sent)
		g.observeLimit(j.service.Name, subject, l, sent)
	}
}

// countLimitedCall counts a call to an endpoint that has a limit, by the way it goes.
func (g *Gateway) countLimitedCall(kind, id string) {
	if g.permits.HasLimit(id) {
		g.metrics.Counter("calls_limited", metrics.Label{Name: "way", Value: kind}).Inc(1)
	}
}

const (
	// permitWait is how long a request waits for a permit where one comes in time.
	permitWait = 250 * time.Millisecond
	// maxConcurrentPermitRequests bounds the requests of a host that ask the leader for permits at the
	// same time; it can serve few of them, and each is a call.
	maxConcurrentPermitRequests = 8
	// denialLifetime is for how long others are refused for the same endpoints without a
	// call to the leader.
	denialLifetime = 150 * time.Millisecond
	// maxRequestedEndpoints bounds the endpoints, of those that would do, that one call names.
	maxRequestedEndpoints = 32
	// maxDenials bounds what is remembered.
	maxDenials = 256
)

// permitRequests is this host's asking for permits. It is safe for use by several goroutines.
type permitRequests struct {
	svc timer.Service

	mu      sync.Mutex
	running int
	denials map[string]*denial // by what was asked for
}

// denial is an answer by which there is no permit, and who was refused by it.
type denial struct {
	receivedAt  time.Time
	availableIn time.Duration // after at
	priority    int
	// interval is the time between two places for requests of this host.
	interval time.Duration
	// backlog is how many were refused whose places are still to come.
	backlog   float64
	backlogAt time.Time // of backlog
}

// nextAvailableIn returns when a place is due for one more, behind those that were refused before:
// who is refused in one moment isn't told to be back in one moment.
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

// begin reports whether the leader may be asked, and else when a place is due. Who is
// more urgent than the one that was denied is asked for.
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

// end notes the leader's answer, and returns when a place is due; 0 if permits were lent.
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

// requestPermits asks the leader for a permit for each of the endpoints, or for any of them. It
// returns 0 once there is one on this host, or none is needed any more, and else when one
// is due.
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

// lackingPermit returns the endpoints of a service that lack nothing but a permit.
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

// noPermitError refuses a request at once for which there is no permit in time, with the time at
// which there is one, or some time before where that is too long for its caller.
func (g *Gateway) noPermitError(availableIn time.Duration) *failure.Error {
	if availableIn > maxRetryAfter {
		availableIn = time.Duration((1 + rand.Float64()) / 2 * float64(maxRetryAfter))
	}
	return failure.New(failure.Overloaded, "the endpoints take no more for now").
		WithRetryAfter(min(maxRetryAfter, max(baseRetryAfter, lengthen(availableIn))))
}

// requestPathPermits asks for the permits that a path lacks where there is no other path. It
// reports whether to choose again.
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

// maxPermitRequests is how often one stream asks for permits: others on this host may take those
// that it is lent.
const maxPermitRequests = 3

// missingPermits returns the endpoints whose permits would let the stream be sent: each of them,
// or any.
func (s *streamRun) missingPermits() (ids []string, each bool) {
	if s.j.service.Engine == nil {
		tried := map[string]bool{}
		for _, e := range s.g.source.Endpoints(s.j.service.Name) {
			tried[e.ID] = s.failed(e.ID)
		}
		return s.g.lackingPermit(s.j.service.Name, tried), false
	}
	path := s.pathUsing(func(id string) bool { return s.g.backoffs.Remaining(id) == 0 && !s.refusedIDs[id] })
	for _, p := range path {
		if !s.g.permits.MayCall(p.ID) {
			ids = append(ids, p.ID)
		}
	}
	return ids, true
}

// endpointIDs returns the endpoints of a path.
func endpointIDs(path []fleet.Stage) []string {
	ids := make([]string, 0, len(path))
	for _, p := range path {
		ids = append(ids, p.ID)
	}
	return ids
}

// acquireRepathPermits takes the permits that an order to a stream's first endpoint needs, and those
// of endpoints that come new into its path: the others have the stream already.
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
