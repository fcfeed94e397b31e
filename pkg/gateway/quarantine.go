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

// Quarantine returns what this host knows of requests that end endpoints.
func (g *Gateway) Quarantine() *quarantine.Enforcer {
	return g.quarantine
}

// checkQuarantine refuses a request that is kept from endpoints. It comes again with a new id
// after each try, so that neither attempts of one request nor the budget of repeats
// bound it.
func (g *Gateway) checkQuarantine(j *job) *failure.Error {
	if g.quarantine.Idle() {
		return nil
	}
	left := g.quarantine.HoldRemaining(j.fingerprint())
	if left <= 0 {
		return nil
	}
	return failure.New(failure.Quarantined, "endpoints ended under this request").WithRetryAfter(left)
}

// recordCrash notes that an endpoint broke its connection, or went silent, under a request
// that was sent to it at began.
func (g *Gateway) recordCrash(j *job, endpoint string, early bool, began time.Time) {
	after := g.svc.Now().Sub(began)
	g.metrics.Counter("sends_cut", metrics.Label{Name: "early", Value: yesNo(early)}).Inc(1)
	if g.quarantine.RecordCrash(quarantine.Crash{
		Fingerprint:    j.fingerprint(),
		Endpoint:       fleet.LoadKey(endpoint),
		BeforeResponse: early,
		After:          after,
	}) {
		g.log.Event(eventlog.RequestHeld, eventlog.Str("fingerprint", j.fingerprint().String()), eventlog.Str("by", "this host"),
			eventlog.Str("request", j.req.ID), eventlog.Ms("for_ms", quarantine.LocalHold))
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// recordAnswered notes that an endpoint answered a request: it doesn't end whatever runs it.
func (g *Gateway) recordAnswered(j *job) {
	if !g.quarantine.Idle() {
		g.quarantine.RecordServed(j.fingerprint())
	}
}

// connectionLost reports whether a send ended since the endpoint's connection broke, as it does
// when the endpoint ends. An endpoint whose answer is damaged stands.
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
