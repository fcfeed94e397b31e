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

// applyReply applies a confirmed reply to a call that was sent at the given time, and
// reports whether the reply could be decoded. It confirms the active configuration only if
// the control host knows no newer one. The confirmation counts from sent plus the time for
// which the control host says it held the call, since the reply was true at that time.
func (c *ControlClient) applyReply(address string, reply *rpc.SyncReply, sent time.Time) bool {
	doc, err := c.decodeConfig(reply.GetDocument(), reply.GetPatch())
	if err != nil {
		c.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the configuration can't be read; it is asked for whole"), eventlog.Err(err))
		c.wantFull = true
		return false
	}
	c.wantFull = false
	now := c.cfg.Timer.Now()
	list, err := decodeEndpoints(reply, now)
	if err != nil {
		c.cfg.Log.Event(eventlog.Unexpected, eventlog.Str("what", "the list of endpoints can't be read"), eventlog.Err(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.installIfNewer(doc, address)
	at := sent.Add(time.Duration(reply.GetHeldMs()) * time.Millisecond)
	if at.After(c.confirmedAt) && c.index != nil && c.index.Version() >= reply.GetNewest() {
		c.confirmedAt = at
	}
	if c.controlLost {
		c.cfg.Log.Event(eventlog.ControlRegained, eventlog.Str("address", address))
	}
	c.controlLost = false
	close(c.confirmed)
	c.confirmed = make(chan struct{})
	c.leaderHint = address
	c.settled = reply.GetSettled() || c.settled && !reply.GetWhole()
	c.applyEndpoints(reply, list, now)
	c.applyLoads(reply.GetLoads())
	c.applyHosts(reply)
	c.applyQuarantine(reply)
	c.applyBackoffs(reply)
	c.applyLimits(reply, sent)
	c.applyAdmission(reply, sent, now)
	c.inFlight = syncReport{}
	if list := reply.GetReplicas(); len(list) > 0 {
		c.replicas = list
	}
	return true
}

// applyEndpoints merges a list of endpoints. Only a full list of a settled term removes
// endpoints that it doesn't contain. The caller holds mu.
func (c *ControlClient) applyEndpoints(reply *rpc.SyncReply, list []fleet.Endpoint, now time.Time) {
	if reply.GetWhole() && reply.GetSettled() {
		c.endpoints = map[string]fleet.Endpoint{}
	}
	c.epoch = reply.GetEpoch()
	c.endpointsVersion = reply.GetEndpointsVersion()
	if len(list) == 0 && !reply.GetWhole() {
		return
	}
	for _, e := range list {
		c.mergeEndpoint(e)
	}
	c.rebuild(now)
}

// mergeEndpoint adds or updates an endpoint. The higher sequence number wins. An endpoint
// that is held as leaving or gone remains so, whichever control host sent the update, until
// a full list of a settled term replaces all that are held.
func (c *ControlClient) mergeEndpoint(e fleet.Endpoint) {
	old, known := c.endpoints[e.ID]
	if known && e.Sequence < old.Sequence {
		old.Leaving = old.Leaving || e.Leaving
		old.Gone = old.Gone || e.Gone
		c.endpoints[e.ID] = old
		return
	}
	e.Leaving = e.Leaving || old.Leaving
	e.Gone = e.Gone || old.Gone
	c.endpoints[e.ID] = e
}

// rebuild recomputes the usable endpoints of each service and their digest, and drops
// endpoints and leave notices that are past their retention. Endpoints that reported their
// leaving only to this host count in the digest, since the leader still lists them. It
// signals the change through c.changed. The caller holds mu.
func (c *ControlClient) rebuild(now time.Time) {
	c.byService = map[string][]fleet.Endpoint{}
	usable := make([]fleet.Endpoint, 0, len(c.endpoints))
	for id, e := range c.endpoints {
		if !e.Usable() {
			if now.Sub(e.LastHeartbeat) > goneRetention {
				delete(c.endpoints, id)
			}
			continue
		}
		usable = append(usable, e)
		if !c.announcedLeaving(id) {
			c.byService[e.Service] = append(c.byService[e.Service], e)
		}
	}
	c.expireLeaving(now)
	close(c.changed)
	c.changed = make(chan struct{})
	c.endpointsDigest = fleet.EndpointsDigest(usable)
	for _, list := range c.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// decodeEndpoints returns the endpoints of a reply: all of them if it has a full list, and
// those that changed otherwise.
func decodeEndpoints(reply *rpc.SyncReply, now time.Time) ([]fleet.Endpoint, error) {
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

// applyLoads sets the load of the other hosts: the load of all hosts less this host's
// share, which is what it reported with the call that is being answered.
func (c *ControlClient) applyLoads(l *rpc.LoadTable) {
	if l == nil || len(l.GetRequests()) != len(l.GetEndpoints()) || len(l.GetTokens()) != len(l.GetEndpoints()) {
		return // the reply has no load table, or one whose columns differ in length
	}
	c.peerLoads = make(map[uint32]gateway.Load, len(l.GetEndpoints()))
	for i, key := range l.GetEndpoints() {
		c.peerLoads[key] = gateway.Load{
			Requests: int(l.GetRequests()[i]),
			Tokens:   int(l.GetTokens()[i]),
		}
	}
	for id, own := range c.reportedLoads {
		key := fleet.LoadKey(id)
		all := c.peerLoads[key]
		c.peerLoads[key] = gateway.Load{
			Requests: max(0, all.Requests-own.Requests),
			Tokens:   max(0, all.Tokens-own.Tokens),
		}
	}
	c.baselineLoads = c.reportedLoads
}

// applyHosts sets the addresses to which callers may be referred and the number of hosts.
func (c *ControlClient) applyHosts(reply *rpc.SyncReply) {
	if n := reply.GetHosts(); n > 0 {
		c.hostCount = int(n)
	}
	if reply.GetAddressesDigest() != fleet.AddressesDigest(c.callerAddresses) {
		c.callerAddresses = reply.GetAddresses()
	}
}
