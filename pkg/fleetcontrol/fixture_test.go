package fleetcontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/metrics"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFleetControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetcontrol")
}

// jsonDecoder decodes the JSON form of a fleet.Configuration.
type jsonDecoder struct{}

func (jsonDecoder) Decode(content []byte) (*fleet.Configuration, error) {
	c := &fleet.Configuration{}
	return c, json.Unmarshal(content, c)
}

func document(version uint64, route string) []byte {
	text, err := json.Marshal(&fleet.Configuration{
		Version: version,
		Routes: []fleet.Route{{
			Name:    route,
			Host:    "h",
			Prefix:  "/",
			Timeout: time.Second,
			Split: []fleet.Share{{
				Service: "s",
				Weight:  1,
			}},
		}},
		Services: []fleet.Service{{
			Name: "s",
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	return text
}

// fakeEndpoints is a placement.EndpointClient that accepts no order and answers probes
// by report. Without report nothing answers.
type fakeEndpoints struct {
	report func(id string) (placement.Report, error)
}

func (fakeEndpoints) Place(context.Context, placement.Order, string, uint64) (placement.Outcome, error) {
	return placement.Unknown, errors.New("no endpoint")
}

func (o fakeEndpoints) Report(_ context.Context, id, _ string) (placement.Report, error) {
	if o.report == nil {
		return placement.Report{}, errors.New("no endpoint")
	}
	return o.report(id)
}

// reachesAll is the Reachability of a host that reaches every endpoint.
type reachesAll struct{}

func (reachesAll) ReachesOthers(context.Context, string) bool { return true }
func (reachesAll) Lost(context.Context, string) bool          { return false }
func (reachesAll) Isolated() bool                             { return false }

// cluster is a set of control hosts, each at its own loopback address.
type cluster struct {
	folder    string
	port      string
	ips       []string      // of the initial members
	losses    int           // number of disks that may be lost at once
	heartbeat time.Duration // interval between an endpoint's heartbeats
	// diskless is the address of a host without a data folder.
	diskless string
	// seeds, if set, replaces the initial members as the seeds in the settings of hosts that
	// are started from now on.
	seeds []string
	// endpoints is used by hosts that are started from now on.
	endpoints fakeEndpoints
	hosts     map[string]*host
}

type host struct {
	server *Server
	http   *http.Server
	group  *group.Group
}

// withCluster runs f on a new cluster of three control hosts that has a leader.
func withCluster(f func(c *cluster)) {
	withHeartbeat(200*time.Millisecond, f)
}

// withHeartbeat is withCluster with a given heartbeat interval. A listener on 127.0.0.1 keeps the
// port claimed while f runs, so that clusters of other test processes have other ports.
func withHeartbeat(heartbeat time.Duration, f func(c *cluster)) {
	folder, err := os.MkdirTemp("", "fleetcontrol")
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	_, port, err := net.SplitHostPort(l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(l.Close()).To(Succeed()) }()
	c := &cluster{
		folder:    folder,
		port:      port,
		ips:       []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"},
		losses:    1,
		heartbeat: heartbeat,
		hosts:     map[string]*host{},
	}
	defer func() {
		for ip := range c.hosts {
			c.stop(ip)
		}
		Expect(os.RemoveAll(folder)).To(Succeed())
	}()
	for _, ip := range c.ips {
		c.start(ip, true)
	}
	c.leader()
	f(c)
}

func (c *cluster) dataFolder(ip string) string {
	return filepath.Join(c.folder, ip)
}

func (c *cluster) start(ip string, firstStart bool) {
	g := group.New(context.Background())
	client := &http.Client{
		Transport: &http.Transport{},
	}
	folder := c.dataFolder(ip)
	if ip == c.diskless {
		folder = ""
	}
	seeds := c.ips
	if c.seeds != nil {
		seeds = c.seeds
	}
	s := New(Config{
		Folder: folder,
		IP:     ip,
		Port:   c.port,
		Bootstrap: Bootstrap{
			FirstStart: firstStart,
			IPs:        c.ips,
		},
		SeedIPs:         func() []string { return seeds },
		ToleratedLosses: c.losses,
		Heartbeat:       c.heartbeat,
		Decoder:         jsonDecoder{},
		Reachability:    reachesAll{},
		Orders:          c.endpoints,
		Client:          client,
		Timer:           timer.NewSystem(),
		Metrics:         metrics.New(),
	}, g)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, c.port))
	Expect(err).NotTo(HaveOccurred())
	h := &host{
		server: s,
		http: &http.Server{
			Handler: Forwarded(s.RPC()),
		},
		group: g,
	}
	g.Go(func(context.Context) {
		_ = h.http.Serve(l) // ends with Close
	})
	g.Go(func(ctx context.Context) {
		_ = s.Run(ctx) // ends with the group
	})
	c.hosts[ip] = h
}

func (c *cluster) stop(ip string) {
	h := c.hosts[ip]
	delete(c.hosts, ip)
	_ = h.http.Close() // fails only if the listener does
	h.group.Stop()
}

func (c *cluster) wipe(ip string) {
	Expect(os.RemoveAll(c.dataFolder(ip))).To(Succeed())
}

// leader waits until a host leads and returns its address.
func (c *cluster) leader() string {
	found := ""
	Eventually(func() bool {
		for ip, h := range c.hosts {
			if machine, _, _ := h.server.replica.Leads(context.Background()); machine != nil {
				found = ip
				return true
			}
		}
		return false
	}, "10s", "20ms").Should(BeTrue(), c.describe)
	return found
}

// describe returns each host's view of the replicas, for failure messages.
func (c *cluster) describe() string {
	var b strings.Builder
	for ip, h := range c.hosts {
		node, _ := h.server.replica.current()
		if node == nil {
			fmt.Fprintf(&b, "%s: no node\n", ip)
			continue
		}
		st := node.Status()
		fmt.Fprintf(&b, "%s: id %x %s term %d commit %d applied %d leader %s members", ip, st.ID, st.Role, st.Term, st.Commit, st.Applied, st.Leader.GetAddress())
		for _, m := range st.Members.GetList() {
			fmt.Fprintf(&b, " %x@%s", m.GetId(), m.GetAddress())
		}
		b.WriteString("\n")
	}
	return b.String()
}

func (c *cluster) otherHost(ip string) string {
	for _, one := range c.ips {
		if one != ip && c.hosts[one] != nil {
			return one
		}
	}
	return ""
}

// replaceConfig sends a configuration until it is accepted.
func (c *cluster) replaceConfig(ip string, content []byte) {
	Eventually(func() error {
		return c.hosts[ip].server.Replace(context.Background(), content)
	}, "10s", "50ms").Should(Succeed())
}

// background runs f in a goroutine; the test must wait for its end.
func background(f func()) {
	group.New(context.Background()).Go(func(context.Context) {
		f()
	})
}

// Guards against test processes side by side whose clusters listen on the same addresses.
var _ = Describe("the port of a cluster", func() {
	It("is chosen by no other test process while the cluster uses it", func() {
		withCluster(func(c *cluster) {
			_, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", c.port))
			Expect(err).To(MatchError(syscall.EADDRINUSE))
		})
	})
})
