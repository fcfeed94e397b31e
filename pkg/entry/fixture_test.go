package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/control"
	"github.com/larchwinch/larchwinch/pkg/entry"
	"github.com/larchwinch/larchwinch/pkg/fake/fakedisk"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/netutil"
	"github.com/larchwinch/larchwinch/pkg/standin/engine"
	"github.com/larchwinch/larchwinch/pkg/standin/hostlist"
	"github.com/larchwinch/larchwinch/pkg/standin/service"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

const (
	callerKey   = "lw_test_haabersti"
	operatorKey = "lw_test_operator"
	layers      = 6
	waitTimeout = 20 * time.Second
)

// testServer is an HTTP server that listens before its handler is set, so that
// its address can be put into settings first. While it has no handler or is
// disconnected it aborts every request.
type testServer struct {
	mu           sync.Mutex
	handler      http.Handler
	server       *http.Server
	address      string
	disconnected bool
}

func newTestServer(g *group.Group) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &testServer{
		address: l.Addr().String(),
	}
	s.server = &http.Server{
		Handler: s,
	}
	g.Go(func(context.Context) {
		_ = s.server.Serve(l) // returns when Close is called
	})
	g.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = s.server.Close() // connections are closed on purpose
	})
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	h := s.handler
	disconnected := s.disconnected
	s.mu.Unlock()
	if h == nil || disconnected {
		panic(http.ErrAbortHandler)
	}
	h.ServeHTTP(w, r)
}

func (s *testServer) set(h http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = h
}

func (s *testServer) setDisconnected(disconnected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected = disconnected
}

// entryHost is one entry host of a test system.
type entryHost struct {
	callers *testServer
	peers   *testServer
	server  *entry.Server
	group   *group.Group
	cfg     *config.Entry
	metrics *metrics.Set
}

// system is a complete larchwinch system in one process.
type system struct {
	group    *group.Group
	control  []*control.Server
	rpc      []*testServer
	admin    []*testServer
	entries  []*entryHost
	engines  []*engine.Engine
	service  *service.Service
	services *testServer
	public   string
	private  string
	trust    config.Trust
}

// withSystem starts control hosts, entry hosts, two engines for each of three
// layer ranges and a plain service, submits a bundle, waits until all entry hosts
// are ready, runs f and stops everything.
func withSystem(controls, entries int, f func(s *system)) {
	s := &system{
		group: group.New(context.Background()),
	}
	defer s.stop()
	var err error
	s.public, s.private, err = bundle.NewKeyPair()
	Expect(err).NotTo(HaveOccurred())
	s.trust = config.Trust{
		RequiredSignatures: 1,
		Signers: []config.Signer{{
			Name:      "tiina",
			PublicKey: s.public,
			Bundles:   []string{"*"},
		}},
	}
	list := s.startEndpoints()
	s.startControl(controls, list)
	for i := range entries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	s.submit(s.bundleText(1, ""))
	s.awaitReady()
	f(s)
}

func (s *system) stop() {
	for _, e := range s.entries {
		e.group.Stop()
	}
	s.group.Stop()
}

func (s *system) startEndpoints() string {
	hosts := api.HostList{}
	const span = layers / 3
	for first := 0; first < layers; first += span {
		for range 2 {
			t := newTestServer(s.group)
			e := engine.New(engine.Config{
				Address:      t.address,
				Model:        "koit",
				ModelVersion: "1",
				FirstLayer:   first,
				EndLayer:     first + span,
				Accelerator:  "large",
				Incarnation:  1,
				Timer:        timer.NewSystem(),
				Client:       &http.Client{},
				Die:          func() {},
			}, s.group)
			t.set(e.Handler())
			s.engines = append(s.engines, e)
			hosts.Hosts = append(hosts.Hosts, api.ListedHost{
				Address: t.address,
				Domain:  "a",
			})
		}
	}
	s.services = newTestServer(s.group)
	s.service = service.New("staff-app", 1, timer.NewSystem())
	s.services.set(s.service.Handler())
	hosts.Hosts = append(hosts.Hosts, api.ListedHost{
		Address: s.services.address,
		Service: "staff-app",
		Domain:  "a",
	})
	list := newTestServer(s.group)
	list.set(hostlist.New(timer.NewSystem(), 0, hosts).Handler())
	return "http://" + list.address + api.HostListPath
}

