package rest

import (
	"time"

	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// ToWire lists rests, as the processes of a machine tell each other of them.
func ToWire(resting map[string]time.Duration) []*rpc.Resting {
	list := make([]*rpc.Resting, 0, len(resting))
	for id, remaining := range resting {
		list = append(list, &rpc.Resting{
			Endpoint: id,
			LeftMs:   uint32(remaining.Milliseconds()),
		})
	}
	return list
}

// FromWire returns how much longer a listed endpoint rests.
func FromWire(r *rpc.Resting) time.Duration {
	return time.Duration(r.GetLeftMs()) * time.Millisecond
}
