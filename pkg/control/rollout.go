package control

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// Fetch implements rpc.Rollout. The leader confirms by a read barrier that
// nothing newer was accepted. A follower forwards the call, and if the leader
// can't be reached it answers with its local set, unconfirmed.
func (s *Server) Fetch(ctx context.Context, r *rpc.FetchRequest) (*rpc.FetchReply, error) {
	s.waitNewer(ctx, r)
	err := s.node.ReadBarrier(ctx)
	if err == nil {
		reply := s.localReply(r.GetKnownRevision())
		reply.Confirmed = true
		return reply, nil
	}
	forwardCtx, address, forwardErr := s.forwardTarget(ctx, err)
	if forwardErr == nil {
		forwarded := &rpc.FetchRequest{
			Host:          r.GetHost(),
			KnownRevision: r.GetKnownRevision(),
		}
		if reply, err := rpc.NewRolloutProtobufClient(address, s.clients.RPC).Fetch(forwardCtx, forwarded); err == nil {
			return reply, nil
		}
	}
	return s.localReply(r.GetKnownRevision()), nil
}

// waitNewer waits until this replica holds a newer set than the caller knows, but
// no longer than the caller asks for and at most maxFetchWait.
func (s *Server) waitNewer(ctx context.Context, r *rpc.FetchRequest) {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxFetchWait)
	if wait == 0 {
		return
	}
	timeout := s.svc.After(wait)
	for {
		changed := s.stateMachine.Changed()
		if s.stateMachine.Revision() > r.GetKnownRevision() {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// localReply returns the bundles that changed after revision known, as this replica
// holds them. Bundles are never removed, so these are all that the caller lacks.
func (s *Server) localReply(known uint64) *rpc.FetchReply {
	wire := s.stateMachine.BundleSetProto()
	return &rpc.FetchReply{
		Revision: wire.GetRevision(),
		Set:      changedSince(wire, known),
	}
}

func changedSince(wire *rpc.BundleSet, known uint64) *rpc.BundleSet {
	if wire.GetRevision() <= known {
		return nil
	}
	delta := &rpc.BundleSet{
		Revision: wire.GetRevision(),
	}
	for _, b := range wire.GetBundles() {
		if b.GetRevision() > known {
			delta.Bundles = append(delta.Bundles, b)
		}
	}
	return delta
}
