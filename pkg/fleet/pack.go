package fleet

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
)

// maxUnpackedBytes bounds what Unpack and ApplyPatch return.
const maxUnpackedBytes = 64 << 20

// Pack compresses a configuration as the operator sent it, for the replicated
// log and for sending it to every entry host. Full lists of endpoints are sent in
// this form too.
func Pack(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if _, err := w.Write(content); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return b.Bytes(), nil
}

// Unpack returns the content that Pack compressed. It fails if that has more than
// maxUnpackedBytes, or is damaged.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	content, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(content) > maxUnpackedBytes {
		return nil, errors.Errorf("unpack: more than %d bytes", maxUnpackedBytes)
	}
	return content, nil
}
