package fleetentry

import (
	"net"
	"time"

	"github.com/larchwinch/larchwinch/pkg/backoff"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// Backoffs holds the endpoints that asked this host for backoff.
type Backoffs interface {
	// Active returns the remaining time by endpoint.
	Active() map[string]time.Duration
	// Merge adds a backoff that an endpoint asked of another process of this host.
	Merge(id string, remaining time.Duration)
}

// MarkLeaving implements gateway.Source: an endpoint reported to this host in an answer that
// it is leaving. That stays, whatever control hosts report: they may be unreachable, and
// what the endpoint reported to them may be older. The next call reports it to them.
func (c *ControlClient) MarkLeaving(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.announcedLeaving(id) {
		return
	}
	now := c.cfg.Timer.Now()
	c.leavingSince[id] = now
	if e, known := c.endpoints[id]; !known || !e.Usable() {
		return // it isn't in the list of usable endpoints
	}
	c.cfg.Log.Event(eventlog.EndpointLeaving, eventlog.Str("endpoint", id), eventlog.Str("why", "its own answer"))
	c.rebuild(now)
}

func (c *ControlClient) announcedLeaving(id string) bool {
	_, known := c.leavingSince[id]
	return known
}

// expireLeaving drops the leave notices of endpoints that are no longer known, once they
// are older than goneRetention.
func (c *ControlClient) expireLeaving(now time.Time) {
	for id, at := range c.leavingSince {
		if _, known := c.endpoints[id]; !known && now.Sub(at) > goneRetention {
			delete(c.leavingSince, id)
		}
	}
}

// addNotices adds the notices that endpoints sent to this host. Any control host receives
// the endpoints that are leaving, as long as the list held here has them as usable. Only a
// control process on this host receives the endpoints in backoff, since its probes and
// orders come from the same host. Endpoints in backoff aren't reported as suspects: they
// have just answered, and a suspect would be probed. A host that reaches no endpoint suspects
// none.
func (c *ControlClient) addNotices(q *rpc.SyncRequest, address string) {
	for id := range c.leavingSince {
		if e, known := c.endpoints[id]; known && e.Usable() {
			q.Leaving = append(q.Leaving, id)
		}
	}
	backingOff := c.backoffs.Active()
	isolated := c.cfg.Isolated()
	for _, id := range c.loads.Suspects() {
		if backingOff[id] == 0 && !isolated {
			q.Suspects = append(q.Suspects, id)
		}
	}
	if !sameHost(address, c.cfg.CallerAddress) {
		return
	}
	q.Resting = backoff.ToWire(backingOff)
}

// applyBackoffs merges the backoffs that endpoints asked of the control process on this
// host.
func (c *ControlClient) applyBackoffs(reply *rpc.SyncReply) {
	for _, r := range reply.GetResting() {
		c.backoffs.Merge(r.GetEndpoint(), backoff.FromWire(r))
	}
}

// sameHost reports whether two addresses have the same host part.
func sameHost(a, b string) bool {
	one, _, err := net.SplitHostPort(a)
	if err != nil {
		return false
	}
	other, _, err := net.SplitHostPort(b)
	return err == nil && one == other
}
