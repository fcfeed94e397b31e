package fleetcontrol

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1000, 0)

// syncRequest is the call of entry host n, with load in flight at each of the endpoints.
func syncRequest(n int, ready bool, endpoints ...string) *rpc.SyncRequest {
	q := &rpc.SyncRequest{
		Host: &rpc.FleetHost{
			Name:          fmt.Sprintf("h%d", n),
			Domain:        fmt.Sprintf("d%d", n%5),
			CallerAddress: fmt.Sprintf("10.%d.0.%d:80", n%5, n),
			Ready:         ready,
		},
		DocumentVersion: 1,
		Loads:           &rpc.LoadTable{},
	}
	for _, id := range endpoints {
		q.Loads.Endpoints = append(q.Loads.Endpoints, fleet.LoadKey(id))
		q.Loads.Requests = append(q.Loads.Requests, 2)
		q.Loads.Tokens = append(q.Loads.Tokens, 700)
	}
	return q
}

// withHosts runs f on a leader's table of n ready hosts.
func withHosts(n int, f func(h *hosts)) {
	h := newHosts()
	for i := range n {
		h.observe(startTime, syncRequest(i, true))
	}
	f(h)
}

// samples returns the samples of n hosts, as sent to hosts that hold none.
func samples(h *hosts, n int) [][]string {
	list := make([][]string, n)
	for i := range n {
		list[i], _, _ = h.addresses(startTime, fmt.Sprintf("h%d", i), 0)
	}
	return list
}

var _ = Describe("the hosts named to callers", func() {
	It("are all hosts if there are few, and otherwise a sample over all failure domains", func() {
		cases := []struct {
			hosts int
			want  int
		}{
			{hosts: 9, want: 9},
			{hosts: 64, want: 64},
			{hosts: 300, want: sampleSize},
			{hosts: 450, want: sampleSize},
		}
		for _, c := range cases {
			withHosts(c.hosts, func(h *hosts) {
				counts := map[string]int{}
				for _, list := range samples(h, c.hosts) {
					Expect(list).To(HaveLen(c.want))
					domains := map[byte]int{}
					for _, a := range list {
						counts[a]++
						domains[a[3]]++
					}
					Expect(domains).To(HaveLen(5))
				}
				Expect(counts).To(HaveLen(c.hosts), "every host is named to callers")
				for _, n := range counts {
					Expect(n).To(BeNumerically("~", c.want, 40), "about as often as any other")
				}
			})
		}
	})

	It("change only in the samples that contain the changed host, and don't depend on the leader", func() {
		const n = 300
		withHosts(n, func(h *hosts) {
			before := samples(h, n)
			h.observe(startTime, syncRequest(7, false))
			after := samples(h, n)
			changed := 0
			for i := range n {
				if fleet.AddressesDigest(before[i]) == fleet.AddressesDigest(after[i]) {
					Expect(before[i]).NotTo(ContainElement("10.2.0.7:80"))
					continue
				}
				changed++
				Expect(after[i]).NotTo(ContainElement("10.2.0.7:80"))
			}
			Expect(changed).To(BeNumerically("<", n/3))
			next := newHosts()
			for i := n - 1; i >= 0; i-- {
				next.observe(startTime, syncRequest(i, i != 7))
			}
			Expect(samples(next, n)).To(Equal(after))
		})
	})

	It("are sent after sampleInterval at the earliest, and not to a host that holds them", func() {
		withHosts(5, func(h *hosts) {
			list, digest, ready := h.addresses(startTime, "h1", 0)
			Expect(list).To(HaveLen(5))
			Expect(ready).To(Equal(5))
			h.observe(startTime, syncRequest(5, true))
			same, held, ready := h.addresses(startTime.Add(sampleInterval-1), "h1", digest)
			Expect(same).To(BeNil())
			Expect(held).To(Equal(digest))
			Expect(ready).To(Equal(6))
			list, digest, _ = h.addresses(startTime.Add(sampleInterval), "h1", digest)
			Expect(list).To(HaveLen(6))
			same, _, _ = h.addresses(startTime.Add(time.Hour), "h1", digest)
			Expect(same).To(BeNil())
		})
	})

	It("exclude hosts that stopped calling, and are reset when the leadership ends", func() {
		withHosts(5, func(h *hosts) {
			h.touch(startTime.Add(hostTimeout), "h3")
			h.expire(startTime.Add(hostTimeout + 1))
			list, _, ready := h.addresses(startTime.Add(time.Hour), "h3", 0)
			Expect(list).To(Equal([]string{"10.3.0.3:80"}))
			Expect(ready).To(Equal(1))
			h.reset()
			_, _, ready = h.addresses(startTime, "h3", 0)
			Expect(ready).To(BeZero())
		})
	})
})

