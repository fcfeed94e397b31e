package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// withDetector runs f on an empty detector with a manual clock.
func withDetector(f func(d *Detector, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(NewDetector(clock), clock)
}

func never(Fingerprint) bool { return false }

func earlyCrash(f Fingerprint, endpoint uint32, after time.Duration) Crash {
	return Crash{Fingerprint: f, Endpoint: endpoint, BeforeResponse: true, After: after}
}

func fingerprintsOf(list []Finding) []Fingerprint {
	out := []Fingerprint{}
	for _, finding := range list {
		out = append(out, finding.Fingerprint)
	}
	return out
}

var _ = Describe("requests that crash endpoints", func() {
	It("are detected after three crashes before the response or five later ones, each of another incarnation", func() {
		cases := []struct {
			name      string
			endpoints []uint32
			early     bool
			found     bool
		}{
			{"two early", []uint32{1, 2}, true, false},
			{"three early", []uint32{1, 2, 3}, true, true},
			{"one endpoint, reported by three hosts", []uint32{1, 1, 1}, true, false},
			{"four late", []uint32{1, 2, 3, 4}, false, false},
			{"five late", []uint32{1, 2, 3, 4, 5}, false, true},
		}
		for _, c := range cases {
			withDetector(func(d *Detector, _ *timer.Manual) {
				for _, id := range c.endpoints {
					d.Add(Crash{Fingerprint: 7, Endpoint: id, BeforeResponse: c.early, After: time.Second}, false)
				}
				Expect(len(d.Detect(never)) == 1).To(Equal(c.found), c.name)
			})
		}
	})

	It("don't include those that happened to be on the endpoints that another crashed", func() {
		withDetector(func(d *Detector, _ *timer.Manual) {
			for id := uint32(1); id <= 3; id++ {
				for f := Fingerprint(100); f < 130; f++ {
					d.Add(earlyCrash(f, id, time.Duration(f)*10*time.Millisecond), false)
				}
				d.Add(earlyCrash(7, id, 150*time.Millisecond), false)
			}
			Expect(fingerprintsOf(d.Detect(never))).To(Equal([]Fingerprint{7}))
			d.Add(earlyCrash(100, 3, time.Second), false) // a host reports late
			Expect(d.Detect(never)).To(BeEmpty())
			Expect(d.Watched()).To(BeEmpty())
		})
	})

	It("are both detected if two of them crash endpoints at the same time", func() {
		withDetector(func(d *Detector, _ *timer.Manual) {
			for id := uint32(1); id <= 6; id++ {
				d.Add(earlyCrash(Fingerprint(7+id%2), id, 100*time.Millisecond), false)
				d.Add(earlyCrash(50, id, 700*time.Millisecond), false)
				d.Add(earlyCrash(51, id, 600*time.Millisecond), false)
			}
			// Requests 50 and 51 were on all six endpoints, more than a caller's attempts can
			// reach, so that all crashes may be attributed to one of them.
			Expect(len(d.Detect(never))).To(BeNumerically(">=", 1))
		})
		withDetector(func(d *Detector, _ *timer.Manual) {
			for id := uint32(1); id <= 6; id++ {
				d.Add(earlyCrash(Fingerprint(7+id%2), id, 100*time.Millisecond), false)
			}
			for id := uint32(1); id <= 3; id++ { // crashes of both
				d.Add(earlyCrash(50, id, 700*time.Millisecond), false)
			}
			Expect(fingerprintsOf(d.Detect(never))).To(ConsistOf(Fingerprint(7), Fingerprint(8)))
		})
	})

	It("are detected among many requests that are retried: seeded", func() {
		// Each request is sent at most four times, as retries allow; the one that crashes
		// endpoints is sent until it is detected. Every endpoint has thirty at a time.
		for seed := range uint64(50) {
			withDetector(func(d *Detector, _ *timer.Manual) {
				r := rand.New(rand.NewPCG(seed, 1))
				sends := map[Fingerprint]int{}
				found := []Fingerprint{}
				for id := uint32(1); id <= 12 && len(found) == 0; id++ {
					for range 30 {
						f := Fingerprint(100 + r.IntN(60)) // half of them were on the previous endpoint too
						if sends[f]++; sends[f] <= 4 {
							d.Add(Crash{Fingerprint: f, Endpoint: id, BeforeResponse: r.IntN(3) == 0, After: time.Duration(r.IntN(2000)) * time.Millisecond}, false)
						}
					}
					d.Add(earlyCrash(7, id, time.Duration(50+r.IntN(350))*time.Millisecond), false)
					found = fingerprintsOf(d.Detect(never))
				}
				Expect(found).To(ContainElement(Fingerprint(7)), "seed %d", seed)
				Expect(len(found)).To(BeNumerically("<=", 2), "seed %d", seed)
			})
		}
	})

	It("are dropped when served, and after a time", func() {
		withDetector(func(d *Detector, clock *timer.Manual) {
			d.Add(earlyCrash(7, 1, time.Second), false)
			d.Add(earlyCrash(7, 2, time.Second), false)
			Expect(d.Watched()).To(Equal([]Fingerprint{7}))
			d.Clear(7)
			d.Add(earlyCrash(7, 3, time.Second), false)
			Expect(d.Detect(never)).To(BeEmpty())
			d.Add(earlyCrash(7, 4, time.Second), false)
			clock.Advance(crashRetention + time.Second)
			Expect(d.Detect(never)).To(BeEmpty())
			Expect(d.Watched()).To(BeEmpty())
		})
	})

	It("are detected by one crash before the response if they were detected before", func() {
		withDetector(func(d *Detector, _ *timer.Manual) {
			d.Add(earlyCrash(7, 1, time.Second), false)
			d.Add(earlyCrash(8, 1, time.Second), false)
			Expect(fingerprintsOf(d.Detect(func(f Fingerprint) bool { return f == 7 }))).To(Equal([]Fingerprint{7}))
		})
	})

	It("are bounded in number", func() {
		withDetector(func(d *Detector, clock *timer.Manual) {
			for f := range Fingerprint(maxSuspects + 10) {
				d.Add(earlyCrash(f, uint32(f), time.Second), false)
				clock.Advance(time.Millisecond)
			}
			Expect(d.suspects).To(HaveLen(maxSuspects))
			Expect(d.suspects).NotTo(HaveKey(Fingerprint(0)))
			Expect(d.suspects).To(HaveKey(Fingerprint(maxSuspects + 9)))
		})
	})
})

var _ = Describe("an entry host's enforcer", func() {
	It("reports every crash to each leader once", func() {
		e := NewEnforcer(timer.NewManual(time.Unix(1000, 0)))
		c := earlyCrash(7, 1, time.Second)
		e.RecordCrash(c)
		crashes, _ := e.Unreported(1)
		Expect(crashes).To(Equal([]Crash{c}))
		e.Acknowledge(1, crashes, 0)
		crashes, _ = e.Unreported(1)
		Expect(crashes).To(BeEmpty())
		crashes, _ = e.Unreported(2)
		Expect(crashes).To(Equal([]Crash{c}))
	})

	It("quarantines a request as long as the decision says, and one that it detected itself for LocalDuration", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		e := NewEnforcer(clock)
		Expect(e.Idle()).To(BeTrue())
		e.SetDecisions([]Decision{{Fingerprint: 7, Duration: time.Minute}, {Fingerprint: 8}}, 5)
		Expect(e.Remaining(7)).To(Equal(time.Minute))
		Expect(e.Remaining(8)).To(BeZero())
		Expect(e.Digest()).To(Equal(uint64(5)))
		clock.Advance(2 * time.Minute)
		Expect(e.Remaining(7)).To(BeZero())
		for id := uint32(1); id <= 3; id++ {
			e.RecordCrash(earlyCrash(9, id, time.Second))
		}
		Expect(e.Remaining(9)).To(Equal(LocalDuration))
		e.SetDecisions(nil, 0)
		Expect(e.Remaining(9)).To(Equal(LocalDuration))
		clock.Advance(LocalDuration)
		Expect(e.Remaining(9)).To(BeZero())
	})

	It("reports watched requests that were served, and no others", func() {
		e := NewEnforcer(timer.NewManual(time.Unix(1000, 0)))
		e.SetDecisions([]Decision{{Fingerprint: 8}}, 5)
		e.RecordServed(8)
		e.RecordServed(9)
		_, served := e.Unreported(1)
		Expect(served).To(Equal([]Fingerprint{8}))
		e.Acknowledge(1, nil, len(served))
		_, served = e.Unreported(1)
		Expect(served).To(BeEmpty())
	})
})
