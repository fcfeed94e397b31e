package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// stallAskTimeout bounds a question.
	stallAskTimeout = 150 * time.Millisecond
	// sharedFor is how long an answer serves whoever asks: endpoints tell what
	// was 200 ms before, so an answer half as old misses little.
	sharedFor = 100 * time.Millisecond
	// deadAfter is how many questions in a row without an answer make an endpoint
	// count as lost.
	deadAfter = 2
)

// asker asks the first endpoints of paths which requests stand still. At each
// one question is under way at a time, and its answer serves every stream that
// asked meanwhile or shortly after: when an endpoint is slow or lost, all of its
// streams ask at once. It is safe for use by several goroutines.
type asker struct {
	backend EndpointClient
	manners manners
	svc     timer.Service

	mu   sync.Mutex
	rows map[string]*question // by address
}

// manners is what endpoints want of calls to them.
type manners interface {
	// mayAsk reports whether an endpoint may be asked now, and takes what that needs.
	mayAsk(id string) bool
	// asked takes what the answer to a question sent at a time says of an endpoint.
	asked(service, id string, w fleet.Notice, sent time.Time)
}

// mayAsk implements manners.
func (g *Gateway) mayAsk(id string) bool {
	if !g.rests.MayCall(id) || !g.permits.TryAcquire(id) || !g.rests.TryAcquire(id) {
		return false
	}
	g.countLimited("question", id)
	return true
}

// asked implements manners.
func (g *Gateway) asked(service, id string, w fleet.Notice, sent time.Time) {
	g.hear(id, w)
	g.hearLimit(service, id, w.Limit, sent)
}

// question is the newest one to an address.
type question struct {
	done   chan struct{} // closed with the answer
	at     time.Time     // of the answer; zero before it
	found  StallReport
	err    error
	silent int // questions in a row without an answer, with this one
}

// maxQuestions is how many addresses are remembered: more than a deployment has
// endpoints that hold first layers.
const maxQuestions = 1000

func newAsker(m manners, backend EndpointClient, svc timer.Service) *asker {
	return &asker{
		backend: backend,
		manners: m,
		svc:     svc,
		rows:    map[string]*question{},
	}
}

// ask returns the newest answer of an endpoint, and asks for one if there is none. A
// question outlives the stream that asked it. It returns nil if the endpoint wants none:
// it rests and was asked once in that, or has a limit and there is no permit.
func (a *asker) ask(ctx context.Context, service, id, address string) *question {
	q, mine := a.join(id, address)
	if q == nil {
		return nil
	}
	if mine {
		sent := a.svc.Now()
		askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stallAskTimeout)
		found, err := a.backend.QueryStalls(askCtx, address)
		cancel()
		a.manners.asked(service, id, found.Notice, sent)
		a.answer(q, found, err)
		return q
	}
	select {
	case <-q.done:
	case <-ctx.Done():
	}
	return q
}

// join returns the question that serves now; mine says that the caller must ask it.
func (a *asker) join(id, address string) (q *question, mine bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.rows[address]
	if old != nil && a.serves(old) {
		return old, false
	}
	if !a.manners.mayAsk(id) {
		return nil, false
	}
	q = &question{
		done: make(chan struct{}),
	}
	if old != nil {
		q.silent = old.silent
	}
	if len(a.rows) >= maxQuestions {
		a.rows = map[string]*question{}
	}
	a.rows[address] = q
	return q, true
}

// serves reports whether a question is under way, or its answer is new enough. One
// that stayed without an answer serves once it tells that the endpoint is lost.
func (a *asker) serves(q *question) bool {
	if q.at.IsZero() {
		return true
	}
	return (q.err == nil || q.lost()) && a.svc.Now().Sub(q.at) < sharedFor
}

func (a *asker) answer(q *question, found StallReport, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q.found = found
	q.err = err
	q.at = a.svc.Now()
	q.silent++
	if err == nil {
		q.silent = 0
	}
	close(q.done)
}

// lost reports whether questions in a row stayed without an answer.
func (q *question) lost() bool {
	return q.err != nil && q.silent >= deadAfter
}
