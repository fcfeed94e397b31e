package fleet

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// ToWire encodes an endpoint; the age of its heartbeat is relative to now.
func (e *Endpoint) ToWire(now time.Time) *rpc.Announcement {
	return &rpc.Announcement{
		Id:         e.ID,
		Service:    e.Service,
		Address:    e.Address,
		Domain:     e.Domain,
		Slots:      uint32(e.Slots),
		Leaving:    e.Leaving,
		Gone:       e.Gone,
		Sequence:   e.Sequence,
		Kind:       e.Kind,
		Model:      e.Model,
		FirstLayer: uint32(e.Layers.From),
		EndLayer:   uint32(e.Layers.To),
		Loading:    e.Loading,
		HeardMsAgo: uint64(max(0, now.Sub(e.LastHeartbeat).Milliseconds())),
		Silent:     e.Silent,
		Slow:       e.Slowdown,
		Born:       e.StartedAt,
	}
}

// EndpointFromWire decodes an endpoint that was received at now.
func EndpointFromWire(a *rpc.Announcement, now time.Time) Endpoint {
	return Endpoint{
		ID:       a.GetId(),
		Service:  a.GetService(),
		Address:  a.GetAddress(),
		Domain:   a.GetDomain(),
		Slots:    int(a.GetSlots()),
		Leaving:  a.GetLeaving(),
		Gone:     a.GetGone(),
		Sequence: a.GetSequence(),
		Kind:     a.GetKind(),
		Model:    a.GetModel(),
		Layers: Range{
			From: int(a.GetFirstLayer()),
			To:   int(a.GetEndLayer()),
		},
		Loading:       a.GetLoading(),
		LastHeartbeat: now.Add(-time.Duration(a.GetHeardMsAgo()) * time.Millisecond),
		Silent:        a.GetSilent(),
		Slowdown:      a.GetSlow(),
		StartedAt:     a.GetBorn(),
	}
}

// EndpointsToWire encodes endpoints that are sent at now.
func EndpointsToWire(list []Endpoint, now time.Time) []*rpc.Announcement {
	out := make([]*rpc.Announcement, 0, len(list))
	for i := range list {
		out = append(out, list[i].ToWire(now))
	}
	return out
}

// EndpointsFromWire decodes endpoints that were received at now.
func EndpointsFromWire(list []*rpc.Announcement, now time.Time) []Endpoint {
	out := make([]Endpoint, 0, len(list))
	for _, a := range list {
		out = append(out, EndpointFromWire(a, now))
	}
	return out
}
