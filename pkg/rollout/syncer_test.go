package rollout_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/rollout"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

const waitTimeout = 20 * time.Second

// fakeControl is a control host that answers fetches with a given reply.
type fakeControl struct {
	mu    sync.Mutex
	reply *rpc.FetchReply
	down  bool
	calls int
}

func (f *fakeControl) set(r *rpc.FetchReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reply = r
}

// stop makes every later fetch fail.
func (f *fakeControl) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = true
}

func (f *fakeControl) Fetch(_ context.Context, _ *rpc.FetchRequest) (*rpc.FetchReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down || f.reply == nil {
		return nil, twirp.Unavailable.Error("down")
	}
	return f.reply, nil
}

// signer signs bundles for the tests.
type signer struct {
	public  string
	private string
}

func newSigner() signer {
	public, private, err := bundle.NewKeyPair()
	Expect(err).NotTo(HaveOccurred())
	return signer{
		public:  public,
		private: private,
	}
}

// version returns a signed version of a bundle, accepted at a revision.
func (s signer) version(name string, version, revision uint64) *rpc.BundleVersion {
	parent := ""
	if version > 1 {
		parent = strings.Repeat("0", 64)
	}
	text := fmt.Sprintf("name = %q\nversion = %d\nparent = %q\n[[service]]\nname = %q\nbody_limit_kb = %d\n", name, version, parent, name, version)
	sig, err := bundle.Sign("tiina", s.private, []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return &rpc.BundleVersion{
		Name:       name,
		Version:    version,
		Parent:     parent,
		Digest:     bundle.Digest([]byte(text)),
		Content:    []byte(text),
		Signatures: []*rpc.Signature{sig},
		Revision:   revision,
	}
}

func reply(confirmed bool, revision uint64, bundles ...*rpc.BundleVersion) *rpc.FetchReply {
	return &rpc.FetchReply{
		Revision:  revision,
		Confirmed: confirmed,
		Set: &rpc.BundleSet{
			Revision: revision,
			Bundles:  bundles,
		},
	}
}

// withSyncer runs a syncer that asks one fake control host and some peers.
func withSyncer(s signer, peers []string, f func(syncer *rollout.Syncer, c *fakeControl)) {
	c := &fakeControl{}
	server := httptest.NewServer(rpc.NewRolloutServer(c))
	defer server.Close()
	one, err := bundle.NewSigner("tiina", s.public, []string{"*"})
	Expect(err).NotTo(HaveOccurred())
	syncer := rollout.New("entry-1", []string{strings.TrimPrefix(server.URL, "http://")}, func() []string { return peers },
		bundle.NewTrust([]bundle.Signer{one}, 1), timer.NewSystem(), &http.Client{}, metrics.New())
	g := group.New(context.Background())
	defer g.Stop()
	g.Go(syncer.Run)
	f(syncer, c)
}

// waitForCalls waits until two more calls have reached the control host.
func (f *fakeControl) waitForCalls() {
	f.mu.Lock()
	from := f.calls
	f.mu.Unlock()
	Eventually(func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.calls
	}, waitTimeout, time.Millisecond).Should(BeNumerically(">=", from+2))
}

func revisionOf(syncer *rollout.Syncer) func() uint64 {
	return func() uint64 {
		return syncer.Set().Revision()
	}
}

