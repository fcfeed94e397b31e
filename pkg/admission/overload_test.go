package admission

import (
	"fmt"
	"math"
	"sync"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// Runs have half the load until loadFrom, by which detectors know the usual remaining
	// times, and from loadTo on.
	loadFrom = 30.0
	loadTo   = 39.0
	runTo    = 46.0
	// settled is when control has reacted to the load: by then the leader has the demand of
	// one second by account.
	settled = loadFrom + 1.5
)

var modelHosts = []int{11, 69, 450}

// overload returns a scenario with a multiple of the capacity from loadFrom to loadTo.
func overload(hosts int, load float64) scenario {
	s := scenario{
		hosts:     hosts,
		perSecond: 200,
		accounts:  accountWeights(24),
		seed:      1,
		load: func(at float64) float64 {
			if at >= loadFrom && at < loadTo {
				return load
			}
			return 0.5
		},
	}
	if hosts > 100 {
		s.perSecond = 1000
		s.accounts = accountWeights(300)
	}
	return s
}

// accountWeights returns weights of which the first is the largest: 0.33 of 24, as measured.
func accountWeights(n int) []float64 {
	weights := make([]float64, n)
	sum := 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+2)
		sum += weights[i]
	}
	weights[0] = (sum - weights[0]) / 2
	return weights
}

// onTime returns the part of a rank's requests of a time that were on time.
func (m *model) onTime(rank int, from, to float64) float64 {
	asked, onTime := 0.0, 0.0
	for _, r := range m.requests {
		if at := r.at.Seconds(); r.rank == rank && at >= from && at < to {
			asked++
			if r.onTime {
				onTime++
			}
		}
	}
	return onTime / max(1, asked)
}

// goodput returns the tokens a second of the requests of a time that were on time.
func (m *model) goodput(from, to float64) float64 {
	tokens := 0.0
	for _, r := range m.requests {
		if at := r.at.Seconds(); r.onTime && at >= from && at < to {
			tokens += r.tokens
		}
	}
	return tokens / (to - from)
}

// refused returns how many of the requests of a time were refused at the first attempt.
func (m *model) refused(from, to float64) int {
	n := 0
	for _, r := range m.requests {
		if at := r.at.Seconds(); !r.admitted && at >= from && at < to {
			n++
		}
	}
	return n
}

// minFairStreams is the least fair share, in streams, that is compared. Of fewer, the number
// that is admitted varies by a quarter at random, so that accounts with smaller shares are
// compared together with the next ones, which ask for about as much.
const minFairStreams = 100

// fairness returns the least and the largest ratio of what accounts got to their max-min fair
// share. Their fair share is that of what was admitted of each rank.
func (m *model) fairness(from, to float64) (least, largest float64) {
	fair, got := make([]float64, len(m.accounts)), make([]float64, len(m.accounts))
	tokens, streams := 0.0, 0.0
	for rank := range modelRoutes {
		asked := make([]accountDemand, len(m.accounts))
		admitted := 0.0
		for _, r := range m.requests {
			if at := r.at.Seconds(); r.rank != rank || at < from || at >= to {
				continue
			}
			asked[r.account].tokens += r.tokens
			tokens += r.tokens
			streams++
			if r.admitted {
				admitted += r.tokens
				got[r.account] += r.tokens
			}
		}
		level := fairLevel(asked, admitted)
		for i, a := range asked {
			fair[i] += min(level, a.tokens)
		}
	}
	least = math.Inf(1)
	fairSum, gotSum := 0.0, 0.0
	for i := range fair { // the largest account first
		fairSum += fair[i]
		gotSum += got[i]
		if fairSum >= minFairStreams*tokens/streams {
			least, largest = min(least, gotSum/fairSum), max(largest, gotSum/fairSum)
			fairSum, gotSum = 0, 0
		}
	}
	return least, largest
}

// runs holds the runs that specs look at, by name. They are made at the same time before the
// first spec; each is deterministic by itself.
var runs = map[string]*model{}

