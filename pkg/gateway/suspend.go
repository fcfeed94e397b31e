package gateway

import (
	"net/http"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/metrics"
)

// A stream whose first endpoint is silent is sent to another one, but its send stays open: it is
// suspended. The send that brings the next event goes on, and the other is closed. So silence alone
// never ends an answer: an endpoint may go on after it, and every other one may fail to take over.

// mayLeave reports whether the stream may leave the current endpoint, which is silent, for another
// one. The retry is charged already then.
func (s *streamRun) mayLeave() bool {
	return s.couldResume() && s.reserveRetry()
}

// leave ends the relaying of the current send, because of which cause the stream is to be sent
// elsewhere. The send is given up only if an earlier one stays open.
func (s *streamRun) leave(cause error) (outcome, error) {
	if s.suspended == nil {
		return diverted, cause
	}
	s.noteSilence(cause)
	s.attempts++
	return broken, cause
}

// noteSilence keeps the stream off the current first endpoint, and records that it is silent.
func (s *streamRun) noteSilence(cause error) {
	first := s.path[0].ID
	s.failedIDs[first] = true
	s.stageStalled = errors.Is(cause, errResendElsewhere)
	if !s.stageStalled {
		s.g.tracker.RecordSilence(first, cause.Error())
		s.g.logFailedAttempt(s.j, first, "silent", s.progressFields()...)
	}
}

// suspend keeps the current send open while the stream is sent elsewhere because of cause.
func (s *streamRun) suspend(cause error) {
	s.noteSilence(cause)
	_ = s.j.fingerprint() // from now on two goroutines may log attempts
	s.attempts++
	s.suspended = s.streamSend
	s.suspendedAfter = s.sends
	s.streamSend = &streamSend{}
}

// unsuspend goes on with the suspended send in place of the current one, and reports whether
// there is one.
func (s *streamRun) unsuspend() bool {
	d := s.suspended
	if d == nil {
		return false
	}
	s.closeSend()
	s.countSuspended("goes_on")
	s.g.log.Event(eventlog.StreamReturned, eventlog.Str("request", s.j.req.ID), eventlog.Str("endpoint", d.path[0].ID), eventlog.Str("after", s.lastEvent))
	s.suspended = nil
	s.streamSend = d
	s.attempts--
	s.exhausted = nil
	s.retryPaid = false
	if s.sends == s.suspendedAfter {
		s.g.retries.refund()
	}
	delete(s.failedIDs, d.path[0].ID)
	return true
}

// takeOver closes the suspended send, if there is one, since the current one goes on.
func (s *streamRun) takeOver() {
	if s.suspended != nil {
		s.countSuspended("taken_over")
		s.dropSuspended()
	}
}

// dropSuspended closes the suspended send.
func (s *streamRun) dropSuspended() {
	if d := s.suspended; d != nil {
		s.suspended = nil
		s.closeSendOf(d)
	}
}

// countSuspended counts how a suspension ended.
func (s *streamRun) countSuspended(end string) {
	s.g.metrics.Counter("streams_suspended", metrics.Label{Name: "end", Value: end}).Inc(1)
}

// closeSend closes the current send and removes its load.
func (s *streamRun) closeSend() {
	s.closeSendOf(s.streamSend)
}

func (s *streamRun) closeSendOf(d *streamSend) {
	d.close()
	d.release()
	if d.pending != nil {
		s.g.waits.end(d.pending)
	}
}

// suspendedItems returns the channel of the suspended answer; nil if there is none.
func (s *streamRun) suspendedItems() <-chan answerItem {
	if s.suspended == nil {
		return nil
	}
	return s.suspended.reader.items
}

// suspendedGoesOn reports whether there is something to pass on of the suspended answer.
func (s *streamRun) suspendedGoesOn() bool {
	return s.suspended != nil && (len(s.suspended.reader.items) > 0 || s.suspended.hasNext())
}

// begin passes the head of the current answer on. While another send may still bring the first event,
// it is kept until then.
func (s *streamRun) begin(a *Answer) {
	s.head = a
	if s.suspended == nil {
		s.writeHead()
	}
}

// writeHead writes the head of the current answer, unless the caller has one.
func (s *streamRun) writeHead() {
	a := s.head
	s.head = nil
	if a == nil || s.headWritten {
		return
	}
	s.headWritten = true
	s.j.out.BeginStream(a.Status, a.Header)
}

// errOvertaken says that the stream isn't sent elsewhere, because its suspended send goes on. No
// caller is told.
var errOvertaken = failure.New(failure.Overloaded, "the endpoint goes on")

// handleSuspended processes an item of the suspended answer, and reports whether that answer goes
// on, so that the current send must be closed.
func (s *streamRun) handleSuspended(it answerItem) bool {
	d := s.suspended
	first := d.path[0].ID
	switch {
	case it.ended && it.err != nil:
		s.g.logFailedAttempt(s.j, first, it.err.Error())
		if notSent(it.err) {
			s.attempts--
		}
		if connectionLost(it.err) && !d.stageStalled {
			s.recordCrashOf(d)
		} else {
			s.endSilence(d)
		}
		s.countSuspended("lost")
		s.dropSuspended()
		return false
	case it.head != nil && (it.head.Status != http.StatusOK || it.head.NotRun || !it.head.Verified):
		if it.head.NotRun || it.head.Misdirected {
			s.attempts--
		}
		s.countSuspended("refused")
		s.endSilence(d)
		s.dropSuspended()
		return false
	}
	d.next = append(d.next, it)
	if it.head != nil {
		s.endSilence(d)
		return false
	}
	return true
}
