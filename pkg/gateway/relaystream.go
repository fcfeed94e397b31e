package gateway

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/failure"
)

// sendNext sends the stream along a path of endpoints, or to another host if this one doesn't
// reach them. Its failure says that neither is possible.
func (s *streamRun) sendNext(ctx context.Context) (outcome, *failure.Error, error) {
	if s.isOpen() { // it was suspended
		end, cause := s.relayUntilClosed(ctx)
		return end, nil, cause
	}
	if ctx.Err() != nil {
		s.unsent = true
		return abandoned, nil, ctx.Err()
	}
	if !s.noPeer && s.g.relaysFirst(s.j) {
		if end, e, cause, ok := s.sendToPeers(ctx); ok {
			return end, e, cause
		}
	}
	e := s.choosePathIfReachable(ctx)
	if e == nil {
		if e := s.g.checkQuarantine(s.j); e != nil {
			return notRun, e, nil
		}
		end, cause := s.send(ctx)
		s.noPeer = s.noPeer && end == notRun
		return end, nil, cause
	}
	if s.unreached && s.j.req.Relayed == nil && !s.noPeer && !s.suspendedGoesOn() {
		if end, peerFailure, cause, ok := s.sendToPeers(ctx); ok {
			return end, peerFailure, cause
		}
	}
	return notRun, e, nil
}

// choosePathIfReachable is choosePath, but fails at once if the stream may not be sent to
// endpoints any more, or if one of them could not be connected to and none is reachable.
func (s *streamRun) choosePathIfReachable(ctx context.Context) *failure.Error {
	switch {
	case s.exhausted != nil:
		return s.rejectedError(s.exhausted)
	case s.unreached && s.g.reach.Unreachable(s.j.service.Name):
		return isolatedError(s.j)
	}
	return s.choosePath(ctx)
}

// sendToPeers sends the stream to one host after another until one takes it, and reports
// whether one did.
func (s *streamRun) sendToPeers(ctx context.Context) (end outcome, e *failure.Error, cause error, ok bool) {
	for range maxRelayTries {
		peer, ok := s.g.relays.pick(s.triedPeers)
		if !ok {
			break
		}
		s.peer = peer
		end, e, cause := s.sendToPeer(ctx)
		if e == nil && end == notRun {
			s.triedPeers[peer] = true
			continue
		}
		return end, e, cause, true
	}
	s.peer = ""
	s.noPeer = true
	clear(s.triedPeers)
	return notRun, nil, nil, false
}

// sendToPeer sends the stream to a host and passes the events on to the caller. The outcome
// is notRun if that host could not take it; its failure is the one that it reported.
func (s *streamRun) sendToPeer(ctx context.Context) (outcome, *failure.Error, error) {
	s.release()
	s.sends++
	s.sentAt = s.g.svc.Now()
	s.gotEvent = false
	s.unsent = false
	defer s.g.relays.begin(s.peer)()
	defer s.close()
	var refusal *failure.Error
	peer, after, attempts := s.peer, s.resumeFrom(), s.attempts
	s.open(ctx, s.g.memory, func(ctx context.Context) (*Answer, error) {
		a, err := s.g.relay(ctx, s.j, peer, after, attempts)
		if err != nil {
			return nil, err
		}
		refusal = a.Failure
		return &a.Answer, nil
	})
	for {
		select {
		case it := <-s.reader.items:
			if it.head != nil && refusal != nil {
				return s.handlePeerFailure(refusal)
			}
			if end, cause, done := s.handlePeerItem(ctx, it); done {
				return end, nil, cause
			}
		case it := <-s.suspendedItems():
			if s.handleSuspended(it) {
				return overtaken, nil, nil
			}
		case <-ctx.Done():
			return abandoned, nil, ctx.Err()
		}
	}
}

// handlePeerFailure processes a failure that a host reported: the stream can be resumed if it
// may have run, and is refused as the other host says if not.
func (s *streamRun) handlePeerFailure(e *failure.Error) (outcome, *failure.Error, error) {
	if e.Ran() == failure.RanNo {
		return notRun, e, nil
	}
	s.attempts++
	return broken, nil, e
}

// handlePeerItem processes one item of a host's answer; done says that the send has ended.
func (s *streamRun) handlePeerItem(ctx context.Context, it answerItem) (outcome, error, bool) {
	switch {
	case it.head != nil:
		return s.handlePeerHead(it.head)
	case !it.ended:
		err := s.forward(it.event)
		return abandoned, err, err != nil
	case it.err == nil:
		s.writeHead()
		return finished, nil, true
	case ctx.Err() != nil:
		return abandoned, ctx.Err(), true
	case notSent(it.err):
		s.sends--
		return notRun, it.err, true
	}
	s.g.relays.avoid(s.peer)
	s.attempts++
	return broken, it.err, true
}

// handlePeerHead processes the head of an answer that a host passes on.
func (s *streamRun) handlePeerHead(a *Answer) (outcome, error, bool) {
	if a.Status != http.StatusOK || !a.Verified {
		s.attempts++
		return broken, errors.Errorf("host %s answered %d", s.peer, a.Status), true
	}
	s.begin(a)
	return finished, nil, false
}

// servedBy names what served the current send, for the log.
func (s *streamRun) servedBy() string {
	if s.peer != "" {
		return s.peer
	}
	return formatPath(s.path)
}
