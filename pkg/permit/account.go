package permit

import (
	"math"
	"time"
)

const (
	// creditTime is the time whose calls may be lent at once, where nothing was lent
	// before, and creditMore calls beyond these: 0.4 s pass between two calls of a host, and
	// requests don't come evenly.
	creditTime = 500 * time.Millisecond
	creditMore = 2.5
	// outTime is the time whose calls may be out as permits, and outMore calls beyond
	// these. With the credit it keeps the calls of any 4 s within 1.5 times what the limit
	// allows, and 3.5 of the 5 that are allowed beyond it.
	outTime = 1500 * time.Millisecond
	outMore = 1
	// pauseTime is how long nothing is lent once a limit is named: until then the
	// endpoint got what it couldn't bear.
	pauseTime = time.Second
	// overTime lies at least between two calls that are answered without a limit, and none
	// with one, before it is over: one that comes and goes each second stays.
	overTime = 1050 * time.Millisecond
	// wordSlack is by how much a word's time may be off: it is told as an age, and the
	// way of the call that tells it isn't counted.
	wordSlack = 100 * time.Millisecond
	// forgetTime is how long a limit is kept of which nothing is heard.
	forgetTime = 2 * time.Minute
	// slotTime parts the time in which permits were lent. lentSlots cover the time for
	// which they are valid, and the slot that has begun.
	slotTime  = 100 * time.Millisecond
	lentSlots = int64(Lifetime/slotTime) + 1
)

// account is what the leader knows of one endpoint that has a limit.
//
// Invariant: credit rises by the limit and falls by what is lent and not given back, so
// that the calls of any time are at most the limit's, what was out, and the most credit.
type account struct {
	key     uint32
	service string
	limit   float64
	credit  float64
	at      time.Time // of credit
	lent    [lentSlots]int
	slot    int64 // newest of lent
	// setSent and setAt are when the call was sent, and its answer came, that last named
	// the limit that stands; toldAt is when this leader last had a word of any kind.
	setSent time.Time
	setAt   time.Time
	toldAt  time.Time
	// unnamed is when the first call was sent whose answer named no limit since one did;
	// zero: there is none.
	unnamed time.Time
	ended   bool
	queue   []*Waiter
}

func newAccount(w LimitReport, now time.Time) *account {
	return &account{
		key:     w.Key,
		service: w.Service,
		limit:   w.PerSecond,
		credit:  -w.PerSecond * pauseTime.Seconds(),
		at:      now,
		setSent: w.SentAt,
		setAt:   w.ReceivedAt,
		toldAt:  now,
	}
}

// change tells that the endpoint has a limit.
func (a *account) change() LimitChange {
	return LimitChange{
		Key:       a.key,
		Service:   a.service,
		PerSecond: a.limit,
	}
}

// most returns the most credit.
func (a *account) most() float64 {
	return a.limit*creditTime.Seconds() + creditMore
}

// room returns how many permits may be out.
func (a *account) room() int {
	return int(a.limit*outTime.Seconds()) + outMore
}

// refill adds what the limit allowed since the last look.
func (a *account) refill(now time.Time) {
	more := a.limit * now.Sub(a.at).Seconds()
	a.credit = math.Min(a.most(), a.credit+more)
	a.at = now
	slot := now.UnixNano() / int64(slotTime)
	for ; a.slot < slot && slot-a.slot < lentSlots; a.slot++ {
		a.lent[(a.slot+1)%lentSlots] = 0
	}
	if a.slot < slot {
		a.lent = [lentSlots]int{}
		a.slot = slot
	}
}

// out returns how many permits were lent that may still be used.
func (a *account) out() int {
	sum := 0
	for _, n := range a.lent {
		sum += n
	}
	return sum
}

// free returns how many permits may be lent now beside ahead others. The account must
// be refilled.
func (a *account) free(ahead int) int {
	credit := int(math.Floor(a.credit)) - ahead
	room := a.room() - a.out() - ahead
	return max(0, min(credit, room))
}

// lend lends n permits.
func (a *account) lend(n int) {
	a.credit -= float64(n)
	a.lent[a.slot%lentSlots] += n
}

// unused takes n permits back that are over.
func (a *account) unused(n int) {
	a.credit = math.Min(a.most(), a.credit+float64(n))
}

// due returns how long it takes until a permit may be lent behind ahead others. The
// account must be refilled.
func (a *account) due(ahead int) time.Duration {
	if a.free(ahead) > 0 {
		return 0
	}
	lack := math.Max(0, float64(ahead+1)-a.credit)
	d := time.Duration(math.Min(lack/a.limit, longestDue.Seconds()) * float64(time.Second))
	return max(d, lookAgain)
}

// lookAgain is when to try again where it isn't known when a permit comes back.
const lookAgain = slotTime

// longestDue bounds what a caller is told.
const longestDue = time.Minute

// hear takes a word. Of two whose times overlap the lower limit stands: a word that is
// late may neither raise a limit nor end one.
func (a *account) hear(w LimitReport, now time.Time) {
	a.toldAt = now
	later := !w.SentAt.Before(a.setAt.Add(wordSlack))
	if !w.names() {
		switch {
		case !later:
		case a.unnamed.IsZero():
			a.unnamed = w.SentAt
		case w.SentAt.Sub(a.unnamed) >= overTime:
			a.ended = true
		}
		return
	}
	if !w.ReceivedAt.Before(a.unnamed) {
		a.unnamed = time.Time{}
	}
	earlier := w.ReceivedAt.Before(a.setSent)
	if earlier || w.PerSecond > a.limit && !later || w.PerSecond == a.limit && !w.ReceivedAt.After(a.setAt) {
		return
	}
	a.set(w, now)
}

// set takes the limit of a word.
func (a *account) set(w LimitReport, now time.Time) {
	a.refill(now)
	if w.PerSecond < a.limit { // until now it got what it can't bear any more
		a.credit = math.Min(a.credit, pauseTime.Seconds()*math.Max(w.PerSecond-a.limit, -w.PerSecond))
	}
	a.limit = w.PerSecond
	a.setSent = w.SentAt
	if w.ReceivedAt.After(a.setAt) {
		a.setAt = w.ReceivedAt
	}
}

// over reports whether the endpoint has no limit any more.
func (a *account) over(now time.Time) bool {
	return a.ended || now.Sub(a.toldAt) > forgetTime
}
