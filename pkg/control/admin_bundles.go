package control

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

const pageSize = 100

// pageOf returns the bounds of the page that r asks for among n items, and
// the value of the page parameter for the next one.
func pageOf(r *http.Request, n int) (from, to int, next string, err error) {
	if text := r.URL.Query().Get("page"); text != "" {
		from, err = strconv.Atoi(text)
		if err != nil || from < 0 {
			return 0, 0, "", failure.New(failure.BadRequest, "page %q is none that an answer's next gave", text)
		}
	}
	from = min(from, n)
	to = min(from+pageSize, n)
	if to < n {
		next = strconv.Itoa(to)
	}
	return from, to, next, nil
}

func (s *Server) listBundles(r *http.Request, _ config.Operator) (any, error) {
	all := s.stateMachine.BundleSetProto().GetBundles()
	from, to, next, err := pageOf(r, len(all))
	if err != nil {
		return nil, err
	}
	return versionPage(all[from:to], next), nil
}

func (s *Server) bundleHistory(r *http.Request, _ config.Operator) (any, error) {
	chain := s.stateMachine.Chain(r.PathValue("name"))
	if len(chain) == 0 {
		return nil, failure.New(failure.NotFound, "no bundle %q was accepted", r.PathValue("name"))
	}
	from, to, next, err := pageOf(r, len(chain))
	if err != nil {
		return nil, err
	}
	return versionPage(chain[from:to], next), nil
}

func versionPage(list []*rpc.BundleVersion, next string) api.BundlePage {
	page := api.BundlePage{
		Items: []api.BundleVersion{},
		Next:  next,
	}
	for _, v := range list {
		page.Items = append(page.Items, versionToAPI(v, false))
	}
	return page
}

// latestVersion, in place of a version number, selects the newest accepted
// version.
const latestVersion = "latest"

func (s *Server) bundleVersion(r *http.Request, _ config.Operator) (any, error) {
	name := r.PathValue("name")
	wanted := r.PathValue("version")
	chain := s.stateMachine.Chain(name)
	for i, v := range chain {
		if strconv.FormatUint(v.GetVersion(), 10) == wanted || (wanted == latestVersion && i == len(chain)-1) {
			return versionToAPI(v, true), nil
		}
	}
	return nil, failure.New(failure.NotFound, "no version %s of bundle %q is kept", wanted, name)
}

// submitBundle accepts a signed version. Submitting the same version again gives
// the same answer, so an operator whose answer was lost can retry.
func (s *Server) submitBundle(r *http.Request, operator config.Operator) (any, error) {
	signed := api.SignedBundle{}
	if err := json.NewDecoder(r.Body).Decode(&signed); err != nil {
		return nil, bodyError(err)
	}
	b, err := bundle.Parse("bundle", []byte(signed.Content))
	if err != nil {
		return nil, failure.New(failure.BundleInvalid, "%v", err)
	}
	if !maySubmit(operator, b.Name) {
		return nil, failure.New(failure.Forbidden, "operator %q may not submit bundle %q", operator.Name, b.Name)
	}
	v := versionToWire(b, signed)
	if err := s.trust.Verify(v); err != nil {
		return nil, failure.New(failure.SignatureMissing, "%v", err)
	}
	return s.accept(r.Context(), operator, v)
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return failure.New(failure.BodyTooLarge, "the body is larger than %d bytes", large.Limit)
	}
	return failure.New(failure.BadRequest, "the body is no JSON that fits: %v", err)
}

func (s *Server) accept(ctx context.Context, operator config.Operator, v *rpc.BundleVersion) (any, error) {
	reply, err := s.propose(ctx, &rpc.Command{
		Kind: &rpc.Command_Submit{
			Submit: v,
		},
	})
	if err != nil {
		return nil, err
	}
	answer := reply.GetSubmit()
	if answer.GetFailure() != "" {
		kind, _ := failure.KindNamed(answer.GetFailure())
		return nil, failure.New(kind, "%s", answer.GetDetail())
	}
	out := versionToAPI(answer.GetStanding(), false)
	logAccepted(operator, out)
	return out, nil
}
