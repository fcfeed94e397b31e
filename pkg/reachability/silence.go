package reachability

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// silenceTimeout is how long endpoints must have left requests unanswered, and all
	// endpoints of the service must have sent nothing, for a check of whether they answer.
	// One that pauses goes on after about as long.
	silenceTimeout = time.Second
	// silenceInterval is how often that is looked at.
	silenceInterval = 200 * time.Millisecond
	// activityLifetime is how long the activity of an address is kept without any.
	activityLifetime = time.Minute
)

// activity is what the connections to one address carry. Connections update the atomics;
// the other fields are guarded by Monitor.mu.
type activity struct {
	reads atomic.Uint64
	asked atomic.Bool // something was written since the last read

	seenReads  uint64    // reads when it was looked at last
	openedAt   time.Time // of the newest connection
	heardAt    time.Time // zero if nothing came yet
	askedSince time.Time // zero if nothing is unanswered
}

// observedConn is a connection to an endpoint whose traffic is noted.
type observedConn struct {
	net.Conn
	activity *activity
}

// Read implements net.Conn.
func (c *observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.activity.reads.Add(1)
		c.activity.asked.Store(false)
	}
	return n, err
}

// Write implements net.Conn.
func (c *observedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 && !c.activity.asked.Load() {
		c.activity.asked.Store(true)
	}
	return n, err
}

// observe returns a connection to an address whose traffic is noted.
func (m *Monitor) observe(c net.Conn, address string) net.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.activities[address]
	if a == nil {
		a = &activity{}
		m.activities[address] = a
	}
	a.openedAt = m.svc.Now()
	if len(m.activities) == 1 {
		m.wake() // Run looks at activities from now on
	}
	return &observedConn{
		Conn:     c,
		activity: a,
	}
}

// lookAtActivities notes which addresses were heard or asked since the last time, and reports
// whether any has left requests unanswered for silenceTimeout. The caller holds mu.
func (m *Monitor) lookAtActivities(now time.Time) bool {
	overdue := false
	for address, a := range m.activities {
		reads, asked := a.reads.Load(), a.asked.Load()
		switch {
		case reads != a.seenReads:
			a.seenReads = reads
			a.heardAt = now
			a.askedSince = time.Time{}
		case asked && a.askedSince.IsZero():
			a.askedSince = now
		case !asked && now.Sub(a.heardAt) > activityLifetime && now.Sub(a.openedAt) > activityLifetime:
			delete(m.activities, address)
		}
		overdue = overdue || a.unanswered(now)
	}
	return overdue
}

func (a *activity) unanswered(now time.Time) bool {
	return !a.askedSince.IsZero() && now.Sub(a.askedSince) >= silenceTimeout
}

// silent reports whether endpoints of a service leave requests unanswered, and none has sent
// anything lately. The caller holds mu.
func (m *Monitor) silent(addresses []string, now time.Time) bool {
	unanswered := 0
	for _, address := range addresses {
		a := m.activities[address]
		if a == nil {
			continue
		}
		if now.Sub(a.heardAt) < silenceTimeout {
			return false
		}
		if a.unanswered(now) {
			unanswered++
		}
	}
	return unanswered >= min(suspectEndpoints, len(addresses)) && unanswered > 0
}

// markHeard notes that endpoints of a service answer. The caller holds mu.
func (m *Monitor) markHeard(addresses []string, now time.Time) {
	for _, address := range addresses {
		if a := m.activities[address]; a != nil {
			a.heardAt = now
			a.askedSince = time.Time{}
			a.asked.Store(false)
		}
	}
}
