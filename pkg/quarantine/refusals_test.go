package quarantine

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a host that refuses nearly all requests because of a quarantined part", func() {
	It("asks for a trial of it, and sends one request once that is granted", func() {
		for _, c := range []struct {
			name  string
			sound int // requests without the part, to one with it
			asks  bool
		}{{"all", 0, true}, {"half", 1, false}} {
			e, clock := enforce()
			e.SetDecisions([]Decision{{Fingerprint: shared, Duration: time.Minute, Part: true}}, 1)
			for range 10 {
				clock.Advance(50 * time.Millisecond)
				e.CheckParts([]Fingerprint{shared, 8})
				for range c.sound {
					e.CheckParts([]Fingerprint{9})
				}
			}
			Expect(len(e.UnreportedParts(1).Wanted) == 1).To(Equal(c.asks), c.name)
			e.Grant([]Fingerprint{shared})
			part, _, probe := e.CheckParts([]Fingerprint{shared, 8})
			Expect(part).To(BeZero())
			Expect(probe).To(BeTrue())
			part, _, _ = e.CheckParts([]Fingerprint{shared, 8})
			Expect(part).To(Equal(shared))
		}
	})

	It("doesn't send it with another part that is quarantined too", func() {
		e, _ := enforce()
		e.SetDecisions([]Decision{{Fingerprint: shared, Duration: time.Minute, Part: true}, {Fingerprint: guilty, Duration: time.Second, Part: true}}, 1)
		e.Grant([]Fingerprint{shared})
		part, left, probe := e.CheckParts([]Fingerprint{shared, guilty})
		Expect(part).To(Equal(guilty))
		Expect(left).To(Equal(time.Second))
		Expect(probe).To(BeFalse())
	})

	It("reports each survival with it, also one that was sent before those it has reported", func() {
		e, clock := enforce()
		e.SetDecisions([]Decision{{Fingerprint: shared, Duration: time.Minute, Part: true}}, 1)
		sent := clock.Now()
		clock.Advance(time.Second)
		e.RecordSurvival(Survival{Part: shared, AnsweredAt: clock.Now()})
		r := e.UnreportedParts(1)
		Expect(r.Survivals).To(HaveLen(1))
		e.AcknowledgeParts(1, r)
		Expect(e.UnreportedParts(1).Survivals).To(BeEmpty())
		e.RecordSurvival(Survival{Part: shared, AnsweredAt: sent})
		Expect(e.UnreportedParts(1).Survivals).To(HaveLen(1))
	})
})
