package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const (
	// maxStreamSends bounds the sends of one stream, with those that endpoints
	// refused without running them.
	maxStreamSends = 5
	// stallWait is how long nothing may come before the first endpoint of the
	// path is asked what stands still. Endpoints tell of a stall 0.2 to 0.3 s
	// after it began: a question before that costs a connection and brings nothing.
	stallWait = 300 * time.Millisecond
	// askAgain is the pause before a question that stayed without an answer is
	// asked again.
	askAgain = 10 * time.Millisecond
	// maxAsks bounds the questions of one stream.
	maxAsks = 8
	// eventQueue lets the reader run ahead of a caller that reads slowly.
	eventQueue = 4
	// jitterWidth is how far hosts that know the same differ in their choice.
	jitterWidth    = 0.1
	cutJitterWidth = 0.4
)

// streamRun is one stream on its way to a caller.
type streamRun struct {
	g        *Gateway
	j        *job
	sends    int
	ran      int
	begun    bool
	started  time.Time       // of the present send
	moved    bool            // it has brought an event
	last     string          // id of the last event passed on
	lastFrom string          // where the caller wanted to resume
	avoid    map[string]bool // failed this request
	refused  map[string]bool // had no room for it just now
	path     []fleet.Stage
	ends     []func()
	// unsent says that the present send reached no endpoint.
	unsent bool
	// paid says that the next send has its repeat from the budget.
	paid bool
	// waited is how long it has waited for room.
	waited time.Duration
	// held is how long it waited behind streams that begin.
	held    time.Duration
	pulse   pulse
	waiting *waiting // of the present send
	// borrowed is how often it asked for permits, and due when there is one, if there
	// wasn't.
	borrowed int
	due      time.Duration
}

// outcome is how one send of a stream ended.
type outcome int

const (
	finished outcome = iota // the caller has the whole stream
	notRun                  // refused by endpoints, nothing ran
	broken                  // it ran and broke
	left                    // the caller left or its time is up
)

// serveStream answers a request by a stream of events.
func (g *Gateway) serveStream(ctx context.Context, j *job) {
	s := &streamRun{
		g:        g,
		j:        j,
		lastFrom: j.req.LastEvent,
		avoid:    map[string]bool{},
		refused:  map[string]bool{},
	}
	if e := s.mayStay(); e != nil {
		s.giveUp(e)
		return
	}
	g.repeats.earn(g.source.HostCount())
	defer s.release()
	s.queue(ctx)
	for {
		if e := s.chooseSoon(ctx); e != nil {
			s.giveUp(e)
			return
		}
		switch end, cause := s.send(ctx); end {
		case finished:
			g.stood(j)
			g.paces.ended(s.demand().Answer, g.svc.Now().Sub(j.req.Received))
			metrics.Observe(g.metrics.Histogram("longest_pause_us"), s.pulse.pause)
			g.served(j, http.StatusOK, formatPath(s.path), s.sends, s.paceFields()...)
			return
		case left:
			s.expire(ctx)
			return
		case notRun:
			if !s.mayRepeat(cause) {
				s.giveUp(failure.Wrap(cause, failure.Overloaded, "endpoints refused").WithRetryAfter(comeBack))
				return
			}
		case broken:
			if !s.mayResume(cause) {
				s.giveUp(failure.Wrap(cause, failure.EndpointFailed, "the stream broke"))
				return
			}
			g.log.Event(eventlog.StreamResumed, eventlog.Str("request", j.req.ID), eventlog.Str("after", s.last), eventlog.Err(cause))
		}
	}
}

// queue lets a stream that its caller resumes wait for those that begin, where such
// streams come all at once. A caller that leaves meanwhile is noticed by what follows.
func (s *streamRun) queue(ctx context.Context) {
	if s.lastFrom == "" {
		s.g.crowd.NoteNew()
		return
	}
	if _, stops := s.g.source.ShutdownIn(); stops {
		return // each stream must end soon here
	}
	s.held = s.g.crowd.ResumeDelay(s.j.req.Received)
	if s.held > 0 {
		_ = timer.Sleep(ctx, s.g.svc, s.held)
	}
}

// paceFields tells the log how a stream went that was served.
func (s *streamRun) paceFields() []eventlog.Field {
	fields := s.pulse.fields(s.j.req.Received)
	if s.held > 0 {
		fields = append(fields, eventlog.Ms("held_ms", s.held))
	}
	return fields
}

// release takes back what the present path was counted for.
func (s *streamRun) release() {
	for _, end := range s.ends {
		end()
	}
	s.ends = nil
}

// mayRepeat reports whether a send may follow one that ended by cause. Those
// that never reached an endpoint aren't paid for.
func (s *streamRun) mayRepeat(cause error) bool {
	if s.sends >= maxStreamSends {
		return false
	}
	paid := s.paid
	s.paid = false
	return paid || notSent(cause) || s.g.repeats.spend(s.g.source.HostCount())
}

// payAhead takes a repeat from the budget before a stream that still runs is
// given up for another send; without one it is better left running.
func (s *streamRun) payAhead() bool {
	s.paid = s.paid || s.sends < maxStreamSends && s.g.repeats.spend(s.g.source.HostCount())
	return s.paid
}

