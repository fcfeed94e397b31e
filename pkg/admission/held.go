package admission

import (
	"math"
	"time"
)

// heldAllocation is an allocation as a host holds it.
//
// Invariant: positions holds the position of each class in allocation.Classes, and accounts
// the account shares of these classes, by position.
type heldAllocation struct {
	allocation Allocation
	madeAt     time.Time // by this host's clock
	positions  map[Class]int
	accounts   []map[uint32]float64
	// firstLimited is Class.Index of the first class of which some requests are refused, and
	// firstOnTime that of the first one that isn't late.
	firstLimited int
	firstOnTime  int
}

func newHeldAllocation(a Allocation, madeAt time.Time) *heldAllocation {
	h := &heldAllocation{
		allocation:   a,
		madeAt:       madeAt,
		positions:    make(map[Class]int, len(a.Classes)),
		accounts:     make([]map[uint32]float64, len(a.Classes)),
		firstLimited: math.MaxInt,
		firstOnTime:  math.MaxInt,
	}
	for i, c := range a.Classes {
		h.positions[c.Class] = i
		if isLimited(c) {
			h.firstLimited = min(h.firstLimited, c.Class.Index())
			if !c.Class.Late {
				h.firstOnTime = min(h.firstOnTime, c.Class.Index())
			}
		}
		h.accounts[i] = make(map[uint32]float64, len(c.Accounts))
		for _, account := range c.Accounts {
			h.accounts[i][account.Account] = account.Share
		}
	}
	return h
}

func (h *heldAllocation) age(now time.Time) time.Duration {
	return now.Sub(h.madeAt)
}

// shortage returns how long the shortage has lasted, 0 if there is none or the allocation no
// longer tells.
func (h *heldAllocation) shortage(now time.Time) time.Duration {
	if h.allocation.Shortage == 0 || h.age(now) >= trustedAge+growthTime {
		return 0
	}
	return h.allocation.Shortage + h.age(now)
}

// share returns the share of a class's requests of an account, and whether that is the
// account's own because it asks for more than others.
//
// A class that isn't listed had no demand when the allocation was made. It gets all if
// those before it do, and nothing otherwise, because they leave nothing. Late classes are
// limited at a lower occupancy, so that they leave something to those after them.
func (h *heldAllocation) share(class Class, account uint32) (share float64, ofAccount bool) {
	i, ok := h.positions[class]
	if !ok {
		limit := h.firstOnTime
		if class.Late {
			limit = h.firstLimited
		}
		if class.Index() > limit {
			return 0, false
		}
		return 1, false
	}
	share = h.allocation.Classes[i].Share
	if own, ok := h.accounts[i][account]; ok {
		return own, own < share
	}
	if t := h.allocation.Classes[i].Others; t != nil && account != 0 {
		own := t.share(account)
		return own, own < share
	}
	return share, false
}

// isLimited reports whether some requests of a class are refused.
func isLimited(c ClassShare) bool {
	if c.Share < 1 {
		return true
	}
	for _, a := range c.Accounts {
		if a.Share < 1 {
			return true
		}
	}
	return false
}
