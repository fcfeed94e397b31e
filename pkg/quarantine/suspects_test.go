package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// withSuspects runs f on an empty set and a manual clock.
func withSuspects(f func(s *Detector, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(NewDetector(clock), clock)
}

func never(Fingerprint) bool { return false }

func early(f Fingerprint, endpoint uint32, after time.Duration) Crash {
	return Crash{Fingerprint: f, Endpoint: endpoint, BeforeResponse: true, After: after}
}

func names(list []Finding) []Fingerprint {
	out := []Fingerprint{}
	for _, one := range list {
		out = append(out, one.Fingerprint)
	}
	return out
}

var _ = Describe("suspects", func() {
	It("are found after three early ends or five later ones, each of another incarnation", func() {
		cases := []struct {
			name      string
			endpoints []uint32
			early     bool
			found     bool
		}{
			{"two early", []uint32{1, 2}, true, false},
			{"three early", []uint32{1, 2, 3}, true, true},
			{"one endpoint, told by three hosts", []uint32{1, 1, 1}, true, false},
			{"four late", []uint32{1, 2, 3, 4}, false, false},
			{"five late", []uint32{1, 2, 3, 4, 5}, false, true},
		}
		for _, c := range cases {
			withSuspects(func(s *Detector, _ *timer.Manual) {
				for _, id := range c.endpoints {
					s.Add(Crash{Fingerprint: 7, Endpoint: id, BeforeResponse: c.early, After: time.Second}, false)
				}
				Expect(len(s.Detect(never)) == 1).To(Equal(c.found), c.name)
			})
		}
	})

	It("don't include requests that happened to be where another ended endpoints", func() {
		withSuspects(func(s *Detector, _ *timer.Manual) {
			for id := uint32(1); id <= 3; id++ {
				for f := Fingerprint(100); f < 130; f++ {
					s.Add(early(f, id, time.Duration(f)*10*time.Millisecond), false)
				}
				s.Add(early(7, id, 150*time.Millisecond), false)
			}
			Expect(names(s.Detect(never))).To(Equal([]Fingerprint{7}))
			s.Add(early(100, 3, time.Second), false) // a host tells late
			Expect(s.Detect(never)).To(BeEmpty())
			Expect(s.Watched()).To(BeEmpty())
		})
	})

	It("are both found where two end endpoints at the same time", func() {
		withSuspects(func(s *Detector, _ *timer.Manual) {
			for id := uint32(1); id <= 6; id++ {
				s.Add(early(Fingerprint(7+id%2), id, 100*time.Millisecond), false)
				s.Add(early(50, id, 700*time.Millisecond), false)
				s.Add(early(51, id, 600*time.Millisecond), false)
			}
			// 50 and 51 were under all six, as no caller's tries can be; the rest is theirs.
			Expect(len(s.Detect(never))).To(BeNumerically(">=", 1))
		})
		withSuspects(func(s *Detector, _ *timer.Manual) {
			for id := uint32(1); id <= 6; id++ {
				s.Add(early(Fingerprint(7+id%2), id, 100*time.Millisecond), false)
			}
			for id := uint32(1); id <= 3; id++ { // at ends of both
				s.Add(early(50, id, 700*time.Millisecond), false)
			}
			Expect(names(s.Detect(never))).To(ConsistOf(Fingerprint(7), Fingerprint(8)))
		})
	})

	It("are found in a crowd of callers that return: seeded", func() {
		// Each request has at most four sends, as an attempt and a return allow; the
		// guilty one is sent until it is found. Every endpoint has thirty at a time.
		for seed := range uint64(50) {
			withSuspects(func(s *Detector, _ *timer.Manual) {
				r := rand.New(rand.NewPCG(seed, 1))
				sends := map[Fingerprint]int{}
				found := []Fingerprint{}
				for id := uint32(1); id <= 12 && len(found) == 0; id++ {
					for range 30 {
						f := Fingerprint(100 + r.IntN(60)) // half of those there were there before
						if sends[f]++; sends[f] <= 4 {
							s.Add(Crash{Fingerprint: f, Endpoint: id, BeforeResponse: r.IntN(3) == 0, After: time.Duration(r.IntN(2000)) * time.Millisecond}, false)
						}
					}
					s.Add(early(7, id, time.Duration(50+r.IntN(350))*time.Millisecond), false)
					found = names(s.Detect(never))
				}
				Expect(found).To(ContainElement(Fingerprint(7)), "seed %d", seed)
				Expect(len(found)).To(BeNumerically("<=", 2), "seed %d", seed)
			})
		}
	})

	It("are cleared by being served, and by time", func() {
		withSuspects(func(s *Detector, clock *timer.Manual) {
			s.Add(early(7, 1, time.Second), false)
			s.Add(early(7, 2, time.Second), false)
			Expect(s.Watched()).To(Equal([]Fingerprint{7}))
			s.Clear(7)
			s.Add(early(7, 3, time.Second), false)
			Expect(s.Detect(never)).To(BeEmpty())
			s.Add(early(7, 4, time.Second), false)
			clock.Advance(endsKept + time.Second)
			Expect(s.Detect(never)).To(BeEmpty())
			Expect(s.Watched()).To(BeEmpty())
		})
	})

	It("are found by one early end if they were found before", func() {
		withSuspects(func(s *Detector, _ *timer.Manual) {
			s.Add(early(7, 1, time.Second), false)
			s.Add(early(8, 1, time.Second), false)
			Expect(names(s.Detect(func(f Fingerprint) bool { return f == 7 }))).To(Equal([]Fingerprint{7}))
		})
	})

	It("are bounded", func() {
		withSuspects(func(s *Detector, clock *timer.Manual) {
			for f := range Fingerprint(maxSuspects + 10) {
				s.Add(early(f, uint32(f), time.Second), false)
				clock.Advance(time.Millisecond)
			}
			Expect(s.rows).To(HaveLen(maxSuspects))
			Expect(s.rows).NotTo(HaveKey(Fingerprint(0)))
			Expect(s.rows).To(HaveKey(Fingerprint(maxSuspects + 9)))
		})
	})
})

var _ = Describe("an entry host's part", func() {
	It("tells each leader of every end once", func() {
		h := NewEnforcer(timer.NewManual(time.Unix(1000, 0)))
		e := early(7, 1, time.Second)
		h.RecordCrash(e)
		ends, _ := h.Unreported(1)
		Expect(ends).To(Equal([]Crash{e}))
		h.Acknowledge(1, ends, 0)
		ends, _ = h.Unreported(1)
		Expect(ends).To(BeEmpty())
		ends, _ = h.Unreported(2)
		Expect(ends).To(Equal([]Crash{e}))
	})

	It("holds what it is told for as long, and what it found alone for a while", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		h := NewEnforcer(clock)
		Expect(h.Idle()).To(BeTrue())
		h.SetDecisions([]Decision{{Fingerprint: 7, HoldTime: time.Minute}, {Fingerprint: 8}}, 5)
		Expect(h.HoldRemaining(7)).To(Equal(time.Minute))
		Expect(h.HoldRemaining(8)).To(BeZero())
		Expect(h.Digest()).To(Equal(uint64(5)))
		clock.Advance(2 * time.Minute)
		Expect(h.HoldRemaining(7)).To(BeZero())
		for id := uint32(1); id <= 3; id++ {
			h.RecordCrash(early(9, id, time.Second))
		}
		Expect(h.HoldRemaining(9)).To(Equal(LocalHold))
		h.SetDecisions(nil, 0)
		Expect(h.HoldRemaining(9)).To(Equal(LocalHold))
		clock.Advance(LocalHold)
		Expect(h.HoldRemaining(9)).To(BeZero())
	})

	It("tells of watched requests that were served, and of no others", func() {
		h := NewEnforcer(timer.NewManual(time.Unix(1000, 0)))
		h.SetDecisions([]Decision{{Fingerprint: 8}}, 5)
		h.RecordServed(8)
		h.RecordServed(9)
		_, served := h.Unreported(1)
		Expect(served).To(Equal([]Fingerprint{8}))
		h.Acknowledge(1, nil, len(served))
		_, served = h.Unreported(1)
		Expect(served).To(BeEmpty())
	})
})
