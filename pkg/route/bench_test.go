package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/larchwinch/larchwinch/pkg/directory"
	"github.com/larchwinch/larchwinch/pkg/route"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/timer"
)

const benchLayers = 80

// withEndpoints returns a directory of n engines, each with a range of ten layers.
func withEndpoints(n int) *directory.Directory {
	d := directory.New(timer.NewSystem())
	r := &rpc.BeatReply{
		Epoch: 1,
	}
	for i := range n {
		first := uint32(i % 8 * 10)
		r.Endpoints = append(r.Endpoints, &rpc.Endpoint{
			Address:    fmt.Sprintf("10.%d.%d.%d:6100", i>>16, i>>8&255, i&255),
			Model:      fmt.Sprint("m", i%7),
			FirstLayer: first,
			EndLayer:   first + 10,
			LayerUs:    300,
			SequenceUs: 5,
			Batch:      64,
			Slots:      64,
			State:      rpc.EndpointState_ENDPOINT_LIVE,
		})
	}
	d.Apply(r)
	return d
}

// BenchmarkChoose measures choosing a chain for one request among n endpoints of
// seven models.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{200, 800, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := withEndpoints(n)
			r := route.New(route.ExpectedFinish, "a", func() int { return 450 }, rand.New(rand.NewPCG(1, 1)))
			b.ReportAllocs()
			for b.Loop() {
				if r.Choose(d.Engines("m3", ""), 0, benchLayers, nil) == nil {
					b.Fatal("no chain")
				}
			}
		})
	}
}
