package fleetentry

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an entry host that reaches no endpoint", func() {
	others := []string{"10.0.0.2:80", "10.0.0.3:80"}
	cases := []struct {
		name     string
		isolated bool
		named    []string // by the leader
		want     []string // to callers
		peers    []string
	}{
		{name: "reaches endpoints", named: append([]string{"10.0.0.1:80"}, others...), want: append([]string{"10.0.0.1:80"}, others...), peers: []string{"10.0.0.2:7341", "10.0.0.3:7341"}},
		{name: "is cut off", isolated: true, named: append([]string{"10.0.0.1:80"}, others...), want: others, peers: []string{"10.0.0.2:7341", "10.0.0.3:7341"}},
		{name: "is the only host", isolated: true, named: []string{"10.0.0.1:80"}, want: []string{"10.0.0.1:80"}, peers: []string{}},
	}
	for _, c := range cases {
		It("is left out of the addresses for callers unless there is no other, and stays ready: "+c.name, func() {
			var sent *rpc.SyncRequest
			withControl(func(_ int, q *rpc.SyncRequest) *rpc.SyncReply {
				sent = q
				r := confirmedReply(3)
				r.Addresses = c.named
				r.AddressesDigest = fleet.AddressesDigest(c.named)
				return r
			}, func(_ *fakeControl, address string) {
				client := newTestClient(timer.NewManual(time.Unix(1000, 0)), address)
				client.cfg.Isolated = func() bool { return c.isolated }
				Expect(client.sync(context.Background())).To(BeTrue())
				Expect(client.Ready()).To(BeTrue())
				Expect(client.Addresses()).To(Equal(c.want))
				Expect(client.Peers()).To(Equal(c.peers))
				client.loads = &suspectingLoads{list: []string{"e1"}}
				Expect(client.sync(context.Background())).To(BeTrue())
				Expect(len(sent.GetSuspects()) == 0).To(Equal(c.isolated))
				Expect(sent.GetHost().GetReady()).To(Equal(!c.isolated))
				Expect(sent.GetHost().GetIsolated()).To(Equal(c.isolated))
			})
		})
	}
})
