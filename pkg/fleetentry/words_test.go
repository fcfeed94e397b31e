package fleetentry

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/gateway"
	"github.com/larchwinch/larchwinch/pkg/permit"
	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rest"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	here  = "10.0.0.1:90" // a control process on the machine of newFollower
	there = "10.0.0.9:90"
)

// suspecting is fakeLoads of a host that suspects endpoints.
type suspecting struct {
	fakeLoads
	list []string
}

func (s *suspecting) Suspects() []string { return s.list }

// withFollower runs f on a follower that believes in an endpoint e1 of service s.
func withFollower(f func(f *ControlClient, rests *rest.Tracker, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	follower := newFollower(clock)
	rests := rest.New(clock)
	follower.SetSources(&suspecting{list: []string{"e1", "e2"}}, quarantine.NewEnforcer(clock), rests, permit.NewHolder(clock, 1))
	follower.take("c", confirmed(3), clock.Now())
	f(follower, rests, clock)
}

var _ = Describe("an endpoint's own word that it leaves", func() {
	It("takes it away at once, and stands whatever control hosts tell of that start", func() {
		withFollower(func(f *ControlClient, _ *rest.Tracker, clock *timer.Manual) {
			changed := f.Changed()
			f.MarkLeaving("e1")
			Expect(changed).To(BeClosed())
			Expect(f.Endpoints("s")).To(BeEmpty())
			Expect(f.EndpointLeaving("e1")).To(BeTrue())
			lists := []*rpc.Announcement{
				{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 3},
				{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 9},
			}
			for _, a := range lists {
				reply := confirmed(3)
				reply.PackedEndpoints = packed(a)
				f.take("c", reply, clock.Now())
				Expect(f.Endpoints("s")).To(BeEmpty())
			}
			reply := confirmed(3)
			reply.PackedEndpoints = packed()
			f.take("c", reply, clock.Now())
			f.take("c", confirmed(3), clock.Now())
			Expect(f.Endpoints("s")).To(BeEmpty(), "a leader that hadn't heard of it names it again")
		})
	})

	It("doesn't hold for another start of it", func() {
		withFollower(func(f *ControlClient, _ *rest.Tracker, clock *timer.Manual) {
			f.MarkLeaving(fleet.IncarnationID("e1", 100))
			reply := confirmed(3)
			reply.PackedEndpoints = packed(&rpc.Announcement{Id: fleet.IncarnationID("e1", 200), Service: "s", Address: "10.1.0.1:80", Sequence: 1})
			f.take("c", reply, clock.Now())
			Expect(f.Endpoints("s")).To(HaveLen(1))
		})
	})

	It("is told to the leader until that knows, and changes nothing of what the host names as held", func() {
		withFollower(func(f *ControlClient, _ *rest.Tracker, clock *timer.Manual) {
			before := f.request(there).GetEndpointsDigest()
			f.MarkLeaving("e1")
			for range 2 {
				q := f.request(there)
				Expect(q.GetLeaving()).To(Equal([]string{"e1"}))
				Expect(q.GetEndpointsDigest()).To(Equal(before), "or whole lists were sent again and again")
			}
			reply := confirmed(3)
			reply.PackedEndpoints = packed(&rpc.Announcement{Id: "e1", Service: "s", Address: "10.1.0.1:80", Sequence: 3, Leaving: true})
			f.take("c", reply, clock.Now())
			Expect(f.request(there).GetLeaving()).To(BeEmpty())
		})
	})

	It("is forgotten some time after the endpoint", func() {
		withFollower(func(f *ControlClient, _ *rest.Tracker, clock *timer.Manual) {
			for _, id := range []string{"gone-1", "gone-2", "e1"} {
				f.MarkLeaving(id)
			}
			clock.Advance(2 * goneKeep)
			f.take("c", confirmed(3), clock.Now())
			Expect(f.leaves).To(HaveLen(1))
		})
	})
})

var _ = Describe("an endpoint's rest", func() {
	It("is told to a control process of the same machine only, and makes no suspect", func() {
		withFollower(func(f *ControlClient, rests *rest.Tracker, _ *timer.Manual) {
			rests.Record("e1", 3*time.Second)
			q := f.request(there)
			Expect(q.GetResting()).To(BeEmpty())
			Expect(q.GetSuspects()).To(Equal([]string{"e2"}))
			q = f.request(here)
			Expect(q.GetResting()).To(HaveLen(1))
			Expect(q.GetResting()[0].GetEndpoint()).To(Equal("e1"))
			Expect(q.GetResting()[0].GetLeftMs()).To(BeEquivalentTo(3000))
		})
	})

	It("is taken from the control process of the same machine", func() {
		withFollower(func(f *ControlClient, rests *rest.Tracker, clock *timer.Manual) {
			reply := confirmed(3)
			reply.Resting = []*rpc.Resting{{Endpoint: "e1", LeftMs: 1500}}
			f.take("c", reply, clock.Now())
			Expect(rests.Remaining("e1")).To(Equal(1500 * time.Millisecond))
		})
	})
})

var _ gateway.Source = (*ControlClient)(nil)
