package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/group"
)

// item is one step of an answer: its head first, then events, then its end.
type item struct {
	head  *Answer
	event event
	over  bool
	err   error // of the end; nil if the answer is whole
}

// feed reads one answer.
type feed struct {
	items chan item
	// unsent says that the request never reached the endpoint.
	unsent atomic.Bool
}

func newFeed() *feed {
	return &feed{
		items: make(chan item, eventQueue),
	}
}

// put hands an item on, and reports whether anybody waits for more.
func (f *feed) put(ctx context.Context, it item) bool {
	select {
	case f.items <- it:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *feed) end(ctx context.Context, err error) {
	f.put(ctx, item{
		over: true,
		err:  err,
	})
}

// sender makes the call whose answer a feed reads.
type sender func(ctx context.Context) (*Answer, error)

// read reads the answer to a call to its end.
func (f *feed) read(ctx context.Context, send sender) {
	if err := group.Try(func() { f.take(ctx, send) }); err != nil {
		f.end(ctx, &SendError{
			Sent:  true,
			Cause: err,
		})
	}
}

func (f *feed) take(ctx context.Context, send sender) {
	a, err := send(ctx)
	if err != nil {
		f.unsent.Store(notSent(err))
		f.end(ctx, err)
		return
	}
	defer func() { _ = a.Body.Close() }() // it was read, or is given up
	if !f.put(ctx, item{head: a}) {
		return
	}
	if a.NotRun || a.Misdirected || a.Status != http.StatusOK {
		return
	}
	f.readEvents(ctx, a.Body)
}

func (f *feed) readEvents(ctx context.Context, body io.Reader) {
	r := newEventReader(body)
	for {
		ev, err := r.next()
		if errors.Is(err, io.EOF) {
			f.end(ctx, nil)
			return
		}
		if err != nil {
			f.end(ctx, &SendError{
				Sent:  true,
				Cause: err,
			})
			return
		}
		if !f.put(ctx, item{event: ev}) {
			return
		}
	}
}
