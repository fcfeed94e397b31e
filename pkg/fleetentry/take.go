package fleetentry

import (
	"sort"
	"time"

	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/gateway"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// take installs a confirmed reply. It confirms the configuration held here only
// if that is the one that stands. The reply was true after the call had
// waited for as long as it says, so after sent plus that time.
func (f *Follower) take(address string, reply *rpc.SyncReply, sent time.Time) bool {
	index, err := f.decode(reply.GetDocument())
	if err != nil {
		f.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the configuration can't be read"), eventlog.Err(err))
		return false
	}
	now := f.cfg.Timer.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if index != nil && (f.index == nil || index.Version() > f.index.Version()) {
		f.index = index
		f.cfg.Log.Event(eventlog.ConfigInForce, eventlog.Int("version", int64(index.Version())), eventlog.Str("from", address))
	}
	at := sent.Add(time.Duration(reply.GetHeldMs()) * time.Millisecond)
	if at.After(f.confirmedAt) && f.index != nil && f.index.Version() >= reply.GetNewest() {
		f.confirmedAt = at
	}
	if f.lost {
		f.cfg.Log.Event(eventlog.ControlRegained, eventlog.Str("address", address))
	}
	f.lost = false
	close(f.confirmed)
	f.confirmed = make(chan struct{})
	f.hint = address
	f.settled = reply.GetSettled() || f.settled && !reply.GetWhole()
	f.takeEndpoints(reply, now)
	f.takeHosts(reply)
	if list := reply.GetReplicas(); len(list) > 0 {
		f.replicas = list
	}
	return true
}

func (f *Follower) decode(d *rpc.Document) (*fleet.Index, error) {
	if d == nil {
		return nil, nil
	}
	content, err := fleet.Unpack(d.GetContent())
	if err != nil {
		return nil, err
	}
	cfg, err := f.cfg.Decoder.Decode(content)
	if err != nil {
		return nil, err
	}
	return fleet.NewIndex(cfg), nil
}

// takeEndpoints merges a list; only one that is whole and settled takes rows
// away that it doesn't hold.
func (f *Follower) takeEndpoints(reply *rpc.SyncReply, now time.Time) {
	list := fleet.EndpointsFromWire(reply.GetEndpoints(), now)
	if reply.GetWhole() && reply.GetSettled() {
		f.endpoints = map[string]fleet.Endpoint{}
	}
	f.others = map[string]gateway.Load{}
	for _, l := range reply.GetLoads() {
		f.others[l.GetId()] = gateway.Load{
			Requests: int(l.GetRequests()),
			Tokens:   int(l.GetTokens()),
		}
	}
	f.epoch = reply.GetEpoch()
	f.version = reply.GetEndpointsVersion()
	if len(list) == 0 && !reply.GetWhole() {
		return
	}
	for _, e := range list {
		f.mergeEndpoint(e)
	}
	f.rebuild(now)
}

// mergeEndpoint keeps what never goes back, whichever control host tells it.
func (f *Follower) mergeEndpoint(e fleet.Endpoint) {
	old, known := f.endpoints[e.ID]
	if known && e.Sequence < old.Sequence {
		old.Leaving = old.Leaving || e.Leaving
		old.Gone = old.Gone || e.Gone
		f.endpoints[e.ID] = old
		return
	}
	e.Leaving = e.Leaving || old.Leaving
	e.Gone = e.Gone || old.Gone
	f.endpoints[e.ID] = e
}

// rebuild sorts the usable endpoints by service.
func (f *Follower) rebuild(now time.Time) {
	f.byService = map[string][]fleet.Endpoint{}
	for id, e := range f.endpoints {
		if !e.Usable() {
			if now.Sub(e.HeardAt) > goneKeep {
				delete(f.endpoints, id)
			}
			continue
		}
		f.byService[e.Service] = append(f.byService[e.Service], e)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	for _, list := range f.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

func (f *Follower) takeHosts(reply *rpc.SyncReply) {
	if reply.GetHostsVersion() == f.hostVersion && !reply.GetWhole() {
		return
	}
	f.hostVersion = reply.GetHostsVersion()
	f.hosts = reply.GetHosts()
}
