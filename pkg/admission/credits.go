package admission

import (
	"container/list"
	"time"
)

const (
	// creditRetention is how long after its last use a credit is kept.
	creditRetention = 10 * time.Second
	// maxCredits bounds the credits, each of which takes about 200 bytes.
	maxCredits = 4096
	// maxDebt is how many requests a credit may be charged for in advance, by due and
	// interrupted requests that aren't refused. With a debt of 4 and a share of 0.04, an account
	// is refused for up to 100 requests until it has made up for retries of long ago.
	maxDebt = 1
)

type creditKey struct {
	service string
	class   Class
	account uint32
}

// credit is what has been allocated to the requests of one class and account, and not used,
// in requests.
type credit struct {
	key    creditKey
	value  float64
	usedAt time.Time
}

// charge adds a share and, if that makes one request, subtracts it. It reports whether the
// request is admitted. One that must be admitted is charged to later requests' shares.
func (c *credit) charge(share float64, must bool) bool {
	c.value += share
	if !must && c.value < 1 {
		return false
	}
	c.value = max(-maxDebt, c.value-1)
	return true
}

// creditCache holds the credits that were used last. It isn't safe for concurrent use.
//
// Invariant: order holds each *credit of byKey once, the least recently used first.
type creditCache struct {
	random Random
	byKey  map[creditKey]*list.Element
	order  *list.List
}

func newCreditCache(random Random) *creditCache {
	return &creditCache{
		random: random,
		byKey:  map[creditKey]*list.Element{},
		order:  list.New(),
	}
}

// get returns a credit. A new one starts at a random value: of many hosts that see one
// request each, as many admit it as the share says.
func (c *creditCache) get(key creditKey, now time.Time) *credit {
	c.expire(now)
	if e, ok := c.byKey[key]; ok {
		c.order.MoveToBack(e)
		found := e.Value.(*credit)
		found.usedAt = now
		return found
	}
	if len(c.byKey) >= maxCredits {
		c.remove(c.order.Front())
	}
	added := &credit{
		key:    key,
		value:  c.random.Float64(),
		usedAt: now,
	}
	c.byKey[key] = c.order.PushBack(added)
	return added
}

func (c *creditCache) expire(now time.Time) {
	for {
		e := c.order.Front()
		if e == nil || now.Sub(e.Value.(*credit).usedAt) < creditRetention {
			return
		}
		c.remove(e)
	}
}

func (c *creditCache) remove(e *list.Element) {
	c.order.Remove(e)
	delete(c.byKey, e.Value.(*credit).key)
}
