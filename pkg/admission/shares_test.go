package admission

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// demandsOf returns a class's demand with one account for each number of tokens, the first of
// key 1.
func demandsOf(rank int, late bool, tokens ...float64) classDemand {
	c := classDemand{class: Class{Rank: rank, Late: late}}
	for i, t := range tokens {
		c.accounts = append(c.accounts, accountDemand{account: uint32(i + 1), tokens: t})
	}
	return c
}

func always(rate float64) func(Class) float64 {
	return func(Class) float64 { return rate }
}

// admittedTokens returns what the shares admit of a class's demand.
func (s ClassShare) admittedTokens(c classDemand) float64 {
	sum := 0.0
	for _, a := range c.accounts {
		sum += a.tokens * s.shareOf(a.account)
	}
	return sum
}

// shareOf returns the share that applies to an account.
func (s ClassShare) shareOf(account uint32) float64 {
	for _, a := range s.Accounts {
		if a.Account == account {
			return a.Share
		}
	}
	if s.Others != nil && account != 0 {
		return s.Others.share(account)
	}
	return s.Share
}

var _ = ginkgo.Describe("tokens that are divided among classes", func() {
	cases := []struct {
		name    string
		classes []classDemand
		rates   []float64 // by rank
		shares  []float64
		limited bool
	}{
		{"enough for all", []classDemand{demandsOf(0, false, 40), demandsOf(1, false, 60)}, []float64{100, 100}, []float64{1, 1}, false},
		{"the more urgent first", []classDemand{demandsOf(0, false, 40), demandsOf(1, false, 60), demandsOf(2, false, 10)}, []float64{70, 70, 70}, []float64{1, 0.5, 0}, true},
		{"a more urgent rank may have more", []classDemand{demandsOf(0, false, 100), demandsOf(1, false, 60)}, []float64{90, 40}, []float64{0.9, 0}, true},
		{"late requests after the others of their rank", []classDemand{demandsOf(0, false, 50), demandsOf(0, true, 50), demandsOf(1, false, 50)}, []float64{75, 75}, []float64{1, 0.5, 0}, true},
		{"rounding leaves nothing", []classDemand{demandsOf(0, false, 3), demandsOf(0, true, 0.10000000000005116), demandsOf(1, false, 1000), demandsOf(1, true, 1)}, []float64{259.1000000000001, 259.1000000000001}, []float64{1, 1, 0.256, 0}, true},
		{"nothing is left", []classDemand{demandsOf(0, false, 50)}, []float64{0}, []float64{0}, true},
		{"no demand", nil, nil, []float64{}, false},
	}
	for _, c := range cases {
		ginkgo.It("go to classes in order: "+c.name, func() {
			list, limited := divide(c.classes, 7, func(class Class) float64 { return c.rates[class.Rank] })
			shares := []float64{}
			for i, s := range list {
				Expect(s.Class).To(Equal(c.classes[i].class))
				shares = append(shares, s.Share)
				Expect(s.admittedTokens(c.classes[i])).To(BeNumerically("~", c.shares[i]*c.classes[i].tokens(), 1e-6))
				if c.shares[i] == 0 {
					Expect(s.Share).To(BeZero())
				}
			}
			Expect(limited).To(Equal(c.limited))
			if !limited {
				Expect(shares).To(Equal(c.shares))
			}
		})
	}
})

