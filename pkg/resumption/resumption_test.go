package resumption

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResumption(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "resumption")
}

// withSpreader runs f with a spreader and its manual clock.
func withSpreader(f func(s *Spreader, clock *timer.Manual)) {
	clock := timer.NewManual(time.Unix(1000, 0))
	f(New(clock, rand.New(rand.NewPCG(1, 1))), clock)
}

var _ = Describe("resumed streams", func() {
	// held resumes n streams and returns how many of them are held.
	held := func(s *Spreader, clock *timer.Manual, n int) int {
		count := 0
		for range n {
			if d := s.ResumeDelay(clock.Now()); d > 0 {
				Expect(d).To(BeNumerically("<=", spreadTime))
				count++
			}
		}
		return count
	}

	It("are held if they arrive all at once", func() {
		withSpreader(func(s *Spreader, clock *timer.Manual) {
			Expect(held(s, clock, 8)).To(Equal(7), "the first one isn't a burst yet")
		})
	})

	It("aren't held if they arrive one by one, or are fewer than the new streams", func() {
		withSpreader(func(s *Spreader, clock *timer.Manual) {
			for range 10 {
				Expect(held(s, clock, 1)).To(BeZero())
				clock.Advance(2 * time.Second)
			}
			for range 20 {
				s.NoteNew()
			}
			Expect(held(s, clock, 8)).To(BeZero())
		})
	})

	// Guards against a source of randomness that a test can't seed: the simulation of a stop of
	// all hosts then differed from run to run and missed its bound now and then.
	It("are held for the same times again by the same random source", func() {
		delays := func(seed uint64) []time.Duration {
			clock := timer.NewManual(time.Unix(1000, 0))
			s := New(clock, rand.New(rand.NewPCG(seed, seed)))
			var list []time.Duration
			for range 8 {
				list = append(list, s.ResumeDelay(clock.Now()))
			}
			return list
		}
		Expect(delays(7)).To(Equal(delays(7)))
		Expect(delays(7)).NotTo(Equal(delays(8)))
	})

	It("are held no longer than callers wait, counted from their arrival", func() {
		withSpreader(func(s *Spreader, clock *timer.Manual) {
			held(s, clock, 8)
			received := clock.Now()
			clock.Advance(maxHold - 100*time.Millisecond)
			held(s, clock, 8)
			for range 50 {
				Expect(s.ResumeDelay(received)).To(BeNumerically("<=", 100*time.Millisecond))
			}
			clock.Advance(time.Second)
			Expect(s.ResumeDelay(received)).To(BeZero())
		})
	})
})
