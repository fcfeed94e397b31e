package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/membership"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// BenchmarkEvaluate measures one evaluation by the leader of n endpoints with three
// watchers each.
func BenchmarkEvaluate(b *testing.B) {
	for _, n := range []int{200, 800, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := membership.New()
			list := api.HostList{}
			var reports []*rpc.EndpointReport
			for i := range n {
				a := fmt.Sprint("e", i)
				list.Hosts = append(list.Hosts, api.ListedHost{Address: a})
				reports = append(reports, &rpc.EndpointReport{Address: a, Reachable: true})
			}
			t.ApplyList(start, list)
			for w := range membership.WatchersPerEndpoint {
				t.Report(start, fmt.Sprint("w", w), reports)
			}
			for b.Loop() {
				t.Evaluate(start.Add(time.Second))
			}
		})
	}
}

// BenchmarkAssign measures one assignment of all watchers.
func BenchmarkAssign(b *testing.B) {
	for _, n := range []int{200, 800, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var endpoints, hosts []string
			for i := range n {
				endpoints = append(endpoints, fmt.Sprint("e", i))
			}
			for i := range 441 {
				hosts = append(hosts, fmt.Sprint("h", i))
			}
			for b.Loop() {
				membership.Assign(endpoints, hosts)
			}
		})
	}
}
