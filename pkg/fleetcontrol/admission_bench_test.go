package fleetcontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/admission"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/shedding"
	. "github.com/onsi/gomega"
)

const (
	benchHosts    = 450
	benchEngines  = 3200
	benchAccounts = 1200
)

// benchRequest is the call of a host that reports as much as it may.
func benchRequest(n int) *rpc.SyncRequest {
	q := admissionRequest(n, 0)
	report := admission.Report{
		Service:  "models",
		InFlight: 8_000_000,
		Finished: 1e9,
	}
	for i := range 32 {
		report.Demand = append(report.Demand, admission.Demand{
			Class:   admission.ClassAt(i % 6),
			Account: admission.AccountKey(fmt.Sprint((32*n + i) % benchAccounts)),
			Tokens:  90_000,
			Streams: 2,
		})
	}
	q.Admission = admission.ReportsToWire([]admission.Report{report})
	for i := range shedding.MaxReported {
		q.Full = append(q.Full, &rpc.FullEndpoint{
			Endpoint: uint32(n*shedding.MaxReported+i) % benchEngines,
			LeftMs:   1000,
		})
	}
	return q
}

// BenchmarkLeaderAdmission is the leader's work for admission control and full endpoints in
// 2 s of a shortage, at the largest size that the design names.
func BenchmarkLeaderAdmission(b *testing.B) {
	RegisterTestingT(b)
	withAdmission(func(x *admissionFixture) {
		x.server.admission.allocator = admission.NewAllocator(x.clock)
		for i := range benchEngines {
			x.server.table.Announce(wholeEngine(i))
		}
		requests := make([]*rpc.SyncRequest, benchHosts)
		for i := range requests {
			requests[i] = benchRequest(i)
		}
		const calls, updatesPerCall = 5, 2 // of each host, in 2 s
		x.settle()
		b.ReportAllocs()
		for b.Loop() {
			for range calls {
				for i, q := range requests {
					x.server.syncReplyAfterObserving(q, x.clock.Now())
					if i%50 == 0 {
						x.clock.Advance(callInterval / 9)
					}
				}
				for range updatesPerCall {
					x.update()
				}
			}
		}
		b.ReportMetric(float64(b.Elapsed())/float64(b.N)/2/float64(time.Second)*100, "%core")
	})
}
