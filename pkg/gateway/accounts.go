package gateway

import "sync"

// maxAccounts is how many client accounts have a histogram of their own on one
// host; the others share one. A histogram takes 6 KB, so that a host of 64 MB
// for control and 1,200 accounts keeps within 0.4 MB.
const maxAccounts = 64

// otherAccounts is the label of those that share one, and noAccount of requests
// on routes that need no key.
const (
	otherAccounts = "(others)"
	noAccount     = "(none)"
)

// accountLabels gives client accounts their label in metrics. The first that
// are served get their own name.
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