var _ = Describe("Syncer", func() {
	It("isn't confirmed until a control replica reports the set as confirmed", func() {
		s := newSigner()
		withSyncer(s, nil, func(syncer *rollout.Syncer, c *fakeControl) {
			c.set(reply(false, 4, s.version("a", 1, 4)))
			Eventually(revisionOf(syncer), waitTimeout, time.Millisecond).Should(Equal(uint64(4)))
			c.waitForCalls()
			confirmed, _ := syncer.Confirmed()
			Expect(confirmed).To(BeFalse())
			c.set(reply(true, 4))
			Eventually(func() bool {
				confirmed, _ := syncer.Confirmed()
				return confirmed
			}, waitTimeout, time.Millisecond).Should(BeTrue())
		})
	})

	It("isn't confirmed by a confirmation that is an hour old", func() {
		s := newSigner()
		withSyncer(s, nil, func(syncer *rollout.Syncer, c *fakeControl) {
			old := reply(true, 4, s.version("a", 1, 4))
			old.ConfirmedAgeMs = 3_600_000
			c.set(old)
			Eventually(revisionOf(syncer), waitTimeout, time.Millisecond).Should(Equal(uint64(4)))
			c.waitForCalls()
			confirmed, _ := syncer.Confirmed()
			Expect(confirmed).To(BeFalse())
		})
	})

	It("never goes back to an older revision or version", func() {
		s := newSigner()
		withSyncer(s, nil, func(syncer *rollout.Syncer, c *fakeControl) {
			c.set(reply(true, 7, s.version("a", 3, 7)))
			Eventually(revisionOf(syncer), waitTimeout, time.Millisecond).Should(Equal(uint64(7)))
			older := []struct {
				name  string
				reply *rpc.FetchReply
			}{
				{name: "a partitioned replica", reply: reply(false, 5, s.version("a", 2, 5))},
				{name: "a replica that confirms an older set", reply: reply(true, 5, s.version("a", 2, 5))},
				{name: "an older version under a newer revision", reply: reply(true, 9, s.version("a", 2, 9))},
			}
			for _, o := range older {
				c.set(o.reply)
				c.waitForCalls()
				Expect(syncer.Set().Revision()).To(Equal(uint64(7)), o.name)
				v, _ := syncer.Set().Service("a")
				Expect(v.BodyLimitKB).To(Equal(3), o.name)
			}
		})
	})

	It("installs a set completely or not at all, and only if its signatures are valid", func() {
		s := newSigner()
		stranger := newSigner()
		changed := s.version("b", 1, 8)
		changed.Content = append(changed.Content, '#')
		forged := s.version("b", 1, 8)
		forged.Content = append(forged.Content, '#')
		forged.Digest = bundle.Digest(forged.Content)
		bad := []struct {
			name   string
			bundle *rpc.BundleVersion
		}{
			{name: "signature of an unknown key", bundle: stranger.version("b", 1, 8)},
			{name: "content that doesn't match its digest", bundle: changed},
			{name: "content that doesn't match its signature", bundle: forged},
		}
		withSyncer(s, nil, func(syncer *rollout.Syncer, c *fakeControl) {
			c.set(reply(true, 7, s.version("a", 1, 7)))
			Eventually(revisionOf(syncer), waitTimeout, time.Millisecond).Should(Equal(uint64(7)))
			for _, b := range bad {
				c.set(reply(true, 8, s.version("a", 2, 8), b.bundle))
				c.waitForCalls()
				Expect(syncer.Set().Revision()).To(Equal(uint64(7)), b.name)
				v, _ := syncer.Set().Service("a")
				Expect(v.BodyLimitKB).To(Equal(1), b.name)
			}
			c.set(reply(true, 8, s.version("a", 2, 8)))
			Eventually(revisionOf(syncer), waitTimeout, time.Millisecond).Should(Equal(uint64(8)))
		})
	})

	It("replaces only what changed, and keeps the rest", func() {
		s := newSigner()
		withSyncer(s, nil, func(syncer *rollout.Syncer, c *fakeControl) {
			c.set(reply(true, 2, s.version("a", 1, 1), s.version("b", 1, 2)))
			Eventually(revisionOf(syncer), waitTimeout, time.Millisecond).Should(Equal(uint64(2)))
			c.set(reply(true, 3, s.version("b", 2, 3)))
			Eventually(revisionOf(syncer), waitTimeout, time.Millisecond).Should(Equal(uint64(3)))
			_, kept := syncer.Set().Service("a")
			Expect(kept).To(BeTrue())
			out, err := syncer.Fetch(context.Background(), &rpc.FetchRequest{KnownRevision: 2})
			Expect(err).NotTo(HaveOccurred())
			Expect(out.GetSet().GetBundles()).To(HaveLen(1))
		})
	})

	It("fetches a set from a peer when no control host answers, with the age of its confirmation", func() {
		s := newSigner()
		withSyncer(s, nil, func(near *rollout.Syncer, c *fakeControl) {
			c.set(reply(true, 6, s.version("a", 1, 6)))
			Eventually(func() bool {
				confirmed, _ := near.Confirmed()
				return confirmed
			}, waitTimeout, time.Millisecond).Should(BeTrue())
			peer := httptest.NewServer(rpc.NewRolloutServer(near))
			defer peer.Close()
			withSyncer(s, []string{strings.TrimPrefix(peer.URL, "http://")}, func(far *rollout.Syncer, unreachable *fakeControl) {
				unreachable.stop()
				Eventually(func() bool {
					confirmed, _ := far.Confirmed()
					return confirmed
				}, waitTimeout, time.Millisecond).Should(BeTrue())
				Expect(far.Set().Revision()).To(Equal(uint64(6)))
				_, nearAge := near.Confirmed()
				_, farAge := far.Confirmed()
				Expect(farAge).To(BeNumerically(">=", nearAge-time.Second))
			})
		})
	})
})
