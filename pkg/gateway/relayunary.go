package gateway

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// mayRelay reports whether the request may be sent to another host after this one's attempts
// failed: none of them can have run, or it may be repeated.
func (w *unaryRun) mayRelay() bool {
	if w.j.req.Relayed != nil || w.noPeer {
		return false
	}
	if r := w.best; r != nil && !notSent(r.err) && !w.g.reach.Unreachable(w.j.service.Name) {
		return false // the endpoints were reached
	}
	return w.attempts == 0 || w.j.mayRepeat() && w.mayAttempt() && w.g.retries.withdraw(w.g.source.HostCount())
}

// relay sends the request to one host after another until one takes it, and reports whether
// the request is answered.
func (w *unaryRun) relay(ctx context.Context) bool {
	tried := map[string]bool{}
	for range maxRelayTries {
		peer, ok := w.g.relays.pick(tried)
		if !ok {
			break
		}
		tried[peer] = true
		if w.relayTo(ctx, peer) {
			return true
		}
	}
	w.noPeer = true
	return false
}

// relayTo sends the request to a host, and reports whether the request is answered.
func (w *unaryRun) relayTo(ctx context.Context, peer string) bool {
	defer w.g.relays.begin(peer)()
	w.sends++
	a, err := w.g.relay(ctx, w.j, peer, "", w.attempts+w.j.priorAttempts)
	r := &attemptResult{
		endpoint: fleet.Endpoint{
			ID: peer,
		},
		err: err,
	}
	if err == nil && a.Failure == nil {
		r = readRelayed(a, r, w.hold())
	}
	switch {
	case r.err != nil && ctx.Err() != nil:
		w.end(ctx, w.attempts > 0 || !notSent(r.err))
	case notSent(r.err):
		return false
	case r.err != nil:
		w.attempts++
		if w.mayRelay() {
			return false
		}
		w.refuse(failure.Wrap(r.err, failure.EndpointFailed, "host %s", peer))
	case a.Failure != nil:
		w.refuse(a.Failure)
	default:
		w.answer(r)
	}
	return true
}

// readRelayed reads a complete answer that another host passed on.
func readRelayed(a *RelayAnswer, r *attemptResult, held *heldAnswer) *attemptResult {
	defer func() { _ = a.Body.Close() }() // the body was read completely or is no longer needed
	r.status = a.Status
	r.header = a.Header
	if !a.Verified {
		r.err = &SendError{
			Sent:  true,
			Cause: errors.New("the answer is damaged"),
		}
		return r
	}
	body, err := readBody(a.Body, held)
	r.body = body
	if err != nil {
		r.err = &SendError{
			Sent:  true,
			Cause: err,
		}
	}
	return r
}
