package engine

import (
	"sync"

	"github.com/larchwinch/larchwinch/pkg/api"
)

// orderFence remembers the newest order and, if the engine checks, refuses
// those from before it.
type orderFence struct {
	mu       sync.Mutex
	epoch    uint64
	sequence uint64
	accepted []api.EngineOrder
}

// accept notes an order, and reports whether it is obeyed.
func (f *orderFence) accept(o api.EngineOrder, checks bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	older := o.Epoch < f.epoch || (o.Epoch == f.epoch && o.Sequence <= f.sequence)
	if checks && older {
		return false
	}
	f.epoch = max(f.epoch, o.Epoch)
	f.sequence = o.Sequence
	f.accepted = append(f.accepted, o)
	return true
}

// Orders returns the orders that the engine obeyed, in order.
func (e *Engine) Orders() []api.EngineOrder {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]api.EngineOrder(nil), e.orders.accepted...)
}
