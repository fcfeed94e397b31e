package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/config"
	"github.com/larchwinch/larchwinch/pkg/control"
	"github.com/larchwinch/larchwinch/pkg/fake/fakedisk"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/opclient"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

const (
	operatorKey = "lw_test_operator"
	onCallKey   = "lw_test_on_call"
	scopedKey   = "lw_test_scoped"
	waitTimeout = 20 * time.Second
)

// cluster is a set of control hosts in one process.
type cluster struct {
	group     *group.Group
	servers   []*control.Server
	addresses []string
	private   string
}

// lateHandler is a handler that is set after its server listens. Until then it
// aborts every request.
type lateHandler struct {
	mu sync.Mutex
	h  http.Handler
}

func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	h := l.h
	l.mu.Unlock()
	if h == nil {
		panic(http.ErrAbortHandler)
	}
	h.ServeHTTP(w, r)
}

func (l *lateHandler) set(h http.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h = h
}

func listen(g *group.Group) (string, *lateHandler) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	late := &lateHandler{}
	server := &http.Server{
		Handler: late,
	}
	g.Go(func(context.Context) {
		_ = server.Serve(l) // returns when Close is called
	})
	g.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = server.Close() // connections are closed on purpose
	})
	return l.Addr().String(), late
}

// withCluster runs f with three control hosts that form a new cluster.
func withCluster(f func(c *cluster)) {
	const n = 3
	c := &cluster{
		group: group.New(context.Background()),
	}
	defer c.group.Stop()
	public, private, err := bundle.NewKeyPair()
	Expect(err).NotTo(HaveOccurred())
	c.private = private
	var replicas []config.Replica
	var rpcs, admins []*lateHandler
	for i := range n {
		rpcAddress, rpcHandler := listen(c.group)
		adminAddress, adminHandler := listen(c.group)
		rpcs = append(rpcs, rpcHandler)
		admins = append(admins, adminHandler)
		c.addresses = append(c.addresses, adminAddress)
		replicas = append(replicas, config.Replica{
			ID:           uint64(i + 1),
			Address:      rpcAddress,
			AdminAddress: adminAddress,
		})
	}
	for i := range n {
		s := newServer(c.group, uint64(i+1), replicas, public)
		rpcs[i].set(s.RPC())
		admins[i].set(s.Admin())
		c.servers = append(c.servers, s)
		c.group.Go(func(ctx context.Context) {
			_ = s.Run(ctx) // returns when the group stops
		})
	}
	f(c)
}

