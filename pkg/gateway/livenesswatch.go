package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
)

const (
	// checkPauseFraction is the fraction of the route's pause goal after which the
	// stages of a stream without an event are checked, and minCheckPause the least such
	// pause. A stream usually gets an event every 25 to 60 ms.
	checkPauseFraction = 0.3
	minCheckPause      = 60 * time.Millisecond
	// usualPauseFactor is how many times the usual pause of the service's streams a pause
	// must be. Where events come slowly, streams would otherwise have their stages checked
	// at every few events, and each check opens connections.
	usualPauseFactor = 1.6
	// maxLostStages is how many notifications of lost endpoints wait for a stream. Paths
	// have fewer stages.
	maxLostStages = 8
)

// livenessWatch has the later stages of a stream's path checked when the stream pauses,
// and gives the stream another path when one of them is lost.
type livenessWatch struct {
	s       *streamRun
	checker *livenessChecker
	pause   time.Duration // after which stages are checked; 0: never
	timer   <-chan time.Time
	lost    chan *livenessCheck // lost endpoints on the path
	stages  []string            // guarded by checker.mu
	sentAt  time.Time
	// eventAt is the time of the last event in ns since 1970; 0 before the first one.
	eventAt atomic.Int64
	// pausedAt is when the current pause began: at the last event, or when the stream
	// got another path.
	pausedAt time.Time
}

// newLivenessWatch returns the watch of one send of a stream. It must be stopped.
func newLivenessWatch(s *streamRun) *livenessWatch {
	w := &livenessWatch{
		s:       s,
		checker: s.g.liveness,
		lost:    make(chan *livenessCheck, maxLostStages),
		sentAt:  s.sentAt,
	}
	if goal := s.j.route.GapGoal; goal > 0 && s.j.service.Engine != nil {
		w.pause = max(minCheckPause, time.Duration(checkPauseFraction*float64(goal)))
	}
	w.followPath()
	return w
}

// stop ends the notifications of lost endpoints.
func (w *livenessWatch) stop() {
	w.checker.setStages(w, nil)
}

// followPath makes the watch follow a change of the stream's path.
func (w *livenessWatch) followPath() {
	w.checker.setStages(w, endpointIDs(w.s.path))
}

// sawEvent notes an event. The timer is only set if it is not running, because most
// events come before it fires.
func (w *livenessWatch) sawEvent() {
	now := w.checker.svc.Now()
	if w.eventAt.Load() != 0 {
		w.checker.usual.record(w.s.j.service.Name, now.Sub(w.pausedAt))
	}
	w.eventAt.Store(now.UnixNano())
	w.pausedAt = now
	if w.s.peer == "" {
		for i := range w.s.path {
			w.s.g.tracker.Heard(w.s.path[i].ID, now)
		}
	}
	if w.pause > 0 && w.timer == nil {
		w.timer = w.checker.svc.After(w.pause)
	}
}

// lastEvent returns the time of the last event; zero before the first one. Any goroutine
// may call it.
func (w *livenessWatch) lastEvent() time.Time {
	ns := w.eventAt.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// idleSince reports whether the stream was sent before t and has had no event since. Any
// goroutine may call it.
func (w *livenessWatch) idleSince(t time.Time) bool {
	return !w.sentAt.After(t) && !w.lastEvent().After(t)
}

// notify tells the stream of a lost endpoint. If it has too many notifications, the
// stall query finds the loss.
func (w *livenessWatch) notify(k *livenessCheck) {
	select {
	case w.lost <- k:
	default:
	}
}

// longPause returns after which pause the stages are checked.
func (w *livenessWatch) longPause() time.Duration {
	usual := w.checker.usual.of(w.s.j.service.Name)
	return max(w.pause, time.Duration(usualPauseFactor*float64(usual)))
}

// check has the later stages of the path checked if the pause is long enough. It doesn't
// wait for the results. From stallWait on, the stall query takes over.
func (w *livenessWatch) check(r *answerReader) {
	w.timer = nil
	paused := w.checker.svc.Now().Sub(w.pausedAt)
	long := w.longPause()
	switch {
	case paused < long:
		w.timer = w.checker.svc.After(long - paused)
		return
	case len(r.items) > 0: // an event is there that was not passed on yet
		w.timer = w.checker.svc.After(checkRetryInterval)
		return
	case paused >= stallWait:
		return
	}
	again := time.Duration(0)
	for _, p := range w.s.path[1:] {
		roundTrip := 2 * w.s.j.service.Engine.Delay(w.s.g.domain, p.Domain)
		d := w.checker.check(p.ID, p.Address, w.pausedAt, roundTrip)
		if d > 0 && (again == 0 || d < again) {
			again = d
		}
	}
	if again > 0 {
		w.timer = w.checker.svc.After(again)
	}
}

// replaceLost gives the stream another path if the lost endpoint is a later stage of its
// path and no event has come since the check began. Its error says that the stream should
// be sent elsewhere.
func (w *livenessWatch) replaceLost(ctx context.Context, k *livenessCheck, r *answerReader, stall *stallWatch) error {
	s := w.s
	if len(r.items) > 0 || !w.idleSince(k.startedAt) || !s.passesThrough(k.id) {
		return nil
	}
	s.g.log.Event(eventlog.StreamStalled, eventlog.Str("request", s.j.req.ID), eventlog.Str("at", k.address), eventlog.Str("after", s.lastEvent),
		eventlog.Str("why", "liveness check: "+string(k.result)))
	if err := s.repath(ctx, k.address); err != nil {
		return err
	}
	if s.passesThrough(k.id) {
		return nil
	}
	// The first endpoint may report the stage that was replaced as stalled for another
	// 0.2 s, and a query would then replace the new path.
	if stall.timer != nil {
		stall.arm(stallWait)
	}
	w.pausedAt = w.checker.svc.Now()
	if w.pause > 0 && w.lastEvent() != (time.Time{}) {
		w.timer = w.checker.svc.After(w.pause)
	}
	return nil
}

// passesThrough reports whether an endpoint is a later stage of the stream's path.
func (s *streamRun) passesThrough(id string) bool {
	for _, p := range s.path[1:] {
		if p.ID == id {
			return true
		}
	}
	return false
}
