package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
)

const (
	// maxSends limits how often one request is sent, including sends that an endpoint
	// refused without running the request.
	maxSends = 4
	// hedgeShare is the part of the latency goal after which a request that may run
	// more than once is also sent to a second endpoint. Half of the goal is more than
	// twice the mean processing time, so few requests are hedged while the load is
	// normal.
	hedgeShare = 0.5
	// baseRetryAfter is the usual retry-after time of a refused caller, and the minimum
	// if the time until capacity is available is known.
	baseRetryAfter = 300 * time.Millisecond
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	endpoint fleet.Endpoint
	status   int
	header   http.Header
	body     []byte
	notRun   bool
	err      error
	sentAt   time.Time
}

// final reports whether this is an answer that no other attempt can improve on.
func (r *attemptResult) final() bool {
	return r.err == nil && !r.notRun && r.status < http.StatusInternalServerError
}

// serveUnary serves a request whose answer is not a stream.
func (g *Gateway) serveUnary(ctx context.Context, j *job) {
	w := &unaryRun{
		g:       g,
		j:       j,
		tried:   map[string]bool{},
		results: make(chan *attemptResult, maxSends),
	}
	g.depositRetries(j)
	w.group = group.New(ctx)
	defer w.releaseAnswers()
	w.run(ctx)
}

// releaseAnswers ends the attempts that are running, and frees their answers.
func (w *unaryRun) releaseAnswers() {
	w.group.Stop()
	for _, h := range w.held {
		h.release()
	}
}

// hold returns what counts the answer of one more attempt.
func (w *unaryRun) hold() *heldAnswer {
	h := w.g.memory.hold()
	w.held = append(w.held, h)
	return h
}

// unaryRun is the state of a request with a non-streamed answer, over all its attempts.
type unaryRun struct {
	g        *Gateway
	j        *job
	group    *group.Group
	tried    map[string]bool
	results  chan *attemptResult
	held     []*heldAnswer // of all attempts
	sends    int
	running  int
	attempts int  // attempts that may have run
	noPeer   bool // none of the hosts that were asked could take the request
	best     *attemptResult
	// permitRequests is how often the leader was asked for permits. If it granted none,
	// permitAvailableIn is the time until one is available.
	permitRequests    int
	permitAvailableIn time.Duration
}

func (w *unaryRun) run(ctx context.Context) {
	if w.g.relaysFirst(w.j) && w.relay(ctx) {
		return
	}
	for {
		if e := w.g.checkQuarantine(w.j); e != nil {
			w.refuse(e)
			return
		}
		changed := w.g.source.Changed()
		if w.send(firstSend) {
			break
		}
		if w.requestPermit(ctx) {
			continue
		}
		if !w.g.awaitEndpoints(ctx, w.j.req, changed) {
			w.finish(ctx)
			return
		}
	}
	hedge := w.hedgeTimer()
	for w.running > 0 {
		select {
		case r := <-w.results:
			w.running--
			if w.handleResult(r) {
				return
			}
		case <-hedge:
			hedge = nil
			w.resend(asHedge, nil)
		case <-ctx.Done():
			w.expire(ctx)
			return
		}
	}
	w.finish(ctx)
}

// hedgeTimer returns a channel that fires when it is time to hedge, or nil if the
// request must not be hedged.
func (w *unaryRun) hedgeTimer() <-chan time.Time {
	if w.j.route.Kind != fleet.Safe || w.j.route.Goal <= 0 {
		return nil
	}
	return w.g.svc.After(time.Duration(hedgeShare * float64(w.j.route.Goal)))
}

// handleResult processes the end of an attempt and reports whether the request is
// answered.
func (w *unaryRun) handleResult(r *attemptResult) bool {
	w.best = better(w.best, r)
	if r.final() {
		w.answer(r)
		return true
	}
	if r.err != nil || r.notRun {
		w.g.tracker.RecordFailure(r.endpoint.ID, w.failureReason(r))
		w.g.logFailedAttempt(w.j, r.endpoint.ID, w.failureReason(r))
	}
	if connectionLost(r.err) {
		w.g.recordCrash(w.j, crashedSend{
			endpoint:       r.endpoint.ID,
			address:        r.endpoint.Address,
			domain:         r.endpoint.Domain,
			sentAt:         r.sentAt,
			beforeResponse: true,
		})
	}
	if r.notRun || notSent(r.err) {
		w.g.recordRefused(r.endpoint.ID, r.err)
		w.attempts--
		w.resend(afterFailure, r.err)
		return false
	}
	if w.j.route.Kind == fleet.Safe && w.running == 0 {
		w.resend(afterFailure, r.err)
	}
	return false
}

func (w *unaryRun) failureReason(r *attemptResult) string {
	if r.err != nil {
		return r.err.Error()
	}
	return http.StatusText(r.status)
}

// better returns the result to answer with: an answer of an endpoint is preferred to a
// failure without one.
func better(a, b *attemptResult) *attemptResult {
	if a == nil || a.err != nil || a.notRun {
		return b
	}
	if b.err != nil || b.notRun {
		return a
	}
	return b
}

func notSent(err error) bool {
	var e *SendError
	return errors.As(err, &e) && !e.Sent
}

// mayAttempt reports whether one more endpoint may run the request.
func (w *unaryRun) mayAttempt() bool {
	return w.attempts+w.j.priorAttempts < w.j.route.MaxAttempts && w.g.checkQuarantine(w.j) == nil
}

