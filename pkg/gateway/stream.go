package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// maxStreamSends limits how often one stream is sent, including sends that an
	// endpoint refused without running the request.
	maxStreamSends = 5
	// stallWait is how long a stream may go without an event before the first endpoint
	// of its path is sent a stall query. Endpoints report a stall 0.2 to 0.3 s after it
	// began: an earlier query costs a connection and finds nothing.
	stallWait = 300 * time.Millisecond
	// stallQueryRetry is the pause after a stall query that was not answered.
	stallQueryRetry = 10 * time.Millisecond
	// maxStallQueries limits the stall queries of one stream.
	maxStallQueries = 8
	// eventQueue is how many events are read ahead of a caller that reads slowly.
	eventQueue = 4
	// jitterWidth is the relative width of the random factor on the cost of an
	// endpoint, so that hosts with the same view do not all choose the same endpoint.
	// resumeJitterWidth applies to streams that were interrupted.
	jitterWidth       = 0.1
	resumeJitterWidth = 0.4
)

// streamRun is the state of one stream, over all its sends.
type streamRun struct {
	*streamSend // the current one
	g           *Gateway
	j           *job
	// suspended is an earlier send that may still go on; nil if there is none. suspendedAfter is
	// the number of sends when it was suspended.
	suspended       *streamSend
	suspendedAfter  int
	sends           int
	attempts        int             // sends that may have run, without the current one
	headWritten     bool            // the caller has status and headers
	lastEvent       string          // ID of the last event that was passed on
	callerLastEvent string          // ID after which the caller wanted to resume
	failedIDs       map[string]bool // endpoints that failed this request
	refusedIDs      map[string]bool // endpoints without free capacity for it at the moment
	withFull        bool            // the search in progress may choose full endpoints
	rejected        bool            // the latest refusal was for lack of capacity
	// shortage says that admission control limited some requests when it admitted this one.
	shortage bool
	// fullFailure is the latest failure because only full endpoints could take the stream.
	fullFailure *failure.Error
	admitted    *admission.Stream // by admission control; nil if that wasn't asked
	mayHaveRun  bool              // an endpoint may have run the stream
	unreached   bool              // an endpoint could not be connected to
	triedPeers  map[string]bool   // hosts that couldn't take the stream
	noPeer      bool              // none of the hosts that were asked could take the stream since it last ran
	exhausted   error             // why it may not be sent to endpoints any more; nil if it may
	obstacle    obstacle          // because of which an interruption ends the stream
	// retryPaid says that the next send is already charged to the retry budget.
	retryPaid bool
	// capacityWaited is how long the stream has waited for free capacity.
	capacityWaited time.Duration
	// resumeDelay is how long the stream was delayed in favour of new streams.
	resumeDelay time.Duration
	pauses      pauseTracker
	// permitRequests is how often the leader was asked for permits. If it granted none,
	// permitAvailableIn is the time until one is available.
	permitRequests    int
	permitAvailableIn time.Duration
}

// outcome is how one send of a stream ended.
type outcome int

const (
	finished  outcome = iota // the caller has the complete stream
	notRun                   // endpoints refused it without running it
	broken                   // it ran and was interrupted
	diverted                 // it should go on elsewhere, while this send stays open
	overtaken                // the suspended send goes on
	abandoned                // the caller disconnected or its time ran out
)

// serveStream answers a request with a stream of events.
func (g *Gateway) serveStream(ctx context.Context, j *job) {
	s := &streamRun{
		streamSend:      &streamSend{},
		g:               g,
		j:               j,
		callerLastEvent: j.req.LastEvent,
		failedIDs:       map[string]bool{},
		refusedIDs:      map[string]bool{},
		triedPeers:      map[string]bool{},
	}
	if e := s.refuseIfTooLong(); e != nil {
		s.fail(e)
		return
	}
	if !g.relaysFirst(j) { // another host decides about a relayed stream
		g.ranks.record(j.service.Name, j.priority)
		if e := s.askAdmission(); e != nil {
			s.fail(e)
			return
		}
		defer s.endAdmission()
		s.delayResume(ctx)
	}
	g.depositRetries(j)
	defer s.closeSend()
	defer s.dropSuspended()
	for !s.step(ctx) {
	}
}

// step sends the stream once, or goes on with the suspended send, and reports whether the stream
// has ended.
func (s *streamRun) step(ctx context.Context) bool {
	end, e, cause := s.sendNext(ctx)
	if e != nil {
		return s.failUnlessSuspended(e)
	}
	s.mayHaveRun = s.mayHaveRun || end != notRun && !s.unsent
	switch end {
	case finished:
		s.recordFinished()
		return true
	case abandoned:
		s.expire(ctx)
		return true
	case notRun:
		if s.checkRetry(cause) != resumable {
			s.exhausted = cause
		}
		return false
	case overtaken:
		if !s.unsent {
			s.attempts++
		}
		s.unsuspend()
		return false
	case diverted:
		s.suspend(cause)
	}
	if s.obstacle = s.checkResume(cause); s.obstacle != resumable {
		return s.failUnlessSuspended(failure.Wrap(cause, failure.EndpointFailed, "the stream broke"))
	}
	s.g.log.Event(eventlog.StreamResumed, eventlog.Str("request", s.j.req.ID), eventlog.Str("after", s.lastEvent), eventlog.Err(cause))
	return false
}

