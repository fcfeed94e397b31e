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

// hearLimit takes what an answer to a call sent at a time says of an endpoint's limit.
func (g *Gateway) hearLimit(service, id string, l fleet.Limit, sent time.Time) {
	if id == "" || !g.permits.Observe(id, service, l, sent) {
		return
	}
	says := "none"
	if l.Status == fleet.LimitSet {
		says = "named"
	}
	g.log.Event(eventlog.EndpointLimit, eventlog.Str("endpoint", id), eventlog.Str("says", says),
		eventlog.Str("per_second", strconv.FormatFloat(l.PerSecond, 'g', 4, 64)), eventlog.Str("by", "an answer"))
	g.source.ReportLimits()
}

// hearLimits takes the limit that the answer to a call names. Where the answer is about
// another endpoint on the path, who, the limit may be of either: a wrong one ends with that
// endpoint's next answer, while one that isn't kept harms it. That such an answer names
// none says nothing.
func (g *Gateway) hearLimits(j *job, c *Call, who string, l fleet.Limit, sent time.Time) {
	if who == c.ID {
		g.hearLimit(j.service.Name, who, l, sent)
		return
	}
	if l.Status == fleet.LimitSet && who != "" {
		g.hearLimit(j.service.Name, c.ID, l, sent)
		g.hearLimit(j.service.Name, who, l, sent)
	}
}

// countLimited counts a call to an endpoint that has a limit, by the way it goes.
func (g *Gateway) countLimited(way, id string) {
	if g.permits.HasLimit(id) {
		g.metrics.Counter("calls_limited", metrics.Label{Name: "way", Value: way}).Inc(1)
	}
}

const (
	// borrowWait is how long a request waits for a permit where one comes in time.
	borrowWait = 250 * time.Millisecond
	// borrowsAtOnce bounds the requests of a host that ask the leader for permits at the
	// same time; it can serve few of them, and each is a call.
	borrowsAtOnce = 8
	// denialKept is for how long others are refused for the same endpoints without a
	// call to the leader.
	denialKept = 150 * time.Millisecond
	// mostBorrowed bounds the endpoints, of those that would do, that one call names.
	mostBorrowed = 32
	// mostDenials bounds what is remembered.
	mostDenials = 256
)

// borrowing is this host's asking for permits. It is safe for use by several goroutines.
type borrowing struct {
	svc timer.Service

	mu      sync.Mutex
	running int
	denials map[string]*denial // by what was asked for
}

// denial is an answer by which there is no permit, and who was refused by it.
type denial struct {
	at       time.Time
	due      time.Duration // after at
	priority int
	// gap is the time between two places for requests of this host.
	gap time.Duration
	// backlog is how many were refused whose places are still to come.
	backlog float64
	counted time.Time // of backlog
}

// refuse returns when a place is due for one more, behind those that were refused before:
// who is refused in one moment isn't told to be back in one moment.
func (d *denial) refuse(now time.Time) time.Duration {
	if d.gap > 0 {
		d.backlog = max(0, d.backlog-float64(now.Sub(d.counted))/float64(d.gap))
	}
	d.counted = now
	due := d.due + time.Duration(d.backlog*float64(d.gap)) - now.Sub(d.at)
	d.backlog++
	return max(comeBack, due)
}

func newBorrowing(svc timer.Service) *borrowing {
	return &borrowing{
		svc:     svc,
		denials: map[string]*denial{},
	}
}

// begin reports whether the leader may be asked, and else when a place is due. Who is
// more urgent than the one that was denied is asked for.
func (b *borrowing) begin(what string, priority int) (due time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.svc.Now()
	d := b.denials[what]
	if d != nil && (now.Sub(d.at) < denialKept && priority >= d.priority || b.running >= borrowsAtOnce) {
		return d.refuse(now), false
	}
	if b.running >= borrowsAtOnce {
		return borrowWait, false
	}
	b.running++
	return 0, true
}

