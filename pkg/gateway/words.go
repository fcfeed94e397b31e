package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/metrics"
)

// send sends a call, and takes what the answer says of an endpoint at once, whether or
// not anybody still waits for the answer.
func (g *Gateway) send(ctx context.Context, j *job, c *Call) (*Answer, error) {
	g.noteCall(c.ID, "request")
	a, err := g.backend.Send(ctx, c)
	var lost *SendError
	switch {
	case err == nil:
		g.hear(g.speaker(j, c, a), a.Says)
	case errors.As(err, &lost):
		g.hear(c.ID, lost.Says)
	}
	return a, err
}

// speaker returns the endpoint that an answer's word is about: the one that it names as
// at fault, or else who gave it. Empty: that can't be told.
func (g *Gateway) speaker(j *job, c *Call, a *Answer) string {
	switch {
	case a.Fault == "" && a.Misdirected:
		return "" // another endpoint is at the address
	case a.Fault == "" || a.Fault == c.Address:
		return c.ID
	}
	for _, p := range c.Path {
		if p.Address == a.Fault {
			return p.ID
		}
	}
	for _, e := range g.source.Endpoints(j.service.Name) {
		if e.Address == a.Fault {
			return e.ID
		}
	}
	return ""
}

// hear takes what an endpoint says of itself.
func (g *Gateway) hear(id string, w fleet.Word) {
	if id == "" || w.Rest <= 0 {
		return
	}
	g.rests.Ask(id, w.Rest)
	g.metrics.Counter("rests_asked").Inc(1)
	g.log.Event(eventlog.EndpointResting, eventlog.Str("endpoint", id), eventlog.Ms("for_ms", w.Rest))
}

// noteCall counts and logs a call to an endpoint that asked for rest.
func (g *Gateway) noteCall(id, what string) {
	left := g.rests.Left(id)
	if left <= 0 {
		return
	}
	g.metrics.Counter("calls_in_rest", metrics.Label{Name: "what", Value: what}).Inc(1)
	g.log.Event(eventlog.CallInRest, eventlog.Str("endpoint", id), eventlog.Str("what", what),
		eventlog.Ms("left_ms", left.Round(time.Millisecond)))
}
