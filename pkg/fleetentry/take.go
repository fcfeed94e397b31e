package fleetentry

import (
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/gateway"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"google.golang.org/protobuf/proto"
)

// take installs a confirmed reply. It confirms the configuration held here only
// if that is the one that stands. The reply was true after the call had
// waited for as long as it says, so after sent plus that time.
func (f *ControlClient) take(address string, reply *rpc.SyncReply, sent time.Time) bool {
	doc, err := f.open(reply.GetDocument(), reply.GetPatch())
	if err != nil {
		f.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the configuration can't be read; it is asked for whole"), eventlog.Err(err))
		f.whole = true
		return false
	}
	f.whole = false
	now := f.cfg.Timer.Now()
	list, err := endpointsOf(reply, now)
	if err != nil {
		f.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the list of endpoints can't be read"), eventlog.Err(err))
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.install(doc, address)
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
	f.takeEndpoints(reply, list, now)
	f.takeLoads(reply.GetLoads())
	f.takeHosts(reply)
	f.takeSuspects(reply)
	f.takeRests(reply)
	f.takeLimits(reply, sent)
	f.telling = telling{}
	if list := reply.GetReplicas(); len(list) > 0 {
		f.replicas = list
	}
	return true
}

// takeEndpoints merges a list; only one that is whole and settled takes rows
// away that it doesn't hold.
func (f *ControlClient) takeEndpoints(reply *rpc.SyncReply, list []fleet.Endpoint, now time.Time) {
	if reply.GetWhole() && reply.GetSettled() {
		f.endpoints = map[string]fleet.Endpoint{}
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
func (f *ControlClient) mergeEndpoint(e fleet.Endpoint) {
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
func (f *ControlClient) rebuild(now time.Time) {
	f.byService = map[string][]fleet.Endpoint{}
	told := make([]fleet.Endpoint, 0, len(f.endpoints))
	for id, e := range f.endpoints {
		if !e.Usable() {
			if now.Sub(e.LastHeartbeat) > goneKeep {
				delete(f.endpoints, id)
			}
			continue
		}
		told = append(told, e)
		if !f.heardLeaving(id) {
			f.byService[e.Service] = append(f.byService[e.Service], e)
		}
	}
	f.forgetLeaves(now)
	close(f.changed)
	f.changed = make(chan struct{})
	f.digest = fleet.EndpointsDigest(told)
	for _, list := range f.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// endpointsOf returns the endpoints that a reply brings: all, or those that
// changed.
func endpointsOf(reply *rpc.SyncReply, now time.Time) ([]fleet.Endpoint, error) {
	if !reply.GetWhole() {
		return fleet.EndpointsFromWire(reply.GetEndpoints(), now), nil
	}
	text, err := fleet.Unpack(reply.GetPackedEndpoints())
	if err != nil {
		return nil, err
	}
	all := &rpc.SpreadRequest{}
	if err := proto.Unmarshal(text, all); err != nil {
		return nil, errors.Wrap(err, "decode endpoints")
	}
	return fleet.EndpointsFromWire(all.GetEndpoints(), now), nil
}

// takeLoads takes what all hosts have under way, this one's share off: that is
// what it told with the call that is being answered.
func (f *ControlClient) takeLoads(l *rpc.LoadTable) {
	if l == nil || len(l.GetRequests()) != len(l.GetEndpoints()) || len(l.GetTokens()) != len(l.GetEndpoints()) {
		return // not told this time
	}
	f.others = make(map[uint32]gateway.Load, len(l.GetEndpoints()))
	for i, key := range l.GetEndpoints() {
		f.others[key] = gateway.Load{
			Requests: int(l.GetRequests()[i]),
			Tokens:   int(l.GetTokens()[i]),
		}
	}
	for id, own := range f.told {
		key := fleet.LoadKey(id)
		all := f.others[key]
		f.others[key] = gateway.Load{
			Requests: max(0, all.Requests-own.Requests),
			Tokens:   max(0, all.Tokens-own.Tokens),
		}
	}
	f.toldThen = f.told
}

// takeHosts takes which hosts callers may be told of, and how many there are.
func (f *ControlClient) takeHosts(reply *rpc.SyncReply) {
	if n := reply.GetHosts(); n > 0 {
		f.hosts = int(n)
	}
	if reply.GetAddressesDigest() != fleet.AddressesDigest(f.addresses) {
		f.addresses = reply.GetAddresses()
	}
}
