package quarantine

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// These guard against sound requests that are refused because of endpoints which were thought to have
// crashed, and live.
var _ = Describe("a crash of an incarnation that is heard from later", func() {
	It("is taken back from requests and parts, with a margin, and only if it was recorded before", func() {
		withParts(func(b *partsFixture) {
			for id := uint32(1); id <= 2; id++ {
				b.Add(earlyCrash(7, id, 0), false)
				b.crash([]Fingerprint{guilty})
			}
			at := b.clock.Now()
			for _, heard := range []time.Time{at.Add(-time.Second), at, at.Add(aliveMargin - 1)} {
				Expect(b.Retract(1, heard)).To(BeEmpty())
				Expect(b.Watched()).To(HaveLen(1))
			}
			b.clock.Advance(time.Second)
			version := b.EvidenceVersion()
			Expect(b.Retract(1, b.clock.Now())).To(BeEmpty())
			Expect(b.EvidenceVersion()).To(BeNumerically(">", version), "so that the log gets it")
			evidence, _ := b.Evidence()
			Expect(evidence.Requests).To(BeEmpty())
			Expect(evidence.Parts).To(HaveLen(1))
			Expect(evidence.Parts[0].Crashes).To(HaveLen(1))
			b.Add(earlyCrash(7, 3, 0), false)
			b.crash([]Fingerprint{guilty})
			Expect(b.Detect(never)).To(BeEmpty())
		})
	})

	It("ends a verdict on a part that doesn't stand without it, and what is left of the evidence counts again", func() {
		withParts(func(b *partsFixture) {
			for range 3 {
				b.crash([]Fingerprint{guilty})
				b.clock.Advance(100 * time.Millisecond)
			}
			Expect(b.found()).To(Equal([]Fingerprint{guilty}))
			b.clock.Advance(time.Second)
			fallen := b.Retract(2, b.clock.Now())
			Expect(fingerprintsOf(fallen)).To(Equal([]Fingerprint{guilty}))
			Expect(fallen[0].Part).To(BeTrue())
			Expect(b.Retract(1, b.clock.Now())).To(BeEmpty(), "it fell already")
			Expect(b.found()).To(BeEmpty())
			for range 2 {
				b.crash([]Fingerprint{guilty})
				b.clock.Advance(100 * time.Millisecond)
			}
			Expect(b.found()).To(Equal([]Fingerprint{guilty}))
		})
	})

	It("doesn't end a verdict that stands on others", func() {
		withParts(func(b *partsFixture) {
			for range 4 {
				b.crash([]Fingerprint{guilty})
			}
			Expect(b.found()).To(Equal([]Fingerprint{guilty}))
			b.clock.Advance(time.Second)
			Expect(b.Retract(2, b.clock.Now())).To(BeEmpty())
			Expect(fingerprintsOf(b.Retract(3, b.clock.Now()))).To(Equal([]Fingerprint{guilty}))
		})
	})

	It("doesn't end an earlier verdict if it was taken for another crash, on probation", func() {
		withParts(func(b *partsFixture) {
			for range 3 {
				b.crash([]Fingerprint{guilty})
			}
			Expect(b.found()).To(Equal([]Fingerprint{guilty}))
			b.state[guilty] = PartProbation
			b.clock.Advance(time.Minute)
			b.crash([]Fingerprint{guilty})
			Expect(fingerprintsOf(b.Detect(func(f Fingerprint) bool { return f == guilty }))).To(Equal([]Fingerprint{guilty}))
			b.clock.Advance(time.Second)
			Expect(b.Retract(b.endpoint, b.clock.Now())).To(BeEmpty())
		})
	})

	It("ends a verdict on a request", func() {
		withDetector(func(d *Detector, clock *timer.Manual) {
			for id := uint32(1); id <= 3; id++ {
				d.Add(earlyCrash(7, id, 0), false)
			}
			Expect(d.Detect(never)).To(HaveLen(1))
			d.Add(earlyCrash(7, 9, 0), true)
			clock.Advance(time.Second)
			Expect(d.Retract(9, clock.Now())).To(BeEmpty(), "it stands on others")
			fallen := d.Retract(3, clock.Now())
			Expect(fingerprintsOf(fallen)).To(Equal([]Fingerprint{7}))
			Expect(fallen[0].Part).To(BeFalse())
			d.Add(earlyCrash(7, 4, 0), false)
			Expect(d.Detect(never)).To(HaveLen(1))
		})
	})

	It("doesn't delay the survival that releases a part", func() {
		withParts(func(b *partsFixture) {
			for range 4 {
				b.crash([]Fingerprint{guilty})
			}
			Expect(b.found()).To(Equal([]Fingerprint{guilty}))
			b.clock.Advance(time.Second)
			b.state[guilty] = PartQuarantined
			sent := b.clock.Now()
			b.clock.Advance(time.Second)
			b.crash([]Fingerprint{guilty})
			Expect(b.Survive(Survival{Part: guilty, AnsweredAt: sent}, time.Time{})).To(BeFalse())
			b.clock.Advance(time.Second)
			b.Retract(b.endpoint, b.clock.Now())
			Expect(b.Survive(Survival{Part: guilty, AnsweredAt: sent}, time.Time{})).To(BeTrue())
		})
	})

	It("is remembered of a bounded number of incarnations", func() {
		withDetector(func(d *Detector, clock *timer.Manual) {
			for id := range uint32(2 * maxIncarnations) {
				d.Add(earlyCrash(Fingerprint(id), id, 0), false)
				clock.Advance(time.Millisecond)
			}
			Expect(d.Crashed()).To(HaveLen(maxIncarnations))
			Expect(d.Crashed()).To(HaveKey(uint32(2*maxIncarnations - 1)))
			clock.Advance(retractable + time.Second)
			Expect(d.Crashed()).To(BeEmpty())
		})
	})

	It("is taken back at an entry host, with its own quarantines of requests and parts", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		e := NewEnforcer(clock) // without a leader
		for id := range uint32(ownPartCrashes) {
			e.crashOnce(id, Fingerprint(100+id), guilty)
			if id < 3 {
				e.RecordCrash(earlyCrash(7, id, 0))
			}
			clock.Advance(600 * time.Millisecond)
		}
		Expect(e.Remaining(7)).To(BeNumerically(">", 0))
		Expect(e.Remaining(guilty)).To(BeNumerically(">", 0))
		clock.Advance(time.Second)
		Expect(e.Retract(0, clock.Now())).To(Equal([]Fingerprint{7, guilty}))
		Expect(e.Remaining(7)).To(BeZero())
		Expect(e.Remaining(guilty)).To(BeZero())
		requests, _ := e.Unreported(1)
		Expect(requests).To(HaveLen(2))
		Expect(e.UnreportedParts(1).Crashes).To(HaveLen(ownPartCrashes - 1))
		Expect(e.Retract(0, clock.Now())).To(BeEmpty())
	})
})
