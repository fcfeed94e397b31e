package netutil

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

const (
	// MaxResponseHeaderBytes limits status line and headers of a response, which a server in
	// trouble may send without end. Usual ones take less than 1 KB.
	MaxResponseHeaderBytes = 64 << 10
	// maxValueBytes limits one value of a JSON body.
	maxValueBytes = 1 << 20
)

var errValueTooLong = errors.New("a JSON value is too long")

// Decoder decodes the JSON values of a body one after the other. It fails at a value that
// is much longer than any that is sent, and may have no end.
type Decoder struct {
	body io.Reader
	left int // bytes that may still be read for the current value
	json *json.Decoder
}

// NewDecoder returns a decoder that reads from body.
func NewDecoder(body io.Reader) *Decoder {
	d := &Decoder{
		body: body,
	}
	d.json = json.NewDecoder(limitedBody{
		d: d,
	})
	return d
}

// Decode decodes the next value into v.
func (d *Decoder) Decode(v any) error {
	d.left = maxValueBytes
	return d.json.Decode(v)
}

// limitedBody reads from the body of a decoder what it may read.
type limitedBody struct {
	d *Decoder
}

// Read implements io.Reader.
func (b limitedBody) Read(p []byte) (int, error) {
	if b.d.left <= 0 {
		return 0, errValueTooLong
	}
	n, err := b.d.body.Read(p[:min(len(p), b.d.left)])
	b.d.left -= n
	return n, err
}
