package backoff

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// ToWire encodes backoffs, for the processes of a host to send each other.
func ToWire(backoffs map[string]time.Duration) []*rpc.Resting {
	list := make([]*rpc.Resting, 0, len(backoffs))
	for id, remaining := range backoffs {
		list = append(list, &rpc.Resting{
			Endpoint: id,
			LeftMs:   uint32(remaining.Milliseconds()),
		})
	}
	return list
}

// FromWire returns the remaining time of a backoff.
func FromWire(r *rpc.Resting) time.Duration {
	return time.Duration(r.GetLeftMs()) * time.Millisecond
}
