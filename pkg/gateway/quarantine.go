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

// checkQuarantine refuses a request that is quarantined, by itself or because of a part of its
// prompt. Its caller retries it with a new ID after each failure, and others send the same
// part, so neither the limit of attempts nor the retry budget limits how many endpoints it
// crashes. It must be called before each send, since what is waiting, or was interrupted, may
// have been quarantined meanwhile.
func (g *Gateway) checkQuarantine(j *job) *failure.Error {
	if e := g.checkParts(j); e != nil {
		return e
	}
	if g.quarantine.Idle() {
		return nil
	}
	left := g.quarantine.Remaining(j.fingerprint())
	if left <= 0 {
		return nil
	}
	return failure.New(failure.Quarantined, "endpoints ended under this request").WithRetryAfter(left)
}

// checkParts refuses a request with a part that is quarantined, unless it is the one that shows
// whether the part still crashes endpoints.
func (g *Gateway) checkParts(j *job) *failure.Error {
	if j.probe && !j.probeSent || len(j.parts) == 0 {
		return nil
	}
	part, left, probe := g.quarantine.CheckParts(j.parts)
	if part == 0 {
		j.probe = probe
		return nil
	}
	g.metrics.Counter("parts_refused").Inc(1)
	return failure.New(failure.Quarantined, "endpoints crashed under part %s of the prompt", part).WithRetryAfter(left)
}

// crashedSend is a send that a crash broke off.
type crashedSend struct {
	endpoint       string
	address        string
	domain         string
	sentAt         time.Time
	beforeResponse bool          // no event of the response had arrived
	writing        time.Duration // from the first event to the last one
}

// recordCrash records that an endpoint broke its connection while it had a request. When this host
// doesn't reach the service at all, its links are at fault and not the request. Sends to the same
// incarnation that were given up before count as well.
func (g *Gateway) recordCrash(j *job, c crashedSend) {
	g.metrics.Counter("sends_cut", metrics.Label{Name: "early", Value: yesNo(c.beforeResponse)}).Inc(1)
	request, parts := g.crashOf(j, c)
	g.reportCrash(c.address, j.req.ID, request, parts)
	g.confirmCrash(c.endpoint)
}

// crashOf returns what is recorded of a crash now.
func (g *Gateway) crashOf(j *job, c crashedSend) (quarantine.Crash, quarantine.EndpointCrash) {
	now := g.svc.Now()
	crash := quarantine.Crash{
		Fingerprint:    j.fingerprint(),
		Endpoint:       fleet.LoadKey(c.endpoint),
		BeforeResponse: c.beforeResponse,
		After:          now.Sub(c.sentAt),
	}
	ofParts := quarantine.EndpointCrash{
		Endpoint: crash.Endpoint,
		Domain:   fleet.LoadKey(c.domain),
		At:       now,
	}
	fresh := 0
	if c.writing < quarantine.SurvivalTime {
		fresh = 1
	}
	for _, p := range j.parts {
		ofParts.Parts = append(ofParts.Parts, quarantine.PartCrash{
			Part:     p,
			Requests: 1,
			Fresh:    fresh,

			TotalWriting: c.writing,
			Request:      crash.Fingerprint,
			Writing:      c.writing,
		})
	}
	return crash, ofParts
}

// reportCrash records a crash if this host reaches the service of the endpoint at address.
func (g *Gateway) reportCrash(address, requestID string, crash quarantine.Crash, ofParts quarantine.EndpointCrash) {
	g.reach.Doubt(address, func(reached bool) {
		if !reached {
			return
		}
		for _, p := range g.quarantine.RecordEndpointCrash(ofParts) {
			g.log.Event(eventlog.PartHeld, eventlog.Str("part", p.String()), eventlog.Str("by", "this host"),
				eventlog.Str("request", requestID), eventlog.Ms("for_ms", quarantine.LocalDuration))
		}
		if !g.quarantine.RecordCrash(crash) {
			return
		}
		g.log.Event(eventlog.RequestHeld, eventlog.Str("fingerprint", crash.Fingerprint.String()), eventlog.Str("by", "this host"),
			eventlog.Str("request", requestID), eventlog.Ms("for_ms", quarantine.LocalDuration))
	})
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// recordAnswered records that an endpoint answered a request that was sent at sentAt: neither
// the request nor a part of its prompt crashes every endpoint that runs it.
func (g *Gateway) recordAnswered(j *job, sentAt time.Time) {
	for _, p := range j.parts {
		g.quarantine.RecordSurvival(quarantine.Survival{
			Part:       p,
			AnsweredAt: sentAt,
		})
	}
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
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errTruncated} {
		if errors.Is(e.Cause, broken) {
			return true
		}
	}
	return false
}
