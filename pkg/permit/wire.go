package permit

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// LimitReportsToWire encodes reports; their times are sent as ages at now.
func LimitReportsToWire(reports []LimitReport, now time.Time) []*rpc.LimitWord {
	list := make([]*rpc.LimitWord, 0, len(reports))
	for _, r := range reports {
		list = append(list, &rpc.LimitWord{
			Endpoint:   r.Key,
			Service:    r.Service,
			PerSecond:  r.PerSecond,
			SentMsAgo:  uint32(max(0, now.Sub(r.SentAt).Milliseconds())),
			HeardMsAgo: uint32(max(0, now.Sub(r.ReceivedAt).Milliseconds())),
		})
	}
	return list
}

// LimitReportsFromWire decodes reports that were received at now.
func LimitReportsFromWire(list []*rpc.LimitWord, now time.Time) []LimitReport {
	reports := make([]LimitReport, 0, len(list))
	for _, r := range list {
		reports = append(reports, LimitReport{
			Key:        r.GetEndpoint(),
			Service:    r.GetService(),
			PerSecond:  r.GetPerSecond(),
			SentAt:     now.Add(-time.Duration(r.GetSentMsAgo()) * time.Millisecond),
			ReceivedAt: now.Add(-time.Duration(r.GetHeardMsAgo()) * time.Millisecond),
		})
	}
	return reports
}

// LimitChangesToWire encodes limit changes.
func LimitChangesToWire(changes []LimitChange) []*rpc.Limit {
	list := make([]*rpc.Limit, 0, len(changes))
	for _, c := range changes {
		list = append(list, &rpc.Limit{
			Endpoint:  c.Key,
			Over:      c.Removed,
			Service:   c.Service,
			PerSecond: c.PerSecond,
		})
	}
	return list
}

// LimitChangesFromWire decodes limit changes.
func LimitChangesFromWire(list []*rpc.Limit) []LimitChange {
	changes := make([]LimitChange, 0, len(list))
	for _, c := range list {
		changes = append(changes, LimitChange{
			Key:       c.GetEndpoint(),
			Service:   c.GetService(),
			PerSecond: c.GetPerSecond(),
			Removed:   c.GetOver(),
		})
	}
	return changes
}

// DemandsToWire encodes demands.
func DemandsToWire(demands []Demand) []*rpc.Demand {
	list := make([]*rpc.Demand, 0, len(demands))
	for _, d := range demands {
		list = append(list, &rpc.Demand{
			Service:  d.Service,
			Requests: uint32(d.Requests),
			Wanted:   d.Wanted,
		})
	}
	return list
}

// DemandsFromWire decodes demands.
func DemandsFromWire(list []*rpc.Demand) []Demand {
	demands := make([]Demand, 0, len(list))
	for _, d := range list {
		demands = append(demands, Demand{
			Service:  d.GetService(),
			Requests: int(min(d.GetRequests(), maxCount)),
			Wanted:   d.GetWanted(),
		})
	}
	return demands
}

// ToWire encodes the counts; it returns nil if there are none.
func (c Counts) ToWire() *rpc.PermitTable {
	if len(c) == 0 {
		return nil
	}
	list := &rpc.PermitTable{}
	for key, n := range c {
		list.Endpoints = append(list.Endpoints, key)
		list.Counts = append(list.Counts, uint32(n))
	}
	return list
}

// maxCount bounds each count that is read from the wire.
const maxCount = 1 << 16

// CountsFromWire decodes counts; it returns nil if the lists have different lengths.
func CountsFromWire(list *rpc.PermitTable) Counts {
	if len(list.GetEndpoints()) != len(list.GetCounts()) {
		return nil // malformed: ToWire never produces this
	}
	counts := Counts{}
	for i, key := range list.GetEndpoints() {
		counts[key] = int(min(list.GetCounts()[i], maxCount))
	}
	return counts
}
