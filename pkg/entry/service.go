package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/directory"
	"github.com/larchwinch/larchwinch/pkg/failure"
)

// maxServiceAnswer bounds the body of a plain service's answer, in bytes.
const maxServiceAnswer = 16 << 20

// call is one caller's request to a plain service.
type call struct {
	account bundle.Account
	service bundle.Service
	method  string
	path    string
	header  http.Header
	body    []byte
	key     string
	once    bool
	id      string
}

// reply is a plain service's answer.
type reply struct {
	status      int
	contentType string
	body        []byte
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request, a bundle.Account) {
	c, err := s.readCall(r, a)
	if err != nil {
		s.fail(w, a.Name, err)
		return
	}
	if err := s.accounts.Acquire(a, 0); err != nil {
		s.fail(w, a.Name, err)
		return
	}
	defer s.accounts.Release(a, 0)
	began := s.svc.Now()
	answer, repeated, err := s.callService(r.Context(), c)
	s.metrics.Counter("account_calls", accountLabel(a.Name)).Inc(1)
	if err != nil {
		s.fail(w, a.Name, err)
		return
	}
	s.observe("account_call_us", a.Name, s.svc.Now().Sub(began))
	w.Header().Set("Content-Type", answer.contentType)
	if repeated {
		w.Header().Set(api.HeaderRepeated, "true")
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body) // a write error means that the caller is gone
}

func (s *Server) readCall(r *http.Request, a bundle.Account) (*call, error) {
	service, ok := s.syncer.Set().Service(r.PathValue("service"))
	if !ok {
		return nil, failure.New(failure.UnknownService, "no service %q", r.PathValue("service"))
	}
	limited := http.MaxBytesReader(nil, r.Body, int64(service.BodyLimitKB)<<10)
	body, err := io.ReadAll(limited)
	if err != nil {
		return nil, bodyError(err)
	}
	c := &call{
		account: a,
		service: service,
		method:  r.Method,
		path:    "/" + r.PathValue("path"),
		header:  r.Header,
		body:    body,
		key:     r.Header.Get(api.HeaderIdempotencyKey),
		id:      s.newID(),
	}
	c.once = r.Header.Get(api.HeaderOnce) == "true" || isOnce(service, c.path)
	if c.once && c.key == "" {
		return nil, failure.New(failure.BadRequest, "%s must not be repeated, and so needs a header %s of its own", c.path, api.HeaderIdempotencyKey)
	}
	return c, nil
}

func isOnce(service bundle.Service, path string) bool {
	for _, p := range service.OncePaths {
		if p == path {
			return true
		}
	}
	return false
}

// callService runs the call. It claims the call first if it must not be repeated,
// and reports whether the answer is the recorded one of an earlier call.
func (s *Server) callService(ctx context.Context, c *call) (*reply, bool, error) {
	if !c.once {
		answer, err := s.callRetryable(ctx, c)
		return answer, false, err
	}
	cl, err := s.claims.claim(ctx, c.account.Name, c.key, claimPayload(c))
	if err != nil {
		s.releaseClaim(cl, err)
		return nil, false, err
	}
	if cl.recorded != nil {
		answer, err := recordedReply(cl)
		return answer, true, err
	}
	answer, err := s.callOnce(ctx, c)
	if err != nil {
		s.settleLater(cl, outcomeOf(0, "", nil, string(failure.From(err).Ran())))
		return nil, false, err
	}
	s.settleLater(cl, outcomeOf(answer.status, answer.contentType, answer.body, string(failure.RanYes)))
	return answer, false, nil
}

// claimPayload returns the bytes that must be the same in a resend with one key:
// method, service, path and body.
func claimPayload(c *call) []byte {
	return append([]byte(c.method+" "+c.service.Name+" "+c.path+"\n"), c.body...)
}

