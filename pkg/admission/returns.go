package admission

import (
	"sync"
	"time"
)

const (
	calendarSlot  = 250 * time.Millisecond
	calendarSlots = 32 // 8 s
	// maxWait bounds the time that a caller is told, however much time it has.
	maxWait = calendarSlots * calendarSlot
	// bookedPart is the part of the tokens that finish that can be booked, by all ranks. Retries
	// are mostly late, and go ahead of requests that can be on time: with this part for each of
	// three ranks, they took a third of the capacity in a trial. What is admitted isn't the
	// measure: when a load begins, hosts admit more than engines can serve, and the retries
	// booked by that were as many as the capacity in a trial with 11 hosts.
	bookedPart = 0.15
	// maxSlotParts bounds what one slot takes, in slots' parts, unless that is one request:
	// when a shortage begins, all hosts book the same slots, and what earlier slots have
	// left would all go into the first of them.
	maxSlotParts = 2
	// A caller waits for at most its remaining time divided by waitDivisor before it retries.
	// The platform publishes this rule.
	waitDivisor = 3
	// minShortage is the least time for which a shortage is expected to last on.
	minShortage = time.Second
	// unbookedSpread is the time over which retries without a booking are spread.
	unbookedSpread = 2 * time.Second
	// A booked retry has a whole number of markIntervals left when its time comes. That tells it
	// on any host from retries without a booking, which are several times as many.
	markInterval = time.Second
	// markDelay is how much less a booked retry may have left: it covers the network and a
	// busy caller. markLead is for rounding to milliseconds.
	markDelay = 60 * time.Millisecond
	markLead  = 5 * time.Millisecond
	// minOverdraft is how many requests may be due on a host beyond its own bookings. Callers
	// return to any host, so that a host gets as many as it booked on average only: without
	// an overdraft, hosts with less than one booking a second refuse more than half of them.
	minOverdraft = 8
	// overdraftPart is the part of the bookings of the last 8 s (1 s) that is added to it, since
	// the difference is larger on hosts that book more.
	overdraftPart = 1.0 / 8
	// maxCalendars bounds the services that have bookings, and maxRanks the ranks of each, at
	// 300 bytes for each of both.
	maxCalendars = 64
	maxRanks     = 32
	// bookingSlack makes up for rounding in sums of tokens.
	bookingSlack = 1e-6
)

// Calendar books times for the retries of refused requests. It is safe for concurrent use.
//
// Invariant: what is booked of a service over any time is at most bookedPart of what
// finishes of the service on this host, and what up to 8 s before have left.
type Calendar struct {
	clock  Clock
	random Random

	mu    sync.Mutex
	books map[string]*book // by service
}

// book holds the bookings of one service.
//
// Invariant: tokens holds the slots from current to current+calendarSlots-1, each at its number
// modulo calendarSlots, as does rankBook.requests.
type book struct {
	current int64
	tokens  [calendarSlots]float64
	carried float64 // tokens that slots before current left
	ranks   map[int]*rankBook
}

// rankBook holds the bookings of one rank.
//
// Invariant: the due requests of any time are at most the bookings whose slots began in it or
// up to about 8 s before, and the overdraft.
type rankBook struct {
	requests [calendarSlots]int
	// balance is the number of bookings whose slots have begun, without the due requests.
	balance float64
	// begun is the number of bookings whose slots have begun, in about the last 8 s: it decays
	// with each slot.
	begun  float64
	usedAt int64 // slot of the last booking or late request
}

// NewCalendar returns a calendar without bookings. It serializes its calls of random.
func NewCalendar(clock Clock, random Random) *Calendar {
	return &Calendar{
		clock:  clock,
		random: random,
		books:  map[string]*book{},
	}
}

// slotPart returns how many tokens can be booked in one slot.
func slotPart(finishRate float64) float64 {
	return bookedPart * finishRate * calendarSlot.Seconds()
}

// bookOf returns the bookings of a service and a rank as of now, or nil if there are too many.
func (c *Calendar) bookOf(service string, rank int, part float64, now time.Time) (*book, *rankBook) {
	slot := now.UnixNano() / int64(calendarSlot)
	b := c.books[service]
	if b == nil {
		if len(c.books) >= maxCalendars {
			c.dropPast(slot)
		}
		if len(c.books) >= maxCalendars {
			return nil, nil
		}
		b = &book{
			current: slot,
			ranks:   map[int]*rankBook{},
		}
		c.books[service] = b
	}
	b.advance(slot, part)
	r := b.ranks[rank]
	if r == nil {
		if len(b.ranks) >= maxRanks {
			return nil, nil
		}
		r = &rankBook{
			usedAt: slot,
		}
		b.ranks[rank] = r
	}
	return b, r
}

// dropPast removes the books whose bookings have all passed.
func (c *Calendar) dropPast(slot int64) {
	for key, b := range c.books {
		if slot-b.current > calendarSlots {
			delete(c.books, key)
		}
	}
}

