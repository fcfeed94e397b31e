package permit

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose calls may be lent at once, where nothing was lent
	// before, and creditMore calls beyond these: 0.4 s pass between two calls of a host, and
	// requests don't come evenly.
	burstTime  = 500 * time.Millisecond
	burstExtra = 2.5
	// outstandingTime is the time whose calls may be out as permits, and outMore calls beyond
	// these. With the credit it keeps the calls of any 4 s within 1.5 times what the limit
	// allows, and 3.5 of the 5 that are allowed beyond it.
	outstandingTime  = 1500 * time.Millisecond
	outstandingExtra = 1
	// grantPause is how long nothing is lent once a limit is named: until then the
	// endpoint got what it couldn't bear.
	grantPause = time.Second
	// removalDelay lies at least between two calls that are answered without a limit, and none
	// with one, before it is over: one that comes and goes each second stays.
	removalDelay = 1050 * time.Millisecond
	// reportSlack is by how much a word's time may be off: it is told as an age, and the
	// way of the call that tells it isn't counted.
	reportSlack = 100 * time.Millisecond
	// limitExpiry is how long a limit is kept of which nothing is heard.
	limitExpiry = 2 * time.Minute
	// slotTime parts the time in which permits were lent. lentSlots cover the time for
	// which they are valid, and the slot that has begun.
	slotTime   = 100 * time.Millisecond
	grantSlots = int64(Lifetime/slotTime) + 1
)

// limiter is what the leader knows of one endpoint that has a limit.
//
// Invariant: credit rises by the limit and falls by what is lent and not given back, so
// that the calls of any time are at most the limit's, what was out, and the most credit.
type limiter struct {
	key        uint32
	service    string
	limit      float64
	tokens     float64
	refilledAt time.Time // of credit
	granted    [grantSlots]int
	newestSlot int64 // newest of lent
	// limitSentAt and setAt are when the call was sent, and its answer came, that last named
	// the limit that stands; toldAt is when this leader last had a word of any kind.
	limitSentAt     time.Time
	limitReceivedAt time.Time
	lastReportAt    time.Time
	// noLimitSince is when the first call was sent whose answer named no limit since one did;
	// zero: there is none.
	noLimitSince time.Time
	removed      bool
	waiters      []*Waiter
}

func newLimiter(r LimitReport, now time.Time) *limiter {
	return &limiter{
		key:             r.Key,
		service:         r.Service,
		limit:           r.PerSecond,
		tokens:          -r.PerSecond * grantPause.Seconds(),
		refilledAt:      now,
		limitSentAt:     r.SentAt,
		limitReceivedAt: r.ReceivedAt,
		lastReportAt:    now,
	}
}

// change tells that the endpoint has a limit.
func (l *limiter) change() LimitChange {
	return LimitChange{
		Key:       l.key,
		Service:   l.service,
		PerSecond: l.limit,
	}
}

// maxTokens returns the most credit.
func (l *limiter) maxTokens() float64 {
	return l.limit*burstTime.Seconds() + burstExtra
}

// maxOutstanding returns how many permits may be out.
func (l *limiter) maxOutstanding() int {
	return int(l.limit*outstandingTime.Seconds()) + outstandingExtra
}

// refill adds what the limit allowed since the last look.
func (l *limiter) refill(now time.Time) {
	more := l.limit * now.Sub(l.refilledAt).Seconds()
	l.tokens = math.Min(l.maxTokens(), l.tokens+more)
	l.refilledAt = now
	slot := now.UnixNano() / int64(slotTime)
	for ; l.newestSlot < slot && slot-l.newestSlot < grantSlots; l.newestSlot++ {
		l.granted[(l.newestSlot+1)%grantSlots] = 0
	}
	if l.newestSlot < slot {
		l.granted = [grantSlots]int{}
		l.newestSlot = slot
	}
}

// outstanding returns how many permits were lent that may still be used.
func (l *limiter) outstanding() int {
	sum := 0
	for _, n := range l.granted {
		sum += n
	}
	return sum
}

// available returns how many permits may be lent now beside ahead others. The account must
// be refilled.
func (l *limiter) available(ahead int) int {
	tokens := int(math.Floor(l.tokens)) - ahead
	capacity := l.maxOutstanding() - l.outstanding() - ahead
	return max(0, min(tokens, capacity))
}

// grant lends n permits.
func (l *limiter) grant(n int) {
	l.tokens -= float64(n)
	l.granted[l.newestSlot%grantSlots] += n
}

// returnUnused takes n permits back that are over.
func (l *limiter) returnUnused(n int) {
	l.tokens = math.Min(l.maxTokens(), l.tokens+float64(n))
}

// availableIn returns how long it takes until a permit may be lent behind ahead others. The
// account must be refilled.
func (l *limiter) availableIn(ahead int) time.Duration {
	if l.available(ahead) > 0 {
		return 0
	}
	missing := math.Max(0, float64(ahead+1)-l.tokens)
	d := time.Duration(math.Min(missing/l.limit, maxAvailableIn.Seconds()) * float64(time.Second))
	return max(d, retryInterval)
}

// retryInterval is when to try again where it isn't known when a permit comes back.
const retryInterval = slotTime

// maxAvailableIn bounds what a caller is told.
const maxAvailableIn = time.Minute

// observe takes a word. Of two whose times overlap the lower limit stands: a word that is
// late may neither raise a limit nor end one.
func (l *limiter) observe(r LimitReport, now time.Time) {
	l.lastReportAt = now
	later := !r.SentAt.Before(l.limitReceivedAt.Add(reportSlack))
	if !r.hasLimit() {
		switch {
		case !later:
		case l.noLimitSince.IsZero():
			l.noLimitSince = r.SentAt
		case r.SentAt.Sub(l.noLimitSince) >= removalDelay:
			l.removed = true
		}
		return
	}
	if !r.ReceivedAt.Before(l.noLimitSince) {
		l.noLimitSince = time.Time{}
	}
	earlier := r.ReceivedAt.Before(l.limitSentAt)
	if earlier || r.PerSecond > l.limit && !later || r.PerSecond == l.limit && !r.ReceivedAt.After(l.limitReceivedAt) {
		return
	}
	l.setLimit(r, now)
}

// setLimit takes the limit of a word.
func (l *limiter) setLimit(r LimitReport, now time.Time) {
	l.refill(now)
	if r.PerSecond < l.limit { // until now it got what it can't bear any more
		l.tokens = math.Min(l.tokens, grantPause.Seconds()*math.Max(r.PerSecond-l.limit, -r.PerSecond))
	}
	l.limit = r.PerSecond
	l.limitSentAt = r.SentAt
	if r.ReceivedAt.After(l.limitReceivedAt) {
		l.limitReceivedAt = r.ReceivedAt
	}
}

// expired reports whether the endpoint has no limit any more.
func (l *limiter) expired(now time.Time) bool {
	return l.removed || now.Sub(l.lastReportAt) > limitExpiry
}
