package admission

import (
	"fmt"
	"math"
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

// reaches reports whether a step is the one at a time in seconds.
func (m *model) reaches(at float64) bool {
	return m.now.Milliseconds() == int64(math.Round(1000*at))
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
		{"no leader for 5 s", func(m *model, _ float64) {
			if m.reaches(faultFrom) {
				m.noLeader = true
			}
			if m.reaches(faultTo) {
				m.newLeader()
			}
		}},
		{"allocations that are 2 s old for 5 s", func(m *model, s float64) {
			m.oldest = 0
			if s >= faultFrom && s < faultTo {
				m.oldest = 2 * time.Second
			}
		}},
		{"hosts that join and leave", func(m *model, s float64) {
			// About one of 50 hosts each half second.
			interval := 500 * time.Millisecond
			if m.scenario.hosts < 50 {
				interval = 2 * time.Second
			}
			if m.now%interval != 0 || s < loadFrom || s >= loadTo {
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
				ginkgo.It("serves the most urgent rank on time but for 0.1, and never refuses everyone: "+about, func() {
					Expect(m.onTime(0, loadFrom, loadTo)).To(BeNumerically(">=", 0.98-faultSlack))
					expectSomeAdmitted(m)
				})
				ginkgo.It("does as much work on time but for 0.1: "+about, func() {
					Expect(m.goodput(loadFrom, loadTo)).To(BeNumerically(">=", (0.9-faultSlack)*usual.goodput(loadFrom, loadTo)))
				})
				ginkgo.It("gives each client account its fair share but for 0.1: "+about, func() {
					expectFair(m, settled, loadTo, 1/1.25-faultSlack, 1.25+faultSlack)
				})
			}
		}

		about := fmt.Sprintf(": %d hosts", hosts)
		s := overload(hosts, 2)
		s.each = func(m *model, _ float64) {
			if m.reaches(faultFrom) {
				m.loseEndpoints(lostPart)
			}
			if m.reaches(faultFrom + modelSilent.Seconds()) {
				m.known = m.working
			}
		}
		m := prepare("a third of the endpoints lost"+about, s)
		ginkgo.It("serves the most urgent rank on time 1.5 s after a third of the endpoints stop responding"+about, func() {
			Expect(m.onTime(0, recovered, loadTo)).To(BeNumerically(">=", 0.98))
			expectOrder(m, recovered, loadTo)
			expectRetries(m, recovered, loadTo)
			expectSomeAdmitted(m)
		})
		ginkgo.It("does as much work on time as the others can 1.5 s after a third of the endpoints stop responding"+about, func() {
			Expect(m.goodput(recovered, loadTo)).To(BeNumerically(">=", 0.9*(1-lostPart)*usual.goodput(recovered, loadTo)))
		})
		ginkgo.It("gives each client account its fair share 1.5 s after a third of the endpoints stop responding"+about, func() {
			expectFair(m, recovered, loadTo, 1/1.25, 1.25)
		})

		if hosts > 100 { // fewer accounts need no table
			s := overload(hosts, 3)
			s.each = func(m *model, _ float64) {
				for i, h := range m.hosts {
					h.noTables = i%2 == 0
				}
			}
			upgrading := prepare("half of the hosts on a release without tables"+about, s)
			ginkgo.It("keeps the order of ranks and the work done on time while half of the hosts run a release without tables"+about, func() {
				Expect(upgrading.onTime(0, loadFrom, loadTo)).To(BeNumerically(">=", 0.98))
				expectOrder(upgrading, loadFrom, loadTo)
				Expect(upgrading.goodput(loadFrom, loadTo)).To(BeNumerically(">=", 0.9*usual.goodput(loadFrom, loadTo)))
				expectSomeAdmitted(upgrading)
			})
		}

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
