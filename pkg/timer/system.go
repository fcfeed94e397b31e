package timer

import "time"

// System is the service that follows the machine's clock. Its time goes on while the
// machine is suspended, as other machines' does: the steady clock that time.Now reads
// stands still then, and a leader that was suspended for seconds would take its lease
// for valid, and an entry host a key for confirmed, long after others went on without
// them. Steps of the time of day don't move it.
type System struct {
	start time.Time
	// bootTime reads a clock that counts suspension; first is what it read at start.
	bootTime    func() time.Duration
	bootAtStart time.Duration
}

// NewSystem returns the service that follows the machine's clock.
func NewSystem() System {
	return newSystem(bootTime)
}

func newSystem(boot func() time.Duration) System {
	return System{
		start:       time.Now(),
		bootTime:    boot,
		bootAtStart: boot(),
	}
}

// Now implements Service. Its monotonic reading counts suspension. It costs 0.2
// microseconds more than time.Now (BenchmarkNow).
func (s System) Now() time.Time {
	return s.start.Add(s.bootTime() - s.bootAtStart)
}

// Wall implements Service.
func (System) Wall() time.Time {
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
