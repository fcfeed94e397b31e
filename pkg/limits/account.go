// Package limits decides whether a request may run now: by the limits of its client account,
// and by the admission queue in front of the engines.
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

// idleTimeout is the time without a request after which an account's state is dropped.
const idleTimeout = 10 * time.Minute

// burstSeconds is the number of seconds' worth of a limit that may be used at once.
const burstSeconds = 2

// Accounts enforces the limits of client accounts on this host. Every host allows an equal
// share of an account's limits, so that the sum over all hosts stays within the limit without
// a call for each request. An account that sends everything to one host gets only that host's
// share.
type Accounts struct {
	svc   timer.Service
	hosts func() int

	mu      sync.Mutex
	entries map[string]*entry
}

type entry struct {
	account  bundle.Account
	hosts    int
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	lastUsed time.Time
}

// NewAccounts returns the limits of one of hosts() entry hosts.
func NewAccounts(svc timer.Service, hosts func() int) *Accounts {
	return &Accounts{
		svc:     svc,
		hosts:   hosts,
		entries: map[string]*entry{},
	}
}

// Acquire admits a request of the account that may generate up to the given number of tokens,
// or refuses it at once. If it returns nil, the caller must call Release with the number of
// tokens that weren't generated.
func (a *Accounts) Acquire(account bundle.Account, tokens int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.svc.Now()
	e := a.entry(account, now)
	if e.running >= share(account.Concurrent, e.hosts) {
		return refuse(failure.ConcurrencyLimited, time.Second, "client account %q has %d requests in flight on this host", account.Name, e.running)
	}
	if wait := reserve(e.requests, now, 1); wait > 0 {
		return refuse(failure.RateLimited, wait, "client account %q is over %d requests a second", account.Name, account.RequestsPerSecond)
	}
	if wait := reserve(e.tokens, now, tokens); wait > 0 {
		return refuse(failure.TokensLimited, wait, "client account %q is over %d tokens a second", account.Name, account.TokensPerSecond)
	}
	e.running++
	return nil
}

// Release ends a request that Acquire admitted, and returns its unused tokens.
func (a *Accounts) Release(account bundle.Account, unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entries[account.Name]
	if !ok {
		return
	}
	e.running--
	if unused > 0 {
		e.tokens.AllowN(a.svc.Now(), -unused)
	}
}

// Sweep drops accounts without a request for idleTimeout, and returns their names.
func (a *Accounts) Sweep() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var dropped []string
	for name, e := range a.entries {
		if e.running == 0 && a.svc.Now().Sub(e.lastUsed) > idleTimeout {
			delete(a.entries, name)
			dropped = append(dropped, name)
		}
	}
	return dropped
}

func (a *Accounts) entry(account bundle.Account, now time.Time) *entry {
	hosts := max(1, a.hosts())
	e, ok := a.entries[account.Name]
	if !ok {
		e = &entry{
			requests: rate.NewLimiter(0, 0),
			tokens:   rate.NewLimiter(0, 0),
		}
		a.entries[account.Name] = e
	}
	if !ok || e.hosts != hosts || e.account.RequestsPerSecond != account.RequestsPerSecond || e.account.TokensPerSecond != account.TokensPerSecond {
		setLimit(e.requests, now, account.RequestsPerSecond, hosts)
		setLimit(e.tokens, now, account.TokensPerSecond, hosts)
	}
	e.account = account
	e.hosts = hosts
	e.lastUsed = now
	return e
}

func setLimit(l *rate.Limiter, now time.Time, perSecond, hosts int) {
	isNew := l.Burst() == 0
	rps := float64(perSecond) / float64(hosts)
	burst := max(1, int(rps*burstSeconds))
	l.SetLimitAt(now, rate.Limit(rps))
	l.SetBurstAt(now, burst)
	if isNew {
		l.AllowN(now, -burst) // a new account starts with a full burst
	}
}

// reserve takes n tokens from the limiter, or returns how long until it has them. An n beyond
// the burst counts as the burst, so that it is admitted once the limiter is full.
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

// refuse returns a failure with the time after which to retry, randomly prolonged so that the
// retries don't all come at the same moment.
func refuse(k failure.Kind, wait time.Duration, format string, args ...any) error {
	const spread = 0.5
	wait += time.Duration(rand.Float64() * spread * float64(wait))
	return failure.New(k, format, args...).WithRetryAfter(max(wait, 10*time.Millisecond))
}
