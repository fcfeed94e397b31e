package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// event is one event of a stream, including the blank line that ends it.
type event struct {
	id   string
	data []byte
}

const maxEventBytes = 1 << 20

// eventReader splits a stream into events.
type eventReader struct {
	r    *bufio.Reader
	held *heldAnswer // counts the event that is being read
}

// eventBuffer is the buffer size of the reader: room for several events of the usual
// size.
const eventBuffer = 2 << 10

func newEventReader(r io.Reader, held *heldAnswer) *eventReader {
	return &eventReader{
		r:    bufio.NewReaderSize(r, eventBuffer),
		held: held,
	}
}

// errTruncated says that a stream ended within an event.
var errTruncated = errors.New("the stream ended within an event")

// next returns the next event, or io.EOF if the stream ended after a complete event.
func (e *eventReader) next() (event, error) {
	ev := event{}
	for {
		line, err := e.r.ReadSlice('\n')
		ev.data = append(ev.data, line...)
		if held := e.held.resize(len(ev.data)); held != nil {
			return ev, held
		}
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.data) < maxEventBytes {
			continue
		}
		if err != nil {
			return ev, truncatedOr(err, ev.data)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		if len(ev.data) > maxEventBytes {
			return ev, errors.New("an event is too large")
		}
	}
}

func truncatedOr(err error, data []byte) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(data)) > 0 {
		return errTruncated
	}
	return err
}
