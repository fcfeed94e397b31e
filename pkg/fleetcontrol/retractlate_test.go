package fleetcontrol

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a heartbeat that an endpoint sent before it crashed", func() {
	// Guards against a deadly part that is released because a heartbeat from before a crash came late,
	// over a link where messages wait for more than half a second.
	It("doesn't take the crash back when it is received 0.6 s after it", func() {
		withEvidence(func(b *evidenceFixture) {
			b.crash(ofPart, "a@1", "b@1", "c@1")
			b.clock.Advance(600 * time.Millisecond)
			b.announce("c@1") // sent before the crash
			b.pass(time.Second)
			Expect(b.held()).To(Equal([]uint64{crashPart}))
		})
	})

	// Guards against one more deadly request for each change of the leader.
	It("isn't tried again by the next leader if the trial crashed its endpoint", func() {
		withLeaders(func(lead func(term uint64) *Server, clock *timer.Manual) {
			b := &evidenceFixture{Server: lead(3), clock: clock}
			b.crash(ofPart, "a@1", "b@1", "c@1")
			b.pass(1200 * time.Millisecond)
			wanted := wantedPart()
			Expect(b.sync(wanted).GetGrantedParts()).To(Equal([]uint64{crashPart}))
			b.pass(200 * time.Millisecond)
			b.crash(ofPart, "d@1")
			b.pass(time.Second)
			Expect(b.sync(wantedPart()).GetGrantedParts()).To(BeEmpty())
			next := &evidenceFixture{Server: lead(4), clock: clock, sequence: b.sequence}
			next.leadership = &fixedLeadership{term: 4, machine: b.leadership.(*fixedLeadership).machine}
			next.pass(2 * time.Second)
			Expect(next.held()).To(Equal([]uint64{crashPart}))
			Expect(next.sync(wantedPart()).GetGrantedParts()).To(BeEmpty())
		})
	})
})

func wantedPart() *rpc.SyncRequest {
	return &rpc.SyncRequest{WantedParts: []uint64{crashPart}}
}
