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

// syncRequest is what an entry host tells of itself, with work under way at each of
// the endpoints named.
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

// withHosts runs f on a leader's view of n ready hosts.
func withHosts(n int, f func(h *hosts)) {
	h := newHosts()
	for i := range n {
		h.observe(startTime, syncRequest(i, true))
	}
	f(h)
}

// samples returns the sample of each of n hosts that holds none.
func samples(h *hosts, n int) [][]string {
	list := make([][]string, n)
	for i := range n {
		list[i], _, _ = h.addresses(startTime, fmt.Sprintf("h%d", i), 0)
	}
	return list
}

var _ = Describe("the hosts that callers are told of", func() {
	It("are all of them where they are few, and else a sample over all domains", func() {
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

	It("change only in the samples that a host is in, and are the same from any leader", func() {
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

	It("are sent again after a while only, and not to a host that holds them", func() {
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

	It("don't hold those that weren't heard of, or that another leader knew", func() {
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

var _ = Describe("what all hosts have under way", func() {
	It("is the sum of what each told last, whoever comes and goes", func() {
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

	It("is told the less often the more endpoints there are", func() {
		cases := []struct {
			endpoints int
			pause     time.Duration
		}{
			{endpoints: 39, pause: 61 * time.Millisecond},
			{endpoints: 216, pause: 338 * time.Millisecond},
			{endpoints: 3200, pause: 5 * time.Second},
		}
		for _, c := range cases {
			h := newHosts()
			for i := range c.endpoints {
				h.observe(startTime, syncRequest(i%6, true, fmt.Sprint("e", i)))
				h.entries[fmt.Sprintf("h%d", i%6)].loads = nil // as if it had all of them under way
			}
			Expect(h.loads(startTime, "h1")).NotTo(BeNil())
			Expect(h.loads(startTime.Add(c.pause*3/4), "h1")).To(BeNil())
			Expect(h.loads(startTime.Add(c.pause), "h1").GetEndpoints()).To(HaveLen(c.endpoints))
		}
	})

	It("of a host that tells lists of different lengths counts for nothing", func() {
		h := newHosts()
		q := syncRequest(1, true, "a", "b")
		q.Loads.Tokens = q.Loads.Tokens[:1]
		h.observe(startTime, q)
		Expect(h.totals.list(startTime).GetEndpoints()).To(BeEmpty())
	})
})

var _ = Describe("news", func() {
	It("gather the longer the more hosts are to be told", func() {
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
