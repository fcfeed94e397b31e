package chain_test

import (
	"context"
	"fmt"
	"sync"

	"github.com/larchwinch/larchwinch/pkg/chain"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/larchwinch/larchwinch/pkg/standin/engine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fault is a way in which a stage can fail.
type fault struct {
	name   string
	inject func(h *fakeHost)
}

func injectEngineFault(f engine.Fault) func(h *fakeHost) {
	return func(h *fakeHost) {
		h.engine.SetFault(f)
	}
}

const (
	longFreezeMS  = 60_000
	shortFreezeMS = 700
)

var faults = []fault{
	{name: "kill", inject: (*fakeHost).kill},
	{name: "freeze", inject: injectEngineFault(engine.Fault{FreezeMS: longFreezeMS})},
	{name: "freeze and thaw", inject: injectEngineFault(engine.Fault{FreezeMS: shortFreezeMS})},
	{name: "inbound cut", inject: injectEngineFault(engine.Fault{Cut: true})},
	{name: "outbound cut", inject: injectEngineFault(engine.Fault{CutOut: true})},
	{name: "slow", inject: injectEngineFault(engine.Fault{Slow: 30})},
	{name: "doubled", inject: injectEngineFault(engine.Fault{Duplicate: true})},
	{name: "reordered", inject: injectEngineFault(engine.Fault{Reorder: true})},
	{name: "corrupt", inject: injectEngineFault(engine.Fault{Corrupt: true})},
	{name: "restart", inject: injectEngineFault(engine.Fault{Forget: true})},
	{name: "crash in a pass", inject: injectEngineFault(engine.Fault{DieAfter: 1})},
}

// steps are the numbers of emitted tokens at which faults are injected: before
// the request is opened, at the answer to the prefill, early, in the middle, and
// before the last token.
var steps = []int{0, 1, 2, maxTokens / 2, maxTokens - 1}

// scenario is a set of faults and when they are injected.
type scenario struct {
	name   string
	events []event
}

type event struct {
	fault fault
	stage int
	step  int
}

// runScenarios runs the scenarios in parallel, each on its own cluster, and
// returns the errors.
func runScenarios(scenarios []scenario) []string {
	var mu sync.Mutex
	var failures []string
	g := group.New(context.Background())
	limit := make(chan struct{}, 8)
	for i, c := range scenarios {
		g.Go(func(context.Context) {
			limit <- struct{}{}
			defer func() { <-limit }()
			if err := runScenario(c, i); err != nil {
				mu.Lock()
				failures = append(failures, c.name+": "+err.Error())
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return failures
}

func runScenario(c scenario, i int) error {
	cl, err := newCluster(3)
	if err != nil {
		return err
	}
	defer cl.stop()
	id := fmt.Sprintf("r%d", i)
	a := cl.generate(id, func(n int) {
		for _, e := range c.events {
			if e.step == n {
				e.fault.inject(cl.servingHost(e.stage))
			}
		}
	})
	return cl.verify(id, a)
}

var _ = Describe("a request over a chain", func() {
	It("returns the complete answer when nothing fails", func() {
		Expect(runScenarios([]scenario{{name: "healthy"}})).To(BeEmpty())
	})

	for _, f := range faults {
		It("returns the complete answer and runs each position once per stage after: "+f.name, func() {
			var scenarios []scenario
			for stage := range 3 {
				for _, step := range steps {
					scenarios = append(scenarios, scenario{
						name: fmt.Sprintf("%s of stage %d at token %d", f.name, stage, step),
						events: []event{{
							fault: f,
							stage: stage,
							step:  step,
						}},
					})
				}
			}
			Expect(runScenarios(scenarios)).To(BeEmpty())
		})
	}

	for _, first := range faults[:4] {
		It("survives a second fault right after: "+first.name, func() {
			var scenarios []scenario
			for _, second := range faults[:5] {
				for stage := range 3 {
					scenarios = append(scenarios, scenario{
						name: fmt.Sprintf("%s of stage 1 and %s of stage %d", first.name, second.name, stage),
						events: []event{
							{fault: first, stage: 1, step: 5},
							{fault: second, stage: stage, step: 6},
						},
					})
				}
			}
			Expect(runScenarios(scenarios)).To(BeEmpty())
		})
	}

	It("survives the loss of all three stages at once", func() {
		Expect(runScenarios([]scenario{{
			name: "three kills",
			events: []event{
				{fault: faults[0], stage: 0, step: 7},
				{fault: faults[0], stage: 1, step: 7},
				{fault: faults[0], stage: 2, step: 7},
			},
		}})).To(BeEmpty())
	})
})

var _ = Describe("a leaving endpoint", func() {
	It("interrupts no request: its KV cache is moved, and no position runs twice", func() {
		for stage := range 3 {
			cl, err := newCluster(2)
			Expect(err).NotTo(HaveOccurred())
			var leavingHost *fakeHost
			a := cl.generate("moved", func(n int) {
				if n != 3 {
					return
				}
				leavingHost = cl.servingHost(stage)
				cl.dir.Apply(&rpc.BeatReply{
					Epoch:     1,
					Version:   2,
					Endpoints: []*rpc.Endpoint{leavingHost.endpoint(rpc.EndpointState_ENDPOINT_LEAVING)},
				})
			})
			Expect(cl.verify("moved", a)).To(Succeed())
			Expect(a.result.Path).NotTo(ContainElement(leavingHost.address))
			Expect(cl.runsOf("moved", stage)).To(HaveEach(1))
			cl.stop()
		}
	})

	It("completes the request if no endpoint can replace it", func() {
		cl, err := newCluster(1)
		Expect(err).NotTo(HaveOccurred())
		defer cl.stop()
		a := cl.generate("stays", func(n int) {
			if n == 3 {
				cl.hosts[1].engine.SetLeaving(true)
				cl.dir.Endpoint(cl.hosts[1].address).SetLeaving()
			}
		})
		Expect(cl.verify("stays", a)).To(Succeed())
		Expect(a.result.Path).To(ContainElement(cl.hosts[1].address))
	})

	It("gets no new requests once an engine has reported it", func() {
		cl, err := newCluster(2)
		Expect(err).NotTo(HaveOccurred())
		defer cl.stop()
		cl.hosts[0].engine.SetLeaving(true)
		for i := range 12 {
			Expect(cl.verify(fmt.Sprint("new", i), cl.generate(fmt.Sprint("new", i), func(int) {}))).To(Succeed())
		}
		started := 0
		for _, e := range cl.hosts[0].engine.Ledger().All() {
			if len(e.Runs) > 0 {
				started++
			}
		}
		Expect(started).To(BeNumerically("<=", 1), "only the request that received the notice may have started there")
	})
})

// runsOf returns how often each position was run on all hosts of a stage.
func (c *cluster) runsOf(id string, stage int) []int {
	const span = layers / 3
	var sum []int
	for _, h := range c.hosts {
		e, _ := h.engine.Ledger().Get(id)
		if h.first != stage*span {
			continue
		}
		for pos, n := range e.Runs {
			for len(sum) <= pos {
				sum = append(sum, 0)
			}
			sum[pos] += n
		}
	}
	return sum
}

var _ = Describe("a request that cannot run", func() {
	It("reports that it was not run when no chain covers the model", func() {
		cl, err := newCluster(1)
		Expect(err).NotTo(HaveOccurred())
		defer cl.stop()
		cl.dir.Apply(&rpc.BeatReply{
			Epoch:     1,
			Version:   2,
			Endpoints: []*rpc.Endpoint{cl.hosts[1].endpoint(rpc.EndpointState_ENDPOINT_LEAVING)},
		})
		a := cl.generate("none", func(int) {})
		f := failure.From(a.err)
		Expect(f.Kind()).To(Equal(failure.NoChain))
		Expect(f.Ran()).To(Equal(failure.RanNo))
		for _, h := range cl.hosts {
			_, ran := h.engine.Ledger().Get("none")
			Expect(ran).To(BeFalse())
		}
	})

	It("reports that it was not run when every engine of a stage is gone", func() {
		cl, err := newCluster(1)
		Expect(err).NotTo(HaveOccurred())
		defer cl.stop()
		cl.hosts[2].kill()
		a := cl.generate("gone", func(int) {})
		Expect(failure.From(a.err).Ran()).To(Equal(failure.RanNo))
		for _, h := range cl.hosts {
			_, ran := h.engine.Ledger().Get("gone")
			Expect(ran).To(BeFalse())
		}
	})

	It("reports that the engines are full and when to retry, and no endpoint is avoided", func() {
		cl, err := newCluster(2)
		Expect(err).NotTo(HaveOccurred())
		defer cl.stop()
		for _, h := range cl.hosts[2:4] {
			h.engine.SetFault(engine.Fault{Full: true})
		}
		f := failure.From(cl.generate("full", func(int) {}).err)
		Expect(f.Kind()).To(Equal(failure.Overloaded))
		Expect(f.Ran()).To(Equal(failure.RanNo))
		Expect(f.RetryAfter()).To(BeNumerically(">", 0))
		for _, h := range cl.hosts {
			Expect(cl.dir.Endpoint(h.address).Avoided()).To(BeFalse())
		}
	})

	It("fails when no endpoint can replace a lost stage, and reports that it ran", func() {
		cl, err := newCluster(1)
		Expect(err).NotTo(HaveOccurred())
		defer cl.stop()
		a := cl.generate("lost", func(n int) {
			if n == 3 {
				cl.hosts[1].kill()
			}
		})
		f := failure.From(a.err)
		Expect(f.Kind()).To(Equal(failure.EndpointFailed))
		Expect(f.Ran()).To(Equal(failure.RanYes))
		Expect(f.RetryAfter()).To(BeNumerically(">", 0))
	})

	It("is not restarted if it must run at most once", func() {
		cases := []struct {
			once             bool
			minGenerateCalls int // generate requests sent to first stages
		}{
			{once: true, minGenerateCalls: 1},
			{once: false, minGenerateCalls: 2},
		}
		for _, c := range cases {
			cl, err := newCluster(2)
			Expect(err).NotTo(HaveOccurred())
			generateCalls := cl.abortGenerate(2)
			_, err = cl.runner.Run(context.Background(), chain.Request{
				ID:        "first",
				Model:     testModel,
				Prompt:    prompt,
				MaxTokens: maxTokens,
				Once:      c.once,
			}, func(chain.Token) error { return nil })
			Expect(generateCalls.Load()).To(BeNumerically(">=", c.minGenerateCalls))
			if c.once {
				f := failure.From(err)
				Expect(f.Kind()).To(Equal(failure.EndpointFailed))
				Expect(f.Ran()).To(Equal(failure.RanUnknown))
				Expect(generateCalls.Load()).To(Equal(int64(1)), "only one generate request may be sent")
			}
			cl.stop()
		}
	})

	It("ends when the caller goes away", func() {
		cl, err := newCluster(1)
		Expect(err).NotTo(HaveOccurred())
		defer cl.stop()
		ctx, cancel := context.WithCancel(context.Background())
		_, err = cl.runner.Run(ctx, chain.Request{
			ID:        "away",
			Model:     testModel,
			Prompt:    prompt,
			MaxTokens: 1000,
		}, func(t chain.Token) error {
			if t.Index == 2 {
				cancel()
			}
			return nil
		})
		Expect(failure.Is(err, failure.DeadlineExceeded)).To(BeTrue())
	})
})
