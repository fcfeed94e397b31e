// Package admission decides which streams a service takes when it is asked for more than it
// can serve in time. Every entry host reports what callers ask it for. The leader compares
// the sum with the capacity of the service's endpoints and allocates it: to more urgent ranks
// first, and evenly among the client accounts of a rank. Hosts apply the allocation to each
// request without a call.
package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Random returns pseudo-random numbers in [0, 1).
type Random interface {
	Float64() float64
}

// Class is what decides the order in which requests are admitted. Lower ranks are more
// urgent. Within a rank, requests whose goal can still be met go before late ones.
type Class struct {
	Rank int
	Late bool
}

// Index returns the position of the class in the order of admission, 0 for the first.
func (c Class) Index() int {
	if c.Late {
		return 2*c.Rank + 1
	}
	return 2 * c.Rank
}

// ClassAt returns the class at a position in the order of admission.
func ClassAt(index int) Class {
	return Class{
		Rank: index / 2,
		Late: index%2 == 1,
	}
}

// AccountKey returns the key of a client account in demands and shares. It is never 0, which
// stands for several accounts together.
func AccountKey(name string) uint32 {
	return max(1, uint32(xxhash.Sum64String(name)))
}

// Demand is the streams of one class and client account that callers asked a host for.
type Demand struct {
	Class   Class
	Account uint32 // AccountKey; 0 for several accounts together
	Tokens  float64
	Streams int
}

// Report is what one host tells of a service since its previous report. Tokens are those
// that streams hold in the KV cache, on average while they run.
type Report struct {
	Service  string
	InFlight float64 // tokens of the streams that run now
	Finished float64 // tokens of the streams that ended, since the host started
	Demand   []Demand
}

// Allocation is the part of a service's demand that hosts admit. Without classes everything
// is admitted.
type Allocation struct {
	Service  string
	Capacity float64 // tokens that the service's endpoints hold at the layer with the least
	InFlight float64 // tokens, of all hosts
	// ByAccount asks hosts to report demand by client account.
	ByAccount bool
	// Shortage is for how long not everything has been admitted; 0 if everything is.
	Shortage time.Duration
	Classes  []ClassShare // in the order of admission
}

// ClassShare is the share of a class's requests that is admitted, from 0 to 1. Accounts that
// ask for more than an even part have a share of their own.
type ClassShare struct {
	Class    Class
	Share    float64
	Accounts []AccountShare
	Others   *ShareTable // of the accounts that aren't listed; nil if all of them have Share
}

// AccountShare is the admitted share of the requests of one client account.
type AccountShare struct {
	Account uint32 // AccountKey
	Share   float64
}
