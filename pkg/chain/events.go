package chain

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
)

// eventReader reads an engine's stream, one JSON object a line. Reading lines
// costs less than a json.Decoder, which looks for each value's end itself.
type eventReader struct {
	r *bufio.Reader
}

// maxEvent bounds one line; a longer one is no event.
const maxEvent = 16 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{
		r: bufio.NewReaderSize(r, maxEvent),
	}
}

// next returns the next event; an error means that the stream is at its end.
func (e *eventReader) next() (api.EngineEvent, error) {
	ev := api.EngineEvent{}
	line, err := e.r.ReadSlice('\n')
	if err != nil {
		return ev, errors.Wrap(err, "read event")
	}
	if err := json.Unmarshal(line, &ev); err != nil {
		return ev, errors.Wrap(err, "decode event")
	}
	return ev, nil
}
