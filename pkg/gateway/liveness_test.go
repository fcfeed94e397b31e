package gateway

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const simGoal = 250 * time.Millisecond

var _ = Describe("a stream whose stage is lost", func() {
	cases := []struct {
		name  string
		fault dialFault
	}{
		{"refuses connections", refuses},
		{"is silent", silent},
	}
	for _, c := range cases {
		It("pauses for longer than the goal with the stall query alone: the stage "+c.name, func() {
			s := simulate(1, 0, func(s *simRun) { s.engines.lose(s.lost.Address, c.fault) })
			Expect(s.pause).To(BeNumerically(">", simGoal))
			GinkgoWriter.Println("longest pause:", s.pause)
			Expect(s.total).To(BeZero(), "a route without a pause goal is never checked")
			Expect(s.moved).To(Equal(1))
		})

		It("has another path within the pause goal: the stage "+c.name, func() {
			s := simulate(1, simGoal, func(s *simRun) { s.engines.lose(s.lost.Address, c.fault) })
			GinkgoWriter.Println("longest pause:", s.pause)
			Expect(s.pause).To(BeNumerically("<=", simGoal))
			Expect(s.moved).To(Equal(1))
			Expect(s.sends).To(Equal(1), "it is not sent anew")
			Expect(s.engines.repaths["r1"]).To(Equal(1), "neither a second check nor the stall query replaces the new path")
			Expect(s.count(checkAlive)).To(BeZero())
		})
	}

	It("has another path if the first check is made before the loss", func() {
		s := simulate(1, simGoal, func(s *simRun) {
			s.engines.setSlow(s.lost.Address, 110*time.Millisecond)
			time.Sleep(440 * time.Millisecond)
			s.engines.lose(s.lost.Address, refuses)
		})
		Expect(s.count(checkAlive)).To(BeNumerically(">=", 1))
		Expect(s.count(checkRefused)).To(BeEquivalentTo(1))
		Expect(s.pause).To(BeNumerically("<=", simGoal))
	})

	It("moves together with all others that pass through it, after one check", func() {
		for _, f := range []dialFault{refuses, silent} {
			s := simulate(20, simGoal, func(s *simRun) { s.engines.lose(s.lost.Address, f) })
			Expect(s.moved).To(Equal(20))
			Expect(s.pause).To(BeNumerically("<=", simGoal))
			Expect(s.dials["y:1"]).To(BeNumerically("<=", 2), "two attempts of one check")
			Expect(s.count(checkRefused) + s.count(checkSilent)).To(BeEquivalentTo(1))
		}
	})

	It("moves with the others if its own route has no pause goal", func() {
		s := simulateMixed(1, 5, simGoal, func(s *simRun) { s.engines.lose(s.lost.Address, silent) })
		Expect(s.moved).To(Equal(6))
		Expect(s.pause).To(BeNumerically("<=", simGoal))
	})

	It("moves before its first event too, but not if it was sent or had an event after the check began", func() {
		began := time.Unix(1000, 0)
		cases := []struct {
			name  string
			sent  time.Duration // relative to the check
			event time.Duration // the same; 0: none
			moves bool
		}{
			{"no event yet", -time.Second, 0, true},
			{"sent after the check began", time.Millisecond, 0, false},
			{"an event before the check", -time.Second, -time.Millisecond, true},
			{"an event since", -time.Second, time.Millisecond, false},
		}
		for _, c := range cases {
			w := &livenessWatch{
				sentAt: began.Add(c.sent),
			}
			if c.event != 0 {
				w.eventAt.Store(began.Add(c.event).UnixNano())
			}
			Expect(w.idleSince(began)).To(Equal(c.moves), c.name)
		}
	})

	It("moves again if its new stage is lost too", func() {
		s := simulate(1, simGoal, func(s *simRun) {
			s.source.change(func() {
				s.source.endpoints["llm"] = append(s.source.endpoints["llm"], engineEndpoint("v", 2, 4))
			})
			s.engines.lose(s.lost.Address, refuses)
			time.Sleep(500 * time.Millisecond)
			s.engines.lose(s.engines.stage("r1").Address, refuses)
		})
		Expect(s.engines.repaths["r1"]).To(Equal(2))
		Expect(s.pause).To(BeNumerically("<=", simGoal))
	})

	It("keeps its new path while the first endpoint still reports the old stage as stalled", func() {
		// A silent stage is found later, so that the stall query comes while the report is still old.
		for _, f := range []dialFault{refuses, silent} {
			s := simulate(1, simGoal, func(s *simRun) {
				s.engines.prefill = simReportAge + 50*time.Millisecond
				s.engines.lose(s.lost.Address, f)
			})
			Expect(s.engines.repaths["r1"]).To(Equal(1))
		}
	})

	It("stays where it is if there is no other path, and ends as before", func() {
		s := simulate(3, simGoal, func(s *simRun) {
			s.source.change(func() {
				s.source.endpoints["llm"] = []fleet.Endpoint{engineEndpoint("x", 0, 2), engineEndpoint("y", 2, 4)}
			})
			s.engines.lose(s.lost.Address, refuses)
		})
		Expect(s.moved).To(BeZero())
		Expect(s.sends).To(Equal(3))
		for _, out := range s.outputs {
			Expect(out.aborted).To(BeTrue(), "its caller has left")
		}
	})

	It("leaves the check to the others if it ends meanwhile", func() {
		s := simulate(2, simGoal, func(s *simRun) {
			s.engines.lose(s.lost.Address, silent)
			time.Sleep(90 * time.Millisecond)
			s.cancel["r1"]()
		})
		Expect(s.engines.repaths).To(HaveKey("r2"))
		Expect(s.engines.repaths).NotTo(HaveKey("r1"))
		Expect(s.dials["y:1"]).To(Equal(2))
		Expect(s.gateway.liveness.streams).To(BeEmpty(), "streams that have ended are forgotten")
		Expect(s.gateway.liveness.running).To(BeZero())
	})

	It("ends while its only check runs", func() {
		s := simulate(1, simGoal, func(s *simRun) {
			s.engines.lose(s.lost.Address, silent)
			time.Sleep(90 * time.Millisecond)
			s.cancel["r1"]()
		})
		Expect(s.moved).To(BeZero())
		Expect(s.gateway.liveness.running).To(BeZero())
	})
})

