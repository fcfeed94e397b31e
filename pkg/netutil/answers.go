package netutil

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxStatus is the highest status that a server may send.
	maxStatus = 599
	// maxInterim is how many interim answers may come before the final one. net/http has no limit
	// of its own while something observes them.
	maxInterim = 5
)

var errManyInterim = errors.New("there are too many interim answers")

// CheckAnswers returns a round tripper that rejects answers which net/http accepts although they
// are malformed: heads that are none, and bodies that end with their connection although it was
// lost. The connection of a rejected answer isn't used again.
func CheckAnswers(next http.RoundTripper) http.RoundTripper {
	return &answerChecker{
		next: next,
	}
}

type answerChecker struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (a *answerChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	w := &requestWrite{}
	interim := 0
	trace := &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { w.begin(i.Conn) },
		WroteRequest: func(i httptrace.WroteRequestInfo) { w.end(i.Err) },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			if interim++; interim > maxInterim {
				return errManyInterim
			}
			return checkFields(http.Header(h))
		},
	}
	resp, err := a.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		w.closeConn()
		_ = resp.Body.Close() // the answer isn't used
		return nil, err
	}
	if endsWithConnection(resp) {
		resp.Body = &unframedBody{
			ReadCloser: resp.Body,
			ctx:        r.Context(),
			write:      w,
		}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections, as http.Client expects it.
func (a *answerChecker) CloseIdleConnections() {
	if c, ok := a.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkHead checks what net/http doesn't check of the head of a final answer. It takes any three
// digits for a status and any version, and keeps a field whose name contains a blank under that
// name, so that a Transfer-Encoding or Content-Length may be missed.
func checkHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1 || resp.ProtoMinor > 1:
		return errors.Errorf("the answer is of %s", resp.Proto)
	case resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus:
		return errors.Errorf("the answer has status %d", resp.StatusCode)
	}
	return checkFields(resp.Header)
}

func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("the answer has a field named %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Errorf("the answer's field %s is malformed", name)
			}
		}
	}
	return nil
}

// endsWithConnection reports whether nothing but the end of its connection ends an answer.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// requestWrite is how the request of an answer was written. net/http may begin again on another
// connection.
type requestWrite struct {
	mu   sync.Mutex
	conn net.Conn
	done chan struct{} // closed once err is valid
	err  error
}

func (w *requestWrite) begin(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = c
	w.done = make(chan struct{})
	w.err = nil
}

func (w *requestWrite) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done == nil {
		return
	}
	select {
	case <-w.done:
	default:
		w.err = err
		close(w.done)
	}
}

func (w *requestWrite) closeConn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		_ = w.conn.Close() // it isn't used again, whatever its state
	}
}

// wait returns why the request wasn't written to its end; nil if it was.
func (w *requestWrite) wait(ctx context.Context) error {
	w.mu.Lock()
	done := w.done
	w.mu.Unlock()
	select {
	case <-done:
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unframedBody is the body of an answer that ends with its connection. Such an answer is complete
// only if its request was written to the end: where a connection is reset, the error may go to the
// side that writes, and the side that reads sees a plain end.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context
	write *requestWrite
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.write.wait(b.ctx) != nil {
		return n, io.ErrUnexpectedEOF
	}
	return n, io.EOF
}
