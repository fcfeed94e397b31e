package fleet

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// maxPatchWindow is the farthest back that a patch may point, in bytes: into the
// whole of a configuration of 4 MB, the largest that operators send, twice over.
const maxPatchWindow = 8 << 20

// Patch returns what a host that holds base needs to make next: base is the
// dictionary that next is compressed with. One changed route in 1,640 takes some
// hundred bytes instead of 18 KB.
func Patch(base, next []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(0, base),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowSize(len(base)+len(next))),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Wrap(err, "patch")
	}
	out := w.EncodeAll(next, nil)
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "patch")
	}
	return out, nil
}

// windowSize returns the power of two that covers n bytes.
func windowSize(n int) int {
	w := zstd.MinWindowSize
	for w < n && w < maxPatchWindow {
		w *= 2
	}
	return w
}

// Patched returns what Patch was given as next.
func Patched(base, patch []byte) ([]byte, error) {
	r, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(0, base),
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "apply a patch")
	}
	defer r.Close()
	out, err := r.DecodeAll(patch, nil)
	if err != nil {
		return nil, errors.Wrap(err, "apply a patch")
	}
	return out, nil
}

// ContentDigest is a number by which a host sees that a patch gave the content
// that it was made of.
func ContentDigest(content []byte) uint64 {
	return xxhash.Sum64(content)
}

// historySize is how many configurations a control host can patch from: a host
// that is sent one every 0.5 s at least is rarely more than three changes behind.
const historySize = 6

// History is the newest configurations that a control host has seen, from which
// it makes patches. It is safe for use by several goroutines.
//
// Invariant: versions rise along past; patches are all of the newest one.
type History struct {
	mu      sync.Mutex
	entries []historyEntry
	patches map[uint64][]byte // by the version that they patch
}

type historyEntry struct {
	version uint64
	content []byte
}

// NewHistory returns a history that holds nothing.
func NewHistory() *History {
	return &History{
		patches: map[uint64][]byte{},
	}
}

// Note takes a configuration, as packed by Pack, unless it isn't newer.
func (h *History) Note(version uint64, packed []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.newest() {
		return nil
	}
	content, err := Unpack(packed)
	if err != nil {
		return err
	}
	h.entries = append(h.entries, historyEntry{
		version: version,
		content: content,
	})
	if len(h.entries) > historySize {
		h.entries = append([]historyEntry(nil), h.entries[1:]...)
	}
	h.patches = map[uint64][]byte{}
	return nil
}

// newest returns the newest version; 0 if there is none.
func (h *History) newest() uint64 {
	if len(h.entries) == 0 {
		return 0
	}
	return h.entries[len(h.entries)-1].version
}

// Since returns the patch from one version to another, which must be the newest,
// and the digest of what it gives; no patch if either isn't held.
func (h *History) Since(base, version uint64) (patch []byte, digest uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version != h.newest() {
		return nil, 0, nil
	}
	next := h.entries[len(h.entries)-1].content
	for _, p := range h.entries {
		if p.version != base || base == version {
			continue
		}
		if h.patches[base] == nil {
			if h.patches[base], err = Patch(p.content, next); err != nil {
				return nil, 0, err
			}
		}
		return h.patches[base], ContentDigest(next), nil
	}
	return nil, 0, nil
}
