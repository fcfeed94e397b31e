package gateway

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// maxAnswerBytes limits the size of a non-streamed answer, which is held in memory.
	maxAnswerBytes = 8 << 20
	// defaultAnswerMemory is how many bytes of answers a host holds if its configuration
	// says nothing.
	defaultAnswerMemory = 32 << 20
	// uncountedBytes of each answer aren't counted: nearly all answers and events are
	// smaller.
	uncountedBytes = 16 << 10
	readChunk      = 32 << 10
)

var errAnswerTooLong = errors.New("the answer is longer than is held in memory")

// answerMemory bounds how many bytes of all answers are held at a time. An endpoint in
// trouble may send bytes without end; if many do, the host would run out of memory long
// before each answer is too long by itself.
//
// Invariant: used is the sum of size over the answers. It is at most limit plus the answers
// that were read completely.
type answerMemory struct {
	limit int

	mu      sync.Mutex
	used    int
	answers map[*heldAnswer]bool
}

// heldAnswer is what is held of one answer: all of a plain one, one event of a stream.
type heldAnswer struct {
	memory *answerMemory
	// counted says that size isn't 0. Only the goroutine that reads the answer uses it, so that
	// small answers and events take no lock.
	counted bool
	// These are guarded by memory.mu.
	body    io.Closer // nil unless it is being read
	size    int
	dropped bool
}

func newAnswerMemory(limit int) *answerMemory {
	if limit <= 0 {
		limit = defaultAnswerMemory
	}
	return &answerMemory{
		limit:   limit,
		answers: map[*heldAnswer]bool{},
	}
}

// hold begins to count an answer, which must be released.
func (m *answerMemory) hold() *heldAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := &heldAnswer{
		memory: m,
	}
	m.answers[h] = true
	return h
}

// release ends the counting of the answer.
func (h *heldAnswer) release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.remove(h)
}

func (m *answerMemory) remove(h *heldAnswer) {
	m.used -= h.size
	h.size = 0
	delete(m.answers, h)
}

// setBody sets the body that is being read; nil once it was read to its end.
func (h *heldAnswer) setBody(body io.Closer) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.body = body
}

// resize sets how many bytes of the answer are held. If all answers together exceed the
// limit, the largest of those that are being read is dropped, and its body is closed. It
// fails if this one is dropped.
func (h *heldAnswer) resize(n int) error {
	n = max(0, n-uncountedBytes)
	if n == 0 && !h.counted {
		return nil
	}
	h.counted = n > 0
	largest := h.memory.resize(h, n)
	if largest != nil {
		_ = largest.Close() // what its reader has is dropped
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if h.dropped {
		return errAnswerTooLong
	}
	return nil
}

// resize returns the body of the answer that is dropped; nil if none is.
func (m *answerMemory) resize(h *heldAnswer, n int) io.Closer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.dropped {
		return nil
	}
	m.used += n - h.size
	h.size = n
	if m.used <= m.limit {
		return nil
	}
	largest := h
	for one := range m.answers {
		if one.body != nil && one.size > largest.size {
			largest = one
		}
	}
	largest.dropped = true
	m.remove(largest)
	return largest.body
}

// readBody reads a whole body of at most maxAnswerBytes.
func readBody(r io.ReadCloser, h *heldAnswer) ([]byte, error) {
	h.setBody(r)
	defer h.setBody(nil)
	var body []byte
	for {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, max(readChunk, 2*len(body))), body...)
		}
		n, err := r.Read(body[len(body):min(cap(body), maxAnswerBytes+1)])
		body = body[:len(body)+n]
		if held := h.resize(len(body)); held != nil {
			return nil, held
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case len(body) > maxAnswerBytes:
			return nil, errAnswerTooLong
		}
	}
}