func recordedReply(cl *claim) (*reply, error) {
	if cl.recorded.GetStatus() == 0 {
		return nil, failure.New(failure.OutcomeUnknown, "the first call with the key %q was sent, and its answer was lost", cl.key).
			WithRan(failure.Ran(cl.recorded.GetRan()))
	}
	return &reply{
		status:      int(cl.recorded.GetStatus()),
		contentType: cl.recorded.GetContentType(),
		body:        cl.recorded.GetBody(),
	}, nil
}

// callOnce sends an at-most-once call. It tries another endpoint only as long as
// no connection was made, so that no byte can have reached any endpoint.
func (s *Server) callOnce(ctx context.Context, c *call) (*reply, error) {
	return s.tryEndpoints(ctx, c, func(err error) bool {
		return neverSent(err)
	})
}

const maxTries = 3

// callRetryable sends the call, and retries it at other endpoints if one fails.
func (s *Server) callRetryable(ctx context.Context, c *call) (*reply, error) {
	return s.tryEndpoints(ctx, c, func(error) bool {
		return true
	})
}

// tryEndpoints sends the call to up to maxTries endpoints, the least busy first,
// until one answers. After a failure it goes on only if mayRetry allows and ctx has
// not ended.
func (s *Server) tryEndpoints(ctx context.Context, c *call, mayRetry func(error) bool) (*reply, error) {
	tried := map[string]bool{}
	ran := failure.RanNo
	var lastErr error
	for len(tried) < maxTries {
		e := s.leastBusy(c.service.Name, tried)
		if e == nil {
			break
		}
		tried[e.Address()] = true
		answer, err := s.send(ctx, e, c)
		if err == nil {
			return answer, nil
		}
		e.MarkFailed()
		lastErr = err
		if !neverSent(err) {
			ran = failure.RanUnknown
		}
		if ctx.Err() != nil || !mayRetry(err) {
			break
		}
	}
	if lastErr == nil {
		return nil, failure.New(failure.NoChain, "no endpoint of service %q takes work", c.service.Name)
	}
	if ctx.Err() != nil {
		return nil, failure.Wrap(lastErr, failure.DeadlineExceeded, "the call's time ran out").WithRan(ran)
	}
	return nil, failure.Wrap(lastErr, failure.EndpointFailed, "service %q did not answer", c.service.Name).WithRan(ran)
}

func (s *Server) leastBusy(service string, exclude map[string]bool) *directory.Endpoint {
	var best *directory.Endpoint
	for _, e := range s.dir.Service(service) {
		if exclude[e.Address()] {
			continue
		}
		if best == nil || better(e, best) {
			best = e
		}
	}
	return best
}

func better(a, b *directory.Endpoint) bool {
	if a.Avoided() != b.Avoided() {
		return !a.Avoided()
	}
	return a.Inflight() < b.Inflight()
}

// neverSent reports whether the call failed before a connection was made.
func neverSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// clientFor returns the client for the call. A call that must not be repeated gets
// a new connection: on an idle connection that the endpoint has just closed,
// net/http itself would retry some requests.
func (s *Server) clientFor(c *call) *http.Client {
	if c.once {
		return s.clients.Once
	}
	return s.clients.Endpoints
}

var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", api.HeaderIdempotencyKey}

func (s *Server) send(ctx context.Context, e *directory.Endpoint, c *call) (*reply, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+e.Address()+c.path, io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.ContentLength = int64(len(c.body))
	for _, h := range forwardedHeaders {
		if v := c.header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	req.Header.Set(api.HeaderRequestID, c.id)
	req.Header.Set(api.HeaderAccount, c.account.Name)
	began := s.svc.Now()
	e.SessionOpened(0, 0)
	defer e.SessionClosed()
	resp, err := s.clientFor(c).Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxServiceAnswer {
		return nil, errors.Errorf("the answer is larger than %d bytes", maxServiceAnswer)
	}
	s.observe("service_us", c.account.Name, s.svc.Now().Sub(began))
	return &reply{
		status:      resp.StatusCode,
		contentType: resp.Header.Get("Content-Type"),
		body:        body,
	}, nil
}