var _ = Describe("the load in flight of all hosts", func() {
	It("is the sum of what each host reported last, while hosts come and go", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := newHosts()
			reported := map[string][]string{}
			lastCall := map[string]time.Time{}
			now := startTime
			for range rapid.IntRange(1, 40).Draw(t, "calls") {
				now = now.Add(hostTimeout / 4)
				n := rapid.IntRange(0, 5).Draw(t, "host")
				name := fmt.Sprintf("h%d", n)
				reported[name] = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string]).Draw(t, "endpoints")
				lastCall[name] = now
				h.observe(now, syncRequest(n, true, reported[name]...))
				h.expire(now)
			}
			want := map[uint32]uint32{}
			for name, list := range reported {
				if now.Sub(lastCall[name]) > hostTimeout {
					continue
				}
				for _, id := range list {
					want[fleet.LoadKey(id)] += 2
				}
			}
			got := map[uint32]uint32{}
			all := h.totals.list(now.Add(totalsLifetime))
			for i, key := range all.GetEndpoints() {
				got[key] = all.GetRequests()[i]
				if all.GetTokens()[i] != 350*got[key] {
					t.Fatalf("%d tokens for %d requests", all.GetTokens()[i], got[key])
				}
			}
			if !maps.Equal(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		})
	})

	It("is sent less often the more endpoints there are", func() {
		cases := []struct {
			endpoints int
			interval  time.Duration
		}{
			{endpoints: 39, interval: 61 * time.Millisecond},
			{endpoints: 216, interval: 338 * time.Millisecond},
			{endpoints: 3200, interval: 5 * time.Second},
		}
		for _, c := range cases {
			h := newHosts()
			for i := range c.endpoints {
				h.observe(startTime, syncRequest(i%6, true, fmt.Sprint("e", i)))
				h.entries[fmt.Sprintf("h%d", i%6)].loads = nil // keep the sum, as if the host had load at all of them
			}
			Expect(h.loads(startTime, "h1")).NotTo(BeNil())
			Expect(h.loads(startTime.Add(c.interval*3/4), "h1")).To(BeNil())
			Expect(h.loads(startTime.Add(c.interval), "h1").GetEndpoints()).To(HaveLen(c.endpoints))
		}
	})

	It("ignores a host whose lists differ in length", func() {
		h := newHosts()
		q := syncRequest(1, true, "a", "b")
		q.Loads.Tokens = q.Loads.Tokens[:1]
		h.observe(startTime, q)
		Expect(h.totals.list(startTime).GetEndpoints()).To(BeEmpty())
	})
})

var _ = Describe("the batching delay of long polls", func() {
	It("grows with the number of hosts", func() {
		withHosts(10, func(h *hosts) { Expect(h.batchDelay()).To(Equal(10 * time.Millisecond)) })
		withHosts(300, func(h *hosts) { Expect(h.batchDelay()).To(Equal(300 * time.Millisecond)) })
	})
})

func BenchmarkAnswerOf300Hosts(b *testing.B) {
	endpoints := make([]string, 216)
	for i := range endpoints {
		endpoints[i] = fmt.Sprintf("i-%08x", i)
	}
	h := newHosts()
	for i := range 300 {
		h.observe(startTime, syncRequest(i, true, endpoints[i%150:i%150+66]...))
	}
	b.ReportAllocs()
	for i := range b.N {
		now := startTime.Add(time.Duration(i) * time.Second / 750)
		h.observe(now, syncRequest(i%300, true, endpoints[i%150:i%150+66]...))
		h.loads(now, fmt.Sprintf("h%d", i%300))
		h.addresses(now, fmt.Sprintf("h%d", i%300), 1)
	}
}

var _ = Describe("hosts that are cut off from all endpoints", func() {
	isolate := func(h *hosts, n int) {
		q := syncRequest(n, false)
		q.Host.Isolated = true
		h.observe(startTime, q)
	}

	It("are not named to callers, unless there are no others", func() {
		withHosts(5, func(h *hosts) {
			for n := range 4 {
				isolate(h, n)
			}
			list, _, ready := h.addresses(startTime, "h0", 0)
			Expect(list).To(Equal([]string{"10.4.0.4:80"}))
			Expect(ready).To(Equal(1))
			isolate(h, 4)
			list, _, _ = h.addresses(startTime, "h0", 0)
			Expect(list).To(HaveLen(5))
			h.observe(startTime, syncRequest(2, true))
			list, _, _ = h.addresses(startTime, "h0", 0)
			Expect(list).To(Equal([]string{"10.2.0.2:80"}))
		})
	})
})
