package timer

import "time"

// System is the service that follows the machine's clock.
type System struct{}

// NewSystem returns the service that follows the machine's clock.
func NewSystem() System {
	return System{}
}

// Now implements Service.
func (System) Now() time.Time {
	return time.Now()
}

// After implements Service.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Every implements Service.
func (System) Every(d time.Duration) *Subscription {
	t := time.NewTicker(d)
	return &Subscription{
		c:    t.C,
		stop: t.Stop,
	}
}
