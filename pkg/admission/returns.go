package admission

import (
	"sync"
	"time"
)

const (
	calendarSlot  = 250 * time.Millisecond
	calendarSlots = 32 // 8 s
	// ringSlots also holds the slot before the current one, whose bookings may be used still.
	ringSlots = calendarSlots + 1
	// bookedPart is the part of the admitted tokens that can be booked, by each rank.
	bookedPart = 0.15
	// maxSlotParts bounds what one slot takes, in slots' parts, unless that is one request:
	// when a shortage begins, all hosts book the same slots, and what earlier slots have
	// left would all go into the first of them.
	maxSlotParts = 2
	// maxWaitPart is the part of its remaining time that a caller waits before its retry.
	// The platform publishes this rule.
	maxWaitPart = 1.0 / 3
	// minShortage is the least time for which a shortage is expected to last on.
	minShortage = time.Second
	// unbookedSpread is the time over which retries without a booking are spread.
	unbookedSpread = 2 * time.Second
	// maxCalendars bounds the pairs of service and rank that have bookings, at 600 bytes each.
	// Services without recent requests are dropped from this number on.
	maxCalendars = 256
	// bookingSlack makes up for rounding in sums of tokens.
	bookingSlack = 1e-6
)

// Calendar books times for the retries of refused requests. It is safe for concurrent use.
//
// Invariant: what is booked of a service and rank over any time is at most bookedPart of what
// this host admits of the service, and what up to 8 s before have left.
type Calendar struct {
	clock  Clock
	random Random

	mu       sync.Mutex
	admitted map[string]*window // tokens, by service
	books    map[bookKey]*book
}

type bookKey struct {
	service string
	rank    int
}

// book holds the bookings of one service and rank, in tokens.
//
// Invariant: booked and open hold the slots from current-1 to current+calendarSlots-1, each
// at its number modulo ringSlots. An entry of open is at most that of booked.
type book struct {
	current int64
	booked  [ringSlots]float64
	open    [ringSlots]float64 // booked and not used
	carried float64            // what slots before current left
}

// NewCalendar returns a calendar without bookings. It serializes its calls of random.
func NewCalendar(clock Clock, random Random) *Calendar {
	return &Calendar{
		clock:    clock,
		random:   random,
		admitted: map[string]*window{},
		books:    map[bookKey]*book{},
	}
}

// Admit notes the tokens of a request that was admitted.
func (c *Calendar) Admit(service string, tokens float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	w := c.admitted[service]
	if w == nil {
		if len(c.admitted) >= maxCalendars {
			c.dropIdle(now)
		}
		w = &window{}
		c.admitted[service] = w
	}
	w.add(now, tokens)
}

// dropIdle removes the services of which nothing was admitted in the last second.
func (c *Calendar) dropIdle(now time.Time) {
	for name, w := range c.admitted {
		if w.sum(now) == 0 {
			delete(c.admitted, name)
		}
	}
}

// slotPart returns how many tokens can be booked in one slot.
func (c *Calendar) slotPart(service string, now time.Time) float64 {
	w := c.admitted[service]
	if w == nil {
		return 0
	}
	return bookedPart * w.sum(now) * calendarSlot.Seconds()
}

// bookOf returns the bookings of a service and rank as of now, or nil if there are too many.
func (c *Calendar) bookOf(service string, rank int, now time.Time) *book {
	key := bookKey{
		service: service,
		rank:    rank,
	}
	slot := now.UnixNano() / int64(calendarSlot)
	b := c.books[key]
	if b == nil {
		if len(c.books) >= maxCalendars {
			c.dropPast(slot)
		}
		if len(c.books) >= maxCalendars {
			return nil
		}
		b = &book{
			current: slot,
		}
		c.books[key] = b
	}
	b.advance(slot, c.slotPart(service, now))
	return b
}