// Refusal is a refused request whose caller needs a time for its retry.
type Refusal struct {
	Service   string
	Rank      int
	Tokens    float64
	Shortage  time.Duration // how long it has lasted
	Remaining time.Duration // until the caller's time-out; 0 if it isn't known
	// MinWait is the time from which on the retry is recognized as late, and can be due.
	MinWait time.Duration
	// FinishRate is how many tokens of the service finish on this host in a second.
	FinishRate float64
	// Unpromised says that nothing is booked for this caller.
	Unpromised bool
}

// Book returns after what time the caller of a refused request should retry, and whether
// capacity is booked for it then.
func (c *Calendar) Book(r Refusal) (after time.Duration, isBooked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	// The shortage is expected to last as long again as it has lasted.
	end := max(minShortage, r.Shortage)
	wait := min(maxWait, r.Remaining/waitDivisor)
	part := slotPart(r.FinishRate)
	b, ranked := c.bookOf(r.Service, r.Rank, part, now)
	if from := max(end, r.MinWait); b != nil && !r.Unpromised && from <= wait {
		space := b.space(part)
		for after := markedWait(r.Remaining, from); after < wait; after += markInterval {
			n := now.Add(after).UnixNano() / int64(calendarSlot)
			if !b.fits(n, r.Tokens, part, space) {
				continue
			}
			b.tokens[n%calendarSlots] += r.Tokens
			ranked.requests[n%calendarSlots]++
			ranked.usedAt = max(ranked.usedAt, n)
			return after, true
		}
	}
	return max(end, wait) + time.Duration(c.random.Float64()*float64(unbookedSpread)), false
}

// Redeem reports whether a late request is due, and uses up a booking if so. Bookings can be
// used from the beginning of their slot on. The tokens of finishRate finish on this host in a
// second.
func (c *Calendar) Redeem(service string, rank int, finishRate float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ranked := c.bookOf(service, rank, slotPart(finishRate), c.clock.Now())
	if b == nil {
		return false
	}
	ranked.usedAt = max(ranked.usedAt, b.current)
	if ranked.balance-1 < -ranked.overdraft() {
		return false
	}
	ranked.balance--
	return true
}

// overdraft returns how many requests may be due beyond the bookings.
func (r *rankBook) overdraft() float64 {
	return minOverdraft + overdraftPart*r.begun
}

// advance makes a slot the current one. Each slot that passes leaves the part that isn't
// booked, up to the parts of 8 s in total.
func (b *book) advance(slot int64, part float64) {
	most := part * calendarSlots
	if passed := slot - b.current; passed > calendarSlots {
		for _, tokens := range b.tokens {
			b.carried -= tokens
		}
		b.carried = min(most, b.carried+part*float64(passed))
		b.tokens = [calendarSlots]float64{}
		b.current = slot
		clear(b.ranks)
	}
	for b.current < slot {
		passed := b.current % calendarSlots
		b.carried = min(most, b.carried+part-b.tokens[passed])
		b.tokens[passed] = 0 // from now on, this is the newest slot
		b.current++
		for _, r := range b.ranks {
			r.requests[passed] = 0
			r.begin(float64(r.requests[b.current%calendarSlots]))
		}
	}
	for rank, r := range b.ranks {
		if slot-r.usedAt > calendarSlots {
			delete(b.ranks, rank)
		}
	}
}

// begin makes the bookings of the slot that begins usable. Those that aren't used are dropped in
// the course of 8 s.
func (r *rankBook) begin(requests float64) {
	r.begun += requests - r.begun/calendarSlots
	r.balance = min(r.balance+requests, max(requests, r.begun))
}

// markedWait returns the first wait, from a time on, after which a whole number of
// markIntervals remains.
func markedWait(remaining, from time.Duration) time.Duration {
	return remaining - (remaining - from).Truncate(markInterval)
}

// isMarked reports whether a retry's remaining time is that of a booked one.
func isMarked(remaining time.Duration) bool {
	over := remaining % markInterval
	return over <= markLead || over >= markInterval-markDelay
}

// space returns how many tokens can be booked in each slot from the current one on. The current
// slot and those after it have one part each and what earlier ones left; a booking takes from
// its own slot and those before it.
func (b *book) space(part float64) [calendarSlots]float64 {
	left := [calendarSlots]float64{} // in each slot, after its bookings and those before it
	sum := b.carried
	for i := range left {
		sum += part - b.tokens[(b.current+int64(i))%calendarSlots]
		left[i] = sum
	}
	for i := calendarSlots - 2; i >= 0; i-- {
		left[i] = min(left[i], left[i+1]) // a booking reduces what is left in all later slots
	}
	return left
}

// fits reports whether a slot has space for the tokens.
func (b *book) fits(n int64, tokens, part float64, space [calendarSlots]float64) bool {
	i := n - b.current
	if i < 0 || i >= calendarSlots {
		return false
	}
	booked := b.tokens[n%calendarSlots]
	if booked > 0 && booked+tokens > maxSlotParts*part {
		return false
	}
	return tokens <= space[i]+bookingSlack
}
