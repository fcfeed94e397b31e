// Package limits decides whether a request may run now: the limits of its
// client account, and the queue in front of the engines.
package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/failure"
	"github.com/larchwinch/larchwinch/pkg/timer"
	"golang.org/x/time/rate"
)

// idleAfter is after how long without a request an account's state is dropped.
const idleAfter = 10 * time.Minute

// burstSeconds is how many seconds' worth of a limit may be used at once.
const burstSeconds = 2

// Accounts holds each client account to its limits on this host. Every host
// allows an equal share of an account's limits, so the sum over all hosts
// stays within the limit without a call for each request; an account that
// sends everything to one host gets that host's share only.
type Accounts struct {
	svc   timer.Service
	hosts func() int

	mu   sync.Mutex
	rows map[string]*row
}

type row struct {
	account  bundle.Account
	hosts    int
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	used     time.Time
}

// NewAccounts returns limits for one of hosts() entry hosts.
func NewAccounts(svc timer.Service, hosts func() int) *Accounts {
	return &Accounts{
		svc:   svc,
		hosts: hosts,
		rows:  map[string]*row{},
	}
}

// Acquire lets a request of the account that may generate up to tokens begin,
// or refuses it at once. The caller must call Leave with the tokens that were
// not used.
func (a *Accounts) Acquire(account bundle.Account, tokens int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.svc.Now()
	r := a.row(account, now)
	if r.running >= share(account.Concurrent, r.hosts) {
		return refuse(failure.ConcurrencyLimited, time.Second, "client account %q has %d requests in flight on this host", account.Name, r.running)
	}
	if wait := reserve(r.requests, now, 1); wait > 0 {
		return refuse(failure.RateLimited, wait, "client account %q is over %d requests a second", account.Name, account.RequestsPerSecond)
	}
	if wait := reserve(r.tokens, now, tokens); wait > 0 {
		return refuse(failure.TokensLimited, wait, "client account %q is over %d tokens a second", account.Name, account.TokensPerSecond)
	}
	r.running++
	return nil
}

// Release ends what Enter let begin.
func (a *Accounts) Release(account bundle.Account, unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.rows[account.Name]
	if !ok {
		return
	}
	r.running--
	if unused > 0 {
		r.tokens.AllowN(a.svc.Now(), -unused)
	}
}

// Sweep forgets accounts that were not seen for long.
func (a *Accounts) Sweep() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var dropped []string
	for name, r := range a.rows {
		if r.running == 0 && a.svc.Now().Sub(r.used) > idleAfter {
			delete(a.rows, name)
			dropped = append(dropped, name)
		}
	}
	return dropped
}

func (a *Accounts) row(account bundle.Account, now time.Time) *row {
	hosts := max(1, a.hosts())
	r, ok := a.rows[account.Name]
	if !ok {
		r = &row{
			requests: rate.NewLimiter(0, 0),
			tokens:   rate.NewLimiter(0, 0),
		}
		a.rows[account.Name] = r
	}
	if !ok || r.hosts != hosts || r.account.RequestsPerSecond != account.RequestsPerSecond || r.account.TokensPerSecond != account.TokensPerSecond {
		setLimit(r.requests, now, account.RequestsPerSecond, hosts)
		setLimit(r.tokens, now, account.TokensPerSecond, hosts)
	}
	r.account = account
	r.hosts = hosts
	r.used = now
	return r
}

func setLimit(l *rate.Limiter, now time.Time, perSecond, hosts int) {
	fresh := l.Burst() == 0
	per := float64(perSecond) / float64(hosts)
	burst := max(1, int(per*burstSeconds))
	l.SetLimitAt(now, rate.Limit(per))
	l.SetBurstAt(now, burst)
	if fresh {
		l.AllowN(now, -burst) // a new account begins with its whole burst
	}
}

// reserve takes n from the limiter, or returns how long it would take. A
// request for more than the burst is let through once the burst is whole.
func reserve(l *rate.Limiter, now time.Time, n int) time.Duration {
	n = min(n, l.Burst())
	if l.AllowN(now, n) {
		return 0
	}
	missing := float64(n) - l.TokensAt(now)
	return time.Duration(missing / float64(l.Limit()) * float64(time.Second))
}

func share(limit, hosts int) int {
	return max(1, (limit+hosts-1)/hosts)
}

// refuse says when to come back, spread out so that the returns don't all
// come at the same moment.
func refuse(k failure.Kind, wait time.Duration, format string, args ...any) error {
	const spread = 0.5
	wait += time.Duration(rand.Float64() * spread * float64(wait))
	return failure.New(k, format, args...).WithRetryAfter(max(wait, 10*time.Millisecond))
}