var _ = ginkgo.BeforeSuite(func() {
	group := sync.WaitGroup{}
	for _, m := range runs {
		group.Go(func() { m.run(runTo) })
	}
	group.Wait()
})

// prepare adds a run, which is finished when specs run.
func prepare(name string, s scenario) *model {
	if runs[name] == nil {
		runs[name] = newModel(s)
	}
	return runs[name]
}

func prepareOverload(hosts int, load float64) *model {
	return prepare(fmt.Sprint(hosts, " hosts, load ", load), overload(hosts, load))
}

// expectOrder checks that in every 2 s each rank is on time at least as often as the next.
func expectOrder(m *model, from, to float64) {
	for at := from; at+2 <= to; at += 0.5 {
		for rank := range 2 {
			urgent, other := m.onTime(rank, at, at+2), m.onTime(rank+1, at, at+2)
			ExpectWithOffset(1, urgent).To(BeNumerically(">=", other), fmt.Sprintf("ranks %d and %d, from %v s on", rank, rank+1, at))
		}
	}
}

// expectFair checks over 5 s each that accounts get their fair share.
func expectFair(m *model, from, to, leastRatio, largestRatio float64) {
	for at := from; at+5 <= to; at++ {
		least, largest := m.fairness(at, at+5)
		ExpectWithOffset(1, least).To(BeNumerically(">=", leastRatio), fmt.Sprintf("from %v s on", at))
		ExpectWithOffset(1, largest).To(BeNumerically("<=", largestRatio), fmt.Sprintf("from %v s on", at))
	}
}

// expectRetries checks that few of those that retry when they were told to are refused again.
func expectRetries(m *model, from, to float64) {
	retried, again, refused, rejected := 0.0, 0.0, 0.0, 0.0
	for _, r := range m.requests {
		if at := r.at.Seconds(); at < from || at >= to {
			continue
		}
		if r.retried {
			retried++
		}
		if r.refusedAgain {
			again++
		}
		if !r.admitted {
			refused++
		}
		if r.rejected {
			rejected++
		}
	}
	ExpectWithOffset(1, again).To(BeNumerically("<=", 0.05*retried), fmt.Sprintf("of %v", retried))
	ExpectWithOffset(1, rejected).To(BeNumerically("<=", 0.01*refused), "a refusal by endpoints takes longer than 10 ms")
}

var _ = ginkgo.Describe("a service under overload", func() {
	for _, hosts := range modelHosts {
		for _, load := range []float64{0.5, 1, 2, 3} {
			about := fmt.Sprintf(": %d hosts, %v times the capacity", hosts, load)
			m, usual := prepareOverload(hosts, load), prepareOverload(hosts, 1)
			ginkgo.It("serves the most urgent rank on time, and more urgent ones more often"+about, func() {
				Expect(m.onTime(0, loadFrom, loadTo)).To(BeNumerically(">=", 0.98))
				expectOrder(m, loadFrom, loadTo)
			})

			ginkgo.It("does as much work on time as at 1 time the capacity, and is normal 2 s later"+about, func() {
				if load > 1 {
					Expect(m.goodput(loadFrom, loadTo)).To(BeNumerically(">=", 0.9*usual.goodput(loadFrom, loadTo)))
				}
				Expect(m.refused(loadTo+2, runTo)).To(BeZero())
				for rank := range modelRoutes {
					Expect(m.onTime(rank, loadTo+2, runTo)).To(BeNumerically(">=", 0.98))
				}
			})

			ginkgo.It("gives each client account its fair share, and leaves no capacity unused"+about, func() {
				expectFair(m, settled, loadTo, 1/1.25, 1.25)
				if load <= 0.5 {
					Expect(m.refused(0, runTo)).To(BeZero())
				}
				for s := int(loadFrom) + 2; load > 1 && s < loadTo; s++ {
					Expect(m.occupancy[s]).To(BeNumerically(">=", 0.9), fmt.Sprint("second ", s))
				}
			})

			ginkgo.It("refuses hardly any caller again that retries when it was told to"+about, func() {
				expectRetries(m, 0, runTo)
			})
		}
	}
})
