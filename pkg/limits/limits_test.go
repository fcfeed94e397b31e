package limits_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/group"
	"github.com/larchwinch/larchwinch/pkg/limits"
	"github.com/larchwinch/larchwinch/pkg/timer"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits")
}

var start = time.Unix(1_000_000, 0)

func account(name string, weight int) bundle.Account {
	return bundle.Account{
		Name:              name,
		Weight:            weight,
		RequestsPerSecond: 40,
		TokensPerSecond:   400,
		Concurrent:        8,
	}
}

func hosts(n int) func() int {
	return func() int {
		return n
	}
}

// countAdmitted returns how many of n requests are admitted, each ending at once.
func countAdmitted(a *limits.Accounts, acc bundle.Account, n, tokens int) int {
	in := 0
	for range n {
		if a.Acquire(acc, tokens) == nil {
			in++
			a.Release(acc, 0)
		}
	}
	return in
}

var _ = Describe("Accounts", func() {
	It("holds an account to its rate, over all hosts together", func() {
		const n = 4
		svc := timer.NewManual(start)
		var all []*limits.Accounts
		for range n {
			all = append(all, limits.NewAccounts(svc, hosts(n)))
		}
		acc := account("a", 1)
		total := 0
		for range 100 { // ten seconds of more requests than allowed on every host
			for _, a := range all {
				total += countAdmitted(a, acc, 5, 0)
			}
			svc.Advance(100 * time.Millisecond)
		}
		// The limit, and the burst of two seconds with which a new account starts.
		Expect(total).To(BeNumerically("~", 40*10+80, n))
	})

	It("returns when to retry, and then admits the request", func() {
		svc := timer.NewManual(start)
		a := limits.NewAccounts(svc, hosts(1))
		acc := account("a", 1)
		Expect(countAdmitted(a, acc, 80, 0)).To(Equal(80))
		f := failure.From(a.Acquire(acc, 0))
		Expect(f.Kind()).To(Equal(failure.RateLimited))
		Expect(f.Ran()).To(Equal(failure.RanNo))
		svc.Advance(f.RetryAfter())
		Expect(a.Acquire(acc, 0)).To(Succeed())
	})

	It("counts tokens, and returns unused ones", func() {
		svc := timer.NewManual(start)
		a := limits.NewAccounts(svc, hosts(1))
		acc := account("a", 1)
		Expect(a.Acquire(acc, 800)).To(Succeed())
		Expect(failure.Is(a.Acquire(acc, 100), failure.TokensLimited)).To(BeTrue())
		a.Release(acc, 500)
		Expect(a.Acquire(acc, 400)).To(Succeed())
	})

	It("bounds requests in flight, and admits one when another ends", func() {
		a := limits.NewAccounts(timer.NewManual(start), hosts(2))
		acc := account("a", 1)
		for range 4 {
			Expect(a.Acquire(acc, 0)).To(Succeed())
		}
		Expect(failure.Is(a.Acquire(acc, 0), failure.ConcurrencyLimited)).To(BeTrue())
		a.Release(acc, 0)
		Expect(a.Acquire(acc, 0)).To(Succeed())
	})

	It("drops an account that is never seen again", func() {
		svc := timer.NewManual(start)
		a := limits.NewAccounts(svc, hosts(1))
		countAdmitted(a, account("a", 1), 1, 0)
		Expect(a.Sweep()).To(BeEmpty())
		svc.Advance(time.Hour)
		Expect(a.Sweep()).To(Equal([]string{"a"}))
	})
})

// queueTest has requests wait in an admission queue, and records their names in the order in
// which they are admitted.
type queueTest struct {
	svc       *timer.Manual
	admission *limits.AdmissionQueue
	capacity  int
	mu        sync.Mutex
	admitted  []string
	g         *group.Group
}

func newQueueTest(budget time.Duration) *queueTest {
	r := &queueTest{
		svc: timer.NewManual(start),
		g:   group.New(context.Background()),
	}
	r.admission = limits.NewAdmissionQueue(r.svc, budget, func() int { return r.capacity })
	return r
}

// enqueue adds a request and returns once it waits.
func (r *queueTest) enqueue(name string, acc bundle.Account, priority int) {
	before, _ := r.admission.Counts()
	r.g.Go(func(ctx context.Context) {
		if r.admission.Acquire(ctx, acc, priority) != nil {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.admitted = append(r.admitted, name)
	})
	Eventually(func() int {
		n, _ := r.admission.Counts()
		return n
	}, 10*time.Second, time.Millisecond).Should(Equal(before + 1))
}

// admit raises the capacity n times by one, each admitting one request.
func (r *queueTest) admit(n int) []string {
	for range n {
		r.mu.Lock()
		want := len(r.admitted) + 1
		r.mu.Unlock()
		r.capacity++
		r.admission.CapacityChanged()
		Eventually(func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.admitted)
		}, 10*time.Second, time.Millisecond).Should(Equal(want))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.admitted...)
}

var _ = Describe("AdmissionQueue", func() {
	It("admits the highest priority first", func() {
		r := newQueueTest(time.Hour)
		defer r.g.Stop()
		r.enqueue("batch", account("a", 1), 1)
		r.enqueue("note", account("a", 1), 9)
		Expect(r.admit(2)).To(Equal([]string{"note", "batch"}))
	})

	It("admits a request that has waited for long before a newer one of higher priority", func() {
		r := newQueueTest(time.Hour)
		defer r.g.Stop()
		r.enqueue("batch", account("a", 1), 1)
		r.svc.Advance(5 * time.Second)
		r.enqueue("note", account("a", 1), 9)
		Expect(r.admit(1)).To(Equal([]string{"batch"}))
	})

	It("shares by weight, so that a large account can't starve a small one", func() {
		r := newQueueTest(time.Hour)
		defer r.g.Stop()
		for i := range 12 {
			r.enqueue("large", account("large", 3), 5)
			if i < 4 {
				r.enqueue("small", account("small", 1), 5)
			}
		}
		small := 0
		for _, name := range r.admit(8) {
			if name == "small" {
				small++
			}
		}
		Expect(small).To(Equal(2), "a quarter of eight")
	})

	It("refuses at once a request that would wait for too long, and returns when to retry", func() {
		r := newQueueTest(time.Second)
		defer r.g.Stop()
		r.capacity = 1
		Expect(r.admission.Acquire(context.Background(), account("a", 1), 5)).To(Succeed())
		r.enqueue("one", account("a", 1), 5)
		r.enqueue("two", account("a", 1), 5)
		f := failure.From(r.admission.Acquire(context.Background(), account("a", 1), 5))
		Expect(f.Kind()).To(Equal(failure.Overloaded))
		Expect(f.RetryAfter()).To(BeNumerically(">=", time.Second))
		Expect(r.admission.Acquire(context.Background(), account("a", 1), 5)).NotTo(Succeed())
	})

	It("lets a request whose context ends leave the queue", func() {
		r := newQueueTest(time.Hour)
		defer r.g.Stop()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		f := failure.From(r.admission.Acquire(ctx, account("a", 1), 5))
		Expect(f.Ran()).To(Equal(failure.RanNo))
		waiting, running := r.admission.Counts()
		Expect(waiting + running).To(BeZero())
	})
})
