package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// stallQueryTimeout bounds a question.
	stallQueryTimeout = 150 * time.Millisecond
	// answerReuse is how long an answer serves whoever asks: endpoints tell what
	// was 200 ms before, so an answer half as old misses little.
	answerReuse = 100 * time.Millisecond
	// unresponsiveAfter is how many questions in a row without an answer make an endpoint
	// count as lost.
	unresponsiveAfter = 2
)

// stallQuerier asks the first endpoints of paths which requests stand still. At each
// one question is under way at a time, and its answer serves every stream that
// asked meanwhile or shortly after: when an endpoint is slow or lost, all of its
// streams ask at once. It is safe for use by several goroutines.
type stallQuerier struct {
	client EndpointClient
	policy queryPolicy
	svc    timer.Service

	mu      sync.Mutex
	queries map[string]*stallQuery // by address
}

// queryPolicy is what endpoints want of calls to them.
type queryPolicy interface {
	// admitQuery reports whether an endpoint may be asked now, and takes what that needs.
	admitQuery(id string) bool
	// observeQueryAnswer takes what the answer to a question sent at a time says of an endpoint.
	observeQueryAnswer(service, id string, w fleet.Notice, sent time.Time)
}

// admitQuery implements manners.
func (g *Gateway) admitQuery(id string) bool {
	if !g.backoffs.MayCall(id) || !g.permits.TryAcquire(id) || !g.backoffs.TryAcquire(id) {
		return false
	}
	g.countLimitedCall("question", id)
	return true
}

// observeQueryAnswer implements manners.
func (g *Gateway) observeQueryAnswer(service, id string, n fleet.Notice, sent time.Time) {
	g.observeNotice(id, n)
	g.observeLimit(service, id, n.Limit, sent)
}

// stallQuery is the newest one to an address.
type stallQuery struct {
	done       chan struct{} // closed with the answer
	answeredAt time.Time     // of the answer; zero before it
	report     StallReport
	err        error
	unanswered int // questions in a row without an answer, with this one
}

// maxQueriedAddresses is how many addresses are remembered: more than a deployment has
// endpoints that hold first layers.
const maxQueriedAddresses = 1000

func newStallQuerier(m queryPolicy, backend EndpointClient, svc timer.Service) *stallQuerier {
	return &stallQuerier{
		client:  backend,
		policy:  m,
		svc:     svc,
		queries: map[string]*stallQuery{},
	}
}

// query returns the newest answer of an endpoint, and asks for one if there is none. A
// question outlives the stream that asked it. It returns nil if the endpoint wants none:
// it rests and was asked once in that, or has a limit and there is no permit.
func (s *stallQuerier) query(ctx context.Context, service, id, address string) *stallQuery {
	q, owner := s.join(id, address)
	if q == nil {
		return nil
	}
	if owner {
		sent := s.svc.Now()
		askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stallQueryTimeout)
		report, err := s.client.QueryStalls(askCtx, address)
		cancel()
		s.policy.observeQueryAnswer(service, id, report.Notice, sent)
		s.complete(q, report, err)
		return q
	}
	select {
	case <-q.done:
	case <-ctx.Done():
	}
	return q
}

// join returns the question that serves now; mine says that the caller must ask it.
func (s *stallQuerier) join(id, address string) (q *stallQuery, owner bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.queries[address]
	if old != nil && s.reusable(old) {
		return old, false
	}
	if !s.policy.admitQuery(id) {
		return nil, false
	}
	q = &stallQuery{
		done: make(chan struct{}),
	}
	if old != nil {
		q.unanswered = old.unanswered
	}
	if len(s.queries) >= maxQueriedAddresses {
		s.queries = map[string]*stallQuery{}
	}
	s.queries[address] = q
	return q, true
}

// reusable reports whether a question is under way, or its answer is new enough. One
// that stayed without an answer serves once it tells that the endpoint is lost.
func (s *stallQuerier) reusable(q *stallQuery) bool {
	if q.answeredAt.IsZero() {
		return true
	}
	return (q.err == nil || q.unresponsive()) && s.svc.Now().Sub(q.answeredAt) < answerReuse
}

func (s *stallQuerier) complete(q *stallQuery, report StallReport, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.report = report
	q.err = err
	q.answeredAt = s.svc.Now()
	q.unanswered++
	if err == nil {
		q.unanswered = 0
	}
	close(q.done)
}

// unresponsive reports whether questions in a row stayed without an answer.
func (q *stallQuery) unresponsive() bool {
	return q.err != nil && q.unanswered >= unresponsiveAfter
}
