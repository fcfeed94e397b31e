package fleetentry

import (
	"net"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/rest"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// Backoffs is which endpoints asked this host for rest.
type Backoffs interface {
	// Active returns for how much longer.
	Active() map[string]time.Duration
	// Merge notes a rest that another process of this host was asked for.
	Merge(id string, remaining time.Duration)
}

// MarkLeaving implements gateway.Source: an endpoint told this host itself that it leaves. The
// host keeps that for good, whatever control hosts tell: they may be out of reach, and
// what they were told by the endpoint may be older. They are told with the next call.
func (c *ControlClient) MarkLeaving(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.announcedLeaving(id) {
		return
	}
	now := c.cfg.Timer.Now()
	c.leavingSince[id] = now
	if e, known := c.endpoints[id]; !known || !e.Usable() {
		return // nothing changes now
	}
	c.cfg.Log.Event(eventlog.EndpointLeaving, eventlog.Str("endpoint", id), eventlog.Str("why", "its own answer"))
	c.rebuild(now)
}

func (c *ControlClient) announcedLeaving(id string) bool {
	_, heard := c.leavingSince[id]
	return heard
}

// expireLeaving drops those of endpoints that aren't known any more.
func (c *ControlClient) expireLeaving(now time.Time) {
	for id, at := range c.leavingSince {
		if _, known := c.endpoints[id]; !known && now.Sub(at) > goneRetention {
			delete(c.leavingSince, id)
		}
	}
}

// addNotices adds to a call what endpoints told this host of themselves: to any leader
// which of them leave, as far as it doesn't know; to one on this machine which rest, as
// its questions and orders come from the same machine. Those that rest are no suspects:
// they have just answered, and questions are what they don't want.
func (c *ControlClient) addNotices(q *rpc.SyncRequest, address string) {
	for id := range c.leavingSince {
		if e, known := c.endpoints[id]; known && e.Usable() {
			q.Leaving = append(q.Leaving, id)
		}
	}
	backingOff := c.backoffs.Active()
	for _, id := range c.loads.Suspects() {
		if backingOff[id] == 0 {
			q.Suspects = append(q.Suspects, id)
		}
	}
	if !sameHost(address, c.cfg.CallerAddress) {
		return
	}
	q.Resting = rest.ToWire(backingOff)
}

// applyBackoffs takes what endpoints asked the control process of this machine for.
func (c *ControlClient) applyBackoffs(reply *rpc.SyncReply) {
	for _, r := range reply.GetResting() {
		c.backoffs.Merge(r.GetEndpoint(), rest.FromWire(r))
	}
}

// sameHost reports whether two addresses are of one machine.
func sameHost(a, b string) bool {
	one, _, err := net.SplitHostPort(a)
	if err != nil {
		return false
	}
	other, _, err := net.SplitHostPort(b)
	return err == nil && one == other
}