func newServer(g *group.Group, id uint64, replicas []config.Replica, public string) *control.Server {
	cfg := &config.Control{
		Trust: config.Trust{
			RequiredSignatures: 1,
			Signers: []config.Signer{
				{Name: "tiina", PublicKey: public, Bundles: []string{"*"}},
			},
		},
		ID:       id,
		HostList: "http://127.0.0.1:1/v1/hosts",
		Replicas: replicas,
		Operators: []config.Operator{
			{Name: "tiina", KeySHA256: bundle.KeyDigest(operatorKey), Roles: []string{"read", "submit"}, Bundles: []string{"*"}},
			{Name: "on-call", KeySHA256: bundle.KeyDigest(onCallKey), Roles: []string{"read"}, Bundles: []string{"*"}},
			{Name: "scoped", KeySHA256: bundle.KeyDigest(scopedKey), Roles: []string{"read", "submit"}, Bundles: []string{"team-1"}},
		},
	}
	disk := fakedisk.New(rand.New(rand.NewPCG(1, id)))
	s, err := control.New(cfg, disk, control.Start{NewCluster: true}, timer.NewSystem(), control.Clients{Platform: &http.Client{}, RPC: &http.Client{}}, metrics.New(), g)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// bundleText returns a bundle with one client account. Different account names or
// limits make the contents differ.
func bundleText(name string, version uint64, parent, account string, limit int) string {
	return fmt.Sprintf(`name = %q
version = %d
parent = %q
[[account]]
name = %q
key_sha256 = [%q]
weight = 1
requests_per_second = %d
tokens_per_second = 1
concurrent = 1
`, name, version, parent, account, bundle.KeyDigest(account), limit)
}

func (c *cluster) signed(text string) api.SignedBundle {
	sig, err := bundle.Sign("tiina", c.private, []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return api.SignedBundle{
		Content: text,
		Signatures: []api.Signature{{
			Signer: sig.GetSigner(),
			Value:  sig.GetValue(),
		}},
	}
}

// submit posts a bundle with an operator's key, following redirects to the leader.
func (c *cluster) submit(key string, b api.SignedBundle) (api.BundleVersion, error) {
	v := api.BundleVersion{}
	err := opclient.New(c.addresses, key).Post(context.Background(), api.AdminBundlesPath, b, &v)
	return v, err
}

func (c *cluster) accept(text string) api.BundleVersion {
	var v api.BundleVersion
	Eventually(func() error {
		var err error
		v, err = c.submit(operatorKey, c.signed(text))
		return err
	}, waitTimeout, 20*time.Millisecond).Should(Succeed())
	return v
}

var _ = Describe("bundles", func() {
	It("are accepted once, in one chain of versions, from permitted operators only", func() {
		withCluster(func(c *cluster) {
			one := c.accept(bundleText("team-1", 1, "", "a", 1))
			Expect(one.Version).To(Equal(uint64(1)))

			By("submitting the same version again gets the same answer")
			again, err := c.submit(operatorKey, c.signed(bundleText("team-1", 1, "", "a", 1)))
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(Equal(one))

			refused := []struct {
				name    string
				key     string
				bundle  api.SignedBundle
				kind    string
				message string
			}{
				{name: "other content under the same version", key: operatorKey, bundle: c.signed(bundleText("team-1", 1, "", "a", 2)), kind: "version_conflict", message: "rebase: set version = 2 and parent = \"" + one.Digest},
				{name: "a version that skips one", key: operatorKey, bundle: c.signed(bundleText("team-1", 3, one.Digest, "a", 2)), kind: "parent_conflict", message: "next version of bundle \"team-1\" is 2"},
				{name: "another parent", key: operatorKey, bundle: c.signed(bundleText("team-1", 2, bundle.Digest(nil), "a", 2)), kind: "parent_conflict", message: one.Digest},
				{name: "no signature", key: operatorKey, bundle: api.SignedBundle{Content: bundleText("team-1", 2, one.Digest, "a", 2)}, kind: "signature_missing", message: "needs 1"},
				{name: "a signature of other text", key: operatorKey, bundle: api.SignedBundle{Content: bundleText("team-1", 2, one.Digest, "a", 2), Signatures: c.signed("x").Signatures}, kind: "signature_missing", message: "0 valid"},
				{name: "an operator with the role read only", key: onCallKey, bundle: c.signed(bundleText("team-1", 2, one.Digest, "a", 2)), kind: "forbidden", message: "submit"},
				{name: "an operator of other bundles", key: scopedKey, bundle: c.signed(bundleText("team-2", 1, "", "b", 2)), kind: "forbidden", message: "team-2"},
				{name: "an unknown key", key: "nope", bundle: c.signed(bundleText("team-2", 1, "", "b", 2)), kind: "unauthenticated", message: "no operator"},
				{name: "a name that another bundle has", key: operatorKey, bundle: c.signed(bundleText("team-2", 1, "", "a", 2)), kind: "bundle_invalid", message: "another bundle has this client account"},
				{name: "an empty bundle", key: operatorKey, bundle: c.signed(""), kind: "bundle_invalid", message: "empty"},
			}
			for _, r := range refused {
				_, err := c.submit(r.key, r.bundle)
				Expect(err).To(MatchError(HavePrefix(r.kind+": ")), r.name)
				Expect(err.Error()).To(ContainSubstring(r.message), r.name)
			}

			By("a rollback is a new version with the old content")
			two := c.accept(bundleText("team-1", 2, one.Digest, "a", 2))
			three := c.accept(bundleText("team-1", 3, two.Digest, "a", 1))
			Expect(three.Revision).To(Equal(one.Revision + 2))

			By("the history lists all versions with their parents and signers")
			page := api.BundlePage{}
			Expect(opclient.New(c.addresses, onCallKey).Get(context.Background(), api.AdminBundlesPath+"/team-1", &page)).To(Succeed())
			Expect(page.Items).To(HaveLen(3))
			Expect(page.Items[1].Parent).To(Equal(one.Digest))
			Expect(page.Items[2].Signers).To(Equal([]string{"tiina"}))
		})
	})

	It("lose no change and let every operator succeed when operators submit concurrently", func() {
		withCluster(func(c *cluster) {
			c.accept(bundleText("team-0", 1, "", "x", 1))
			const operators, changes = 12, 5
			g := group.New(context.Background())
			for i := range operators {
				g.Go(func(context.Context) {
					defer GinkgoRecover()
					c.submitConcurrently(fmt.Sprintf("op-%d", i), changes)
				})
			}
			g.Wait()
			chain := c.history("shared")
			Expect(chain).To(HaveLen(operators * changes))
			for i, v := range chain {
				Expect(v.Version).To(Equal(uint64(i + 1)))
				if i > 0 {
					Expect(v.Parent).To(Equal(chain[i-1].Digest))
					Expect(v.Revision).To(BeNumerically(">", chain[i-1].Revision))
				}
			}
		})
	})
})

// submitConcurrently submits one operator's changes to the shared bundle while
// others do the same. It rebases each change until it is accepted, and submits
// every other one twice.
func (c *cluster) submitConcurrently(account string, changes int) {
	for n := range changes {
		Eventually(func() error {
			version, parent := uint64(1), ""
			if chain := c.history("shared"); len(chain) > 0 {
				last := chain[len(chain)-1]
				version, parent = last.Version+1, last.Digest
			}
			b := c.signed(bundleText("shared", version, parent, account, n+1))
			v, err := c.submit(operatorKey, b)
			if err == nil && n%2 == 0 {
				again, err := c.submit(operatorKey, b)
				Expect(err).NotTo(HaveOccurred())
				Expect(again).To(Equal(v))
			}
			return err
		}, waitTimeout, time.Millisecond).Should(Succeed())
	}
}

func (c *cluster) history(name string) []api.BundleVersion {
	var all []api.BundleVersion
	for next := "0"; next != ""; {
		page := api.BundlePage{}
		err := opclient.New(c.addresses, onCallKey).Get(context.Background(), api.AdminBundlesPath+"/"+name+"?page="+next, &page)
		if err != nil {
			return nil
		}
		all = append(all, page.Items...)
		next = page.Next
	}
	return all
}

var _ = Describe("calls of the system's own processes", func() {
	It("are refused if a required field is missing, and leave the cluster working", func() {
		withCluster(func(c *cluster) {
			c.accept(bundleText("team-1", 1, "", "a", 1))
			for _, s := range c.servers {
				_, err := s.Beat(context.Background(), &rpc.BeatRequest{})
				Expect(err).To(MatchError(ContainSubstring("host is required")))
				_, err = s.Claim(context.Background(), &rpc.ClaimRequest{Account: "a"})
				Expect(err).To(MatchError(ContainSubstring("required")))
				_, err = s.Deliver(context.Background(), &rpc.RaftBatch{Messages: []*rpc.RaftMessage{{}, nil}})
				Expect(err).NotTo(HaveOccurred())
			}
			c.accept(bundleText("team-2", 1, "", "b", 1))
		})
	})
})

var _ = Describe("the OpenAPI description", func() {
	It("lists exactly the paths, methods and roles of the handlers", func() {
		withCluster(func(c *cluster) {
			resp, err := http.Get("http://" + c.addresses[0] + api.AdminOpenAPIPath)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			var doc struct {
				Paths map[string]map[string]struct {
					Description string `json:"description"`
				} `json:"paths"`
			}
			Expect(json.NewDecoder(bytes.NewReader(body)).Decode(&doc)).To(Succeed())
			var described []string
			for path, methods := range doc.Paths {
				for method, op := range methods {
					role := strings.TrimSuffix(strings.TrimPrefix(op.Description, "Role: "), ".")
					described = append(described, strings.ToUpper(method)+" "+path+" "+role)
				}
			}
			sort.Strings(described)
			Expect(described).To(Equal(c.servers[0].Routes()))
		})
	})

	It("comes with the common error body for unknown paths", func() {
		withCluster(func(c *cluster) {
			err := opclient.New(c.addresses[:1], operatorKey).Get(context.Background(), "/admin/v1/nope", nil)
			Expect(err).To(MatchError(HavePrefix("not_found: ")))
		})
	})
})
