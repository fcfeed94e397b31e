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

var _ = Describe("System", func() {
	It("includes the time during which the host is suspended", func() {
		// The suspension is simulated by a boot clock that jumps by five seconds,
		// which the monotonic clock doesn't see.
		suspended := time.Duration(0)
		s := newSystem(func() time.Duration { return bootTime() + suspended })
		before := s.Now()
		suspended = 5 * time.Second
		Expect(s.Now().Sub(before)).To(BeNumerically("~", 5*time.Second, time.Second))
	})

	It("runs as fast as the monotonic clock, and doesn't go back", func() {
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
