package timer_test

import (
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTimer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timer")
}

var _ = Describe("Manual", func() {
	start := time.Unix(1000, 0)
	cases := []struct {
		name    string
		advance []time.Duration
		period  time.Duration
		wakes   int
	}{
		{name: "too early", advance: []time.Duration{9 * time.Second}, period: 10 * time.Second, wakes: 0},
		{name: "exactly when due", advance: []time.Duration{10 * time.Second}, period: 10 * time.Second, wakes: 1},
		{name: "twice", advance: []time.Duration{10 * time.Second, 10 * time.Second}, period: 10 * time.Second, wakes: 2},
		{name: "a jump over several periods wakes once", advance: []time.Duration{45 * time.Second}, period: 10 * time.Second, wakes: 1},
	}
	for _, c := range cases {
		It("wakes subscribers: "+c.name, func() {
			m := timer.NewManual(start)
			s := m.Every(c.period)
			wakes := 0
			for _, d := range c.advance {
				m.Advance(d)
				select {
				case <-s.C():
					wakes++
				default:
				}
			}
			Expect(wakes).To(Equal(c.wakes))
			s.Stop()
			Expect(m.Waiters()).To(BeZero())
		})
	}
})
