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
	Merge(id string, left time.Duration)
}

// MarkLeaving implements gateway.Source: an endpoint told this host itself that it leaves. The
// host keeps that for good, whatever control hosts tell: they may be out of reach, and
// what they were told by the endpoint may be older. They are told with the next call.
func (f *ControlClient) MarkLeaving(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heardLeaving(id) {
		return
	}
	now := f.cfg.Timer.Now()
	f.leaves[id] = now
	if e, known := f.endpoints[id]; !known || !e.Usable() {
		return // nothing changes now
	}
	f.cfg.Log.Event(eventlog.EndpointLeaving, eventlog.Str("endpoint", id), eventlog.Str("why", "its own answer"))
	f.rebuild(now)
}

func (f *ControlClient) heardLeaving(id string) bool {
	_, heard := f.leaves[id]
	return heard
}

// forgetLeaves drops those of endpoints that aren't known any more.
func (f *ControlClient) forgetLeaves(now time.Time) {
	for id, at := range f.leaves {
		if _, known := f.endpoints[id]; !known && now.Sub(at) > goneKeep {
			delete(f.leaves, id)
		}
	}
}

// tellWords adds to a call what endpoints told this host of themselves: to any leader
// which of them leave, as far as it doesn't know; to one on this machine which rest, as
// its questions and orders come from the same machine. Those that rest are no suspects:
// they have just answered, and questions are what they don't want.
func (f *ControlClient) tellWords(q *rpc.SyncRequest, address string) {
	for id := range f.leaves {
		if e, known := f.endpoints[id]; known && e.Usable() {
			q.Leaving = append(q.Leaving, id)
		}
	}
	resting := f.rests.Active()
	for _, id := range f.loads.Suspects() {
		if resting[id] == 0 {
			q.Suspects = append(q.Suspects, id)
		}
	}
	if !sameHost(address, f.cfg.CallerAddress) {
		return
	}
	q.Resting = rest.ToWire(resting)
}

// takeRests takes what endpoints asked the control process of this machine for.
func (f *ControlClient) takeRests(reply *rpc.SyncReply) {
	for _, r := range reply.GetResting() {
		f.rests.Merge(r.GetEndpoint(), rest.FromWire(r))
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
