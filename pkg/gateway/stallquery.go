package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	stallQueryTimeout = 150 * time.Millisecond
	// answerReuse is how long an answer is reused. Endpoints report the state of 200 ms
	// ago, so little is missed by reusing an answer for half as long.
	answerReuse = 100 * time.Millisecond
	// unresponsiveAfter is how many stall queries in a row must remain unanswered for
	// an endpoint to count as unresponsive.
	unresponsiveAfter = 2
)

// stallQuerier asks the first endpoints of paths which requests are stalled. There is
// at most one query in flight to each endpoint, and its answer serves all streams that
// ask at the same time or shortly after, because all streams of an endpoint ask at once
// when it is slow or lost. It is safe for use by several goroutines.
type stallQuerier struct {
	client EndpointClient
	policy queryPolicy
	svc    timer.Service

	mu      sync.Mutex
	queries map[string]*stallQuery // by address
}

// queryPolicy decides which endpoints may be sent stall queries.
type queryPolicy interface {
	// admitQuery reports whether an endpoint may be queried now, and acquires what the
	// query needs.
	admitQuery(id string) bool
	// observeQueryAnswer records what the answer to a query sent at sent tells of the endpoint.
	observeQueryAnswer(service, id string, r StallReport, sent time.Time)
}

// admitQuery implements queryPolicy.
func (g *Gateway) admitQuery(id string) bool {
	if !g.acquireCalls(id) {
		return false
	}
	g.countLimitedCall("question", id)
	return true
}

// observeQueryAnswer implements queryPolicy.
func (g *Gateway) observeQueryAnswer(service, id string, r StallReport, sent time.Time) {
	g.observeNotice(id, r.Notice)
	g.observeLimit(service, id, r.Notice.Limit, sent)
	_, startedAt := fleet.SplitIncarnation(id)
	switch {
	case startedAt == 0 || r.StartedAt == 0:
	case r.StartedAt == startedAt:
		g.endpointHeard(id, sent)
	case r.StartedAt > startedAt:
		g.confirmCrash(id)
	}
}

// stallQuery is the latest query to an address.
type stallQuery struct {
	done       chan struct{} // closed when the query is complete
	answeredAt time.Time     // zero before the query is complete
	report     StallReport
	err        error
	unanswered int // number of unanswered queries in a row, including this one
}

// maxQueriedAddresses limits how many addresses are remembered. It is larger than the
// number of endpoints that hold first layers in any deployment.
const maxQueriedAddresses = 1000

func newStallQuerier(policy queryPolicy, client EndpointClient, svc timer.Service) *stallQuerier {
	return &stallQuerier{
		client:  client,
		policy:  policy,
		svc:     svc,
		queries: map[string]*stallQuery{},
	}
}

// query returns the latest answer of an endpoint, and sends a query if there is no
// recent one. The query goes on if the stream that caused it ends. The result is nil if
// the endpoint must not be queried now: it is in backoff and may not be called, or it
// has a rate limit and this host has no permit. If ctx ends while another stream's query
// is in flight, the result is incomplete and must not be read.
func (s *stallQuerier) query(ctx context.Context, service, id, address string) *stallQuery {
	q, owner := s.join(id, address)
	if q == nil {
		return nil
	}
	if owner {
		sent := s.svc.Now()
		queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stallQueryTimeout)
		report, err := s.client.QueryStalls(queryCtx, address)
		cancel()
		s.policy.observeQueryAnswer(service, id, report, sent)
		s.complete(q, report, err)
		return q
	}
	select {
	case <-q.done:
	case <-ctx.Done():
	}
	return q
}

// join returns the query to use; owner says that the caller must send it.
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

// reusable reports whether a query is still in flight, or its answer is recent enough.
// An unanswered query is only reused once it shows that the endpoint is unresponsive.
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

// unresponsive reports whether the endpoint left too many queries in a row unanswered.
func (q *stallQuery) unresponsive() bool {
	return q.err != nil && q.unanswered >= unresponsiveAfter
}
