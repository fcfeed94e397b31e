package gateway

import (
	"strconv"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/metrics"
)

// admitter decides which new streams a service takes when it is asked for more than it can
// serve.
type admitter interface {
	// Admit decides about a stream. If it is admitted, it counts as running until the
	// returned admission.Stream is ended or cancelled.
	Admit(r admission.Request) (admission.Decision, *admission.Stream)
	// RefuseFull returns the refusal of an admitted stream that only full endpoints could
	// take.
	RefuseFull(r admission.Request) admission.Decision
	// RecordSend notes a send to an endpoint, and whether it was rejected for lack of
	// capacity.
	RecordSend(service string, rejected bool)
}

// Admission returns this host's part of admission control.
func (g *Gateway) Admission() *admission.Controller {
	return g.admission
}

// maxStreamTokens bounds the tokens that one stream counts for. The sizes that callers state are
// not checked, and one of them would otherwise be taken for all of the capacity.
const maxStreamTokens = 1 << 17

// admissionRequest returns the stream as admission control sees it.
func (s *streamRun) admissionRequest() admission.Request {
	d := s.demand()
	r := admission.Request{
		Service:     s.j.service.Name,
		Route:       s.j.route.Name,
		Rank:        s.j.priority,
		Account:     s.j.account,
		Tokens:      min(maxStreamTokens, d.MeanKVTokens()),
		Interrupted: s.callerLastEvent != "" && s.j.route.Resumable,
	}
	if s.j.req.Timeout > 0 {
		// The route's time-out doesn't limit it here: what tells a retry is that its
		// caller has less time left than the others.
		r.Remaining = max(0, s.j.req.Timeout-s.g.svc.Now().Sub(s.j.req.Received))
	}
	return r
}

// askAdmission asks admission control once whether to take the stream, and returns the
// failure if it is refused. It takes every stream of a service that isn't ranked.
func (s *streamRun) askAdmission() *failure.Error {
	if !s.j.ranked {
		return nil
	}
	rank := metrics.Label{
		Name:  "rank",
		Value: strconv.Itoa(s.j.priority),
	}
	d, admitted := s.g.admitter.Admit(s.admissionRequest())
	if d.Admitted {
		s.admitted = admitted
		s.shortage = d.Shortage > 0
		s.g.metrics.Counter("admission_admitted", rank).Inc(1)
		return nil
	}
	s.j.decision = &d
	s.g.metrics.Counter("admission_refused", rank).Inc(1)
	s.g.metrics.Counter("admission_refused_account", metrics.Label{
		Name:  "account",
		Value: s.g.labels.of(s.j.account),
	}).Inc(1)
	return failure.New(failure.Overloaded, "%s", d.Reason.Text(s.j.priority)).WithRetryAfter(d.RetryAfter)
}

// endAdmission ends the count of the stream as running. Tokens of a stream that no endpoint
// has run don't count as finished.
func (s *streamRun) endAdmission() {
	switch {
	case s.admitted == nil:
	case s.mayHaveRun:
		s.admitted.End()
	default:
		s.admitted.Cancel()
	}
}

// refuseFull sets the retry-after time of the failure of a stream that only full endpoints
// could take to a time for which capacity is expected.
func (s *streamRun) refuseFull(e *failure.Error) *failure.Error {
	if !s.j.ranked {
		return e
	}
	d := s.g.admitter.RefuseFull(s.admissionRequest())
	s.j.decision = &d
	if d.Shortage == 0 {
		return e // an endpoint has capacity again sooner than a booked time
	}
	return e.WithRetryAfter(d.RetryAfter)
}

// rejectedError returns the failure of a stream that endpoints rejected too often.
func (s *streamRun) rejectedError(cause error) *failure.Error {
	e := failure.Wrap(cause, failure.Overloaded, "endpoints refused").WithRetryAfter(baseRetryAfter)
	if s.rejected {
		s.fullFailure = e
	}
	return e
}

// decisionFields returns the fields about admission control's decision for the log event of a
// refused request.
func (j *job) decisionFields() []eventlog.Field {
	d := j.decision
	if d == nil {
		return nil
	}
	fields := []eventlog.Field{
		eventlog.Int("rank", int64(j.priority)),
		eventlog.Str("share", strconv.FormatFloat(d.Share, 'f', shareDigits, 64)),
		eventlog.Ms("shortage_ms", d.Shortage),
	}
	if d.Allocated {
		fields = append(fields, eventlog.Ms("figures_age_ms", d.Age))
	}
	return fields
}

// shareDigits is the number of decimals with which shares are logged.
const shareDigits = 3

// observeCapacity records whether the answer to a call rejected it for lack of capacity. A call
// without an answer, a nil, tells nothing of capacity.
func (g *Gateway) observeCapacity(j *job, c *Call, a *Answer) {
	if j.service.Engine == nil || a == nil {
		return
	}
	subject := ""
	if lacksCapacity(a) {
		subject = g.noticeSubject(j, c, a)
	}
	rejected := subject != "" && !g.source.EndpointLeaving(subject)
	if rejected {
		g.full.Record(subject)
	}
	if j.ranked {
		g.admitter.RecordSend(j.service.Name, rejected)
	}
}