// end notes the leader's answer, and returns when a place is due; 0 if permits were lent.
func (b *borrowing) end(what string, priority int, l PermitReply) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if l.AvailableIn == 0 {
		return 0
	}
	now := b.svc.Now()
	d := b.denials[what]
	if d == nil {
		if len(b.denials) >= mostDenials {
			b.denials = map[string]*denial{}
		}
		d = &denial{
			counted: now,
		}
		b.denials[what] = d
	}
	d.at = now
	d.due = l.AvailableIn
	d.gap = l.Interval
	d.priority = priority
	return d.refuse(now)
}

// borrow asks the leader for a permit for each of the endpoints, or for any of them. It
// returns 0 once there is one on this host, or none is needed any more, and else when one
// is due.
func (g *Gateway) borrow(ctx context.Context, j *job, ids []string, each bool) time.Duration {
	what := j.service.Name
	if each {
		what = strings.Join(ids, " ")
	}
	if !each && len(ids) > mostBorrowed {
		rand.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
		ids = ids[:mostBorrowed]
	}
	due, ok := g.borrows.begin(what, j.priority)
	if !ok {
		return due
	}
	wait := min(borrowWait, j.end.Sub(g.svc.Now()))
	due = g.borrows.end(what, j.priority, g.source.RequestPermits(ctx, ids, each, j.priority, wait))
	g.metrics.Counter("borrowed", metrics.Label{Name: "lent", Value: yesNo(due == 0)}).Inc(1)
	if due > 0 && slices.ContainsFunc(ids, g.permits.MayCall) {
		return 0
	}
	return due
}

// scarce returns the endpoints of a service that lack nothing but a permit.
func (g *Gateway) scarce(service string, tried map[string]bool) []string {
	if !g.permits.HasLimits() {
		return nil
	}
	var ids []string
	for _, e := range g.source.Endpoints(service) {
		if !tried[e.ID] && g.rests.Remaining(e.ID) == 0 && !g.permits.MayCall(e.ID) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// full refuses a request at once for which there is no permit in time, with the time at
// which there is one, or some time before where that is too long for its caller.
func (g *Gateway) full(due time.Duration) *failure.Error {
	if due > mostComeBack {
		due = time.Duration((1 + rand.Float64()) / 2 * float64(mostComeBack))
	}
	return failure.New(failure.Overloaded, "the endpoints take no more for now").
		WithRetryAfter(min(mostComeBack, max(comeBack, spread(due))))
}

// borrowPath asks for the permits that a path lacks where there is no other path. It
// reports whether to choose again.
func (s *streamRun) borrowPath(ctx context.Context) bool {
	if !s.g.permits.HasLimits() || s.borrowed >= maxBorrows {
		return false
	}
	ids, each := s.lacking()
	if len(ids) == 0 {
		return false
	}
	s.borrowed++
	s.due = s.g.borrow(ctx, s.j, ids, each)
	return s.due == 0
}

// maxBorrows is how often one stream asks for permits: others on this host may take those
// that it is lent.
const maxBorrows = 3

// lacking returns the endpoints whose permits would let the stream be sent: each of them,
// or any.
func (s *streamRun) lacking() (ids []string, each bool) {
	if s.j.service.Engine == nil {
		tried := map[string]bool{}
		for _, e := range s.g.source.Endpoints(s.j.service.Name) {
			tried[e.ID] = s.failed(e.ID)
		}
		return s.g.scarce(s.j.service.Name, tried), false
	}
	path := s.pathOver(func(id string) bool { return s.g.rests.Remaining(id) == 0 && !s.refused[id] })
	for _, p := range path {
		if !s.g.permits.MayCall(p.ID) {
			ids = append(ids, p.ID)
		}
	}
	return ids, true
}

// idsOf returns the endpoints of a path.
func idsOf(path []fleet.Stage) []string {
	ids := make([]string, 0, len(path))
	for _, p := range path {
		ids = append(ids, p.ID)
	}
	return ids
}

// takeRepath takes the permits that an order to a stream's first endpoint needs, and those
// of endpoints that come new into its path: the others have the stream already.
func (s *streamRun) takeRepath(path []fleet.Stage) bool {
	ids := []string{s.path[0].ID}
	had := map[string]bool{}
	for _, p := range s.path {
		had[p.ID] = true
	}
	for _, p := range path {
		if !had[p.ID] {
			ids = append(ids, p.ID)
		}
	}
	return s.g.permits.TryAcquire(ids...)
}