// dropPast removes the books whose bookings have all passed.
func (c *Calendar) dropPast(slot int64) {
	for key, b := range c.books {
		if slot-b.current > ringSlots {
			delete(c.books, key)
		}
	}
}

// Book returns after what time the caller of a refused request should retry, and whether
// capacity is booked for it then. The shortage has lasted for the given time.
func (c *Calendar) Book(service string, rank int, tokens float64, shortage, remaining time.Duration) (after time.Duration, isBooked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	// The shortage is expected to last as long again as it has lasted.
	end := max(minShortage, shortage)
	wait := time.Duration(maxWaitPart * float64(remaining))
	b := c.bookOf(service, rank, now)
	if b != nil && end <= wait {
		n, ok := b.find(now.Add(end), now.Add(wait), tokens, c.slotPart(service, now))
		if ok {
			start := slotStart(n)
			space := min(calendarSlot, now.Add(wait).Sub(start))
			b.booked[n%ringSlots] += tokens
			b.open[n%ringSlots] += tokens
			return start.Sub(now) + time.Duration(c.random.Float64()*float64(space)), true
		}
	}
	return max(end, wait) + time.Duration(c.random.Float64()*float64(unbookedSpread)), false
}

// Redeem reports whether a late request is due: bookings of the current slot or the one
// before it are open. It uses up that much of them. If they are open for a part of the request
// only, it is due with that probability, so that the sum over all hosts is right.
func (c *Calendar) Redeem(service string, rank int, tokens float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := bookKey{
		service: service,
		rank:    rank,
	}
	if c.books[key] == nil {
		return false
	}
	b := c.bookOf(service, rank, c.clock.Now())
	before, current := &b.open[(b.current-1)%ringSlots], &b.open[b.current%ringSlots]
	open := *before + *current
	if open <= bookingSlack {
		return false
	}
	used := min(tokens, open)
	fromBefore := min(used, *before)
	*before -= fromBefore
	*current -= used - fromBefore
	return open >= tokens-bookingSlack || c.random.Float64()*tokens < open
}

func slotStart(n int64) time.Time {
	return time.Unix(0, n*int64(calendarSlot))
}

// advance makes a slot the current one. Each slot that passes leaves the part that isn't
// booked, up to the parts of 8 s in total.
func (b *book) advance(slot int64, part float64) {
	most := part * calendarSlots
	if passed := slot - b.current; passed > ringSlots {
		for _, tokens := range b.booked {
			b.carried -= tokens
		}
		b.carried = min(most, b.carried+part*float64(passed))
		b.booked = [ringSlots]float64{}
		b.open = [ringSlots]float64{}
		b.current = slot
		return
	}
	for b.current < slot {
		b.carried = min(most, b.carried+part-b.booked[b.current%ringSlots])
		b.current++
		newest := (b.current + calendarSlots - 1) % ringSlots
		b.booked[newest] = 0
		b.open[newest] = 0
	}
}

// find returns the first slot with space for the tokens that starts between two times. The
// current slot and those after it have one part each and what earlier ones left; a booking
// takes from its own slot and those before it.
func (b *book) find(from, to time.Time, tokens, part float64) (int64, bool) {
	left := [calendarSlots]float64{} // in each slot, after its bookings and those before it
	sum := b.carried
	for i := range left {
		sum += part - b.booked[(b.current+int64(i))%ringSlots]
		left[i] = sum
	}
	for i := calendarSlots - 2; i >= 0; i-- {
		left[i] = min(left[i], left[i+1]) // a booking reduces what is left in all later slots
	}
	for i := range left {
		n := b.current + int64(i)
		start := slotStart(n)
		if start.Before(from) {
			continue
		}
		if !start.Before(to) {
			break
		}
		booked := b.booked[n%ringSlots]
		overfull := booked > 0 && booked+tokens > maxSlotParts*part
		if !overfull && tokens <= left[i]+bookingSlack {
			return n, true
		}
	}
	return 0, false
}
