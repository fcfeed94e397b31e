package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/group"
)

// answerItem is one step of an answer: its head first, then events, then its end.
type answerItem struct {
	head  *Answer
	event event
	ended bool
	err   error // of the end; nil if the answer is whole
}

// answerReader reads one answer.
type answerReader struct {
	items chan answerItem
	// unsent says that the request never reached the endpoint.
	unsent atomic.Bool
}

func newAnswerReader() *answerReader {
	return &answerReader{
		items: make(chan answerItem, eventQueue),
	}
}

// put hands an item on, and reports whether anybody waits for more.
func (r *answerReader) put(ctx context.Context, it answerItem) bool {
	select {
	case r.items <- it:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *answerReader) end(ctx context.Context, err error) {
	r.put(ctx, answerItem{
		ended: true,
		err:   err,
	})
}

// sender makes the call whose answer a feed reads.
type sender func(ctx context.Context) (*Answer, error)

// read reads the answer to a call to its end.
func (r *answerReader) read(ctx context.Context, send sender) {
	if err := group.Try(func() { r.run(ctx, send) }); err != nil {
		r.end(ctx, &SendError{
			Sent:  true,
			Cause: err,
		})
	}
}

func (r *answerReader) run(ctx context.Context, send sender) {
	a, err := send(ctx)
	if err != nil {
		r.unsent.Store(notSent(err))
		r.end(ctx, err)
		return
	}
	defer func() { _ = a.Body.Close() }() // it was read, or is given up
	if !r.put(ctx, answerItem{head: a}) {
		return
	}
	if a.NotRun || a.Misdirected || a.Status != http.StatusOK {
		return
	}
	r.readEvents(ctx, a.Body)
}

func (r *answerReader) readEvents(ctx context.Context, body io.Reader) {
	events := newEventReader(body)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			r.end(ctx, nil)
			return
		}
		if err != nil {
			r.end(ctx, &SendError{
				Sent:  true,
				Cause: err,
			})
			return
		}
		if !r.put(ctx, answerItem{event: ev}) {
			return
		}
	}
}
