package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// benchmarkGate returns a gate with 1,200 accounts in 6 classes, 48 of them with their own share.
func benchmarkGate(clock Clock) *Gate {
	g := NewGate(clock, seeded(1))
	allocation := Allocation{
		Service:  "s",
		Shortage: 3 * time.Second,
	}
	for index := range 6 {
		c := ClassShare{
			Class: ClassAt(index),
			Share: 0.5,
		}
		for account := range uint32(8) {
			c.Accounts = append(c.Accounts, AccountShare{
				Account: account,
				Share:   0.2,
			})
		}
		allocation.Classes = append(allocation.Classes, c)
	}
	g.Apply([]Allocation{allocation}, 0)
	return g
}

// BenchmarkDecide measures a decision with 1,200 accounts in 6 classes, more than there are
// credits for, half of which are refusals that book a time.
func BenchmarkDecide(b *testing.B) {
	g := benchmarkGate(timer.NewManual(time.Unix(1000, 0)))
	n := 0
	for b.Loop() {
		n++
		q := queryOf(0, uint32(n%1200))
		q.Class = ClassAt(n / 1200 % 6)
		q.Remaining = 20 * time.Second
		q.FinishRate = 1e5
		g.Decide(q)
	}
}

// BenchmarkAdmit measures all that a host does for a request, with 1,200 accounts.
func BenchmarkAdmit(b *testing.B) {
	clock := timer.NewManual(time.Unix(1000, 0))
	c := NewController(clock, seeded(1))
	c.gate = benchmarkGate(clock)
	accounts := make([]string, 1200)
	for i := range accounts {
		accounts[i] = fmt.Sprintf("account-%d", i)
	}
	n := 0
	for b.Loop() {
		n++
		_, stream := c.Admit(Request{
			Service:   "s",
			Route:     "r",
			Rank:      n / 1200 % 3,
			Account:   accounts[n%1200],
			Tokens:    100,
			Remaining: time.Duration(3+n%4) * time.Second,
		})
		if stream != nil {
			stream.End()
		}
		if n%100 == 0 {
			clock.Advance(10 * time.Millisecond)
		}
		if n%4000 == 0 {
			c.TakeReports()
		}
	}
}
