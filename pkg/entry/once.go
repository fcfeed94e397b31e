package entry

import (
	"context"
	"net/http"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/chain"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// runOnce claims a generation before it is sent and settles it afterwards. A
// resend gets the first answer, whole and not as a stream.
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

// releaseClaim frees a key whose claim may stand although it failed: nothing was
// sent, so the caller may come back with it.
func (s *Server) releaseClaim(cl *claim, err error) {
	if failure.Is(err, failure.ControlUnavailable) {
		s.settleLater(cl, &rpc.Outcome{
			Ran: string(failure.RanNo),
		})
	}
}

// settleLater settles without keeping the caller waiting.
func (s *Server) settleLater(cl *claim, out *rpc.Outcome) {
	s.requests.Add(1) // a drain waits for it
	s.group.Go(func(ctx context.Context) {
		defer s.requests.Add(-1)
		if !s.claims.settle(ctx, s.svc, cl, out) {
			s.metrics.Counter("claims_not_settled").Inc(1)
		}
	})
}

// sendRecorded answers with the first request's outcome.
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
	_, _ = w.Write(first.GetBody()) // the caller is gone if it fails
	return nil
}
