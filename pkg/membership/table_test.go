package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/membership"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var start = time.Unix(1_000_000, 0)

// fixture is a table with endpoints e0 to e3.
type fixture struct {
	now   time.Time
	table *membership.Table
}

func withTable(f func(x *fixture)) {
	x := &fixture{
		now:   start,
		table: membership.New(),
	}
	x.list(nil)
	f(x)
}

// list applies a host list of all endpoints but those in without.
func (x *fixture) list(without map[string]bool) {
	list := api.HostList{}
	for i := range 4 {
		if a := fmt.Sprint("e", i); !without[a] {
			list.Hosts = append(list.Hosts, api.ListedHost{
				Address: a,
			})
		}
	}
	x.table.ApplyList(x.now, list)
}

// report applies a watcher's reports of all endpoints, with those in lost as
// unreachable.
func (x *fixture) report(watcher string, incarnation uint64, lost ...string) {
	var reports []*rpc.EndpointReport
	for i := range 4 {
		a := fmt.Sprint("e", i)
		r := &rpc.EndpointReport{
			Address:   a,
			Reachable: true,
		}
		for _, l := range lost {
			r.Reachable = r.Reachable && l != a
		}
		if r.Reachable {
			r.Info = &rpc.Endpoint{
				Incarnation: incarnation,
				State:       rpc.EndpointState_ENDPOINT_LIVE,
			}
		}
		reports = append(reports, r)
	}
	x.table.Report(x.now, watcher, reports)
	x.table.Evaluate(x.now)
}

func (x *fixture) state(address string) rpc.EndpointState {
	for _, e := range x.table.Since(0) {
		if e.GetAddress() == address {
			return e.GetState()
		}
	}
	return rpc.EndpointState_ENDPOINT_UNSPECIFIED
}

func (x *fixture) live() int {
	n := 0
	for i := range 4 {
		if x.state(fmt.Sprint("e", i)) == rpc.EndpointState_ENDPOINT_LIVE {
			n++
		}
	}
	return n
}

var _ = Describe("Table", func() {
	all := []string{"e0", "e1", "e2", "e3"}

	It("makes an endpoint live once a watcher has reached it", func() {
		withTable(func(x *fixture) {
			Expect(x.state("e0")).To(Equal(rpc.EndpointState_ENDPOINT_JOINING))
			x.report("w1", 1)
			Expect(x.live()).To(Equal(4))
		})
	})

	It("distinguishes unreachable endpoints from watchers that are cut off", func() {
		cases := []struct {
			name string
			lost map[string][]string
			want rpc.EndpointState
			live int
		}{
			{name: "one watcher can't reach one endpoint", lost: map[string][]string{"w1": {"e0"}}, want: rpc.EndpointState_ENDPOINT_SUSPECT, live: 3},
			{name: "no watcher can reach one endpoint", lost: map[string][]string{"w1": {"e0"}, "w2": {"e0"}, "w3": {"e0"}}, want: rpc.EndpointState_ENDPOINT_DEAD, live: 3},
			{name: "a watcher that is cut off", lost: map[string][]string{"w1": all}, want: rpc.EndpointState_ENDPOINT_LIVE, live: 4},
			{name: "all watchers are cut off", lost: map[string][]string{"w1": all, "w2": all, "w3": all}, want: rpc.EndpointState_ENDPOINT_LIVE, live: 4},
		}
		for _, c := range cases {
			withTable(func(x *fixture) {
				for _, w := range []string{"w1", "w2", "w3"} {
					x.report(w, 1)
				}
				for _, w := range []string{"w1", "w2", "w3"} {
					x.report(w, 1, c.lost[w]...)
				}
				Expect(x.state("e0")).To(Equal(c.want), c.name)
				Expect(x.live()).To(Equal(c.live), c.name)
			})
		}
	})

	It("keeps live endpoints when the host list flaps or reports stop", func() {
		withTable(func(x *fixture) {
			x.report("w1", 1)
			x.table.ApplyList(x.now, api.HostList{})
			Expect(x.live()).To(Equal(4))
			x.list(map[string]bool{"e0": true, "e1": true, "e2": true})
			Expect(x.live()).To(Equal(4))
			x.now = x.now.Add(time.Hour)
			x.table.Evaluate(x.now)
			Expect(x.live()).To(Equal(4))
		})
	})

	It("keeps an endpoint leaving until it returns as a new incarnation", func() {
		withTable(func(x *fixture) {
			x.report("w1", 1)
			x.table.Report(x.now, "w1", []*rpc.EndpointReport{{
				Address: "e0", Reachable: true,
				Info: &rpc.Endpoint{Incarnation: 1, State: rpc.EndpointState_ENDPOINT_LEAVING},
			}})
			x.table.Evaluate(x.now)
			Expect(x.state("e0")).To(Equal(rpc.EndpointState_ENDPOINT_LEAVING))
			x.report("w2", 1)
			Expect(x.state("e0")).To(Equal(rpc.EndpointState_ENDPOINT_LEAVING), "a late report of the same incarnation")
			x.report("w2", 2)
			Expect(x.state("e0")).To(Equal(rpc.EndpointState_ENDPOINT_LIVE))
			x.report("w1", 1)
			Expect(x.state("e0")).To(Equal(rpc.EndpointState_ENDPOINT_LIVE), "a late report of the older incarnation")
		})
	})

	It("returns only what changed since a version", func() {
		withTable(func(x *fixture) {
			x.report("w1", 1)
			known := x.table.Version()
			Expect(x.table.Since(known)).To(BeEmpty())
			x.report("w1", 1, "e2")
			Expect(x.table.Since(known)).To(HaveLen(1))
		})
	})
})

var _ = Describe("Watchers", func() {
	It("are spread over the hosts, and stay when another host leaves", func() {
		var hosts, endpoints []string
		for i := range 45 {
			hosts = append(hosts, fmt.Sprint("h", i))
		}
		for i := range 320 {
			endpoints = append(endpoints, fmt.Sprint("e", i))
		}
		before := membership.Assign(endpoints, hosts)
		most, moved := 0, 0
		for _, list := range before {
			most = max(most, len(list))
		}
		Expect(most).To(BeNumerically("<", 3*320*membership.WatchersPerEndpoint/45))
		for _, e := range endpoints {
			a, b := membership.Watchers(e, hosts), membership.Watchers(e, hosts[1:])
			for _, h := range a {
				if h != "h0" && !contains(b, h) {
					moved++
				}
			}
		}
		Expect(moved).To(BeZero())
	})
})

func contains(list []string, s string) bool {
	for _, one := range list {
		if one == s {
			return true
		}
	}
	return false
}
