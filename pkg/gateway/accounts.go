package gateway

import "sync"

// maxAccounts is how many client accounts have a histogram of their own on one host;
// the others share one. A histogram takes 6 KB, which keeps a host with 64 MB for
// control and 1,200 accounts within 0.4 MB.
const maxAccounts = 64

// otherAccounts is the label of the client accounts that share a histogram, and
// noAccount that of requests on routes that need no key.
const (
	otherAccounts = "(others)"
	noAccount     = "(none)"
)

// accountLabels assigns client accounts their labels in metrics. The first ones that
// are served get their own names.
type accountLabels struct {
	mu    sync.Mutex
	named map[string]bool
}

func newAccountLabels() *accountLabels {
	return &accountLabels{
		named: map[string]bool{},
	}
}

func (a *accountLabels) of(account string) string {
	if account == "" {
		return noAccount
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.named[account]:
	case len(a.named) >= maxAccounts:
		return otherAccounts
	default:
		a.named[account] = true
	}
	return account
}