func (s *streamRun) mayResume(cause error) bool {
	return s.j.route.Resumable && s.ran < s.j.route.MaxAttempts && s.g.keep(s.j) == nil && s.mayRepeat(cause)
}

// resumeFrom is the id after which the next send continues.
func (s *streamRun) resumeFrom() string {
	if s.last != "" {
		return s.last
	}
	return s.lastFrom
}

// send sends the request along the path and passes on what comes.
func (s *streamRun) send(ctx context.Context) (outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.sends++
	s.started = s.g.svc.Now()
	s.moved = false
	call := &Call{
		Request:    s.j.req,
		ID:         s.path[0].ID,
		Address:    s.path[0].Address,
		Account:    s.j.account,
		Timeout:    s.j.end.Sub(s.started),
		LastEvent:  s.resumeFrom(),
		Priority:   s.j.priority,
		Repeatable: s.j.route.Resumable,
	}
	if s.j.service.Engine != nil {
		call.Path = s.path
	}
	s.waiting = s.g.waits.begin(s.path[0].ID)
	defer s.g.waits.end(s.waiting)
	grp := group.New(ctx)
	defer grp.Stop()
	f := newFeed()
	grp.Go(func(ctx context.Context) {
		f.read(ctx, func(ctx context.Context) (*Answer, error) { return s.g.send(ctx, s.j, call) })
	})
	end, cause := s.pass(ctx, f)
	grp.Stop()
	s.unsent = f.unsent.Load()
	if end == broken && s.unsent { // given up while the connection was made
		s.ran--
		return notRun, &SendError{
			Cause: cause,
		}
	}
	return end, cause
}

// pass moves what a feed brings to the caller, and watches for stalls.
func (s *streamRun) pass(ctx context.Context, f *feed) (outcome, error) {
	w := newStallWatch(s)
	l := newLeaveWatch(s)
	for {
		select {
		case <-l.changed:
			l.look()
		case <-l.part:
			l.move(ctx)
		case it := <-f.items:
			if end, cause, over := s.takeItem(ctx, it, w); over {
				return end, cause
			}
		case <-w.timer:
			if err := w.ask(ctx); err != nil {
				s.ran++
				return broken, err
			}
		case <-ctx.Done():
			return left, ctx.Err()
		}
	}
}

// takeItem deals with one item; over says that the send has ended.
func (s *streamRun) takeItem(ctx context.Context, it item, w *stallWatch) (outcome, error, bool) {
	switch {
	case it.head != nil:
		return s.takeHead(it.head)
	case it.over:
		end, cause := s.ended(ctx, it.err)
		return end, cause, true
	}
	w.moved()
	s.g.waits.first(s.waiting)
	if err := s.passOn(it.event); err != nil {
		return left, err, true
	}
	return finished, nil, false
}

// takeHead deals with an answer's head; over says that the send has ended.
func (s *streamRun) takeHead(a *Answer) (outcome, error, bool) {
	if a.NotRun || a.Misdirected {
		return notRun, s.blame(a), true
	}
	if a.Status != http.StatusOK || !a.Verified {
		s.ran++
		s.g.tracker.RecordFailure(s.path[0].ID, "status "+strconv.Itoa(a.Status))
		return broken, errors.Errorf("endpoint %s answered %d", s.path[0].ID, a.Status), true
	}
	if !s.begun {
		s.begun = true
		s.g.returns.note(s.j.service.Name, false)
		s.j.out.BeginStream(a.Status, a.Header)
	}
	return finished, nil, false
}

// blame notes which endpoint refused.
func (s *streamRun) blame(a *Answer) error {
	at := s.path[0]
	for _, p := range s.path {
		if p.Address == a.FaultAddress {
			at = p
		}
	}
	why := "status " + strconv.Itoa(a.Status)
	s.refused[at.ID] = true
	s.g.tracker.RecordFailure(at.ID, why)
	s.g.attemptFailed(s.j, at.ID, why)
	return errors.Errorf("endpoint %s: %s", at.ID, why)
}

func (s *streamRun) passOn(ev event) error {
	if s.last == "" && s.lastFrom == "" || s.sends == 1 && s.last == "" {
		metrics.Observe(s.g.metrics.Histogram("first_event_us"), s.g.svc.Now().Sub(s.j.req.Received))
	}
	s.moved = true
	s.pulse.beat(s.g.svc.Now(), s.last)
	if err := s.j.out.Event(ev.data); err != nil {
		return err
	}
	if ev.id != "" {
		s.last = ev.id
	}
	return nil
}

// ended deals with the end of a feed; err is nil if the stream is whole.
func (s *streamRun) ended(ctx context.Context, err error) (outcome, error) {
	if err == nil {
		return finished, nil
	}
	if ctx.Err() != nil {
		return left, ctx.Err()
	}
	s.g.tracker.RecordFailure(s.path[0].ID, err.Error())
	s.avoid[s.path[0].ID] = true
	s.g.attemptFailed(s.j, s.path[0].ID, err.Error())
	if notSent(err) {
		return notRun, err
	}
	if cut(err) {
		s.g.fell(s.j, s.path[0].ID, !s.moved, s.started)
	}
	s.ran++
	return broken, err
}
