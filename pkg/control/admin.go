package control

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/answer"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/logflags"
	"github.com/larchwinch/larchwinch/pkg/replica"
)

// adminHandler serves one route of the administration API for an operator and
// returns the JSON value of the answer.
type adminHandler func(r *http.Request, operator config.Operator) (any, error)

// route is one method and path of the administration API, with the role that an
// operator needs for it.
type route struct {
	method  string
	path    string
	role    string
	handler adminHandler
}

func (s *Server) routes() []route {
	return []route{
		{method: http.MethodGet, path: api.AdminBundlesPath, role: config.RoleRead, handler: s.listBundles},
		{method: http.MethodPost, path: api.AdminBundlesPath, role: config.RoleSubmit, handler: s.submitBundle},
		{method: http.MethodGet, path: api.AdminBundlesPath + "/{name}", role: config.RoleRead, handler: s.bundleHistory},
		{method: http.MethodGet, path: api.AdminBundlesPath + "/{name}/{version}", role: config.RoleRead, handler: s.bundleVersion},
		{method: http.MethodGet, path: api.AdminRolloutPath, role: config.RoleRead, handler: s.rollout},
		{method: http.MethodGet, path: api.AdminHostsPath, role: config.RoleRead, handler: s.listHosts},
		{method: http.MethodGet, path: api.AdminEndpointsPath, role: config.RoleRead, handler: s.listEndpoints},
		{method: http.MethodGet, path: api.AdminReplicasPath, role: config.RoleRead, handler: s.listReplicas},
		{method: http.MethodPut, path: api.AdminReplicasPath + "/{id}", role: config.RoleSubmit, handler: s.addReplica},
		{method: http.MethodDelete, path: api.AdminReplicasPath + "/{id}", role: config.RoleSubmit, handler: s.removeReplica},
	}
}

// Routes returns each route as "METHOD path role", sorted.
func (s *Server) Routes() []string {
	var list []string
	for _, rt := range s.routes() {
		list = append(list, rt.method+" "+rt.path+" "+rt.role)
	}
	sort.Strings(list)
	return list
}

// Admin returns the handler of the administration API.
func (s *Server) Admin() http.Handler {
	mux := http.NewServeMux()
	for _, rt := range s.routes() {
		mux.HandleFunc(rt.method+" "+rt.path, s.serveAdmin(rt))
	}
	mux.HandleFunc("GET "+api.AdminOpenAPIPath, serveOpenAPI)
	mux.HandleFunc("GET "+api.HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		answer.Failure(w, failure.New(failure.NotFound, "there is nothing at %s %s", r.Method, r.URL.Path))
	})
	return mux
}

const maxAdminBody = 8 << 20

func (s *Server) serveAdmin(rt route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxAdminBody)
		operator, err := s.authorize(r, rt.role)
		if err != nil {
			answer.Failure(w, err)
			return
		}
		if err := s.node.ReadBarrier(r.Context()); err != nil {
			redirect(w, r, err)
			return
		}
		v, err := rt.handler(r, operator)
		if err != nil {
			redirect(w, r, err)
			return
		}
		answer.JSON(w, v)
	}
}

// redirect redirects an operator to the leader if err is a NotLeaderError with a
// known leader. Otherwise it answers with a failure: ControlUnavailable, not run, if
// no leader is known; ControlUnavailable, unknown whether run, if leadership was
// lost or the deadline passed; and err itself in all other cases.
func redirect(w http.ResponseWriter, r *http.Request, err error) {
	var notLeader *replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader) && notLeader.Leader != nil:
		u := *r.URL
		u.Scheme = "http"
		u.Host = notLeader.Leader.GetAdminAddress()
		http.Redirect(w, r, u.String(), http.StatusTemporaryRedirect)
	case errors.As(err, &notLeader):
		answer.Failure(w, unavailable(err, failure.RanNo))
	case errors.Is(err, replica.ErrLeadershipLost), errors.Is(err, context.DeadlineExceeded):
		answer.Failure(w, unavailable(err, failure.RanUnknown))
	default:
		answer.Failure(w, err)
	}
}

// authorize returns the operator whose key the request carries, if that operator
// has the role.
func (s *Server) authorize(r *http.Request, role string) (config.Operator, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return config.Operator{}, failure.New(failure.Unauthenticated, "an operator's key is needed: Authorization: Bearer <key>")
	}
	digest := []byte(bundle.KeyDigest(key))
	for _, o := range s.cfg.Operators {
		if subtle.ConstantTimeCompare(digest, []byte(o.KeySHA256)) != 1 {
			continue
		}
		for _, granted := range o.Roles {
			if granted == role {
				return o, nil
			}
		}
		return config.Operator{}, failure.New(failure.Forbidden, "operator %q lacks the role %q", o.Name, role)
	}
	return config.Operator{}, failure.New(failure.Unauthenticated, "the key belongs to no operator")
}

func maySubmit(o config.Operator, name string) bool {
	for _, b := range o.Bundles {
		if b == bundle.AnyBundle || b == name {
			return true
		}
	}
	return false
}

func logAccepted(operator config.Operator, v api.BundleVersion) {
	logflags.Info(logflags.Admin, "bundle accepted", "operator", operator.Name, "bundle", v.Name, "version", v.Version, "revision", v.Revision)
}