var _ = ginkgo.Describe("tokens that are divided among client accounts", func() {
	cases := []struct {
		name   string
		wanted []float64
		tokens float64
		shares []float64
	}{
		{"one", []float64{100}, 40, []float64{0.4}},
		{"those that ask for little get all", []float64{100, 10, 30}, 60, []float64{0.25, 1, 25.0 / 30}},
		{"all ask for more than an even part", []float64{100, 200}, 60, []float64{0.3, 0.15}},
		{"ten times as much costs the others nothing", []float64{1000, 20, 20, 20}, 80, []float64{0.02, 1, 1, 1}},
	}
	for _, c := range cases {
		ginkgo.It("are divided max-min fairly: "+c.name, func() {
			list, _ := divide([]classDemand{demandsOf(0, false, c.wanted...)}, 7, always(c.tokens))
			for i, want := range c.shares {
				Expect(list[0].shareOf(uint32(i + 1))).To(BeNumerically("~", want, 1e-9))
			}
		})
	}

	ginkgo.It("are divided in the last class that gets any, and no other lists accounts", func() {
		classes := []classDemand{demandsOf(0, false, 10, 20), demandsOf(1, false, 100, 10), demandsOf(2, false, 10, 20)}
		list, _ := divide(classes, 7, always(60))
		Expect(list[0].Accounts).To(BeEmpty())
		Expect(list[1].Accounts).To(Equal([]AccountShare{{Account: 1, Share: 0.2}, {Account: 2, Share: 1}}))
		Expect(list[2].Accounts).To(BeEmpty())
	})

	ginkgo.It("are listed for 16 accounts over all classes if there are more than 48, those that ask for most", func() {
		var wanted []float64
		for n := range 100 {
			wanted = append(wanted, float64(100+n))
		}
		urgent, other := demandsOf(0, false, wanted...), demandsOf(1, false, wanted...)
		other.accounts = append(other.accounts, accountDemand{account: 999, tokens: 5000})
		rates := []float64{urgent.tokens() / 2, urgent.tokens()/2 + 1000} // both are admitted in part
		list, _ := divide([]classDemand{urgent, other}, 7, func(c Class) float64 { return rates[c.Rank] })
		Expect(len(list[0].Accounts) + len(list[1].Accounts)).To(Equal(tabledAccountShares))
		Expect(list[1].shareOf(999)).To(BeNumerically("<", list[1].Share), "the largest has its own share")
		Expect(list[0].shareOf(100)).To(BeNumerically("<", list[0].Share))
		Expect(list[0].admittedTokens(urgent)).To(BeNumerically("~", rates[0], 1e-6))
		Expect(list[1].admittedTokens(other)).To(BeNumerically("~", 1000, 1e-6))
	})

	unknown := []struct {
		name   string
		known  []float64
		zero   float64
		tokens float64
	}{
		{"no account is known", nil, 100, 30},
		{"all accounts are listed", []float64{100, 10, 30}, 70, 120},
		{"hardly any account isn't listed", append(repeat(100, 48), 1), 2000, 3000},
		{"many accounts aren't listed", append(repeat(100, 48), repeat(1, 500)...), 400, 3000},
	}
	for _, c := range unknown {
		ginkgo.It("include those of several accounts together, and admit as much as there is: "+c.name, func() {
			d := demandsOf(0, false, c.known...)
			d.accounts = append(d.accounts, accountDemand{tokens: c.zero})
			list, _ := divide([]classDemand{d}, 7, always(c.tokens))
			Expect(list[0].admittedTokens(d)).To(BeNumerically("~", c.tokens, 0.05*c.tokens))
			Expect(list[0].Share).To(BeNumerically(">", 0))
		})
	}
})

func repeat(tokens float64, n int) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = tokens
	}
	return list
}

// TestFuzzDivide checks that, whatever accounts ask for, shares are in [0, 1], no more is
// admitted than there is, all of that is used as long as anything is refused, and no account
// gets less than a listed one that is cut, unless it gets all that it asks for.
func TestFuzzDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var classes []classDemand
		for rank := range rapid.IntRange(1, 3).Draw(t, "ranks") {
			for _, late := range []bool{false, true} {
				wanted := rapid.SliceOfN(rapid.Float64Range(0.1, 1000), 1, 80).Draw(t, "wanted")
				classes = append(classes, demandsOf(rank, late, wanted...))
			}
		}
		rate := rapid.Float64Range(0, 50000).Draw(t, "rate")
		list, limited := divide(classes, 7, always(rate))
		admitted, wanted, listed := 0.0, 0.0, 0
		for i, s := range list {
			tokens := s.admittedTokens(classes[i])
			if s.Share > 0 && tokens > 0 && admitted+1e-6 < wanted {
				t.Fatalf("class %d is admitted while a more urgent one is limited", i)
			}
			admitted += tokens
			wanted += classes[i].tokens()
			listed += len(s.Accounts)
			level := math.Inf(1)
			for _, a := range s.Accounts {
				if a.Share < 1 {
					level = classes[i].accounts[a.Account-1].tokens * a.Share
				}
			}
			for _, a := range classes[i].accounts {
				share := s.shareOf(a.account)
				if share < 0 || share > 1 {
					t.Fatalf("share %v", share)
				}
				if len(s.Accounts) == len(classes[i].accounts) && share < 1 && math.Abs(share*a.tokens-level) > 1e-6*level {
					t.Fatalf("account %d gets %v of %v at level %v", a.account, share*a.tokens, a.tokens, level)
				}
			}
		}
		if listed > maxAccountShares {
			t.Fatalf("%d account shares", listed)
		}
		if want := math.Min(rate, wanted); math.Abs(admitted-want) > 1e-6*want+1e-9 {
			t.Fatalf("%v of %v admitted at %v", admitted, wanted, rate)
		}
		if limited != (wanted > rate) {
			t.Fatalf("limited %v: %v wanted at %v", limited, wanted, rate)
		}
	})
}

// BenchmarkDivide measures the division of one service among 1,200 accounts and six classes.
func BenchmarkDivide(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 1))
	var classes []classDemand
	for i := range 6 {
		c := classDemand{class: ClassAt(i)}
		for n := range 1200 {
			c.accounts = append(c.accounts, accountDemand{account: uint32(n + 1), tokens: r.ExpFloat64() * 100})
		}
		classes = append(classes, c)
	}
	for b.Loop() {
		divide(classes, 7, always(200000))
	}
}
