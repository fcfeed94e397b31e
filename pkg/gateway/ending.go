package gateway

import (
	"context"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// fail ends a request that cannot be continued: it refuses the request if the caller
// has received nothing yet, and aborts the stream otherwise.
func (s *streamRun) fail(e *failure.Error) {
	if s.attempts > 0 && e.Kind() != failure.EndpointFailed {
		e = failure.Wrap(e, failure.EndpointFailed, "the stream broke and couldn't be continued")
	}
	if !s.headWritten {
		s.g.refuse(s.j.req, s.j, s.j.out, s.withRetryAfter(e))
		return
	}
	s.g.log.Event(eventlog.RequestFailed, eventlog.Str("request", s.j.req.ID), eventlog.Str("kind", e.Kind().String()),
		eventlog.Str("path", formatPath(s.path)),
		eventlog.Str("why", e.Error()), eventlog.Str("route", s.j.route.Name), eventlog.Str("after", s.lastEvent),
		eventlog.Str("fingerprint", s.j.fingerprint().String()), eventlog.Str("not_resumed", string(s.obstacle)))
	s.g.metrics.Counter("streams_broken").Inc(1)
	s.j.out.Abort()
}

// withRetryAfter sets the retry-after time if the request is refused because layers are
// missing, or because only full endpoints could take it. A request that is refused for
// another lack of capacity keeps its time: capacity is freed with every stream that ends,
// and callers that wait longer only retry together with the next burst of callers.
func (s *streamRun) withRetryAfter(e *failure.Error) *failure.Error {
	if e == s.fullFailure {
		return s.refuseFull(e)
	}
	if e.Kind() != failure.NoChain && e.Kind() != failure.Isolated {
		return e
	}
	service := s.j.service.Name
	s.g.retryAfters.record(service, true)
	return e.WithRetryAfter(s.g.retryAfters.estimate(service, e.RetryAfter()))
}

// expire ends a request whose time ran out, whose caller disconnected or whose host stops.
func (s *streamRun) expire(ctx context.Context) {
	s.g.log.Event(eventlog.RequestLeft, eventlog.Str("request", s.j.req.ID), eventlog.Str("path", formatPath(s.path)),
		eventlog.Str("after", s.lastEvent), eventlog.Ms("after_ms", s.g.svc.Now().Sub(s.j.req.Received)), eventlog.Err(context.Cause(ctx)))
	if s.headWritten {
		s.j.out.Abort()
		return
	}
	s.g.refuseEnded(ctx, s.j, s.attempts > 0 || !s.unsent)
}

// refuseEnded answers a request whose context ended before its answer began. One whose caller
// closed its side of the connection is answered, too, since the caller may still read: a
// connection that was closed for writing can't be told from one that was closed for good.
func (g *Gateway) refuseEnded(ctx context.Context, j *job, mayHaveRun bool) {
	cause := context.Cause(ctx)
	e := failure.New(failure.NoEndpoint, "no endpoint was reached in time").WithRetryAfter(baseRetryAfter)
	if mayHaveRun {
		e = failure.New(failure.DeadlineExceeded, "no answer in time")
	}
	switch stopping := (*failure.Error)(nil); {
	case !errors.As(cause, &stopping):
	case mayHaveRun && j.req.Relayed != nil:
		j.out.Abort() // the host that relays the request may repeat it elsewhere, as after a broken connection
		return
	case mayHaveRun:
		e = failure.Wrap(stopping, failure.DeadlineExceeded, "no answer in time")
	default:
		e = stopping
	}
	if errors.Is(cause, context.Canceled) {
		j.out.Refuse(e) // no caller may be there to count as refused
		return
	}
	g.refuse(j.req, j, j.out, e)
}

// formatPath formats a path for the log, as endpoint and layers of each stage.
func formatPath(path []fleet.Stage) string {
	parts := make([]string, 0, len(path))
	for _, p := range path {
		parts = append(parts, p.ID+"="+strconv.Itoa(p.Layers.From)+"-"+strconv.Itoa(p.Layers.To))
	}
	return strings.Join(parts, " ")
}
