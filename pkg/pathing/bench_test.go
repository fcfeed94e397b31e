package pathing

import (
	"fmt"
	"testing"
)

// BenchmarkChoose chooses among 86, 860 and 3,200 endpoints of three kinds in three
// failure domains.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{86, 860, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := engine()
			e.Layers = 80
			var candidates []Candidate
			for i := range n {
				kind, held := "slow", 8
				switch {
				case i%10 == 0:
					kind, held = "fast", 27
				case i%10 < 4:
					kind, held = "mid", 16
				}
				from := i * held % (80 - held + 1)
				c := candidate(fmt.Sprintf("e%d", i), string(rune('a'+i%3)), kind, from, from+held)
				c.Requests = float64(i % 40)
				c.Tokens = 800 * c.Requests
				candidates = append(candidates, c)
			}
			b.ReportAllocs()
			for b.Loop() {
				Choose(e, candidates, demand, noJitter)
			}
		})
	}
}
