package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/state"
	"google.golang.org/protobuf/proto"
)

// BenchmarkClaim measures the time and memory of one claim in the state machine.
func BenchmarkClaim(b *testing.B) {
	m := state.New(1 << 40)
	i := 0
	runtime.GC()
	before := runtime.MemStats{}
	runtime.ReadMemStats(&before)
	for b.Loop() {
		i++
		data, err := proto.Marshal(&rpc.Command{
			Kind: &rpc.Command_Claim{
				Claim: &rpc.ClaimRequest{
					Account:    fmt.Sprint("account-", i%1200),
					Key:        fmt.Sprint("key-", i),
					BodyDigest: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
					Entry:      "entry-1/abc",
				},
			},
		})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := m.Apply(data); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	after := runtime.MemStats{}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(i), "heap-B/claim")
}
