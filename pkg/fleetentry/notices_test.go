package fleetentry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/backoff"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/gateway"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	sameHostControl  = "10.0.0.1:90" // a control process on the host of newTestClient
	otherHostControl = "10.0.0.9:90"
)

// suspectingLoads is fakeLoads with a list of suspected endpoints.
type suspectingLoads struct {
	fakeLoads
	list []string
}

func (s *suspectingLoads) Suspects() []string { return s.list }

// withTestClient runs f with a client that knows an endpoint e1 of service s.
func withTestClient(f func(client *ControlClient, backoffs *backoff.Tracker, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	client := newTestClient(clock)
	backoffs := backoff.New(clock)
	sources := newTestSources(clock)
	sources.Loads = &suspectingLoads{list: []string{"e1", "e2"}}
	sources.Backoffs = backoffs
	client.SetSources(sources)
	client.applyReply("c", confirmedReply(3), clock.Now())
	f(client, backoffs, clock)
}

var _ = Describe("an endpoint's own notice that it is leaving", func() {
	It("removes it at once, whatever control hosts report of that incarnation", func() {
		withTestClient(func(client *ControlClient, _ *backoff.Tracker, clock *timer.Manual) {
			changed := client.Changed()
			client.MarkLeaving("e1")
			Expect(changed).To(BeClosed())
			Expect(client.Endpoints("s")).To(BeEmpty())
			Expect(client.EndpointLeaving("e1")).To(BeTrue())
			lists := []*rpc.Announcement{
				{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 3},
				{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 9},
			}
			for _, a := range lists {
				reply := confirmedReply(3)
				reply.PackedEndpoints = packedEndpoints(a)
				client.applyReply("c", reply, clock.Now())
				Expect(client.Endpoints("s")).To(BeEmpty())
			}
			reply := confirmedReply(3)
			reply.PackedEndpoints = packedEndpoints()
			client.applyReply("c", reply, clock.Now())
			client.applyReply("c", confirmedReply(3), clock.Now())
			Expect(client.Endpoints("s")).To(BeEmpty(), "a leader that doesn't know of the notice lists it again")
		})
	})

	It("doesn't apply to another incarnation of it", func() {
		withTestClient(func(client *ControlClient, _ *backoff.Tracker, clock *timer.Manual) {
			client.MarkLeaving(fleet.IncarnationID("e1", 100))
			reply := confirmedReply(3)
			reply.PackedEndpoints = packedEndpoints(&rpc.Announcement{Id: fleet.IncarnationID("e1", 200), Service: "s", Address: "10.1.0.1:80", Sequence: 1})
			client.applyReply("c", reply, clock.Now())
			Expect(client.Endpoints("s")).To(HaveLen(1))
		})
	})

	It("is reported to the leader until it knows, and doesn't change the digest of the list held", func() {
		withTestClient(func(client *ControlClient, _ *backoff.Tracker, clock *timer.Manual) {
			before := client.syncRequest(otherHostControl).GetEndpointsDigest()
			client.MarkLeaving("e1")
			for range 2 {
				q := client.syncRequest(otherHostControl)
				Expect(q.GetLeaving()).To(Equal([]string{"e1"}))
				Expect(q.GetEndpointsDigest()).To(Equal(before), "another digest would have the full list sent with every reply")
			}
			reply := confirmedReply(3)
			reply.PackedEndpoints = packedEndpoints(&rpc.Announcement{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 3, Leaving: true})
			client.applyReply("c", reply, clock.Now())
			Expect(client.syncRequest(otherHostControl).GetLeaving()).To(BeEmpty())
		})
	})

	It("is dropped some time after the endpoint is gone", func() {
		withTestClient(func(client *ControlClient, _ *backoff.Tracker, clock *timer.Manual) {
			for _, id := range []string{"gone-1", "gone-2", "e1"} {
				client.MarkLeaving(id)
			}
			clock.Advance(2 * goneRetention)
			client.applyReply("c", confirmedReply(3), clock.Now())
			Expect(client.leavingSince).To(HaveLen(1))
		})
	})
})

var _ = Describe("an endpoint's backoff", func() {
	It("is reported to a control process of the same host only, and the endpoint isn't reported as a suspect", func() {
		withTestClient(func(client *ControlClient, backoffs *backoff.Tracker, _ *timer.Manual) {
			backoffs.Record("e1", 3*time.Second)
			q := client.syncRequest(otherHostControl)
			Expect(q.GetResting()).To(BeEmpty())
			Expect(q.GetSuspects()).To(Equal([]string{"e2"}))
			q = client.syncRequest(sameHostControl)
			Expect(q.GetResting()).To(HaveLen(1))
			Expect(q.GetResting()[0].GetEndpoint()).To(Equal("e1"))
			Expect(q.GetResting()[0].GetLeftMs()).To(BeEquivalentTo(3000))
		})
	})

	It("is merged from the control process of the same host", func() {
		withTestClient(func(client *ControlClient, backoffs *backoff.Tracker, clock *timer.Manual) {
			reply := confirmedReply(3)
			reply.Resting = []*rpc.Resting{{Endpoint: "e1", LeftMs: 1500}}
			client.applyReply("c", reply, clock.Now())
			Expect(backoffs.Remaining("e1")).To(Equal(1500 * time.Millisecond))
		})
	})
})

var _ gateway.Source = (*ControlClient)(nil)
