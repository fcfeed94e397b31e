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
func (g *Gateway) observeQueryAnswer(service, id string, w fleet.Notice, sent time.Time) {
	g.observeNotice(id, w)
	g.observeLimit(service, id, w.Limit, sent)
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
func (a *stallQuerier) query(ctx context.Context, service, id, address string) *stallQuery {
	q, mine := a.join(id, address)
	if q == nil {
		return nil
	}
	if mine {
		sent := a.svc.Now()
		askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stallQueryTimeout)
		found, err := a.client.QueryStalls(askCtx, address)
		cancel()
		a.policy.observeQueryAnswer(service, id, found.Notice, sent)
		a.complete(q, found, err)
		return q
	}
	select {
	case <-q.done:
	case <-ctx.Done():
	}
	return q
}

// join returns the question that serves now; mine says that the caller must ask it.
func (a *stallQuerier) join(id, address string) (q *stallQuery, mine bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.queries[address]
	if old != nil && a.reusable(old) {
		return old, false
	}
	if !a.policy.admitQuery(id) {
		return nil, false
	}
	q = &stallQuery{
		done: make(chan struct{}),
	}
	if old != nil {
		q.unanswered = old.unanswered
	}
	if len(a.queries) >= maxQueriedAddresses {
		a.queries = map[string]*stallQuery{}
	}
	a.queries[address] = q
	return q, true
}

// reusable reports whether a question is under way, or its answer is new enough. One
// that stayed without an answer serves once it tells that the endpoint is lost.
func (a *stallQuerier) reusable(q *stallQuery) bool {
	if q.answeredAt.IsZero() {
		return true
	}
	return (q.err == nil || q.unresponsive()) && a.svc.Now().Sub(q.answeredAt) < answerReuse
}

func (a *stallQuerier) complete(q *stallQuery, found StallReport, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q.report = found
	q.err = err
	q.answeredAt = a.svc.Now()
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
