package placement_test

import (
	"fmt"
	"testing"

	"github.com/larchwinch/larchwinch/pkg/placement"
)

// BenchmarkPlan plans for failure domains of 39 endpoints each. In every third one two
// endpoints are lost, so that others must shift or move.
func BenchmarkPlan(b *testing.B) {
	e := engine()
	for _, domains := range []int{1, 7, 28, 82} {
		var list []placement.EndpointState
		for d := range domains {
			list = append(list, emptyEndpoints(fmt.Sprint("d", d), "small", 20)...)
			list = append(list, emptyEndpoints(fmt.Sprint("d", d), "tiny", 19)...)
		}
		list = apply(list, placement.Plan(e, list))
		kept := list[:0]
		for i, s := range list {
			if i%39 > 1 || i/39%3 > 0 {
				kept = append(kept, s)
			}
		}
		b.Run(fmt.Sprint(len(kept)), func(b *testing.B) {
			for b.Loop() {
				placement.Plan(e, kept)
			}
		})
	}
}
