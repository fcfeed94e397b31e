package simulation

import (
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSimulation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "simulation")
}

// mixedDeployment is a deployment of three kinds of accelerators in three failure
// domains, under 255 streams a second with means of 770 prompt tokens and 47 events of
// 5 tokens.
func mixedDeployment() *Scenario {
	return &Scenario{
		Engine: &fleet.Engine{
			Layers:        80,
			LayerMB:       1750,
			StepTime:      1020 * time.Microsecond,
			PerSequence:   4590 * time.Nanosecond,
			PerContext:    6150 * time.Nanosecond,
			ReadPerSecond: 164000,
			CacheBytes:    590000.0 / 80,
			Prompt:        772,
			Answer:        235,
			LoadsAtOnce:   6,
			Delays: map[fleet.DomainPair]time.Duration{
				{A: "a", B: "b"}: 500 * time.Microsecond,
				{A: "a", B: "c"}: 500 * time.Microsecond,
				{A: "b", B: "c"}: 500 * time.Microsecond,
			},
			Kinds: map[string]fleet.Kind{
				"fast": {MB: 72000, Pace: 2.4, ReadFactor: 3.2},
				"mid":  {MB: 43200, Pace: 5.6, ReadFactor: 2.7},
				"slow": {MB: 21600, Pace: 16, ReadFactor: 8.2},
			},
		},
		Groups: []Group{
			{Kind: "fast", Domain: "a", Count: 2}, {Kind: "fast", Domain: "b", Count: 4}, {Kind: "fast", Domain: "c", Count: 2},
			{Kind: "mid", Domain: "a", Count: 15}, {Kind: "mid", Domain: "b", Count: 6}, {Kind: "mid", Domain: "c", Count: 9},
			{Kind: "slow", Domain: "a", Count: 12}, {Kind: "slow", Domain: "b", Count: 14}, {Kind: "slow", Domain: "c", Count: 22},
		},
		Hosts:          26,
		TokensPerEvent: 5,
		Chunk:          512,
		Hop:            100 * time.Microsecond,
		PerSecond:      255,
		Prompt:         770,
		Events:         47,
		SizeSigma:      0.8,
		FirstEventGoal: 500 * time.Millisecond,
		PauseGoal:      250 * time.Millisecond,
	}
}

// seeds are the random seeds of a test's runs.
var seeds = []uint64{1, 2}

var _ = Describe("steady load on mixed accelerators", func() {
	// Guards against a path cost that leaves out the time for which tokens wait for
	// passes.
	It("gets paths of few stages, and short streams", func() {
		pathLength, duration := 0.0, time.Duration(0)
		for _, seed := range seeds {
			m := New(mixedDeployment(), seed)
			m.Run(14 * time.Second)
			r := m.Between(5*time.Second, 7*time.Second)
			Expect(r.Refused).To(BeZero())
			Expect(r.Completed).To(BeNumerically(">", 0.98*float64(r.Requested)), "the longest ones still run")
			pathLength += r.MeanPathLength / float64(len(seeds))
			duration += r.MeanDuration / time.Duration(len(seeds))
		}
		Expect(pathLength).To(BeNumerically("<", 4.75))
		Expect(duration).To(BeNumerically("<", 2050*time.Millisecond))
	})
})

var _ = Describe("a stop of all hosts under full load", func() {
	// Callers whose streams were interrupted retry at once, when the hosts are back.
	It("leaves new streams on time once the hosts are back, though all interrupted ones resume then", func() {
		requested, onTime := 0, 0
		for _, seed := range seeds {
			m := New(mixedDeployment(), seed)
			m.Run(7 * time.Second)
			m.StopAllHosts(500*time.Millisecond, time.Second, 100*time.Millisecond)
			m.Run(12 * time.Second)
			r := m.Between(7700*time.Millisecond, 9*time.Second)
			requested += r.Requested
			onTime += r.InTime
		}
		Expect(float64(onTime)).To(BeNumerically(">", 0.51*float64(requested)), "resumed streams must not hold up new ones")
	})
})
