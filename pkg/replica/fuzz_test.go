package replica

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

// fixSeed sets the rapid seed to 1, unless a seed was given on the command line.
func fixSeed() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1") // cannot fail for a number
	}
}

// TestReplicatedLogFuzz runs three or five replicas through random faults and
// checks that the log stays consistent and no acknowledged write is lost.
func TestReplicatedLogFuzz(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), n)
		index := rapid.IntRange(0, n-1)
		host := rapid.Custom(func(t *rapid.T) uint64 {
			return s.ids()[index.Draw(t, "index")]
		})
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "ticks") {
					s.tick()
					s.deliverSome(true)
				}
				s.continueReplacement()
			},
			"write": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "writes") {
					for _, id := range s.ids() {
						s.propose(id)
					}
					s.deliverSome(true)
				}
			},
			"read": func(t *rapid.T) {
				for _, id := range s.ids() {
					s.read(id)
				}
				s.deliverSome(true)
			},
			"lose disk": func(t *rapid.T) {
				s.loseDisk(host.Draw(t, "host"))
			},
			"lose disk, others lose power": func(t *rapid.T) {
				s.loseDiskDuringPowerLoss(host.Draw(t, "host"))
			},
			"crash": func(t *rapid.T) {
				s.crash(host.Draw(t, "host"))
			},
			"crash soon": func(t *rapid.T) {
				s.hosts[host.Draw(t, "host")].disk.CrashIn(rapid.IntRange(1, 12).Draw(t, "operations"))
			},
			"restart": func(t *rapid.T) {
				if id := host.Draw(t, "host"); s.hosts[id].node == nil {
					s.start(id)
				}
			},
			"freeze": func(t *rapid.T) {
				h := s.hosts[host.Draw(t, "host")]
				h.frozen = !h.frozen
			},
			"isolate": func(t *rapid.T) {
				s.isolate(host.Draw(t, "host"))
			},
			"supersede leader": func(t *rapid.T) {
				s.forceLeaderChange(rapid.Bool().Draw(t, "freeze"), rapid.IntRange(1, 35).Draw(t, "ticks"))
			},
			"retire running host": func(t *rapid.T) {
				s.replaceRunning(host.Draw(t, "host"))
			},
			"cut one way": func(t *rapid.T) {
				key := [2]uint64{host.Draw(t, "from"), host.Draw(t, "to")}
				s.blockedLinks[key] = !s.blockedLinks[key]
			},
			"heal": func(*rapid.T) {
				s.blockedLinks = map[[2]uint64]bool{}
			},
			"snapshot": func(t *rapid.T) {
				s.snapshot(host.Draw(t, "host"))
			},
			"": func(t *rapid.T) {
				if s.err != nil {
					t.Fatalf("%v\n%s", s.err, s)
				}
			},
		})
		if err := s.healAndCheck(); err != nil {
			t.Fatalf("%v\n%s", err, s)
		}
	})
}