func (s *system) startControl(n int, list string) {
	var replicas []config.Replica
	for i := range n {
		s.rpc = append(s.rpc, newTestServer(s.group))
		s.admin = append(s.admin, newTestServer(s.group))
		replicas = append(replicas, config.Replica{
			ID:           uint64(i + 1),
			Address:      s.rpc[i].address,
			AdminAddress: s.admin[i].address,
		})
	}
	for i := range n {
		cfg := &config.Control{
			Trust:    s.trust,
			ID:       uint64(i + 1),
			HostList: list,
			Replicas: replicas,
			Operators: []config.Operator{{
				Name:      "tiina",
				KeySHA256: bundle.KeyDigest(operatorKey),
				Roles:     []string{config.RoleRead, config.RoleSubmit},
				Bundles:   []string{"*"},
			}},
		}
		disk := fakedisk.New(rand.New(rand.NewPCG(1, 1)))
		c, err := control.New(cfg, disk, control.Start{NewCluster: true}, timer.NewSystem(), control.Clients{Platform: &http.Client{}, RPC: &http.Client{}}, metrics.New(), s.group)
		Expect(err).NotTo(HaveOccurred())
		s.rpc[i].set(c.RPC())
		s.admin[i].set(c.Admin())
		s.control = append(s.control, c)
		s.group.Go(func(ctx context.Context) {
			_ = c.Run(ctx) // returns when the group stops
		})
	}
}

func (s *system) newEntry(i int) *entryHost {
	e := &entryHost{
		group: group.New(context.Background()),
	}
	e.callers = newTestServer(s.group)
	e.peers = newTestServer(s.group)
	e.cfg = &config.Entry{
		Common: config.Common{
			Host:   fmt.Sprintf("entry-%d", i+1),
			Domain: "a",
		},
		Trust:         s.trust,
		CallerAddress: e.callers.address,
		RPCAddress:    e.peers.address,
		BodyLimitKB:   64,
		Policy:        config.Policies[0],
	}
	for _, r := range s.rpc {
		e.cfg.Control = append(e.cfg.Control, r.address)
	}
	s.startEntry(e)
	return e
}

// newClient returns the HTTP client of an entry host. Measurements replace it to
// count bytes.
var newClient = func() *http.Client {
	return &http.Client{}
}

// startEntry starts a new incarnation of an entry host.
func (s *system) startEntry(e *entryHost) {
	once, err := netutil.NewUnpooledClient("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	client := newClient()
	e.metrics = metrics.New()
	e.server, err = entry.New(e.cfg, timer.NewSystem(), entry.Clients{Endpoints: client, Once: once, RPC: client}, e.metrics, e.group)
	Expect(err).NotTo(HaveOccurred())
	e.callers.set(e.server.Handler())
	e.peers.set(e.server.RPC())
	e.server.Start()
}

func (s *system) bundleText(version int, parent string) string {
	return fmt.Sprintf(`name = "mesipuu"
version = %d
parent = %q
[[model]]
name = "koit"
version = "1"
layers = %d
layer_mb = 300
context_tokens = 4096
[[pipeline]]
name = "daily-note"
model = "koit"
priority = 9
max_tokens = 64
[[pipeline]]
name = "note-to-parents"
model = "koit"
priority = 8
max_tokens = 64
once = true
[[service]]
name = "staff-app"
body_limit_kb = 16
once_paths = ["/confirm"]
[[account]]
name = "haabersti"
key_sha256 = [%q]
weight = 1
requests_per_second = 1000
tokens_per_second = 100000
concurrent = 100
`, version, parent, layers, bundle.KeyDigest(callerKey))
}

func (s *system) signed(text string) api.SignedBundle {
	sig, err := bundle.Sign("tiina", s.private, []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return api.SignedBundle{
		Content: text,
		Signatures: []api.Signature{{
			Signer: sig.GetSigner(),
			Value:  sig.GetValue(),
		}},
	}
}

// submit posts a bundle to the control hosts until one accepts it.
func (s *system) submit(text string) {
	body, err := json.Marshal(s.signed(text))
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int {
		for _, a := range s.admin {
			if status := postAdmin(a.address, body); status == http.StatusOK {
				return status
			}
		}
		return 0
	}, waitTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK))
}

func postAdmin(address string, body []byte) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+api.AdminBundlesPath, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	client := &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// awaitReady waits until every entry host is ready and knows all endpoints.
func (s *system) awaitReady() {
	for _, e := range s.entries {
		Eventually(func() int {
			return len(e.server.Directory().Engines("koit", "1")) + len(e.server.Directory().Service("staff-app"))
		}, waitTimeout, 20*time.Millisecond).Should(Equal(7))
		Eventually(func() int {
			resp, err := http.Get("http://" + e.callers.address + api.ReadyPath)
			if err != nil {
				return 0
			}
			_ = resp.Body.Close()
			return resp.StatusCode
		}, waitTimeout, 20*time.Millisecond).Should(Equal(http.StatusOK))
	}
}

// response is an HTTP response, its body read completely.
type response struct {
	status int
	header http.Header
	body   string
}

func (g response) failure() api.ErrorBody {
	out := api.Error{}
	Expect(json.Unmarshal([]byte(g.body), &out)).To(Succeed(), g.body)
	return out.Error
}

// send sends a request with the client account's key; headers are name-value
// pairs.
func (e *entryHost) send(method, path, body string, headers ...string) response {
	req, err := http.NewRequest(method, "http://"+e.callers.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return response{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(text),
	}
}
