package fleetentry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fake/fakelink"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("connections to a control host that stop responding", func() {
	It("cost one time-out, however many were idle, and whichever direction is lost", func() {
		for _, way := range []fakelink.Direction{fakelink.ToTarget, fakelink.FromTarget, fakelink.Both} {
			gate := make(chan struct{})
			withControl(func(int, *rpc.SyncRequest) *rpc.SyncReply {
				<-gate
				return confirmedReply(3)
			}, func(_ *fakeControl, address string) {
				p, err := fakelink.New(address)
				Expect(err).NotTo(HaveOccurred())
				defer p.Close()
				client := newTestClient(timer.NewSystem(), p.Address())
				client.cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
				const idle = 5
				calls := sync.WaitGroup{}
				for range idle {
					calls.Add(1)
					background(func() {
						defer calls.Done()
						_, _ = rpc.NewFleetProtobufClient("http://"+p.Address(), client.cfg.Client).Sync(context.Background(), &rpc.SyncRequest{})
					})
				}
				Eventually(p.Opened, "5s", "5ms").Should(Equal(idle))
				close(gate)
				calls.Wait()
				p.Blackhole(way)
				g := group.New(context.Background())
				defer g.Stop()
				began := time.Now()
				g.Go(client.Run)
				Eventually(client.Ready, "10s", "10ms").Should(BeTrue())
				Expect(time.Since(began)).To(BeNumerically("<", 2*syncTimeout))
			})
		}
	})
})

// background runs f concurrently. The test makes sure that it ends.
func background(f func()) {
	group.New(context.Background()).Go(func(context.Context) {
		f()
	})
}
