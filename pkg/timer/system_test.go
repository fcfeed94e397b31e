package timer

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func BenchmarkNow(b *testing.B) {
	s := NewSystem()
	for b.Loop() {
		s.Now()
	}
}

func BenchmarkSteadyNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}

var _ = Describe("the system's time", func() {
	It("goes on while the machine is suspended", func() {
		// The steady clock doesn't count these five seconds; the test's doesn't either.
		suspended := time.Duration(0)
		s := newSystem(func() time.Duration { return bootTime() + suspended })
		before := s.Now()
		suspended = 5 * time.Second
		Expect(s.Now().Sub(before)).To(BeNumerically("~", 5*time.Second, time.Second))
	})

	It("runs as fast as the steady clock, and doesn't go back", func() {
		s := NewSystem()
		steady, last := time.Now(), s.Now()
		first := last
		for range 1000 {
			now := s.Now()
			Expect(now.Before(last)).To(BeFalse())
			last = now
		}
		time.Sleep(20 * time.Millisecond)
		Expect(s.Now().Sub(first)).To(BeNumerically("~", time.Since(steady), 5*time.Millisecond))
	})
})