var _ = Describe("a stream that pauses while its stages are alive", func() {
	cases := []struct {
		name  string
		fault dialFault
		dials int // at least
	}{
		{"a slow stage", accepts, 1},
		{"a stage to which one packet is lost", losesFirst, 2},
		{"a host that has no file descriptors left", failsLocally, 1},
	}
	for _, c := range cases {
		It("keeps its path: "+c.name, func() {
			s := simulate(3, simGoal, func(s *simRun) {
				s.engines.mu.Lock()
				s.engines.faults[s.lost.Address] = c.fault
				s.engines.mu.Unlock()
				s.engines.setSlow(s.lost.Address, 200*time.Millisecond)
			})
			Expect(s.moved).To(BeZero())
			Expect(s.dials["y:1"]).To(BeNumerically(">=", c.dials))
			Expect(s.dials).NotTo(HaveKey("x:1"), "the first stage is not checked")
			Expect(s.gateway.tracker.Suspects()).To(BeEmpty())
		})
	}

	It("gets its events while a check runs, and stays", func() {
		cases := []struct {
			name     string
			interval time.Duration
			avoided  bool
		}{
			{"an event that may come from before the loss", 85 * time.Millisecond, true},
			{"an event that shows that the endpoint serves streams", 105 * time.Millisecond, false},
		}
		for _, c := range cases {
			s := simulate(1, simGoal, func(s *simRun) {
				s.engines.mu.Lock()
				s.engines.faults[s.lost.Address] = silent
				s.engines.mu.Unlock()
				s.engines.setSlow(s.lost.Address, c.interval)
			})
			Expect(s.dials["y:1"]).To(BeNumerically(">=", 2), c.name)
			Expect(s.pause).To(BeNumerically("<=", c.interval+5*time.Millisecond), c.name)
			Expect(s.moved).To(BeZero(), c.name)
			Expect(s.silent > 0).To(Equal(c.avoided), c.name)
		}
	})

	It("has no endpoint blamed by a check during which a stream that has ended since got an event", func() {
		cases := []struct {
			name  string
			event time.Duration // after the check began
			lost  int64
		}{
			{"an event that may come from before the loss", inFlightTime, 1},
			{"a later event", inFlightTime + time.Millisecond, 0},
		}
		for _, c := range cases {
			withChecker(func(b *checkerFixture) {
				w := &livenessWatch{
					checker: b.checker,
				}
				b.checker.setStages(w, []string{"y"})
				b.check("y")
				b.dialed(1)
				b.awaitWaiters(1)
				w.eventAt.Store(b.clock.Now().Add(c.event).UnixNano())
				b.clock.Advance(secondDialDelay)
				b.dialed(2)
				b.awaitWaiters(1)
				w.stop()
				b.clock.Advance(dialVerdictDelay)
				Eventually(b.checker.runningChecks, "5s").Should(BeZero())
				Expect(b.policy.lost.Load()).To(Equal(c.lost), c.name)
			})
		}
	})

	It("is checked at most once in each pause", func() {
		s := simulate(1, simGoal, func(s *simRun) { s.engines.setSlow(s.lost.Address, 290*time.Millisecond) })
		Expect(s.total).To(BeNumerically("<=", 6), "in 1.5 s")
		Expect(s.total).To(BeNumerically(">=", 4))
	})

	It("has no endpoint checked that is in backoff, has a rate limit, or passes on events of another stream", func() {
		cases := []struct {
			name    string
			prepare func(s *simRun)
		}{
			{"backoff", func(s *simRun) { s.gateway.observeNotice("y", fleet.Notice{Backoff: 10 * time.Second}) }},
			{"rate limit", func(s *simRun) {
				s.gateway.observeLimit("llm", "y", fleet.RateLimit{Status: fleet.LimitSet, PerSecond: 100}, time.Now())
			}},
			{"events of another stream", func(s *simRun) {
				s.engines.mu.Lock()
				s.engines.resume["r1"] = time.Now().Add(time.Hour)
				s.engines.mu.Unlock()
			}},
		}
		for _, c := range cases {
			s := simulate(2, simGoal, func(s *simRun) {
				if c.name != "events of another stream" {
					s.engines.lose("y:1", refuses)
				}
				c.prepare(s)
			})
			Expect(s.dials).NotTo(HaveKey("y:1"), c.name)
		}
	})
})
