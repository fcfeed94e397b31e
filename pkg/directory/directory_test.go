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
		d.Apply(replyWith(1, live, "a", "b"))
		d.Apply(replyWith(2, rpc.EndpointState_ENDPOINT_JOINING, "a"))
		Expect(d.Service("s")).To(HaveLen(2), "a live endpoint stays usable")
		Expect(d.EntryHostCount()).To(Equal(2))
		svc.Advance(time.Minute)
		d.Apply(replyWith(2, live, "a"))
		Expect(d.Service("s")).To(HaveLen(1))
		Expect(d.EntryHostCount()).To(Equal(1))
	})

	It("estimates load by the newest report, corrected by this host's sessions since", func() {
		svc := timer.NewManual(time.Unix(1000, 0))
		d := directory.New(svc)
		d.Apply(replyWith(1, live, "a"))
		e := d.Endpoint("a")
		e.SessionOpened(10, time.Millisecond)
		Expect(e.Sessions(3)).To(Equal(10))
		e.SessionOpened(12, time.Millisecond)
		e.SessionClosed()
		Expect(e.Sessions(3)).To(Equal(11))
		svc.Advance(time.Minute)
		Expect(e.Sessions(3)).To(Equal(3), "without a recent report, each host counts as this one")
	})

	It("avoids an endpoint that failed, for longer each time, until it answers", func() {
		svc := timer.NewManual(time.Unix(1000, 0))
		d := directory.New(svc)
		d.Apply(replyWith(1, live, "a"))
		e := d.Endpoint("a")
		e.MarkFailed()
		Expect(e.Avoided()).To(BeTrue())
		svc.Advance(600 * time.Millisecond)
		Expect(e.Avoided()).To(BeFalse())
		e.MarkFailed()
		svc.Advance(600 * time.Millisecond)
		Expect(e.Avoided()).To(BeTrue())
		e.SessionOpened(0, 0)
		Expect(e.Avoided()).To(BeFalse())
	})
})
