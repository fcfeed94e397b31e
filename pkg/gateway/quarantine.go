package gateway

import (
	"io"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
)

// Quarantine returns what this host knows about requests that crash endpoints.
func (g *Gateway) Quarantine() *quarantine.Enforcer {
	return g.quarantine
}

// checkQuarantine refuses a request that is quarantined. Its caller retries it with a
// new ID after each failure, so neither the limit of attempts nor the retry budget
// limits how many endpoints it crashes.
func (g *Gateway) checkQuarantine(j *job) *failure.Error {
	if g.quarantine.Idle() {
		return nil
	}
	left := g.quarantine.Remaining(j.fingerprint())
	if left <= 0 {
		return nil
	}
	return failure.New(failure.Quarantined, "endpoints ended under this request").WithRetryAfter(left)
}

// recordCrash records that an endpoint broke its connection or stopped answering while
// it had a request that was sent to it at sentAt. When this host doesn't reach the service at
// all, its links are at fault and not the request.
func (g *Gateway) recordCrash(j *job, endpoint, address string, beforeResponse bool, sentAt time.Time) {
	g.metrics.Counter("sends_cut", metrics.Label{Name: "early", Value: yesNo(beforeResponse)}).Inc(1)
	crash := quarantine.Crash{
		Fingerprint:    j.fingerprint(),
		Endpoint:       fleet.LoadKey(endpoint),
		BeforeResponse: beforeResponse,
		After:          g.svc.Now().Sub(sentAt),
	}
	g.reach.Doubt(address, func(reached bool) {
		if !reached || !g.quarantine.RecordCrash(crash) {
			return
		}
		g.log.Event(eventlog.RequestHeld, eventlog.Str("fingerprint", crash.Fingerprint.String()), eventlog.Str("by", "this host"),
			eventlog.Str("request", j.req.ID), eventlog.Ms("for_ms", quarantine.LocalDuration))
	})
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// recordAnswered records that an endpoint answered a request: the request does not
// crash every endpoint that runs it.
func (g *Gateway) recordAnswered(j *job) {
	if !g.quarantine.Idle() {
		g.quarantine.RecordServed(j.fingerprint())
	}
}

// connectionLost reports whether a send failed because the connection to the endpoint
// broke, as it does when the endpoint crashes. An endpoint that sent a damaged answer
// did not crash.
func connectionLost(err error) bool {
	var e *SendError
	if !errors.As(err, &e) || !e.Sent {
		return false
	}
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(e.Cause, broken) {
			return true
		}
	}
	return false
}
