package gateway

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
)

// tryAttempt is attempt, but turns a panic into a failed attempt.
func (g *Gateway) tryAttempt(ctx context.Context, j *job, e fleet.Endpoint, held *heldAnswer) (r *attemptResult) {
	if err := group.CatchPanic(func() { r = g.attempt(ctx, j, e, held) }); err != nil {
		return &attemptResult{
			endpoint: e,
			err: &SendError{
				Sent:  true,
				Cause: err,
			},
		}
	}
	return r
}

// attempt sends a request to one endpoint and reads the complete answer. The body of an
// answer that can't be used isn't read: it may come slowly, or without end.
func (g *Gateway) attempt(ctx context.Context, j *job, e fleet.Endpoint, held *heldAnswer) *attemptResult {
	sentAt := g.svc.Now()
	r := &attemptResult{
		endpoint: e,
		sentAt:   sentAt,
	}
	done := g.tracker.Begin(e.ID, 0)
	defer done()
	a, err := g.send(ctx, j, &Call{
		Request:  j.req,
		ID:       e.ID,
		Address:  e.Address,
		Account:  j.account,
		Timeout:  j.deadline.Sub(sentAt),
		Priority: j.priority,
	})
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = a.Body.Close() }() // the body was read completely or is no longer needed
	r.status = a.Status
	r.notRun = a.NotRun || a.Misdirected
	r.header = a.Header
	switch {
	case r.notRun:
		return r
	case a.Verified:
		r.body, err = readBody(a.Body, held)
	default:
		err = errors.New("the answer is damaged")
	}
	if err != nil {
		r.err = &SendError{
			Sent:  true,
			Cause: err,
		}
		return r
	}
	g.tracker.RecordSuccess(e.ID, g.svc.Now().Sub(sentAt))
	return r
}
