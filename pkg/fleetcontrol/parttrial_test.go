package fleetcontrol

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/quarantine"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// These guard against a wrong verdict on a part that nearly all requests share, which lets nothing
// through that could survive.
var _ = Describe("a quarantined part", func() {
	survival := func(ago time.Duration) *rpc.SyncRequest {
		return &rpc.SyncRequest{Survivals: []*rpc.PartSurvival{{Part: crashPart, AnsweredMsAgo: uint32(ago.Milliseconds())}}}
	}
	wanted := func() *rpc.SyncRequest { return &rpc.SyncRequest{WantedParts: []uint64{crashPart}} }
	crashed := []string{"a@1", "b@1", "c@1"}

	It("is tried once requests survive that were sent before the last crash, and released when the tried one survives", func() {
		withEvidence(func(b *evidenceFixture) {
			b.crash(ofPart, crashed...)
			b.pass(200 * time.Millisecond)
			Expect(b.held()).To(ContainElement(uint64(crashPart)))
			Expect(b.sync(survival(10*time.Second)).GetGrantedParts()).To(BeEmpty(), "what the host knew before")
			Expect(b.coordinator.trials).To(BeEmpty())
			b.pass(time.Second)
			Expect(b.sync(&rpc.SyncRequest{}).GetGrantedParts()).To(BeEmpty())
			Expect(b.sync(survival(10 * time.Second)).GetGrantedParts()).To(Equal([]uint64{crashPart}))
			Expect(b.held()).To(ContainElement(uint64(crashPart)), "they may have been sent before it became deadly")
			Expect(b.sync(survival(10*time.Second)).GetGrantedParts()).To(BeEmpty(), "one at a time")
			b.pass(time.Second)
			b.sync(survival(600 * time.Millisecond))
			b.pass(200 * time.Millisecond)
			Expect(b.held()).NotTo(ContainElement(uint64(crashPart)))
		})
	})

	It("is tried for a host that refuses nearly all requests, but not at once", func() {
		withEvidence(func(b *evidenceFixture) {
			b.crash(ofPart, crashed...)
			b.pass(200 * time.Millisecond)
			Expect(b.sync(wanted()).GetGrantedParts()).To(BeEmpty())
			b.pass(time.Second)
			Expect(b.sync(wanted()).GetGrantedParts()).To(Equal([]uint64{crashPart}))
			b.pass(grantInterval - time.Second)
			Expect(b.sync(wanted()).GetGrantedParts()).To(BeEmpty())
			b.pass(time.Second)
			Expect(b.sync(wanted()).GetGrantedParts()).To(Equal([]uint64{crashPart}), "nothing became known")
		})
	})

	It("isn't tried again before or after its quarantine expires if it crashed its endpoint, and is quarantined for longer", func() {
		withEvidence(func(b *evidenceFixture) {
			b.crash(ofPart, crashed...)
			b.pass(1200 * time.Millisecond)
			Expect(b.sync(wanted()).GetGrantedParts()).To(Equal([]uint64{crashPart}))
			b.pass(200 * time.Millisecond)
			b.crash(ofPart, "d@1")
			b.pass(10 * time.Second)
			Expect(b.sync(wanted()).GetGrantedParts()).To(BeEmpty())
			b.pass(25 * time.Second)
			Expect(b.sync(wanted()).GetGrantedParts()).To(BeEmpty())
			for _, q := range b.leadership.(*fixedLeadership).machine.Quarantine() {
				if q.Fingerprint == crashPart {
					Expect(time.Duration(q.UntilMS-q.SinceMS) * time.Millisecond).To(Equal(5 * time.Minute))
					Expect(q.Times).To(Equal(2))
				}
			}
			Expect(b.coordinator.trials).To(BeEmpty())
			b.pass(5 * time.Second)
			Expect(b.sync(survival(time.Minute)).GetGrantedParts()).To(BeEmpty(), "it has crashed the endpoint of a trial")
		})
	})

	It("may still be tried if the crash that is reported came before the trial", func() {
		withEvidence(func(b *evidenceFixture) {
			b.crash(ofPart, crashed...)
			b.pass(1200 * time.Millisecond)
			b.sync(wanted())
			late := partCrash(99)
			late.MsAgo = 1000
			b.sync(&rpc.SyncRequest{Crashes: []*rpc.EndpointCrash{late}})
			Expect(b.coordinator.trials[quarantine.Fingerprint(crashPart)].failed).To(BeFalse())
		})
	})
})
