package fleetcontrol

import (
	"fmt"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Four requests with a part that crashes endpoints came at one host at the same time, and again every
// 6 s. The four endpoints, and the four to which the streams were resumed, crashed within half a second;
// all were reported by that host alone, so that they counted as one crash, a loss of the host's own
// links. The part was quarantined after the third burst, and 8 or 16 requests with it reached endpoints
// later than 3 s after the fifth crash. The leader's part_held with ends 24, and the crashes of one host
// in the same 0.5 s before it, showed it.
type burstFixture struct {
	*evidenceFixture
	up map[int]int // incarnation of each endpoint; 0 while it is down
}

const (
	burstEndpoints = 14
	burstDomains   = 3
	// burstLimit is within what time after the fifth crash the part must be quarantined.
	burstLimit = 3 * time.Second
	// crashTime is the time from the send of a request to the crash.
	crashTime = 20 * time.Millisecond
)

func withBursts(f func(b *burstFixture)) {
	withEvidence(func(e *evidenceFixture) {
		b := &burstFixture{evidenceFixture: e, up: map[int]int{}}
		for n := range burstEndpoints {
			b.up[n] = 1
		}
		for range 5 {
			b.step(time.Second)
		}
		f(b)
	})
}

func burstID(n, start int) string { return fmt.Sprintf("e%d@%d", n, start) }

// step lets time pass while the endpoints that are up send heartbeats, each every second.
func (b *burstFixture) step(d time.Duration) {
	const tick = 100 * time.Millisecond
	for range int(d / tick) {
		b.clock.Advance(tick)
		now := b.clock.Now()
		for n, start := range b.up {
			if start == 0 || int(now.UnixMilli()/tick.Milliseconds())%10 != n%10 {
				continue
			}
			b.sequence++
			b.table.Announce(fleet.Endpoint{ID: burstID(n, start), StartedAt: int64(start), Service: "models", Address: fmt.Sprintf("e%d:1", n),
				Domain: fmt.Sprintf("d%d", n%burstDomains), Sequence: b.sequence})
		}
		b.pass(quarantineInterval / 2)
		b.updateQuarantine(GinkgoT().Context())
	}
}

// retry reports crashes of endpoints under one request each, and then of others under the same ones; or
// under those whose first crash isn't reported, which have numbers higher by unreported.
func (b *burstFixture) retry(first, then []int, unreported uint64) {
	requests := []uint64{}
	for _, n := range first {
		requests = append(requests, uint64(7000+n))
		b.crashUnder(requests[len(requests)-1:], n)
		requests[len(requests)-1] += unreported
	}
	b.clock.Advance(crashTime + time.Millisecond)
	for i, n := range then {
		own := []uint64{}
		for k := i; k < len(requests); k += len(then) {
			own = append(own, requests[k])
		}
		b.crashUnder(own, n)
	}
}

// crashUnder reports the crash of an endpoint under different requests with the part.
func (b *burstFixture) crashUnder(requests []uint64, n int) {
	id := fleet.LoadKey(burstID(n, b.up[n]))
	q := ofPart(id)
	q.Crashes[0].Domain = uint32(1 + n%burstDomains)
	q.Crashes[0].Parts[0].Requests = uint32(len(requests))
	q.Crashes[0].Parts[0].Fresh = uint32(len(requests))
	q.Crashes[0].Parts[0].Request = requests[0]
	for _, r := range requests {
		q.Ended = append(q.Ended, &rpc.EndedSend{Fingerprint: r, Endpoint: id, Early: true, AfterMs: uint32(crashTime.Milliseconds())})
	}
	b.sync(q)
	b.up[n] = 0
}

// lose reports that the connections to some endpoints broke, each with one request with the part.
// Those that crashed are down.
func (b *burstFixture) lose(crashed bool, endpoints ...int) {
	for _, n := range endpoints {
		start := b.up[n]
		q := ofPart(fleet.LoadKey(burstID(n, start)))
		q.Crashes[0].Domain = uint32(1 + n%burstDomains)
		q.Crashes[0].Parts[0].Fresh = 1
		b.sync(q)
		if crashed {
			b.up[n] = 0
		}
	}
}

func (b *burstFixture) restart(start int, endpoints ...int) {
	for _, n := range endpoints {
		b.up[n] = start
	}
}

var _ = Describe("endpoints that one host's requests with a part crash together", func() {
	// Guards against requests that come in bursts and crash as many endpoints each time, because what
	// crashes together counts as one crash.
	It("are told from a loss of the host's links, or of a failure domain, by what is heard afterwards", func() {
		for _, endpoints := range [][]int{
			{0, 1, 2, 3, 4, 5, 6, 7},    // of all failure domains
			{0, 3, 6, 9, 1},             // most of one
			{0, 3, 6, 1, 4, 7, 2, 5, 8}, // most of each
		} {
			withBursts(func(b *burstFixture) {
				b.lose(true, endpoints...)
				b.step(burstLimit - 500*time.Millisecond)
				b.restart(2, endpoints...)
				b.step(400 * time.Millisecond)
				Expect(b.held()).To(Equal([]uint64{crashPart}))
				b.step(10 * time.Second)
				Expect(b.held()).To(Equal([]uint64{crashPart}), "heartbeats of later incarnations take nothing back")
			})
		}
	})

	It("are found when the endpoints are back before that, one after the other", func() {
		withBursts(func(b *burstFixture) {
			b.lose(true, 0, 1, 2, 3, 4)
			for n := range 5 {
				b.step(200 * time.Millisecond)
				b.restart(2, n)
			}
			b.step(burstLimit - 1100*time.Millisecond)
			Expect(b.held()).To(Equal([]uint64{crashPart}))
		})
	})

	// Guards against bursts whose requests stay in the host's own failure domain, and crash all of its
	// endpoints: nothing else of the domain is left to tell them from a loss of the domain.
	It("are told from a loss of their failure domain by requests that were sent again in between", func() {
		for _, c := range []struct{ first, then []int }{
			{[]int{0, 3, 6, 9}, []int{12}},
			{[]int{0, 3, 6}, []int{9, 12}},
			{[]int{0, 3}, []int{6, 9}},
		} {
			for _, unreported := range []uint64{0, 100} {
				withBursts(func(b *burstFixture) {
					b.retry(c.first, c.then, unreported)
					b.up[12] = 0
					b.step(burstLimit - 500*time.Millisecond)
					Expect(b.held()).To(Equal([]uint64{crashPart}))
				})
			}
		}
	})

	It("are quarantined for nothing when a failure domain is lost in steps, and what was sent again survives", func() {
		withBursts(func(b *burstFixture) {
			b.retry([]int{0, 3, 6, 9}, []int{12}, 0)
			b.step(time.Second)
			b.sync(&rpc.SyncRequest{Survivals: []*rpc.PartSurvival{{Part: crashPart, WrittenMsAgo: 700}}})
			for range 300 {
				b.step(100 * time.Millisecond)
				Expect(b.held()).To(BeEmpty())
			}
		})
	})

	sound := []struct {
		name string
		lose func(b *burstFixture)
	}{
		{"the links of a host are lost, and its endpoints live", func(b *burstFixture) {
			b.lose(false, 0, 1, 2, 3, 4, 5, 6, 7)
		}},
		{"the links of a host are lost, and most of its endpoints fall silent for 3 s", func(b *burstFixture) {
			b.lose(true, 0, 1, 2, 3, 4, 5, 6)
			b.lose(false, 7)
			b.step(3 * time.Second)
			b.restart(1, 0, 1, 2, 3, 4, 5, 6)
		}},
		{"a whole failure domain is lost", func(b *burstFixture) {
			b.lose(true, 0, 3, 6, 9, 12)
		}},
		{"a whole failure domain is lost in steps, under requests that were sent before", func(b *burstFixture) {
			for i, n := range []int{0, 3, 6, 9, 12} {
				b.crashUnder([]uint64{uint64(7000 + i)}, n)
				b.clock.Advance(4 * time.Millisecond)
			}
		}},
		{"a whole failure domain is lost and back", func(b *burstFixture) {
			b.lose(true, 0, 3, 6, 9, 12)
			b.step(2 * time.Second)
			b.restart(2, 0, 3, 6, 9, 12)
		}},
		{"most of a failure domain is lost, and most of the requests there had other parts", func(b *burstFixture) {
			b.lose(true, 0, 3, 6)
			q := ofPart(fleet.LoadKey(burstID(9, 1)))
			q.Crashes[0].Domain = 1
			q.Crashes[0].Parts[0].Part = crashPart + 1
			b.sync(q)
			b.up[9] = 0
		}},
	}
	for _, c := range sound {
		It("are quarantined for nothing when "+c.name, func() {
			withBursts(func(b *burstFixture) {
				c.lose(b)
				for range 300 {
					b.step(100 * time.Millisecond)
					Expect(b.held()).To(BeEmpty())
				}
			})
		})
	}

	It("are quarantined for nothing when a request with the part survives elsewhere", func() {
		withBursts(func(b *burstFixture) {
			b.lose(true, 0, 1, 2, 3, 4, 5, 6, 7)
			b.step(time.Second)
			b.sync(&rpc.SyncRequest{Survivals: []*rpc.PartSurvival{{Part: crashPart, WrittenMsAgo: 1500}}})
			for range 300 {
				b.step(100 * time.Millisecond)
				Expect(b.held()).To(BeEmpty())
			}
		})
	})
})
