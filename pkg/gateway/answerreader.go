package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/group"
)

// answerItem is one step of an answer: status and headers first, then events, then the
// end.
type answerItem struct {
	head  *Answer
	event event
	ended bool
	err   error // reason for the end; nil if the answer is complete
}

// answerReader reads one answer in a goroutine of its own.
type answerReader struct {
	memory *answerMemory
	items  chan answerItem
	// unsent says that the request never reached the endpoint.
	unsent atomic.Bool
}

func newAnswerReader(memory *answerMemory) *answerReader {
	return &answerReader{
		memory: memory,
		items:  make(chan answerItem, eventQueue),
	}
}

// put passes an item on, and reports whether the reader should go on.
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

// sender makes the call whose answer is read.
type sender func(ctx context.Context) (*Answer, error)

// read makes the call and reads the answer to its end. A panic ends the answer with an
// error.
func (r *answerReader) read(ctx context.Context, send sender) {
	if err := group.CatchPanic(func() { r.run(ctx, send) }); err != nil {
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
	defer func() { _ = a.Body.Close() }() // the body was read completely or is no longer needed
	if !r.put(ctx, answerItem{head: a}) {
		return
	}
	if a.NotRun || a.Misdirected || a.Status != http.StatusOK {
		return
	}
	r.readEvents(ctx, a.Body)
}

func (r *answerReader) readEvents(ctx context.Context, body io.ReadCloser) {
	held := r.memory.hold()
	defer held.release()
	held.setBody(body)
	events := newEventReader(body, held)
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
