package entry

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/answer"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/metrics"
)

// entriesValidSeconds is how long callers may cache the answer of EntriesPath.
// It bounds how long they still try a host that is gone.
const entriesValidSeconds = 30

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.HealthPath, s.serveHealth)
	mux.HandleFunc("GET "+api.ReadyPath, s.serveReady)
	mux.HandleFunc("GET "+api.EntriesPath, s.serveEntries)
	mux.HandleFunc("GET "+api.ModelsPath, s.authenticated(s.serveModels))
	mux.HandleFunc("POST "+api.ChatPath, s.authenticated(s.serveChat))
	mux.HandleFunc("POST "+api.CompletionsPath, s.authenticated(s.serveCompletion))
	mux.HandleFunc(api.ServicesPath+"{service}/{path...}", s.authenticated(s.serveService))
	mux.HandleFunc("/", serveUnmatched)
	return mux
}

var callerPaths = []string{api.ModelsPath, api.ChatPath, api.CompletionsPath, api.EntriesPath, api.HealthPath, api.ReadyPath}

func serveUnmatched(w http.ResponseWriter, r *http.Request) {
	for _, p := range callerPaths {
		if r.URL.Path == p {
			answer.Failure(w, failure.New(failure.MethodNotAllowed, "%s doesn't take %s", p, r.Method))
			return
		}
	}
	answer.Failure(w, failure.New(failure.NotFound, "there is nothing at %s; see %s", r.URL.Path, api.ModelsPath))
}

// accountHandler serves an authenticated request of a client account.
type accountHandler func(w http.ResponseWriter, r *http.Request, a bundle.Account)

// authenticated calls next if this host takes requests and the request carries
// the key of a client account. It also sets the request's deadline and bounds
// the size of its body.
func (s *Server) authenticated(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		defer s.requests.Add(-1)
		a, err := s.admitCaller(r)
		if err != nil {
			s.fail(w, "", err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), s.cfg.RequestTimeout.Or(defaultRequestTimeout))
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, int64(s.cfg.BodyLimitKB)<<10)
		next(w, r.WithContext(ctx), a)
	}
}

func (s *Server) admitCaller(r *http.Request) (bundle.Account, error) {
	if s.leaving.Load() {
		return bundle.Account{}, failure.New(failure.Draining, "host %s is leaving; use another address of %s", s.cfg.Host, api.EntriesPath)
	}
	if ok, why := s.ready(); !ok {
		return bundle.Account{}, failure.New(failure.NotReady, "%s", why)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return bundle.Account{}, failure.New(failure.Unauthenticated, "a client account's key is needed: Authorization: Bearer <key>")
	}
	a, ok := s.syncer.Set().AccountByKey(key)
	if !ok {
		return bundle.Account{}, failure.New(failure.Unauthenticated, "the key belongs to no client account")
	}
	return a, nil
}

// ready reports whether this host can serve callers, and if not, why. It needs at
// least one bundle, and since this process started a control majority must have
// confirmed once that the active set of bundles is the newest. From then on the
// host stays ready even if no control host can be reached: it never goes back to
// older bundles, and callers need answers.
func (s *Server) ready() (bool, string) {
	if ok, _ := s.syncer.Confirmed(); !ok {
		return false, "no control majority has confirmed yet which bundles are in force"
	}
	if s.syncer.Set().Revision() == 0 {
		return false, "no bundle was accepted yet"
	}
	return true, ""
}

func (s *Server) fail(w http.ResponseWriter, account string, err error) {
	f := failure.From(err)
	s.metrics.Counter("failures", metrics.Label{
		Name:  "kind",
		Value: f.Kind().String(),
	}).Inc(1)
	if account != "" {
		s.metrics.Counter("account_failures", accountLabel(account)).Inc(1)
	}
	answer.Failure(w, f)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	ok, why := s.ready()
	if s.leaving.Load() {
		ok, why = false, "leaving"
	}
	confirmed, age := s.syncer.Confirmed()
	if !confirmed {
		age = 0
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	answer.Status(w, status, api.Ready{
		Ready:         ok,
		Why:           why,
		Revision:      s.syncer.Set().Revision(),
		UnconfirmedMS: age.Milliseconds(),
	})
}

// serveEntries lists the entry hosts that are ready and not leaving. Those in
// the caller's failure domain come first, and among them this host.
func (s *Server) serveEntries(w http.ResponseWriter, r *http.Request) {
	domain := r.Header.Get(api.HeaderDomain)
	if domain == "" {
		domain = s.cfg.Domain
	}
	out := api.Entries{
		Entries:  []api.EntryAddress{},
		ValidFor: entriesValidSeconds,
	}
	for _, e := range s.dir.Entries() {
		if !e.GetReady() || e.GetLeaving() || (e.GetHost() == s.cfg.Host && s.leaving.Load()) {
			continue
		}
		out.Entries = append(out.Entries, api.EntryAddress{
			Address: e.GetCallerAddress(),
			Domain:  e.GetDomain(),
		})
	}
	distance := func(e api.EntryAddress) int {
		switch {
		case e.Domain != domain:
			return 2
		case e.Address != s.cfg.CallerAddress:
			return 1
		default:
			return 0
		}
	}
	sort.SliceStable(out.Entries, func(i, j int) bool { return distance(out.Entries[i]) < distance(out.Entries[j]) })
	answer.JSON(w, out)
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request, _ bundle.Account) {
	out := api.ModelList{
		Object: "list",
		Data:   []api.Model{},
	}
	for _, name := range s.syncer.Set().Pipelines() {
		out.Data = append(out.Data, api.Model{
			ID:      name,
			Object:  "model",
			OwnedBy: "larchwinch",
		})
	}
	answer.JSON(w, out)
}

// bodyError converts an error of reading or decoding a request body: one that is
// too large gets a failure kind of its own.
func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return failure.New(failure.BodyTooLarge, "the body is larger than %d bytes", large.Limit)
	}
	return failure.New(failure.BadRequest, "the body is no JSON that fits: %v", err)
}

func (s *Server) observe(name, account string, d time.Duration) {
	metrics.Observe(s.metrics.Histogram(name, accountLabel(account)), d)
}
