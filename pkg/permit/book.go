// Package permit keeps what all hosts together send to endpoints within the limits that
// these name.
package permit

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/fleet"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Key names an endpoint, whichever start of it is there: one that is in need may still be
// after a start, and names no limit then if it isn't.
func Key(id string) uint32 {
	own, _ := fleet.SplitIncarnation(id)
	return fleet.LoadKey(own)
}

// Book is the limits that a host knows of. It is safe for use by several goroutines.
type Book struct {
	clock Clock

	mu   sync.Mutex
	rows map[uint32]*row
}

// row is one endpoint that has a limit.
type row struct {
	limit float64
}

// NewBook returns a book without limits.
func NewBook(clock Clock) *Book {
	return &Book{
		clock: clock,
		rows:  map[uint32]*row{},
	}
}

// Hear takes what an answer says of an endpoint's limit, and reports whether that changed.
func (b *Book) Hear(id string, l fleet.Limit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := Key(id)
	r := b.rows[key]
	switch l.Says {
	case fleet.LimitNamed:
		if r != nil && r.limit == l.PerSecond {
			return false
		}
		b.rows[key] = &row{
			limit: l.PerSecond,
		}
		return true
	case fleet.LimitNone:
		delete(b.rows, key)
		return r != nil
	default:
		return false
	}
}

// Limited reports whether an endpoint has a limit.
func (b *Book) Limited(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rows) > 0 && b.rows[Key(id)] != nil
}