// failUnlessSuspended ends a stream that can't be sent anywhere, unless a suspended send may still go
// on. It reports whether the stream has ended.
func (s *streamRun) failUnlessSuspended(e *failure.Error) bool {
	if s.unsuspend() {
		return false
	}
	s.fail(e)
	return true
}

// delayResume delays a stream that its caller resumes, in favour of new streams, when
// many streams are resumed at once. If the caller disconnects during the delay, the
// next step notices it.
func (s *streamRun) delayResume(ctx context.Context) {
	if s.callerLastEvent == "" {
		s.g.resumes.NoteNew()
		return
	}
	if _, stops := s.g.source.ShutdownIn(); stops {
		return // every stream should end soon on this host
	}
	s.resumeDelay = s.g.resumes.ResumeDelay(s.j.req.Received)
	if s.resumeDelay > 0 {
		_ = timer.Sleep(ctx, s.g.svc, s.resumeDelay)
	}
}

// logFields returns the fields about pauses and delays for the log event of a served
// stream.
func (s *streamRun) logFields() []eventlog.Field {
	fields := s.pauses.fields(s.j.req.Received)
	if s.resumeDelay > 0 {
		fields = append(fields, eventlog.Ms("held_ms", s.resumeDelay))
	}
	return fields
}

// obstacle is why an interrupted stream isn't sent again.
type obstacle string

const (
	resumable        obstacle = ""
	routeForbids     obstacle = "route" // its streams may run once only
	attemptsUsed     obstacle = "attempts"
	sendsUsed        obstacle = "sends"
	retryBudgetSpent obstacle = "retry_budget"
	inQuarantine     obstacle = "quarantine"
)

// checkRetry returns why the stream may not be sent again after a send that ended with cause. If
// it may, it charges the retry budget. A send after one that reached no endpoint is free.
func (s *streamRun) checkRetry(cause error) obstacle {
	if s.sends >= maxStreamSends {
		return sendsUsed
	}
	paid := s.retryPaid
	s.retryPaid = false
	if paid || notSent(cause) || s.g.retries.withdraw(s.g.source.HostCount()) {
		return resumable
	}
	return retryBudgetSpent
}

// reserveRetry charges the retry budget before a stream that still runs is given up for
// another send. If the budget is used up, it is better to leave the stream running.
func (s *streamRun) reserveRetry() bool {
	s.retryPaid = s.retryPaid || s.sends < maxStreamSends && s.g.retries.withdraw(s.g.source.HostCount())
	return s.retryPaid
}

// couldResume reports whether the stream may be sent once more if its current send is given
// up.
func (s *streamRun) couldResume() bool {
	return s.j.route.Resumable && s.sends < maxStreamSends && s.attempts+1+s.j.priorAttempts < s.j.route.MaxAttempts
}

// checkResume is checkRetry for a stream that an endpoint may have run.
func (s *streamRun) checkResume(cause error) obstacle {
	switch {
	case !s.j.route.Resumable:
		return routeForbids
	case s.attempts+s.j.priorAttempts >= s.j.route.MaxAttempts:
		return attemptsUsed
	case s.g.checkQuarantine(s.j) != nil:
		return inQuarantine
	}
	return s.checkRetry(cause)
}

// resumeFrom returns the ID of the event after which the next send continues.
func (s *streamRun) resumeFrom() string {
	if s.lastEvent != "" {
		return s.lastEvent
	}
	return s.callerLastEvent
}

// send sends the request along the current path and passes the events on to the caller.
func (s *streamRun) send(ctx context.Context) (outcome, error) {
	s.sends++
	s.sentAt = s.g.svc.Now()
	s.gotEvent = false
	s.survived = false
	s.rejected = false
	s.j.probeSent = true
	call := &Call{
		Request:    s.j.req,
		ID:         s.path[0].ID,
		Address:    s.path[0].Address,
		Account:    s.j.account,
		Timeout:    s.j.deadline.Sub(s.sentAt),
		LastEvent:  s.resumeFrom(),
		Priority:   s.j.priority,
		Repeatable: s.couldResume(),
	}
	if s.j.service.Engine != nil {
		call.Path = s.path
	}
	s.pending = s.g.waits.begin(s.path[0].ID)
	s.open(ctx, s.g.memory, func(ctx context.Context) (*Answer, error) { return s.g.send(ctx, s.j, call) })
	return s.relayUntilClosed(ctx)
}

// relayUntilClosed passes the events of the current send on to the caller, and closes the send
// unless it is to be suspended.
func (s *streamRun) relayUntilClosed(ctx context.Context) (outcome, error) {
	end, cause := s.relay(ctx)
	if end == diverted {
		return end, cause
	}
	s.close()
	s.g.waits.end(s.pending)
	return end, cause
}

