package metrics_test

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/larchwinch/larchwinch/pkg/metrics"
)

// BenchmarkAccountHistogram reports the heap bytes of one client account's
// histogram with a full sample.
func BenchmarkAccountHistogram(b *testing.B) {
	const accounts, values = 200, 1000
	for b.Loop() {
		before := heap()
		s := metrics.New()
		for i := range accounts {
			h := s.Histogram("first_token_us", metrics.Label{Name: "account", Value: strconv.Itoa(i)})
			for v := range values {
				h.Update(int64(v))
			}
		}
		b.ReportMetric(float64(heap()-before)/accounts, "heap-B/histogram")
		runtime.KeepAlive(s)
	}
}

func heap() uint64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
