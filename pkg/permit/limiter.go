package permit

import (
	"math"
	"time"
)

const (
	// The token bucket holds burstTime's worth of the limit and burstExtra tokens at most:
	// a host calls the leader every 0.4 s, and requests don't arrive evenly.
	burstTime  = 500 * time.Millisecond
	burstExtra = 2.5
	// At most outstandingTime's worth of the limit and outstandingExtra permits may be
	// outstanding. Together with the bucket size this bounds the calls of any 4 s to
	// 1.5 times what the limit allows, plus 3.5. Endpoints tolerate 1.5 times, plus 5.
	outstandingTime  = 1500 * time.Millisecond
	outstandingExtra = 1
	// After a limit was first reported, nothing is granted for grantPause: until then the
	// endpoint received more than it can take. After it fell, the excess of the same time
	// is withheld.
	grantPause = time.Second
	// removalDelay is the least time between the sends of two calls, both answered without a
	// limit and none with one in between, after which the limit is removed. A limit that
	// comes and goes every second is kept.
	removalDelay = 1050 * time.Millisecond
	// reportSlack is the error of a report's times: they are sent as ages, which don't
	// include the transit time of the call that carries them.
	reportSlack = 100 * time.Millisecond
	// limitExpiry is how long a limit is kept without any report about the endpoint.
	limitExpiry = 2 * time.Minute
	// Granted permits are counted in slots of slotTime. grantSlots cover the lifetime of a
	// permit and the slot that has begun.
	slotTime   = 100 * time.Millisecond
	grantSlots = int64(Lifetime/slotTime) + 1
)

// limiter is the leader's state of one endpoint that has a limit.
//
// Invariant: tokens rise by the limit and fall by what is granted and not returned, so the
// calls of any period are at most what the limit allows for it, plus the permits that were
// outstanding at its start, plus the size of the bucket.
type limiter struct {
	key        uint32
	service    string
	limit      float64
	tokens     float64   // in the bucket; may be negative
	refilledAt time.Time // when tokens was last updated
	granted    [grantSlots]int
	newestSlot int64 // newest slot of granted
	// limitSentAt and limitReceivedAt are when the call that last reported the current limit
	// was sent and answered. lastReportAt is when this leader last received any report.
	limitSentAt     time.Time
	limitReceivedAt time.Time
	lastReportAt    time.Time
	// noLimitSince is when the first call was sent that was answered without a limit, since
	// the last answer with one; zero if there is none.
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

// change returns the change by which the endpoint got its limit.
func (l *limiter) change() LimitChange {
	return LimitChange{
		Key:       l.key,
		Service:   l.service,
		PerSecond: l.limit,
	}
}

// maxTokens returns the size of the bucket.
func (l *limiter) maxTokens() float64 {
	return l.limit*burstTime.Seconds() + burstExtra
}

// maxOutstanding returns how many permits may be outstanding.
func (l *limiter) maxOutstanding() int {
	return int(l.limit*outstandingTime.Seconds()) + outstandingExtra
}

// refill adds the tokens since the last refill, and clears the slots that have passed.
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

// outstanding returns the number of granted permits that haven't expired.
func (l *limiter) outstanding() int {
	sum := 0
	for _, n := range l.granted {
		sum += n
	}
	return sum
}

// available returns how many permits may be granted now if the given number is set aside for
// waiters ahead. The limiter must have been refilled.
func (l *limiter) available(ahead int) int {
	tokens := int(math.Floor(l.tokens)) - ahead
	capacity := l.maxOutstanding() - l.outstanding() - ahead
	return max(0, min(tokens, capacity))
}

func (l *limiter) grant(n int) {
	l.tokens -= float64(n)
	l.granted[l.newestSlot%grantSlots] += n
}

// returnUnused puts back the tokens of n permits that expired unused.
func (l *limiter) returnUnused(n int) {
	l.tokens = math.Min(l.maxTokens(), l.tokens+float64(n))
}

// availableIn returns the time until a permit can be granted behind the given number of
// waiters ahead. The limiter must have been refilled.
func (l *limiter) availableIn(ahead int) time.Duration {
	if l.available(ahead) > 0 {
		return 0
	}
	missing := math.Max(0, float64(ahead+1)-l.tokens)
	d := time.Duration(math.Min(missing/l.limit, maxAvailableIn.Seconds()) * float64(time.Second))
	return max(d, retryInterval)
}

// retryInterval is the shortest time after which to try again, and the one used if it isn't
// known when a permit becomes available.
const retryInterval = slotTime

// maxAvailableIn bounds the wait that a caller is given.
const maxAvailableIn = time.Minute

// observe applies a report. If its time range overlaps that of the current limit's report,
// the lower limit wins: a delayed report must neither raise a limit nor remove it.
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

// setLimit applies the limit of a report.
func (l *limiter) setLimit(r LimitReport, now time.Time) {
	l.refill(now)
	if r.PerSecond < l.limit { // until now the endpoint received more than it can take
		l.tokens = math.Min(l.tokens, grantPause.Seconds()*math.Max(r.PerSecond-l.limit, -r.PerSecond))
	}
	l.limit = r.PerSecond
	l.limitSentAt = r.SentAt
	if r.ReceivedAt.After(l.limitReceivedAt) {
		l.limitReceivedAt = r.ReceivedAt
	}
}

// expired reports whether the limit was removed, or had no report for too long.
func (l *limiter) expired(now time.Time) bool {
	return l.removed || now.Sub(l.lastReportAt) > limitExpiry
}
