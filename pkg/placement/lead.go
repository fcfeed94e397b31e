package placement

import (
	"context"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Lead is a term in which this replica leads.
type Lead interface {
	// Confirmed reports whether this replica leads now. It may not be able to tell for a
	// moment, when it is short of processor time.
	Confirmed(ctx context.Context) bool
	// Ended reports whether another replica, or this one in another term, may lead.
	Ended(ctx context.Context) bool
}

// leadPollInterval is the time after which a lead that isn't confirmed is looked at again.
const leadPollInterval = 50 * time.Millisecond

// awaitLead waits until the lead is confirmed, and reports false if it ends before.
func (c *Controller) awaitLead(ctx context.Context, lead Lead) bool {
	for !lead.Confirmed(ctx) {
		if lead.Ended(ctx) || timer.Sleep(ctx, c.svc, leadPollInterval) != nil {
			return false
		}
	}
	return true
}
