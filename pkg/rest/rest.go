// Package rest keeps which endpoints asked this host for rest, and until when.
package rest

import (
	"sync"
	"time"

	"github.com/larchwinch/larchwinch/pkg/timer"
)

// Book is the rests by incarnation of an endpoint. It is safe for use by several
// goroutines.
type Book struct {
	svc timer.Service

	mu   sync.Mutex
	rows map[string]time.Time // ends
}

// New returns a book without rests.
func New(svc timer.Service) *Book {
	return &Book{
		svc:  svc,
		rows: map[string]time.Time{},
	}
}

// Ask notes that an endpoint wants nothing for d from now on.
func (b *Book) Ask(id string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if end := b.svc.Now().Add(d); end.After(b.rows[id]) {
		b.rows[id] = end
	}
}

// Left returns how much longer an endpoint wants nothing; 0: it may be called.
func (b *Book) Left(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.rows[id].Sub(b.svc.Now()))
}

// Size returns how many rests are kept.
func (b *Book) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rows)
}
