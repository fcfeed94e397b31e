package directory_test

import (
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/directory"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

func replyWith(epoch uint64, state rpc.EndpointState, addresses ...string) *rpc.BeatReply {
	r := &rpc.BeatReply{
		Epoch: epoch,
	}
	for _, a := range addresses {
		r.Endpoints = append(r.Endpoints, &rpc.Endpoint{
			Address:     a,
			Service:     "s",
			Incarnation: 1,
			State:       state,
		})
		r.Entries = append(r.Entries, &rpc.EntryHost{
			Host: "host-" + a,
		})
	}
	return r
}

var _ = Describe("Directory", func() {
	const live = rpc.EndpointState_ENDPOINT_LIVE

	It("keeps what a new leader doesn't report, but only until that leader has settled", func() {
		svc := timer.NewManual(time.Unix(1000, 0))
		d := directory.New(svc)
		d.Take(replyWith(1, live, "a", "b"))
		d.Take(replyWith(2, rpc.EndpointState_ENDPOINT_JOINING, "a"))
		Expect(d.Service("s")).To(HaveLen(2), "a live endpoint stays usable")
		Expect(d.Hosts()).To(Equal(2))
		svc.Advance(time.Minute)
		d.Take(replyWith(2, live, "a"))
		Expect(d.Service("s")).To(HaveLen(1))
		Expect(d.Hosts()).To(Equal(1))
	})

	It("estimates load by the newest report, corrected by this host's sessions since", func() {
		svc := timer.NewManual(time.Unix(1000, 0))
		d := directory.New(svc)
		d.Take(replyWith(1, live, "a"))
		e := d.Endpoint("a")
		e.Opened(10, time.Millisecond)
		Expect(e.Sessions(3)).To(Equal(10))
		e.Opened(12, time.Millisecond)
		e.Closed()
		Expect(e.Sessions(3)).To(Equal(11))
		svc.Advance(time.Minute)
		Expect(e.Sessions(3)).To(Equal(3), "without a recent report, each host counts as this one")
	})

	It("avoids an endpoint that failed, for longer each time, until it answers", func() {
		svc := timer.NewManual(time.Unix(1000, 0))
		d := directory.New(svc)
		d.Take(replyWith(1, live, "a"))
		e := d.Endpoint("a")
		e.Failed()
		Expect(e.Avoided()).To(BeTrue())
		svc.Advance(600 * time.Millisecond)
		Expect(e.Avoided()).To(BeFalse())
		e.Failed()
		svc.Advance(600 * time.Millisecond)
		Expect(e.Avoided()).To(BeTrue())
		e.Opened(0, 0)
		Expect(e.Avoided()).To(BeFalse())
	})
})
