package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/larchwinch/larchwinch/pkg/answer"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/chain"
	"github.com/larchwinch/larchwinch/pkg/failure"
)

const (
	jsonType = "application/json"
	sseType  = "text/event-stream"
	// writeTimeout ends a stream whose caller doesn't read, so that slow
	// readers occupy neither memory nor engines.
	writeTimeout = 10 * time.Second
)

// output writes the answer of one generation, as server-sent events or
// non-streamed.
type output struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	g             *generation
	first         time.Time
	last          time.Time
	headerWritten bool // the header of the stream has been written
	replaced      bool // the answer was not written through this output
	keepText      bool // the text is collected: always if non-streamed, or for a claim's outcome
	text          strings.Builder
	buf           []byte
}

func newOutput(w http.ResponseWriter, g *generation) *output {
	return &output{
		w:        w,
		control:  http.NewResponseController(w),
		g:        g,
		keepText: !g.stream,
	}
}

func (o *output) observe(now time.Time) {
	if o.first.IsZero() {
		o.first = now
	}
	o.last = now
}

func (o *output) firstToken() time.Time {
	return o.first
}

func (o *output) lastToken() time.Time {
	return o.last
}

// record collects the text of a stream, for the outcome of a claim.
func (o *output) record() {
	o.keepText = true
}

// markReplaced notes that the answer was written otherwise, from the recorded
// outcome of a claim.
func (o *output) markReplaced() {
	o.replaced = true
}

// streamStarted reports whether a stream's header has been written, so that an
// error status can no longer be sent.
func (o *output) streamStarted() bool {
	return o.headerWritten
}

// writeToken writes one token of a stream, or collects it for a non-streamed
// answer.
func (o *output) writeToken(t chain.Token) error {
	if o.keepText {
		o.text.WriteString(t.Text)
	}
	if !o.g.stream {
		return nil
	}
	if !o.headerWritten {
		o.startStream()
	}
	o.buf = append(o.buf[:0], "id: "...)
	o.buf = append(o.buf, eventID(o.g, t.Index)...)
	o.buf = append(o.buf, '\n')
	return o.writeEvent(o.g.format.chunk(o.g, t.Text))
}

func (o *output) startStream() {
	o.headerWritten = true
	o.w.Header().Set("Content-Type", sseType)
	o.w.Header().Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
	if o.g.skip == 0 {
		o.buf = o.buf[:0]
		_ = o.writeEvent(o.g.format.firstChunk(o.g)) // if it fails, the next write fails as well
	}
}

// writeEvent appends v to buf as the data of an event, writes buf and flushes.
func (o *output) writeEvent(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	o.buf = append(o.buf, "data: "...)
	o.buf = append(o.buf, body...)
	o.buf = append(o.buf, "\n\n"...)
	return o.write(o.buf)
}

func (o *output) write(b []byte) error {
	_ = o.control.SetWriteDeadline(time.Now().Add(writeTimeout)) // not every ResponseWriter supports deadlines
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	return o.control.Flush()
}

// finish completes the answer of a request that succeeded.
func (o *output) finish(result chain.Result) {
	if o.replaced {
		return
	}
	if !o.g.stream {
		o.w.Header().Set("Content-Type", jsonType)
		o.w.Header().Set(api.HeaderPath, strings.Join(result.Path, ","))
		_, _ = o.w.Write(o.answer(result)) // a write error means that the caller is gone
		return
	}
	if !o.headerWritten {
		o.startStream()
	}
	// The SSE comment shares a block with data, because some clients treat a
	// block that holds only a comment as an empty event.
	o.buf = append(o.buf[:0], ": path "+strings.Join(result.Path, ",")+"\n"...)
	_ = o.writeEvent(o.g.format.lastChunk(o.g, result)) // a write error means that the caller is gone
	_ = o.write([]byte("data: [DONE]\n\n"))
}

// failStream ends a stream that can't continue with an error event. No [DONE]
// follows, so that no client takes the stream for complete.
func (o *output) failStream(f *failure.Error) {
	o.buf = append(o.buf[:0], "event: error\n"...)
	_ = o.writeEvent(answer.Body(f)) // a write error means that the caller is gone
}

// answer returns the body of a non-streamed answer, or nil if it can't be encoded.
func (o *output) answer(result chain.Result) []byte {
	body, err := json.Marshal(o.g.format.answer(o.g, strings.TrimSpace(o.text.String()), result))
	if err != nil {
		return nil
	}
	return append(body, '\n')
}
