package engine

import (
	"sync"

	"github.com/larchwinch/larchwinch/pkg/api"
)

// orderFence records the newest order and, if the engine checks orders, rejects
// those that are not newer.
type orderFence struct {
	mu       sync.Mutex
	epoch    uint64
	sequence uint64
	accepted []api.EngineOrder
}

// accept records an order and reports whether it is accepted. With checks, an
// order that isn't newer than the last one by epoch and sequence is rejected.
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

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []api.EngineOrder {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]api.EngineOrder(nil), e.orders.accepted...)
}
