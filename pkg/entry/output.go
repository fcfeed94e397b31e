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
	// readers hold neither memory nor engines.
	writeTimeout = 10 * time.Second
)

// output writes one generation's answer: as server-sent events, or whole.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	g       *generation
	first   time.Time
	last    time.Time
	stream  bool // the stream's header is written
	done    bool // the answer was written by another way
	keep    bool // text is kept although the answer is a stream
	text    strings.Builder
	buf     []byte
}

func newOutput(w http.ResponseWriter, g *generation) *output {
	return &output{
		w:       w,
		control: http.NewResponseController(w),
		g:       g,
		keep:    !g.stream,
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

// record keeps the text, for the outcome of a claim.
func (o *output) record() {
	o.keep = true
}

// replace notes that the answer was written by another way.
func (o *output) replace() {
	o.done = true
}

// begun reports whether it is too late for an error status.
func (o *output) begun() bool {
	return o.stream
}

// token writes one token, or keeps it for the whole answer.
func (o *output) token(t chain.Token) error {
	if o.keep {
		o.text.WriteString(t.Text)
	}
	if !o.g.stream {
		return nil
	}
	if !o.stream {
		o.begin()
	}
	o.buf = append(o.buf[:0], "id: "...)
	o.buf = append(o.buf, eventID(o.g, t.Index)...)
	o.buf = append(o.buf, '\n')
	return o.event(o.g.format.chunk(o.g, t.Text))
}

func (o *output) begin() {
	o.stream = true
	o.w.Header().Set("Content-Type", sseType)
	o.w.Header().Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
	if o.g.skip == 0 {
		o.buf = o.buf[:0]
		_ = o.event(o.g.format.opening(o.g)) // the next write fails as well
	}
}

// event writes v behind what is in buf, and flushes.
func (o *output) event(v any) error {
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
	_ = o.control.SetWriteDeadline(time.Now().Add(writeTimeout)) // not every writer has one
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	return o.control.Flush()
}

// finish ends a good answer.
func (o *output) finish(result chain.Result) {
	if o.done {
		return
	}
	if !o.g.stream {
		o.w.Header().Set("Content-Type", jsonType)
		o.w.Header().Set(api.HeaderPath, strings.Join(result.Path, ","))
		_, _ = o.w.Write(o.whole(result)) // the caller is gone if it fails
		return
	}
	if !o.stream {
		o.begin()
	}
	// The comment shares a block with data: some clients take a block that
	// holds nothing else for an empty event.
	o.buf = append(o.buf[:0], ": path "+strings.Join(result.Path, ",")+"\n"...)
	_ = o.event(o.g.format.closing(o.g, result)) // the caller is gone if it fails
	_ = o.write([]byte("data: [DONE]\n\n"))
}

// fail ends a stream that can't be carried on. There is no [DONE] after it,
// so that no client takes it for whole.
func (o *output) fail(f *failure.Error) {
	o.buf = append(o.buf[:0], "event: error\n"...)
	_ = o.event(answer.Body(f)) // the caller is gone if it fails
}

// whole returns the answer that isn't a stream.
func (o *output) whole(result chain.Result) []byte {
	body, err := json.Marshal(o.g.format.whole(o.g, strings.TrimSpace(o.text.String()), result))
	if err != nil {
		return nil
	}
	return append(body, '\n')
}