// relay passes what is read from the answer on to the caller, and watches for stalled
// and leaving stages.
func (s *streamRun) relay(ctx context.Context) (outcome, error) {
	r := s.reader
	w := newStallWatch(s)
	l := newLeaveWatch(s)
	v := newLivenessWatch(s)
	defer v.stop()
	s.liveness = v
	for len(s.next) > 0 {
		it := s.next[0]
		s.next = s.next[1:]
		if end, cause, done := s.handleItem(ctx, it, w); done {
			return end, cause
		}
	}
	for {
		select {
		case <-l.changed:
			l.check()
		case <-l.moveTimer:
			l.replaceStages(ctx)
		case it := <-r.items:
			if end, cause, done := s.handleItem(ctx, it, w); done {
				return end, cause
			}
		case it := <-s.suspendedItems():
			if s.handleSuspended(it) {
				return overtaken, nil
			}
		case <-w.timer:
			if err := w.check(ctx); err != nil {
				return s.leave(err)
			}
		case <-v.timer:
			v.check(r)
		case k := <-v.lost:
			if err := v.replaceLost(ctx, k, r, w); err != nil {
				return s.leave(err)
			}
		case <-ctx.Done():
			return abandoned, ctx.Err()
		}
	}
}

// handleItem processes one item of the answer; done says that the send has ended.
func (s *streamRun) handleItem(ctx context.Context, it answerItem, w *stallWatch) (outcome, error, bool) {
	if !it.ended || it.err == nil {
		s.endSilence(s.streamSend)
	}
	switch {
	case it.head != nil:
		return s.handleHead(it.head)
	case it.ended:
		end, cause := s.handleEnd(ctx, it.err)
		return end, cause, true
	}
	w.sawEvent()
	s.liveness.sawEvent()
	s.g.waits.firstEvent(s.pending)
	if !s.gotEvent {
		s.recordAccepted()
		s.recordHeard()
	}
	if err := s.forward(it.event); err != nil {
		return abandoned, err, true
	}
	return finished, nil, false
}

// handleHead processes status and headers of the answer; the last result says that the
// send has ended.
func (s *streamRun) handleHead(a *Answer) (outcome, error, bool) {
	if a.NotRun || a.Misdirected {
		return notRun, s.recordRefusal(a), true
	}
	if a.Status != http.StatusOK || !a.Verified {
		s.attempts++
		s.g.tracker.RecordFailure(s.path[0].ID, "status "+strconv.Itoa(a.Status))
		return broken, errors.Errorf("endpoint %s answered %d", s.path[0].ID, a.Status), true
	}
	if !s.headWritten {
		s.g.retryAfters.record(s.j.service.Name, false)
	}
	s.begin(a)
	return finished, nil, false
}

// recordRefusal records which endpoint of the path refused the request. An endpoint that
// says itself that it lacks capacity works, so it isn't avoided beyond the time for which it
// is full. A later stage that the first one names may have been lost.
func (s *streamRun) recordRefusal(a *Answer) error {
	stage := s.path[0]
	for _, p := range s.path {
		if p.Address == a.FaultAddress {
			stage = p
		}
	}
	why := "status " + strconv.Itoa(a.Status)
	s.refusedIDs[stage.ID] = true
	s.rejected = lacksCapacity(a) && s.g.full.Remaining(stage.ID) > 0
	if stage.ID != s.path[0].ID || !s.rejected {
		s.g.tracker.RecordFailure(stage.ID, why)
	}
	s.g.logFailedAttempt(s.j, stage.ID, why)
	return errors.Errorf("endpoint %s: %s", stage.ID, why)
}

func (s *streamRun) forward(ev event) error {
	s.takeOver()
	s.writeHead()
	if s.lastEvent == "" && s.callerLastEvent == "" || s.sends == 1 && s.lastEvent == "" {
		metrics.Observe(s.g.metrics.Histogram("first_event_us"), s.g.svc.Now().Sub(s.j.req.Received))
	}
	s.recordProgress()
	s.pauses.record(s.g.svc.Now(), s.lastEvent)
	if err := s.j.out.Event(ev.data); err != nil {
		return err
	}
	if ev.id != "" {
		s.lastEvent = ev.id
	}
	return nil
}

// handleEnd processes the end of the answer; err is nil if the stream is complete.
func (s *streamRun) handleEnd(ctx context.Context, err error) (outcome, error) {
	if err == nil {
		s.writeHead()
		return finished, nil
	}
	if ctx.Err() != nil {
		return abandoned, ctx.Err()
	}
	s.g.tracker.RecordError(s.path[0].ID, err)
	s.failedIDs[s.path[0].ID] = true
	s.g.logFailedAttempt(s.j, s.path[0].ID, err.Error(), s.progressFields()...)
	if notSent(err) {
		s.unreached = true
		s.g.recordRefused(s.path[0].ID, err)
		return notRun, err
	}
	if connectionLost(err) {
		s.recordCrashOf(s.streamSend)
	} else {
		s.endSilence(s.streamSend)
	}
	s.attempts++
	return broken, err
}
