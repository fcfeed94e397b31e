package permit

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// WordsToWire returns words as they are sent at now.
func WordsToWire(words []Word, now time.Time) []*rpc.LimitWord {
	list := make([]*rpc.LimitWord, 0, len(words))
	for _, w := range words {
		list = append(list, &rpc.LimitWord{
			Endpoint:   w.Key,
			Service:    w.Service,
			PerSecond:  w.PerSecond,
			SentMsAgo:  uint32(max(0, now.Sub(w.Sent).Milliseconds())),
			HeardMsAgo: uint32(max(0, now.Sub(w.Heard).Milliseconds())),
		})
	}
	return list
}

// WordsFromWire returns words as they were received at now.
func WordsFromWire(list []*rpc.LimitWord, now time.Time) []Word {
	words := make([]Word, 0, len(list))
	for _, w := range list {
		words = append(words, Word{
			Key:       w.GetEndpoint(),
			Service:   w.GetService(),
			PerSecond: w.GetPerSecond(),
			Sent:      now.Add(-time.Duration(w.GetSentMsAgo()) * time.Millisecond),
			Heard:     now.Add(-time.Duration(w.GetHeardMsAgo()) * time.Millisecond),
		})
	}
	return words
}

// ChangesToWire returns changes as they are sent.
func ChangesToWire(changes []Change) []*rpc.Limit {
	list := make([]*rpc.Limit, 0, len(changes))
	for _, c := range changes {
		list = append(list, &rpc.Limit{
			Endpoint:  c.Key,
			Over:      c.Over,
			Service:   c.Service,
			PerSecond: c.PerSecond,
		})
	}
	return list
}

// ChangesFromWire returns changes as they were received.
func ChangesFromWire(list []*rpc.Limit) []Change {
	changes := make([]Change, 0, len(list))
	for _, c := range list {
		changes = append(changes, Change{
			Key:       c.GetEndpoint(),
			Service:   c.GetService(),
			PerSecond: c.GetPerSecond(),
			Over:      c.GetOver(),
		})
	}
	return changes
}

// DemandsToWire returns demands as they are sent.
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

// DemandsFromWire returns demands as they were received.
func DemandsFromWire(list []*rpc.Demand) []Demand {
	demands := make([]Demand, 0, len(list))
	for _, d := range list {
		demands = append(demands, Demand{
			Service:  d.GetService(),
			Requests: int(min(d.GetRequests(), mostCount)),
			Wanted:   d.GetWanted(),
		})
	}
	return demands
}

// ToWire returns a table as it is sent; nil if it is empty.
func (t Table) ToWire() *rpc.PermitTable {
	if len(t) == 0 {
		return nil
	}
	list := &rpc.PermitTable{}
	for key, n := range t {
		list.Endpoints = append(list.Endpoints, key)
		list.Counts = append(list.Counts, uint32(n))
	}
	return list
}

// mostCount bounds what is read of one endpoint.
const mostCount = 1 << 16

// TableFromWire returns a table as it was received.
func TableFromWire(list *rpc.PermitTable) Table {
	if len(list.GetEndpoints()) != len(list.GetCounts()) {
		return nil // no process of ours sends that
	}
	t := Table{}
	for i, key := range list.GetEndpoints() {
		t[key] = int(min(list.GetCounts()[i], mostCount))
	}
	return t
}