// resend sends the request once more if the limit of attempts and the retry budget
// allow it.
func (w *unaryRun) resend(reason sendReason, cause error) {
	if !w.mayAttempt() || w.sends >= maxSends || w.g.reach.Unreachable(w.j.service.Name) {
		return // to a service that isn't reachable, the request is relayed once no attempt is running
	}
	if notSent(cause) {
		reason = afterUnsent
	}
	w.send(reason)
}

// sendReason is why a request is sent.
type sendReason int

const (
	firstSend    sendReason = iota
	afterFailure            // an attempt failed or was refused
	afterUnsent             // an attempt reached no endpoint
	asHedge                 // another attempt is still running
)

// send starts an attempt and reports whether it did. A retry or hedge is charged to the
// retry budget, unless the attempt before reached no endpoint. A hedge never uses a
// permit, which would take it from a request that has not been sent yet.
func (w *unaryRun) send(reason sendReason) bool {
	e, ok := w.pick(reason)
	if !ok {
		return false
	}
	w.tried[e.ID] = true
	w.sends++
	w.attempts++
	w.running++
	w.j.probeSent = true
	held := w.hold()
	w.group.Go(func(ctx context.Context) {
		w.results <- w.g.tryAttempt(ctx, w.j, e, held)
	})
	return true
}

// pick chooses the endpoint for the next attempt and acquires what the attempt needs.
func (w *unaryRun) pick(reason sendReason) (fleet.Endpoint, bool) {
	fits := func(id string) bool { return !w.tried[id] && (reason != asHedge || !w.g.permits.HasLimit(id)) }
	paid := reason == firstSend || reason == afterUnsent
	for {
		e, ok := w.g.pick(w.j.service.Name, fits)
		if !ok && w.sends == 0 {
			e, ok = w.g.lastChoice(w.j.service.Name, w.tried)
		}
		paid = paid || ok && w.g.retries.withdraw(w.g.source.HostCount())
		if !ok || !paid {
			return e, false
		}
		if w.g.acquireCalls(e.ID) {
			return e, true
		}
	}
}

// requestPermit asks the leader for a permit if only a permit is missing, and reports
// whether to choose an endpoint again.
func (w *unaryRun) requestPermit(ctx context.Context) bool {
	ids := w.g.lackingPermit(w.j.service.Name, w.tried)
	if len(ids) == 0 || w.permitRequests >= maxPermitRequests {
		return false
	}
	w.permitRequests++
	w.permitAvailableIn = w.g.requestPermits(ctx, w.j, ids, false)
	return w.permitAvailableIn == 0
}

func (w *unaryRun) answer(r *attemptResult) {
	w.g.recordAnswered(w.j, r.sentAt)
	w.g.logServed(w.j, r.status, r.endpoint.ID, w.sends)
	w.j.out.WriteAnswer(r.status, r.header, r.body)
}

// finish answers the request when no attempt is running.
func (w *unaryRun) finish(ctx context.Context) {
	r := w.best
	if r != nil && r.err != nil && w.mayRelay() && w.relay(ctx) {
		return
	}
	switch {
	case r != nil && r.err == nil && !r.notRun:
		w.answer(r)
	case r == nil && w.permitAvailableIn > 0:
		w.refuse(w.g.noPermitError(w.permitAvailableIn))
	case r == nil && w.g.backoffRemaining(w.j.service.Name) > 0:
		w.refuse(w.g.backoffError(w.g.backoffRemaining(w.j.service.Name)))
	case r == nil:
		w.refuse(failure.New(failure.NoEndpoint, "no endpoint of the service takes work").WithRetryAfter(lengthen(baseRetryAfter)))
	case w.attempts == 0 && w.g.reach.Unreachable(w.j.service.Name):
		w.refuse(isolatedError(w.j))
	case w.attempts > 0:
		w.refuse(failure.Wrap(r.err, failure.EndpointFailed, "endpoint %s", r.endpoint.ID))
	default:
		w.refuse(failure.New(failure.Overloaded, "every endpoint that was asked refused").
			WithRetryAfter(max(baseRetryAfter, lengthen(w.g.backoffRemaining(w.j.service.Name)))))
	}
}

// expire answers the request when its time has run out, the caller has disconnected or the
// host stops. Attempts that have not reached an endpoint by then cannot have run. The caller
// is told if none has run: a caller whose request must not run twice may only retry after
// that.
func (w *unaryRun) expire(ctx context.Context) {
	w.group.Stop()
	for ; w.running > 0; w.running-- {
		r := <-w.results
		if r.final() {
			w.answer(r)
			return
		}
		if r.notRun || notSent(r.err) {
			w.attempts--
		}
	}
	w.end(ctx, w.attempts > 0)
}

// end answers the request when its context has ended.
func (w *unaryRun) end(ctx context.Context, mayHaveRun bool) {
	if errors.Is(ctx.Err(), context.Canceled) {
		w.g.log.Event(eventlog.RequestLeft, eventlog.Str("request", w.j.req.ID), eventlog.Int("attempts", int64(w.attempts)),
			eventlog.Ms("after_ms", w.g.svc.Now().Sub(w.j.req.Received)), eventlog.Err(context.Cause(ctx)))
	}
	w.g.refuseEnded(ctx, w.j, mayHaveRun)
}

func (w *unaryRun) refuse(e *failure.Error) {
	w.g.refuse(w.j.req, w.j, w.j.out, e)
}
