package fleetcontrol

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/placement"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// listEndpoints asks a control host for the full list of endpoints, as an entry host
// does. The reply is empty while the host doesn't lead.
func (c *cluster) listEndpoints(ip string) *rpc.SyncReply {
	h := c.hosts[ip]
	if h == nil {
		return &rpc.SyncReply{}
	}
	reply, err := h.server.Sync(context.Background(), &rpc.SyncRequest{
		Host: &rpc.FleetHost{
			Name: "h",
		},
	})
	Expect(err).NotTo(HaveOccurred())
	if reply.GetWhole() {
		text, err := fleet.Unpack(reply.GetPackedEndpoints())
		Expect(err).NotTo(HaveOccurred())
		all := &rpc.SpreadRequest{}
		Expect(proto.Unmarshal(text, all)).To(Succeed())
		reply.Endpoints = all.GetEndpoints()
	}
	return reply
}

var _ = Describe("after a stop of all control hosts", func() {
	// restart stops all hosts, and then starts them again.
	restart := func(c *cluster) {
		for _, ip := range c.ips {
			c.stop(ip)
		}
		for _, ip := range c.ips {
			c.start(ip, false)
		}
	}

	It("endpoints on the saved list that answer a probe are usable before their first heartbeat", func() {
		// They are dropped 3 to 4.5 intervals after the start, which must be later than the
		// election of a leader to ask.
		withHeartbeat(time.Second, func(c *cluster) {
			c.endpoints = fakeEndpoints{report: func(id string) (placement.Report, error) {
				if id != "engine" {
					return placement.Report{}, errors.New("connection refused")
				}
				return placement.Report{
					Layers:   fleet.Range{From: 3, To: 9},
					Slowdown: 1,
				}, nil
			}}
			engine := announcement(false, 1)
			engine.ID, engine.Kind, engine.Address = "engine", "k", "127.0.2.2:80"
			leaves := announcement(true, 1)
			leaves.ID, leaves.Address = "leaves", "127.0.2.3:80"
			s := c.hosts[c.ips[0]].server
			for _, e := range []fleet.Endpoint{announcement(false, 1), engine, leaves} {
				Expect(s.Announce(context.Background(), e)).To(Succeed())
			}
			for _, ip := range c.ips {
				Eventually(func() int {
					list, err := readEndpoints(c.dataFolder(ip), time.Now())
					Expect(err).NotTo(HaveOccurred())
					return len(list)
				}, "5s", "10ms").Should(Equal(2), "the leaving endpoint isn't saved")
			}
			restart(c)
			lead := c.leader()
			Eventually(func() []string {
				var seen []string
				for _, e := range c.listEndpoints(lead).GetEndpoints() {
					if !e.GetSilent() {
						seen = append(seen, e.GetId())
						Expect(e.GetEndLayer()).To(BeEquivalentTo(9))
					}
				}
				return seen
			}, "2s", "5ms").Should(Equal([]string{"engine"}))
			Eventually(func() bool { return c.listEndpoints(lead).GetSettled() }, "8s", "20ms").Should(BeTrue())
			Expect(c.listEndpoints(lead).GetEndpoints()).To(BeEmpty(), "no endpoint sent a heartbeat")
		})
	})

	It("a truncated list is rejected", func() {
		folder, err := os.MkdirTemp("", "recall")
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(os.RemoveAll(folder)).To(Succeed()) }()
		list, err := readEndpoints(folder, time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(BeEmpty())
		Expect(writeEndpoints(folder, []fleet.Endpoint{announcement(false, 1)}, time.Now())).To(Succeed())
		text, err := os.ReadFile(filepath.Join(folder, endpointsFile))
		Expect(err).NotTo(HaveOccurred())
		for cut := range text {
			Expect(os.WriteFile(filepath.Join(folder, endpointsFile), text[:cut], 0o600)).To(Succeed())
			_, err = readEndpoints(folder, time.Now())
			Expect(err).To(MatchError(errChecksum))
		}
	})
})
