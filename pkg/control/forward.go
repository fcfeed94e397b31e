package control

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/replica"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/twitchtv/twirp"
)

// A follower forwards calls that only the leader can serve to the leader. It
// refuses a call that was already forwarded, so that two replicas that take each
// other for the leader don't forward it back and forth.

const forwardedHeader = "Larchwinch-Forwarded"

type forwardedKey struct{}

func markForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) != "" {
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// forwardTarget returns the URL to which a call that failed with err is forwarded
// and the context for the forwarded call. It returns an error if the call can't be
// forwarded.
func (s *Server) forwardTarget(ctx context.Context, err error) (context.Context, string, error) {
	var notLeader *replica.NotLeaderError
	if !errors.As(err, &notLeader) {
		return nil, "", twirpError(err)
	}
	if notLeader.Leader == nil || notLeader.Leader.GetId() == s.cfg.ID || ctx.Value(forwardedKey{}) != nil {
		return nil, "", twirpError(err)
	}
	h := http.Header{}
	h.Set(forwardedHeader, "1")
	ctx, err = twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil {
		return nil, "", twirp.InternalErrorWith(err)
	}
	return ctx, "http://" + notLeader.Leader.GetAddress(), nil
}

// Claim implements rpc.Claims.
func (s *Server) Claim(ctx context.Context, r *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	if r.GetAccount() == "" || r.GetKey() == "" || r.GetEntry() == "" {
		return nil, twirp.RequiredArgumentError("account, key and entry")
	}
	reply, err := s.propose(ctx, &rpc.Command{
		Kind: &rpc.Command_Claim{
			Claim: r,
		},
	})
	if err == nil {
		s.metrics.Counter("claims_total").Inc(1)
		return reply.GetClaim(), nil
	}
	forwardCtx, address, forwardErr := s.forwardTarget(ctx, err)
	if forwardErr != nil {
		return nil, forwardErr
	}
	return rpc.NewClaimsProtobufClient(address, s.clients.RPC).Claim(forwardCtx, r)
}

// Settle implements rpc.Claims.
func (s *Server) Settle(ctx context.Context, r *rpc.SettleRequest) (*rpc.SettleReply, error) {
	reply, err := s.propose(ctx, &rpc.Command{
		Kind: &rpc.Command_Settle{
			Settle: r,
		},
	})
	if err == nil {
		return reply.GetSettle(), nil
	}
	forwardCtx, address, forwardErr := s.forwardTarget(ctx, err)
	if forwardErr != nil {
		return nil, forwardErr
	}
	return rpc.NewClaimsProtobufClient(address, s.clients.RPC).Settle(forwardCtx, r)
}

// Beat implements rpc.Presence.
func (s *Server) Beat(ctx context.Context, r *rpc.BeatRequest) (*rpc.BeatReply, error) {
	if r.GetHost().GetHost() == "" {
		return nil, twirp.RequiredArgumentError("host")
	}
	if s.node.HoldsLease() {
		return s.presence.heartbeat(s.svc.Now(), s.node.Status().Term, r), nil
	}
	st := s.node.Status()
	forwardCtx, address, err := s.forwardTarget(ctx, &replica.NotLeaderError{
		Leader: st.Leader,
	})
	if err != nil {
		return nil, err
	}
	return rpc.NewPresenceProtobufClient(address, s.clients.RPC).Beat(forwardCtx, r)
}
