package entry

import (
	"context"
	"net/http"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/chain"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// runOnce runs an at-most-once generation: it claims the key before anything is
// sent and settles the claim afterwards. A resend gets the recorded answer of the
// first request, non-streamed.
func (s *Server) runOnce(ctx context.Context, w http.ResponseWriter, g *generation, out *output) (chain.Result, error) {
	cl, err := s.claims.claim(ctx, g.account.Name, g.key, g.body)
	if err != nil {
		s.releaseClaim(cl, err)
		return chain.Result{}, err
	}
	if cl.recorded != nil {
		return chain.Result{}, s.sendRecorded(w, cl.recorded, out)
	}
	out.record()
	result, err := s.run(ctx, g, out)
	s.settleLater(cl, generationOutcome(out, result, err))
	return result, err
}

func generationOutcome(out *output, result chain.Result, err error) *rpc.Outcome {
	if err == nil {
		return outcomeOf(http.StatusOK, jsonType, out.answer(result), string(failure.RanYes))
	}
	return &rpc.Outcome{
		Ran: string(failure.From(err).Ran()),
	}
}

// releaseClaim frees the key of a claim that failed but may have been recorded
// by the control hosts. Nothing was sent, so the caller may retry with the key.
func (s *Server) releaseClaim(cl *claim, err error) {
	if failure.Is(err, failure.ControlUnavailable) {
		s.settleLater(cl, &rpc.Outcome{
			Ran: string(failure.RanNo),
		})
	}
}

// settleLater settles the claim in the background, so that the caller does not
// wait for it.
func (s *Server) settleLater(cl *claim, out *rpc.Outcome) {
	s.requests.Add(1) // Drain waits for the settlement
	s.group.Go(func(ctx context.Context) {
		defer s.requests.Add(-1)
		if !s.claims.settle(ctx, s.svc, cl, out) {
			s.metrics.Counter("claims_not_settled").Inc(1)
		}
	})
}

// sendRecorded writes the recorded outcome of the first request with the key.
func (s *Server) sendRecorded(w http.ResponseWriter, first *rpc.Outcome, out *output) error {
	if first.GetStatus() == 0 {
		return failure.New(failure.OutcomeUnknown, "the first request with this key has no answer that could be kept").
			WithRan(failure.Ran(first.GetRan()))
	}
	s.metrics.Counter("claims_repeated").Inc(1)
	out.markReplaced()
	w.Header().Set("Content-Type", first.GetContentType())
	w.Header().Set(api.HeaderRepeated, "true")
	w.WriteHeader(int(first.GetStatus()))
	_, _ = w.Write(first.GetBody()) // a write error means that the caller is gone
	return nil
}
