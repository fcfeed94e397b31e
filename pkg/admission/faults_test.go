package admission

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// Faults last from faultFrom to faultTo, while the load is above the capacity.
	faultFrom = 32.0
	faultTo   = 37.0
	// faultSlack is by how much the figures may be lower during a fault.
	faultSlack = 0.1
	// lostPart is the part of the endpoints that is lost at faultFrom, and recovered is when all
	// requirements hold again.
	lostPart  = 1.0 / 3
	recovered = faultFrom + 1.5
)

// reaches reports whether a step is the first one at or after a time.
func (m *model) reaches(s, at float64) bool {
	return s >= at && s-modelStep.Seconds() < at
}

// expectSomeAdmitted checks that in no half second everyone is refused.
func expectSomeAdmitted(m *model) {
	for at := loadFrom; at < loadTo; at += 0.5 {
		asked, admitted := 0, 0
		for _, r := range m.requests {
			if s := r.at.Seconds(); s >= at && s < at+0.5 {
				asked++
				if r.admitted {
					admitted++
				}
			}
		}
		ExpectWithOffset(1, asked).To(BeNumerically(">", 0))
		ExpectWithOffset(1, admitted).To(BeNumerically(">", 0), fmt.Sprintf("from %v s on", at))
	}
}

var _ = ginkgo.Describe("a service under overload, with a fault", func() {
	faults := []struct {
		name string
		each func(m *model, s float64)
	}{
		{"no leader for 5 s", func(m *model, s float64) {
			if m.reaches(s, faultFrom) {
				m.noLeader = true
			}
			if m.reaches(s, faultTo) {
				m.newLeader()
			}
		}},
		{"allocations that are 2 s old", func(m *model, _ float64) {
			m.oldest = 2 * time.Second
		}},
		{"hosts that join and leave", func(m *model, s float64) {
			if m.now%(500*time.Millisecond) != 0 || s < loadFrom || s >= loadTo {
				return
			}
			for range max(1, m.scenario.hosts/50) {
				m.leave(m.anyHost())
				m.join()
			}
		}},
		{"a third of the hosts cut off from the leader for 5 s", func(m *model, s float64) {
			for i, h := range m.hosts {
				h.cutOff = i%3 == 0 && s >= faultFrom && s < faultTo
			}
		}},
	}
	for _, hosts := range modelHosts {
		usual := prepareOverload(hosts, 1)
		for _, load := range []float64{2, 3} {
			for _, f := range faults {
				about := fmt.Sprintf("%s: %d hosts, %v times the capacity", f.name, hosts, load)
				s := overload(hosts, load)
				s.each = f.each
				m := prepare(about, s)
				ginkgo.It("has figures that are lower by at most 0.1, and admits some requests: "+about, func() {
					Expect(m.onTime(0, loadFrom, loadTo)).To(BeNumerically(">=", 0.98-faultSlack))
					Expect(m.goodput(loadFrom, loadTo)).To(BeNumerically(">=", (0.9-faultSlack)*usual.goodput(loadFrom, loadTo)))
					expectFair(m, settled, loadTo, 1/1.25-faultSlack, 1.25+faultSlack)
					expectSomeAdmitted(m)
				})
			}
		}

		about := fmt.Sprintf(": %d hosts", hosts)
		s := overload(hosts, 2)
		s.each = func(m *model, s float64) {
			if m.reaches(s, faultFrom) {
				m.loseEndpoints(lostPart)
			}
			if m.reaches(s, faultFrom+modelSilent.Seconds()) {
				m.known = m.working
			}
		}
		m := prepare("a third of the endpoints lost"+about, s)
		ginkgo.It("meets all requirements 1.5 s after a third of the endpoints stop responding"+about, func() {
			Expect(m.onTime(0, recovered, loadTo)).To(BeNumerically(">=", 0.98))
			expectOrder(m, recovered, loadTo)
			Expect(m.goodput(recovered, loadTo)).To(BeNumerically(">=", 0.9*(1-lostPart)*usual.goodput(recovered, loadTo)))
			expectFair(m, recovered, loadTo, 1/1.25, 1.25)
			expectRetries(m, recovered, loadTo)
			expectSomeAdmitted(m)
		})

		off := overload(hosts, 3)
		off.off = true
		without := prepare("without admission control"+about, off)
		ginkgo.It("fails the requirements without admission control"+about, func() {
			// Shows that the model can fail: engines take requests until their memory is full.
			Expect(without.onTime(0, loadFrom, loadTo)).To(BeNumerically("<", 0.6))
			Expect(without.goodput(loadFrom, loadTo)).To(BeNumerically("<", 0.8*usual.goodput(loadFrom, loadTo)))
			retried, again := 0, 0
			for _, r := range without.requests {
				if r.retried {
					retried++
				}
				if r.refusedAgain {
					again++
				}
			}
			Expect(again).To(BeNumerically(">", retried/4))
		})
	}
})
