package simulation

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	limitFrom   = 5 * time.Second // when endpoints begin to report limits
	limitWindow = 4 * time.Second
)

// allowedInWindow returns how many requests may reach an endpoint in limitWindow: 1.5
// times what its limit allows, plus 5.
func allowedInWindow(limit float64) int {
	return int(1.5*limit*limitWindow.Seconds() + 5)
}

// limitFromStart returns a function for LimitScenario.Limit: the given number of endpoints
// report a limit from limitFrom on, and the others none.
func limitFromStart(endpoints int, limit float64) func(int, time.Duration) float64 {
	return func(e int, now time.Duration) float64 {
		if e < endpoints && now >= limitFrom {
			return limit
		}
		return -1
	}
}

var hostCounts = []int{11, 100, 300}

// expectWithinLimit checks that no window of an endpoint contains more requests than a
// limit allows. Requests before the endpoint reported the limit don't count.
func expectWithinLimit(m *LimitModel, endpoint int, limit float64, from, to time.Duration, about string) {
	most := m.MaxInWindow(endpoint, limitWindow, from, to)
	Expect(most).To(BeNumerically("<=", allowedInWindow(limit)), about)
}

var _ = Describe("endpoints with rate limits", func() {
	for _, hosts := range hostCounts {
		for _, limit := range []float64{0, 0.05, 2, 8, 40} {
			It(fmt.Sprintf("get no more than that, and no request is refused while others have capacity: %d hosts, %v a second", hosts, limit), func() {
				for _, seed := range seeds {
					m := NewLimitModel(LimitScenario{Hosts: hosts, Endpoints: 3, PerSecond: 150, Limit: limitFromStart(1, limit)}, seed)
					m.Run(20 * time.Second)
					expectWithinLimit(m, 0, limit, limitFrom+300*time.Millisecond, 20*time.Second, fmt.Sprint("seed ", seed))
					Expect(m.Refused).To(BeEmpty())
				}
			})
		}

		for _, demand := range []float64{1.5, 10} {
			It(fmt.Sprintf("get nearly that if all have limits below the load: %d hosts, %v times the limits", hosts, demand), func() {
				for _, seed := range seeds {
					const limit = 8.0
					m := NewLimitModel(LimitScenario{Hosts: hosts, Endpoints: 3, PerSecond: demand * 3 * limit, Limit: limitFromStart(3, limit)}, seed)
					m.Run(30 * time.Second)
					for e := range 3 {
						expectWithinLimit(m, e, limit, limitFrom+300*time.Millisecond, 30*time.Second, fmt.Sprint("seed ", seed))
						Expect(m.ReachedIn(e, 10*time.Second, 30*time.Second)).To(BeNumerically(">=", 0.85*20*limit))
					}
				}
			})
		}

		It(fmt.Sprintf("are known to all hosts within half a second, though one observed them first: %d hosts", hosts), func() {
			for _, seed := range seeds {
				m := NewLimitModel(LimitScenario{Hosts: hosts, Endpoints: 3, PerSecond: 150, Limit: limitFromStart(1, 8)}, seed)
				m.Run(limitFrom + 500*time.Millisecond)
				Expect(m.HostsAware(0)).To(Equal(hosts))
			}
		})

		It(fmt.Sprintf("are used in full soon after the limit is removed: %d hosts", hosts), func() {
			limit := func(_ int, now time.Duration) float64 {
				if now >= limitFrom && now < 15*time.Second {
					return 8
				}
				return -1
			}
			for _, seed := range seeds {
				m := NewLimitModel(LimitScenario{Hosts: hosts, Endpoints: 1, PerSecond: 100, Limit: limit}, seed)
				m.Run(20 * time.Second)
				expectWithinLimit(m, 0, 8, limitFrom+300*time.Millisecond, 15*time.Second, fmt.Sprint("seed ", seed))
				Expect(m.RefusedIn(17*time.Second, 20*time.Second)).To(BeZero())
			}
		})

		It(fmt.Sprintf("get no more than that while leaders change and hosts are partitioned or restart: %d hosts", hosts), func() {
			for _, seed := range seeds {
				const limit = 8.0
				m := NewLimitModel(LimitScenario{Hosts: hosts, Endpoints: 2, PerSecond: 200, Limit: limitFromStart(2, limit)}, seed)
				for at := 7 * time.Second; at < 40*time.Second; at += 700 * time.Millisecond {
					m.Run(at)
					switch m.rand.IntN(4) {
					case 0:
						m.StopLeader(time.Duration(m.rand.IntN(800)) * time.Millisecond)
					case 1:
						m.SetPartitioned(m.rand.IntN(hosts), true)
					case 2:
						m.SetPartitioned(m.rand.IntN(hosts), false)
					default:
						m.Restart(m.rand.IntN(hosts))
					}
				}
				for e := range 2 {
					expectWithinLimit(m, e, limit, limitFrom+300*time.Millisecond, 40*time.Second, fmt.Sprint("seed ", seed))
				}
			}
		})

		It(fmt.Sprintf("get no more than that while the limits keep changing: %d hosts", hosts), func() {
			// The first limit changes each second, the other one is reported in every other second only.
			limit := func(e int, now time.Duration) float64 {
				n := int(now / time.Second)
				switch {
				case now < limitFrom:
					return -1
				case e == 0: // 8 and 10 in turn
					return float64(8 + 2*(n%2))
				case n%2 == 1:
					return 8
				default: // none in every other second
					return -1
				}
			}
			for _, seed := range seeds {
				m := NewLimitModel(LimitScenario{Hosts: hosts, Endpoints: 2, PerSecond: 200, Limit: limit}, seed)
				m.Run(30 * time.Second)
				for e := range 2 {
					expectWithinLimit(m, e, 10, limitFrom+300*time.Millisecond, 30*time.Second, fmt.Sprint("endpoint ", e, " seed ", seed))
				}
			}
		})
	}
})

var _ = Describe("strategies to keep the sum within a limit", func() {
	// One endpoint has a limit of 8 a second and a higher load. Strategies in which
	// each host acts alone use little of the limit where each host has few requests, or
	// exceed it where requests arrive at once.
	for _, strategy := range []LimitStrategy{GrantedPermits, EqualShares, HostSubset} {
		It("keep to the limit and use it up only with granted permits: "+strategy.String(), func() {
			fits := true
			for _, hosts := range hostCounts {
				for _, demand := range []float64{12, 80} {
					most, used := 0, 0
					for _, seed := range seeds {
						m := NewLimitModel(LimitScenario{Strategy: strategy, Hosts: hosts, Endpoints: 1, PerSecond: demand, Limit: limitFromStart(1, 8)}, seed)
						m.Run(45 * time.Second)
						most = max(most, m.MaxInWindow(0, limitWindow, limitFrom+300*time.Millisecond, 45*time.Second))
						used += m.ReachedIn(0, 15*time.Second, 45*time.Second)
					}
					share := float64(used) / float64(len(seeds)) / (30 * 8)
					GinkgoWriter.Printf("%s, %d hosts, load %v: most in 4 s %d, used %.2f\n", strategy, hosts, demand, most, share)
					fits = fits && most <= allowedInWindow(8) && share >= 0.85
				}
			}
			Expect(fits).To(Equal(strategy == GrantedPermits))
		})
	}
})
