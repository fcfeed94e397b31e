//go:build measure

package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/bundle"
	. "github.com/onsi/gomega"
)

// countingConn is a connection that adds the bytes read and written to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingClient returns a constructor of HTTP clients that count the bytes of
// all entry hosts' control traffic: heartbeats, probes and rollout.
func countingClient(bytes *atomic.Int64) func() *http.Client {
	return func() *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 16,
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := (&net.Dialer{}).DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return countingConn{Conn: c, bytes: bytes}, nil
				},
			},
		}
	}
}

func cpu() time.Duration {
	u := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() int64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// TestMeasureControl measures the control traffic, processor time and memory per
// entry host, idle and at a change of a bundle, for several numbers of entry hosts: the
// slope over the number is the cost of one more host.
// Everything runs in one process, so the processor time per host includes the
// leader's work for that host.
func TestMeasureControl(t *testing.T) {
	RegisterTestingT(t)
	f, err := os.Create("../../docs/measurements/control.csv")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	fmt.Fprintln(f, "entry_hosts,rest_bytes_per_s_per_host,rest_cpu_us_per_s_per_host,heap_kb_per_host,change_bytes_per_host,in_force_everywhere_ms_median,in_force_everywhere_ms_max")
	for _, n := range []int{5, 20, 60, 120} {
		bytes := &atomic.Int64{}
		newClient = countingClient(bytes)
		before := heap()
		withSystem(3, n, func(s *system) {
			time.Sleep(8 * time.Second)
			used := heap() - before
			const idleSeconds = 12
			b0, c0 := bytes.Load(), cpu()
			time.Sleep(idleSeconds * time.Second)
			idleBytes, idleCPU := float64(bytes.Load()-b0)/idleSeconds, (cpu()-c0)/idleSeconds
			var times []time.Duration
			parent := bundle.Digest([]byte(s.bundleText(1, "")))
			const changes = 7
			b1 := bytes.Load()
			began := time.Now()
			for v := 2; v < 2+changes; v++ {
				text := s.bundleText(v, parent)
				parent = bundle.Digest([]byte(text))
				at := time.Now()
				s.submit(text)
				for !s.activeEverywhere(uint64(v)) {
					time.Sleep(time.Millisecond)
				}
				times = append(times, time.Since(at))
			}
			took := time.Since(began).Seconds()
			changeBytes := (float64(bytes.Load()-b1) - idleBytes*took) / changes
			sortDurations(times)
			fmt.Fprintf(f, "%d,%.0f,%d,%d,%.0f,%.1f,%.1f\n", n, idleBytes/float64(n), idleCPU.Microseconds()/int64(n), used/1024/int64(n),
				changeBytes/float64(n), ms(times[changes/2]), ms(times[changes-1]))
		})
	}
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func sortDurations(d []time.Duration) {
	for i := range d {
		for j := i; j > 0 && d[j] < d[j-1]; j-- {
			d[j], d[j-1] = d[j-1], d[j]
		}
	}
}

func (s *system) activeEverywhere(revision uint64) bool {
	for _, e := range s.entries {
		if e.server.Syncer().Set().Revision() < revision {
			return false
		}
	}
	return true
}
